"""Distributes the endpoint list (caches, drains and purges) to a fleet over few streams of the list service.

In each zone a few fronts, the relays, are chosen by hash over the live view. They hold a stream of the list
service and forward its numbered watch events. The other fronts subscribe to the relays and call the service
themselves only if no relay supplies them; a call budget limits the calls of the whole fleet. The list is
saved, and a saved list is applied only after a relay or the service has confirmed its revision.

Start with `interface`, which defines the messages between fronts, the input events and the output commands,
then read `engine`, which dispatches messages and events to the components. Only `host` and `stream_feed` use
sockets and the store.

Path of a watch event:

1. On a relay, `stream_feed` receives the event and `service_stream` checks that its number follows the last
   one. On any other front, `event_intake` receives it in a datagram from a front that it subscribes to.
2. `list_replica` applies the event to the `endpoint_list`, adds its encoded form to the `event_window`, and
   emits ApplyEvent, which `host` carries out on the front.
3. `star_subscribers` and `tree_subscribers` send the event to the subscribers of this front.

State by module:

- `list_replica`: the list, its window of events, and the time of the service's last confirmation. The list is
  saved in the store's row "list"; no other state survives a restart.
- `service_stream`: the stream, the replay in progress, and whether the stream has caught up.
- `upstream`: the fronts that this one subscribes to, and their faults. `tree`: the parent and the backup,
  from the positions that `topology` computes. `scopes`: the zones and sites of the live fronts.
- `roles`: whether this front relays, follows or calls the service for itself, with the `call_budget`.
- `star_subscribers`, `tree_subscribers`: the subscribers of this front, and the last event sent to each.
- `snapshot_transfer`: transfer of packed lists in chunks. `page_transfer`: transfer of the pages that differ
  (`pages`, `paged_snapshot`, `page_coding`), for fronts in trees.

`event_coding`, `purge_fields` and `varint` encode events. `bounds` computes the guarantees that follow from
the settings. `simulate` and `simulate_tree` run the same logic in virtual time on the models of `star_world`
and `tree_world`; `measure` writes their results to a page.
"""
