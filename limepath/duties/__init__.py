"""Periodic work divided among fronts: each target is served once per interval, not once per front.

Read `interface` first (messages, events, commands), then `instance`, which combines membership and duties
behind one `handle` method.

The processing of a target that is due, for example for a probe:

1. `schedule` finds that the target is due and gets the permission from `share`. In mode one-owner this is a
   lease of `leases`, granted by a majority of `voter`s, with an epoch that fences off previous holders.
2. `instance` returns the command `ServeTarget`; `host` passes it to `probe_sharing`, which sends the probe.
3. The probe's outcome returns as the event `TargetServed`; `shared_results` sends it to other instances.
4. At those, `schedule` postpones the target's next round, and the front's decision module gets the result.

The modules and their state:

- `leases`: the leases that this instance holds, and its pending requests.
- `voter`: the grants and the epoch ceiling. Besides the identity, the ceiling is the only state that survives
  a restart: `host` persists it in the store.
- `live_ring` and `ring`: the consistent hash ring of the present view, which is part of the membership.
- `share` and `schedule`: the targets of a duty, which of them are owned, and when they are due.
- `shared_results`: the newest results of each target, and which of them are still to be passed on.
- `probe_sharing`: which endpoints are ready and which probes are pending.
- `host`: files, sockets and timers.

`lease_timing` computes the durations that the leases depend on, `bounds` the bounds that follow from the
settings. All modules except `host`, `probe_sharing` and `boot_clock` are free of I/O. They also run in
virtual time under faults (`simulate`, with `world`, `node`, `network`, `faults`, `findings`), in the model
checker of the leases (`check`, `lease_model`), and in the measurements (`measure`, `measurement_page`,
`savings`).
"""
