"""The interface between the decision engine of a front and its host program.

`settings` defines the arguments of a `limepath.decisions` engine, `events` the input of `handle(now,
events)`, and `commands` its results, which the host carries out in order. Read `events` first.

All times are whole microseconds. `now` and `Endpoint.started_at` are times on the host's clock; all others
are durations. Caches, parents and the origin have integer ids that are stable and the same at every front.
The types hold no state and perform no I/O.
"""
