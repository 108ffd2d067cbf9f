"""The interface between the decisions of a front and the programs that host them.

`settings` holds what a host passes when it makes a `limepath.decisions` engine, `events` what it hands to
`handle(now, events)`, and `commands` what it carries out afterwards, in their sequence. Read `events` first.

Times are whole microseconds: `now` and `Endpoint.started_at` on the host's clock, all others spans. Caches,
parents and the origin are known by a stable integer that is the same at every front. These types hold no
state and do no I/O.
"""
