"""Periodic work that is divided among fronts: each target is served once per interval, not once per front.

Read `interface` first (messages, events, commands), then `instance`, which joins membership and duties in one
`handle`.

The way of an event, for example a probe of a target that is due:

1. `schedule` finds the target due and asks `share` for permission; in mode one-owner that is a lease of
   `leases`, granted by a majority of `voter`s, with an epoch that fences off former holders.
2. `instance` returns the command `ServeTarget`; `host` hands it to `probe_sharing`, which sends the probe.
3. The probe's outcome comes back as the event `TargetServed`; `shared_results` sends it to the others.
4. There `schedule` puts the target's next round off, and the front's decision module receives the result.

Who owns which state:

- `leases`: the leases that this instance holds, its pending requests; `voter`: the grants, the ceiling of
  epochs (the only state that survives a restart, beside the identity: `host` persists it in the store).
- `live_ring` and `ring`: the consistent hash ring of the present view; the view is the membership's.
- `share` and `schedule`: the targets of a duty, which of them are owned, when they are due.
- `shared_results`: the newest results of each target, and what is still to be passed on.
- `probe_sharing`: which endpoints are ready, which probes are under way; `host`: files, sockets and timers.

`lease_timing` and `bounds` compute the spans that leases rest on and that the settings promise. All but
`host`, `probe_sharing` and `boot_clock` is free of I/O and also runs elsewhere: in virtual time under faults
(`simulate`, with `world`, `node`, `network`, `faults`, `findings`), in the model checker of the leases
(`check`, `lease_model`), and in the measurements (`measure`, `measurement_page`, `savings`).
"""
