"""Gives a front whose frequency table is still empty a bounded summary of another front's request counts.

The decision module of a new front ranks every object low until it has counted requests for itself. Half a
second after its start the front sends a `RequestCountsQuery` to one live front, and to another if that one is
new too or does not answer. Nothing waits for the answer, which is taken within its bounds.

Read `interface` first: messages between fronts, events and commands. `exchange` is the logic without I/O; it
owns which front is asked and what has arrived. `host` carries messages, and hands counts from and to the
decision module.

A count-min sketch was weighed: it holds counts of all objects in fixed memory, but not their names, so the
new front could only look names up in it, and its 64 kB would be 50 datagrams. Ranks are cut from the upper
part of the table; its names and counts fit six.
"""
