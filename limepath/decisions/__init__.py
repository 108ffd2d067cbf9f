"""All decisions of one front, free of input and output: events in, commands out.

Read `engine` first, then `router`. The way of an event through the package:

- A host calls `DecisionEngine.handle(now, events)`. The engine finds the handler of each event by its type
  and puts it into the `EventQueue`; what a handler asks of another part goes into the same queue, first in,
  first out.
- A request: `router` ranks its object (`frequency_table`), orders the servers for it (`rendezvous`) and
  offers it to one after another. A `server` accepts or declines by its `health` and `concurrency_limit`.
  The `guard` checks the five rules (with `purges` and `slow_start`) and commands the attempt.
- The end of an attempt: `attempt` judges it, `router` tells the servers and the `fetch_window`, then retries,
  fills or gives up.
- An update of the endpoint list: `endpoints` makes, changes and drops servers.
- A result of a health check goes to its server; a wakeup lets timers and health checks that are due run.

State is owned as follows, and none of it outlives the process:

- `router`: the open requests (`request`) and their active attempts (`attempt`)
- `frequency_table`: request counts by object
- `endpoints`: the servers; each `server`: its active attempts, health and concurrency limit
- `slow_start`: the budgets of warming servers; `purges`: the purges in force
- `fetch_window`: fills in flight and the window of fetches; `sending_times`: mean sending times by service
- `event_queue`: the time, the timers and the state of the random numbers

Times are whole microseconds. The methods are those of docs/design.md: Greedy-Dual-Size-Frequency
(L. Cherkasova, HPL-98-69 (R.1), 1998) with weighted rendezvous hashing.
"""
