"""One real front on sockets (Twisted): it parses, sends and reports, and decides nothing.

Read `decision_loop.py` first: everything meets there. The way of an event: a protocol (`client_connection`,
`server_connection`, `event_stream`) parses what its socket brought; its owner (`Clients`, `Servers`,
`EndpointWatch`) turns that into an event of `limepath.interface.events`; the `DecisionLoop` hands all events
of one event loop iteration to the decisions, and carries out the commands that they give back in their order.

State, and who owns it: client connections and open requests, `Clients`; endpoints, connections to them and
attempts that are out, `Servers`; the endpoint list as received, `EndpointWatch`; what other machines' clocks
say, `ReferenceClock`. Nothing of it outlives the process. `front_process.py` puts the
parts together, `start.py` runs it.
"""
