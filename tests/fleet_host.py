"""Simulates many fronts with one set of servers in virtual time, and counts their combined load.

The weight of a server is the number of transfers that it serves at full speed. With more, all of them slow
down; with three times as many, it answers that it is full. A lookup of an object that a cache does not hold
ends immediately, and a fill waits for its source. Arrivals, sizes and cache hits are drawn by seed.
"""

from heapq import heappop, heappush
from random import Random

from limepath.decisions.engine import DecisionEngine
from limepath.interface.commands import FailRequest, ForwardRequest, RejectRequest, ScheduleWakeup, SendProbe
from limepath.interface.events import (
    AttemptEnded,
    AttemptOutcome,
    CacheStatus,
    ClientDisconnected,
    EndpointListUpdated,
    ProbeEnded,
    RequestArrived,
    TimerFired,
    UpdateKind,
)
from limepath.interface.settings import GracePeriods, Idempotency, Permissions, SlowStart, Topology
from tests.fake_host import CACHE, ORIGIN, PARENT, SECOND, make_endpoint, make_service

Outcome = AttemptOutcome
ROUND_TRIP = 5_000  # microseconds between a front and a server and back
SLOW_START = SlowStart(0.2, 10 * SECOND, 2.0, SECOND)
OUTCOME_NAMES = {RejectRequest: "rejected", FailRequest: "failed"}
VIDEO = make_service(latency_objective=600_000)
ENTREGA = make_service(
    latency_objective=800_000, deadline=3 * SECOND, idempotency=Idempotency.NON_IDEMPOTENT, uncacheable=True
)


class FleetMember:
    def __init__(self, member, random):
        self.member, self.random, self.active_transfers, self.probes = member, random, 0, []
        self.silent = self.down = False
        self.attempts = []  # received ones: (time, front, mean transfer time in microseconds)

    def transfer_time(self, mean, size=None):
        """Return how many microseconds a transfer takes now; draws a relative size if `size` is None."""
        size = self.random.lognormvariate(0, 0.6) / 1.2 if size is None else size
        return int(size * mean * max(1, self.active_transfers / self.member.weight))


class Fleet:
    """`rate` is the requests a second of all fronts; `hit_rate` the share of lookups that are cache hits."""

    def __init__(
        self,
        fronts,
        caches,
        seed=1,
        rate=100.0,
        hit_rate=0.6,
        weight=6.0,
        services=(VIDEO, ENTREGA),
        writes=0.03,
        mean_transfer=400_000,
        source_latency=150_000,
        link=None,
        warmup=SLOW_START,
        traffic_spread=1.0,
        size_spread=0.0,
    ):
        """`size_spread`: sigma of the logarithm of the sizes that clients announce; 0: no sizes."""
        self.size_spread, self.sizes = size_spread, {}
        self.random, self.now, self.schedule_count, self.scheduled = Random(seed), 0, 0, []
        self.rate, self.hit_rate, self.writes, self.mean_transfer, self.source_latency, self.services = (
            rate,
            hit_rate,
            writes,
            mean_transfer,
            source_latency,
            services,
        )
        fleet = [make_endpoint(100 + i, weight=weight) for i in range(caches)]
        fleet += [
            make_endpoint(11, PARENT, weight=30.0),
            make_endpoint(12, PARENT, weight=30.0),
            make_endpoint(21, ORIGIN, weight=20.0),
        ]
        self.members = {server.id: FleetMember(server, self.random) for server in fleet}
        link = link or caches * weight * 1000.0
        allowance = Permissions(
            max_attempts=6,
            hedging=False,
            cancellation=True,
            probing=True,
            peer_messages=False,
            max_retry_after=SECOND,
            direct=True,
            join_fills=False,
            lateral="none",
            subscribe=False,
        )
        self.fronts = [
            DecisionEngine(
                seed=seed * 1000 + i,
                services=services,
                allowance=allowance,
                cache_warmup=warmup,
                parent_warmup=warmup,
                footprint=Topology(
                    zone=0,
                    hub_of=(0, 0),
                    link_kb_s=(link, 0.0),
                    fronts_in_zone=fronts,
                    fronts=fronts,
                    parent_kind=PARENT,
                    origin_kind=ORIGIN,
                    transfer_kb_s=1000.0,
                    weighted=True,
                ),
                grace=GracePeriods(8000, SECOND, 300_000, 6 * SECOND, 10 * SECOND),
            )
            for i in range(fronts)
        ]
        self.traffic_weights = [self.random.lognormvariate(0, traffic_spread) for _ in range(fronts)]
        # An ending is (time, front, delivery service, outcome, duration); outcomes are by request.
        self.request_count, self.requests, self.endings, self.outcomes = 0, {}, [], {}
        self.forwards = 0
        for front in range(fronts):
            self.deliver(front, EndpointListUpdated(UpdateKind.CACHED, 1, tuple(fleet)))

    def schedule(self, when, call, *arguments):
        self.schedule_count += 1
        heappush(self.scheduled, (when, self.schedule_count, call, arguments))

    def run(self, span):
        end = self.now + span
        self.schedule(self.now, self.arrive, end)
        while self.scheduled and self.scheduled[0][0] <= end:
            self.now, _, call, arguments = heappop(self.scheduled)
            call(*arguments)
        self.now = end

    def arrive(self, until):
        if self.now >= until:
            return
        front = self.random.choices(range(len(self.fronts)), self.traffic_weights)[0]
        self.request_count += 1
        ds = int(self.random.random() < self.writes)
        service_settings = self.services[ds]
        if self.size_spread and not ds:
            self.sizes[self.request_count] = self.random.lognormvariate(
                -(self.size_spread**2) / 2, self.size_spread
            )
        size_kb = self.sizes.get(self.request_count, 0.0) * self.mean_transfer / 1000  # at 1000 KB a second
        get = RequestArrived(
            self.request_count,
            ds,
            0,
            self.random.randrange(1, 1 << 40),
            service_settings.deadline,
            size_kb,
            0,
            0,
            False,
            bool(ds),
        )
        self.requests[self.request_count] = [front, ds, self.now, 0, False]
        self.schedule(self.now + service_settings.deadline, self.expire, self.request_count)
        self.deliver(front, get)
        self.schedule(self.now + int(self.random.expovariate(self.rate) * SECOND), self.arrive, until)

    def expire(self, request_id):
        if request_id in self.requests:
            self.close(request_id, "timeout")
            self.deliver(self.requests.pop(request_id)[0], ClientDisconnected(request_id))

    def close(self, request_id, outcome):
        get = self.requests[request_id]
        if not get[4]:
            get[4] = True
            self.endings.append((self.now, get[0], get[1], outcome, self.now - get[2]))
            self.outcomes[request_id] = outcome

    def deliver(self, front, *events):
        for command in self.fronts[front].handle(self.now, events):
            if isinstance(command, ScheduleWakeup):
                self.schedule(self.now + command.delay, self.deliver, front, TimerFired(command.cookie))
            elif isinstance(command, SendProbe):
                self.probe(front, command)
            elif isinstance(command, ForwardRequest):
                self.forward(front, command)
            elif isinstance(command, (RejectRequest, FailRequest)):
                self.close(command.request, OUTCOME_NAMES[type(command)])

    def probe(self, front, command):
        server = self.members[command.endpoint]
        server.probes.append((self.now, front))
        outcome, duration = (
            (Outcome.TIMED_OUT, 250_000)
            if server.silent
            else (Outcome.CONNECT_FAILED, ROUND_TRIP)
            if server.down
            else (Outcome.SUCCEEDED, ROUND_TRIP)
        )
        load = {"util": min(1.0, server.active_transfers / server.member.weight)}
        self.schedule(
            self.now + duration, self.deliver, front, ProbeEnded(command.endpoint, outcome, duration, load)
        )

    def forward(self, front, command):
        self.forwards += 1
        get = self.requests[command.request]
        number, get[3] = get[3], get[3] + 1
        cache, source = self.members[command.endpoint], self.members[command.source]
        mean = self.mean_transfer if get[1] == 0 else 20_000
        for server in {cache, source}:
            server.attempts.append((self.now, front, mean))
        outcome, duration, transferring = Outcome.SUCCEEDED, ROUND_TRIP, ()
        if cache.silent:
            return
        if cache.down:
            outcome = Outcome.CONNECT_FAILED
        elif cache.active_transfers >= 3 * cache.member.weight:
            outcome = Outcome.FULL
        elif (
            source is cache
            and cache.member.kind == CACHE
            and (get[1] or command.request * 0x9E3779B1 % 1000 >= self.hit_rate * 1000)
        ):
            outcome = Outcome.MISS
        elif source is not cache and (
            source.down or source.silent or source.active_transfers >= 3 * source.member.weight
        ):
            outcome = Outcome.FULL
        else:
            transferring = {cache, source}
            duration += cache.transfer_time(mean, self.sizes.get(command.request))
            if source is not cache:
                duration += int(self.random.expovariate(1) * self.source_latency)
        for server in transferring:
            server.active_transfers += 1
        self.schedule(
            self.now + duration, self.end_attempt, front, command, number, outcome, duration, transferring
        )

    def end_attempt(self, front, command, number, outcome, duration, transferring):
        for server in transferring:
            server.active_transfers -= 1
        get = self.requests.get(command.request)
        closed = get is None or get[4] or outcome == Outcome.SUCCEEDED
        if get and outcome == Outcome.SUCCEEDED:
            self.close(command.request, "returned")
        self.deliver(
            front,
            AttemptEnded(
                command.request, number, outcome, command.endpoint, duration, 0, closed, CacheStatus.NONE, {}
            ),
        )

    # Counts

    def probes(self, since=0):
        return sum(at >= since for server in self.members.values() for at, _ in server.probes)

    def answered_of_largest(self, fraction):
        """Return the answered share of the largest `fraction` of the sized GETs, relative to that of all."""
        ended = sorted(
            (request_id for request_id in self.sizes if request_id in self.outcomes), key=self.sizes.get
        )
        largest = ended[-int(len(ended) * fraction) :]
        share = lambda ids: sum(self.outcomes[ident] == "returned" for ident in ids) / len(ids)  # noqa: E731
        return share(largest) / share(ended)

    def share(self, outcome, since=0, ds=None):
        endings = [end for end in self.endings if end[0] >= since and ds in (None, end[2])]
        return sum(end[3] == outcome for end in endings) / len(endings)
