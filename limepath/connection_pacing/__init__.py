"""A limit that many fronts keep together without talking: a rate of new connections to each endpoint.

Each front takes its share of the rate that the settings allow the whole fleet. `connections` computes, free
of I/O, whether a front may connect to an endpoint now. `host` tells the network code that, and the decision
module which endpoints can be reached (`ConnectionAvailabilityChanged`); the decision module alone rejects,
forwards, or chooses another endpoint.

Read `connections` first. It owns, by endpoint, when the next connection may be opened.
"""
