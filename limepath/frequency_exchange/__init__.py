"""What is asked for, told to a front whose own table is still empty: a bounded summary of GET counts from one
that has them.

A newcomer's decision module ranks everything low until it has counted for itself. `newcomer` (free of I/O)
asks one live front, another if that is new too or silent, never waits for the answer with anything, and takes
what comes within its bounds; `host` carries messages and hands counts to the module as a note. Read
`interface` first.

A sketch (count-min, from a library) was weighed: it holds counts of all objects in fixed memory, but not
their names, so the newcomer could only ask it, and its 64 kB would be 50 datagrams; the table's upper part by
key is what the ranks are cut from, its names and counts fit six.
"""
