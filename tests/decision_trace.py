"""Computes a digest of the decisions on seeded random events. It changes only if a decision changes.

    python -m tests.decision_trace --seed 3         one line: seed, commands, digest
    python -m tests.decision_trace --seeds 10       seeds 0 to 9
    python -m tests.decision_trace --check          compares all seeds of tests/data/decision_trace.json

One decision engine processes 20,000 random events: requests, ends of its attempts, client disconnects,
started responses, probe results, endpoint list updates, purges, availability changes, stale endpoint lists,
request counts of other fronts, and a shutdown near the end. The digest covers the type and the values of
each command. Types count by their index in `COMMANDS` and enum members by number, so that renaming them does
not change the digest.
"""

import argparse
import hashlib
import json
import random
import sys
from pathlib import Path
from typing import Any

from limepath.decisions.engine import DecisionEngine
from limepath.interface.commands import (
    CancelAttempt,
    FailRequest,
    ForwardRequest,
    RejectRequest,
    ReportRequestCounts,
    ScheduleWakeup,
    SendProbe,
    SetSubscription,
)
from limepath.interface.events import (
    AttemptEnded,
    AttemptOutcome,
    CacheStatus,
    ClientDisconnected,
    ConnectionAvailabilityChanged,
    Endpoint,
    EndpointListFreshnessChanged,
    EndpointListUpdated,
    EndpointState,
    ProbeEnded,
    PurgeAnnounced,
    RequestArrived,
    RequestCountsReceived,
    RequestCountsWanted,
    ResponseStarted,
    ShutdownStarted,
    TimerFired,
    UpdateKind,
)
from limepath.interface.settings import (
    DeliveryService,
    GracePeriods,
    Idempotency,
    KeyScope,
    Permissions,
    SlowStart,
    Topology,
)

EVENTS = 20_000
RECORD = Path(__file__).parent / "data" / "decision_trace.json"
SECOND = 1_000_000
CACHE, PARENT, ORIGIN = 0, 2, 3
COMMANDS = (
    ForwardRequest,
    RejectRequest,
    FailRequest,
    CancelAttempt,
    SendProbe,
    ScheduleWakeup,
    SetSubscription,
    ReportRequestCounts,
)


class TraceHost:
    """One decision engine and the state of its host: open requests, active attempts and probes."""

    def __init__(self, seed: int):
        self.random = random.Random(f"decision trace {seed}")
        self.now = 100 * SECOND
        self.services = tuple(self.random_service(number) for number in range(4))
        self.engine = self.make_engine(seed)
        self.digest = hashlib.sha256()
        self.commands = 0
        self.requests = 0
        self.open: dict[int, int] = {}  # request id to number of its latest attempt
        self.attempts: dict[tuple[int, int], int] = {}  # (request, attempt) to the endpoint
        self.probes: list[int] = []
        self.endpoints: dict[int, Endpoint] = {}
        self.version = 1

    def random_service(self, number: int) -> DeliveryService:
        """Return a delivery service with random settings; service 3 is uncacheable."""
        rng = self.random
        return DeliveryService(
            latency_objective=rng.choice((300_000, 600_000)),
            objective_stretch=rng.choice((0.0, 1.6)),
            deadline=rng.choice((2, 5)) * SECOND,
            priority_weight=1.0,
            late_share=0.2,
            idempotency=Idempotency(rng.randrange(3)) if number else Idempotency.IDEMPOTENT,
            key_scope=KeyScope(rng.randrange(3)),
            retry_window=rng.choice((SECOND // 2, 2 * SECOND)),
            streamed=False,
            max_age=rng.choice((0, 8 * SECOND)),
            stale_grace=rng.choice((0, 30 * SECOND)),
            stale_share=0.5,
            uncacheable=number == 3,
            segmented=False,
        )

    def make_engine(self, seed: int) -> DecisionEngine:
        """Return the engine of a front with random permissions and a random number of other fronts."""
        rng = self.random
        return DecisionEngine(
            seed=seed * 7919 + 17,
            services=self.services,
            footprint=Topology(
                zone=0,
                hub_of=(0, 0),
                link_kb_s=(rng.choice((9000.0, 40000.0)), 0.0),
                fronts_in_zone=rng.choice((1, 3, 40)),
                fronts=rng.choice((60, 200)),
                parent_kind=PARENT,
                origin_kind=ORIGIN,
                transfer_kb_s=1000.0,
                weighted=rng.random() < 0.5,
            ),
            allowance=Permissions(
                max_attempts=rng.choice((3, 6)),
                hedging=rng.random() < 0.2,
                cancellation=rng.random() < 0.8,
                probing=rng.random() < 0.7,
                peer_messages=False,
                max_retry_after=SECOND,
                direct=rng.random() < 0.7,
                join_fills=rng.random() < 0.5,
                lateral="none",
                subscribe=rng.random() < 0.5,
            ),
            cache_warmup=SlowStart(0.2, 10 * SECOND, 2.0, SECOND),
            parent_warmup=SlowStart(0.1, 20 * SECOND, 2.0, SECOND),
            grace=GracePeriods(8000, SECOND, 300_000, 6 * SECOND, 10 * SECOND),
        )

    def run(self, events: int) -> None:
        """Pass a full endpoint list to the engine, then random events in batches of one to four."""
        self.handle([self.list_replaced()])
        kinds = list(EVENT_WEIGHTS)
        weights = list(EVENT_WEIGHTS.values())
        events_passed = 1
        while events_passed < events:
            self.now += self.random.choice((40, 400, 2_000, 15_000)) + self.random.randrange(100)
            if self.random.random() < 0.002:
                self.now += self.random.randrange(4 * SECOND)
            batch = []
            for kind in self.random.choices(kinds, weights, k=self.random.randint(1, 4)):
                if kind is TraceHost.shutdown_started and events_passed < events - 400:
                    continue
                if event := kind(self):
                    batch.append(event)
            self.handle(batch)
            events_passed += len(batch)

    def handle(self, batch: list[Any]) -> None:
        """Pass a batch to the engine, add its commands to the digest and apply them to the host's state."""
        for command in self.engine.handle(self.now, batch):
            kind = COMMANDS.index(type(command))
            self.digest.update(repr((kind, without_names(command))).encode())
            self.commands += 1
            self.apply_command(command)

    def apply_command(self, command: Any) -> None:
        if isinstance(command, ForwardRequest):
            number = self.open.get(command.request, -1) + 1
            self.open[command.request] = number
            self.attempts[command.request, number] = command.endpoint
        elif isinstance(command, RejectRequest | FailRequest):
            self.open.pop(command.request, None)
        elif isinstance(command, SendProbe):
            self.probes.append(command.endpoint)

    # Generators of random events; they return None if no such event is possible now.

    def request_arrived(self) -> RequestArrived:
        self.requests += 1
        rng = self.random
        self.open[self.requests] = -1
        obj = int(rng.paretovariate(0.7)) % 5000
        return RequestArrived(
            self.requests,
            rng.choices((0, 1, 2, 3), (6, 2, 1, 2))[0],
            0,
            obj,
            rng.choice((200_000, 2 * SECOND, 5 * SECOND)),
            rng.choice((0.0, 20.0, 300.0, 900.0)),
            obj % 40,
            rng.choice((0, 0, 0, 1)),
            False,
            False,
            rng.random() < 0.8,
        )

    def attempt_ended(self) -> AttemptEnded | None:
        if not self.attempts:
            return None
        rng = self.random
        request, number = rng.choice(sorted(self.attempts))
        cache = self.attempts.pop((request, number))
        outcome = rng.choices(
            (AttemptOutcome.SUCCEEDED, AttemptOutcome.MISS, *OTHER_OUTCOMES),
            (60, 40, *[3] * len(OTHER_OUTCOMES)),
        )[0]
        answered = outcome == AttemptOutcome.SUCCEEDED
        if answered:
            self.open.pop(request, None)
        duration = int(rng.expovariate(1 / 250_000))
        return AttemptEnded(request, number, outcome, cache, duration, 0, answered, CacheStatus.NONE, {})

    def response_started(self) -> ResponseStarted | None:
        if not self.attempts:
            return None
        request, number = self.random.choice(sorted(self.attempts))
        return ResponseStarted(request, number, self.attempts[request, number], 1000)

    def client_disconnected(self) -> ClientDisconnected | None:
        if not self.open:
            return None
        request = self.random.choice(sorted(self.open))
        del self.open[request]
        return ClientDisconnected(request)

    def probe_ended(self) -> ProbeEnded | None:
        rng = self.random
        outcome = rng.choice((AttemptOutcome.SUCCEEDED, *OTHER_OUTCOMES))
        load = {"util": rng.choice((0.2, 0.97, 1.0))} if rng.random() < 0.7 else {}
        if self.probes and rng.random() < 0.8:
            return ProbeEnded(self.probes.pop(0), outcome, 1000, load)
        return ProbeEnded(rng.choice(sorted(self.endpoints)), outcome, 1000, load, rng.randrange(SECOND))

    def list_replaced(self) -> EndpointListUpdated:
        caches = self.random.sample(range(1, 11), 7)
        entries = [self.make_endpoint(endpoint_id, CACHE, 6.0, EndpointState.READY) for endpoint_id in caches]
        entries += [
            self.make_endpoint(endpoint_id, PARENT, 30.0, EndpointState.READY) for endpoint_id in (11, 12, 13)
        ]
        entries.append(self.make_endpoint(21, ORIGIN, 20.0, EndpointState.READY))
        self.endpoints = {entry.id: entry for entry in entries}
        self.version += 1
        update_kind = self.random.choice((UpdateKind.FULL, UpdateKind.CACHED))
        return EndpointListUpdated(update_kind, self.version, tuple(entries))

    def endpoint_changed(self) -> EndpointListUpdated:
        rng = self.random
        self.version += 1
        if rng.random() < 0.1:
            return EndpointListUpdated(UpdateKind.UNAVAILABLE, self.version, ())
        endpoint_id = rng.choice((*range(1, 11), 11, 12, 13, 21))
        kind = CACHE if endpoint_id < 11 else PARENT if endpoint_id < 21 else ORIGIN
        new_state = rng.choices(
            (EndpointState.READY, EndpointState.DRAINING, EndpointState.REMOVED), (6, 1, 1)
        )[0]
        if kind == ORIGIN:
            new_state = EndpointState.READY
        started_at = self.now if rng.random() < 0.4 else 0
        changed = self.make_endpoint(endpoint_id, kind, rng.choice((0.5, 6.0, 30.0)), new_state, started_at)
        self.endpoints[endpoint_id] = changed
        return EndpointListUpdated(UpdateKind.DELTA, self.version, (changed,))

    def make_endpoint(
        self, endpoint_id: int, kind: int, weight: float, state: EndpointState, started_at: int = 0
    ) -> Endpoint:
        zone = 0 if kind == CACHE and endpoint_id != 10 else 1
        return Endpoint(state, endpoint_id, started_at, endpoint_id % 2, zone, kind, weight)

    def purge_announced(self) -> PurgeAnnounced:
        rng = self.random
        obj = rng.randrange(40) if rng.random() < 0.5 else 0
        # Number 0 stands for a whole group here, so that the recorded digests keep their meaning.
        return PurgeAnnounced(rng.randrange(40), rng.randrange(300_000), obj or None)

    def availability_changed(self) -> ConnectionAvailabilityChanged:
        return ConnectionAvailabilityChanged(
            self.random.choice(sorted(self.endpoints)), self.random.random() < 0.7
        )

    def freshness_changed(self) -> EndpointListFreshnessChanged:
        return EndpointListFreshnessChanged(self.random.random() < 0.2)

    def counts_received(self) -> RequestCountsReceived:
        rng = self.random
        return RequestCountsReceived(
            tuple((rng.randrange(9000), 0, rng.randrange(1, 9) / 2) for _ in range(20))
        )

    def counts_wanted(self) -> RequestCountsWanted:
        return RequestCountsWanted(self.random.randrange(1, 40), self.random.randrange(100))

    def timer_fired(self) -> TimerFired:
        return TimerFired(0)

    def shutdown_started(self) -> ShutdownStarted:
        return ShutdownStarted(self.random.randrange(SECOND // 2, 2 * SECOND))


OTHER_OUTCOMES = tuple(
    outcome for outcome in AttemptOutcome if outcome not in (AttemptOutcome.SUCCEEDED, AttemptOutcome.MISS)
)
EVENT_WEIGHTS = {
    TraceHost.request_arrived: 100,
    TraceHost.attempt_ended: 120,
    TraceHost.response_started: 3,
    TraceHost.client_disconnected: 3,
    TraceHost.probe_ended: 10,
    TraceHost.list_replaced: 0.2,
    TraceHost.endpoint_changed: 4,
    TraceHost.purge_announced: 2,
    TraceHost.availability_changed: 5,
    TraceHost.freshness_changed: 0.5,
    TraceHost.counts_received: 0.3,
    TraceHost.counts_wanted: 0.3,
    TraceHost.timer_fired: 20,
    TraceHost.shutdown_started: 0.2,
}


def without_names(value: Any) -> Any:
    """Return a command's values without names: enum members as numbers, records as tuples."""
    if isinstance(value, bool):
        return int(value)
    if isinstance(value, int):
        return int(value)
    if isinstance(value, tuple):
        return tuple(without_names(part) for part in value)
    return value


def trace(seed: int, events: int = EVENTS) -> dict[str, Any]:
    """Return the number and the digest of the commands that the engine returns for `events` random events."""
    host = TraceHost(seed)
    host.run(events)
    return {"commands": host.commands, "digest": host.digest.hexdigest()}


def main() -> int:
    parser = argparse.ArgumentParser(description="Compute a digest of the decisions on seeded events.")
    parser.add_argument("--seed", type=int)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument(
        "--check", action="store_true", help="compare with the record; exit with status 1 if a digest differs"
    )
    arguments = parser.parse_args()
    seeds = range(arguments.seeds) if arguments.seed is None else (arguments.seed,)
    traces = {str(seed): trace(seed) for seed in seeds}
    if not arguments.check:
        print(json.dumps(traces, indent=1))
        return 0
    record = json.loads(RECORD.read_text(encoding="utf-8"))
    different = [seed for seed, digest in traces.items() if record.get(seed) != digest]
    print("all digests match" if not different else f"digests differ for seeds {', '.join(different)}")
    return 1 if different else 0


if __name__ == "__main__":
    sys.exit(main())
