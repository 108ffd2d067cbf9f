"""The scale run: many fronts without a data path (hollow fronts) in few processes, on loopback sockets.

The control logic of a hollow front is the program's own: membership, duties, the list of caches, counts and
limits, through the same hosts as in `limepath run`. Only requests, and connections to caches, are left out.
Nothing here is loaded by `limepath run`.
"""
