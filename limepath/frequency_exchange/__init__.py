"""Gives a front with an empty frequency table a bounded summary of another front's request counts.

The decision module of a new front ranks every object low until the front has counted requests itself. From
half a second after its start, the front sends a `RequestCountsQuery` to one live front, and then to others if
the first is new too or does not answer. Nothing waits for the answer, and counts out of bounds are rejected.

Start with `interface`, which defines messages between fronts, events and commands. `exchange` is the logic
without I/O; it chooses the front to query and keeps track of the received chunks. `host` sends and receives
the messages, and passes counts between the exchange and the decision module.

A count-min sketch is not used: it holds counts of all objects in fixed memory but not their names, so a new
front could only look up names that it has, and its 64 kB would take 50 datagrams. Ranks depend on the upper
part of the table only, whose names and counts fit into six datagrams.
"""
