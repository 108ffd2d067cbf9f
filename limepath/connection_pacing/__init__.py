"""Limits the rate of new connections to each endpoint from the whole fleet, without messages between fronts.

Each front uses its share of the rate that the settings allow the fleet. `connections` computes without I/O
whether the front may connect to an endpoint now. The network code asks `host` for that, and `host` sends the
decision module a `ConnectionAvailabilityChanged` event for each endpoint that becomes available or
unavailable. Only the decision module rejects requests, forwards them or chooses another endpoint.

Start with `connections`. It holds the time of the next connection to each endpoint.
"""
