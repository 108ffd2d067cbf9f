"""The network code of a front (Twisted). All decisions are made by the decision engine, not here.

Start reading at `decision_loop.py`, which connects all parts. The path of an event: a protocol
(`client_connection`, `server_connection`, `event_stream`) parses the data that its socket received; the owner
of the protocol (`Clients`, `Servers`, `EndpointWatch`) turns it into an event of `limepath.interface.events`;
the `DecisionLoop` passes all events of one event loop iteration to the decision engine, and executes the
commands that it returns in order.

Ownership of state: `Clients` owns client connections and open requests; `Servers` owns endpoints, connections
to them and attempts in flight; `EndpointWatch` owns the endpoint list as received; `ReferenceClock` owns the
estimate of other machines' clocks. No state outlives the process. `front_process.py` creates the parts,
`start.py` runs the process.
"""
