"""The decision engine of one front. It performs no I/O: it takes events and returns commands.

Read `engine` first, then `router`. The package processes events as follows:

- A host calls `DecisionEngine.handle(now, events)`. The engine selects the handler of each event by its type
  and puts the call into the `EventQueue`. Calls between components go through the same queue, first in,
  first out.
- Request: `router` ranks its object (`frequency_table`), orders the servers for it (`rendezvous`) and
  offers it to them in turn. A `server` accepts or declines according to its `health` and its
  `concurrency_limit`. The `guard` checks the five rules (with `purges` and `slow_start`) and commands the
  attempt.
- End of an attempt: `attempt` evaluates it; `router` reports it to the servers and the `fetch_window`, then
  retries, fills or ends the request.
- Update of the endpoint list: `endpoints` creates, updates and removes servers.
- Result of a health check: `endpoints` passes it to its server.
- Wakeup: timers and health checks that are due run.

Each module owns the following state, and none of it is stored:

- `router`: the open requests (`request`) and their active attempts (`attempt`)
- `frequency_table`: request counts by object
- `endpoints`: the servers; each `server`: its active attempts, health and concurrency limit
- `slow_start`: the budgets of warming servers
- `purges`: the purges in force
- `fetch_window`: fills in flight and the window of fetches
- `sending_times`: mean sending times by service
- `event_queue`: the time, the timers and the state of the random numbers

Times are whole microseconds. docs/design.md describes the methods: Greedy-Dual-Size-Frequency
(L. Cherkasova, HPL-98-69 (R.1), 1998) with weighted rendezvous hashing.
"""
