"""The endpoint list (caches, drains and purges), watched once for a fleet instead of once by each front.

A few fronts of a zone, the relays, are chosen by hash over the live view. They hold a stream of the list
service and pass its numbered watch events on; the others subscribe to them, and call the service themselves
only when they must, under a budget of calls for the whole fleet. The list is saved, and a saved list is not
applied before a relay or the service has confirmed its revision.

Read `interface` first: messages between fronts, events in, commands out. Then `engine`, which gives each to
its component. Only `host` and `stream_feed` touch sockets and the store.

The way of a watch event:

1. On a relay `stream_feed` receives it, and `service_stream` checks that its number follows. On another front
   `event_intake` receives it in a datagram of the front that it subscribes to.
2. `list_replica` applies it to the `endpoint_list`, adds its coded form to the `event_window`, and emits
   ApplyEvent, which `host` carries out on the front.
3. `star_subscribers` and `tree_subscribers` send it to the fronts that subscribe to this one.

Which part owns which state:

- `list_replica`: the list, its window of events, when the service last confirmed it. Saved in the store's row
  "list"; nothing else survives a restart.
- `service_stream`: the stream, the replay that it sends, whether it has caught up.
- `upstream`: the fronts that this one subscribes to, and their faults. `tree`: its parent and backup, from
  the positions that `topology` computes. `scopes`: the zones and sites of the live fronts.
- `roles`: whether this front relays, follows or calls for itself, with the `call_budget`.
- `star_subscribers`, `tree_subscribers`: who subscribes to this front, and what each has.
- `snapshot_transfer`: packed lists in chunks. `page_transfer`: the pages that differ (`pages`,
  `paged_snapshot`, `page_coding`), for fronts in trees.

The coded form of events is in `event_coding`, `purge_fields` and `varint`; `bounds` computes what the
settings promise. `simulate` and `simulate_tree` run the same logic in virtual time, in the worlds of
`star_world` and `tree_world`; `measure` makes a page of it.
"""
