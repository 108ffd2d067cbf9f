"""The list of caches, drains and purges, told once to a fleet instead of once to each front.

A few fronts of a zone (relays, by hash over the live view) hold a stream of the list service and pass its
numbered events on; the others follow them, and call the service themselves only when they must, under a
budget of calls for the whole fleet. What is known is saved, and never used before a relay or the service has
confirmed it.

The way of an event: `host` hears it on a stream, or a follower hears it from a relay in a datagram; `relay`
decides (new? a gap? contradictory? from whom?), `state` keeps list, number and purges; orders go back to
`host`: take it into the front, send it on, call, hang up, save. Read `interface` first; only `host` touches
sockets and the store.
"""
