"""Many fronts on one fake set of members, in virtual time: what each does alone adds up, and is counted here.

A member has lanes: with more transfers than these all get slower, with three times as many it is full. A look
at a cache that lacks the object ends at once, a fill waits for its source. Arrivals, sizes and which objects
are held are drawn by seed.
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

V = AttemptOutcome
WAY = 5_000  # from a front to a member and back, microseconds
SLOW_START = SlowStart(0.2, 10 * SECOND, 2.0, SECOND)
ENDS = {RejectRequest: "rejected", FailRequest: "failed"}
VIDEO = make_service(latency_objective=600_000)
ENTREGA = make_service(
    latency_objective=800_000, deadline=3 * SECOND, idempotency=Idempotency.NON_IDEMPOTENT, uncacheable=True
)


class FleetMember:
    def __init__(self, member, chance):
        self.member, self.chance, self.out, self.probes = member, chance, 0, []
        self.silent = self.down = False
        self.work = []  # (time, front, microseconds of sending) that came

    def sending(self, mean, size=None):
        """How long a transfer takes here now; `size` in place of one that is drawn."""
        size = self.chance.lognormvariate(0, 0.6) / 1.2 if size is None else size
        return int(size * mean * max(1, self.out / self.member.weight))


class Fleet:
    """`rate` is GETs a second of all fronts; `held` the share of looks that find their object."""

    def __init__(
        self,
        fronts,
        caches,
        seed=1,
        rate=100.0,
        held=0.6,
        weight=6.0,
        services=(VIDEO, ENTREGA),
        writes=0.03,
        mean=400_000,
        upper=150_000,
        link=None,
        warmup=SLOW_START,
        uneven=1.0,
        told=0.0,
    ):
        """`told`: sizes are told, of this spread (sigma of their logarithm)."""
        self.told, self.sizes = told, {}
        self.chance, self.now, self.serial, self.calendar = Random(seed), 0, 0, []
        self.rate, self.held, self.writes, self.mean, self.upper, self.services = (
            rate,
            held,
            writes,
            mean,
            upper,
            services,
        )
        fleet = [make_endpoint(100 + i, weight=weight) for i in range(caches)]
        fleet += [
            make_endpoint(11, PARENT, weight=30.0),
            make_endpoint(12, PARENT, weight=30.0),
            make_endpoint(21, ORIGIN, weight=20.0),
        ]
        self.members = {one.id: FleetMember(one, self.chance) for one in fleet}
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
        self.shares = [self.chance.lognormvariate(0, uneven) for _ in range(fronts)]
        self.ids, self.gets, self.ends, self.words = (
            0,
            {},
            [],
            {},
        )  # an end: (time, front, ds, word, took); words by GET
        self.forwards = 0
        for front in range(fronts):
            self.hear(front, EndpointListUpdated(UpdateKind.CACHED, 1, tuple(fleet)))

    def at(self, when, call, *said):
        self.serial += 1
        heappush(self.calendar, (when, self.serial, call, said))

    def run(self, span):
        end = self.now + span
        self.at(self.now, self.arrive, end)
        while self.calendar and self.calendar[0][0] <= end:
            self.now, _, call, said = heappop(self.calendar)
            call(*said)
        self.now = end

    def arrive(self, until):
        if self.now >= until:
            return
        front = self.chance.choices(range(len(self.fronts)), self.shares)[0]
        self.ids += 1
        ds = int(self.chance.random() < self.writes)
        told = self.services[ds]
        if self.told and not ds:
            self.sizes[self.ids] = self.chance.lognormvariate(-(self.told**2) / 2, self.told)
        size_kb = self.sizes.get(self.ids, 0.0) * self.mean / 1000  # at 1000 KB a second
        get = RequestArrived(
            self.ids,
            ds,
            0,
            self.chance.randrange(1, 1 << 40),
            told.deadline,
            size_kb,
            0,
            0,
            False,
            bool(ds),
        )
        self.gets[self.ids] = [front, ds, self.now, 0, False]
        self.at(self.now + told.deadline, self.over, self.ids)
        self.hear(front, get)
        self.at(self.now + int(self.chance.expovariate(self.rate) * SECOND), self.arrive, until)

    def over(self, ident):
        if ident in self.gets:
            self.close(ident, "timeout")
            self.hear(self.gets.pop(ident)[0], ClientDisconnected(ident))

    def close(self, ident, word):
        get = self.gets[ident]
        if not get[4]:
            get[4] = True
            self.ends.append((self.now, get[0], get[1], word, self.now - get[2]))
            self.words[ident] = word

    def hear(self, front, *notes):
        for order in self.fronts[front].handle(self.now, notes):
            if isinstance(order, ScheduleWakeup):
                self.at(self.now + order.delay, self.hear, front, TimerFired(order.cookie))
            elif isinstance(order, SendProbe):
                self.probe(front, order)
            elif isinstance(order, ForwardRequest):
                self.forward(front, order)
            elif isinstance(order, (RejectRequest, FailRequest)):
                self.close(order.request, ENDS[type(order)])

    def probe(self, front, order):
        one = self.members[order.endpoint]
        one.probes.append((self.now, front))
        verdict, took = (
            (V.TIMED_OUT, 250_000)
            if one.silent
            else (V.CONNECT_FAILED, WAY)
            if one.down
            else (V.SUCCEEDED, WAY)
        )
        load = {"util": min(1.0, one.out / one.member.weight)}
        self.at(self.now + took, self.hear, front, ProbeEnded(order.endpoint, verdict, took, load))

    def forward(self, front, order):
        self.forwards += 1
        get = self.gets[order.request]
        number, get[3] = get[3], get[3] + 1
        cache, source = self.members[order.endpoint], self.members[order.source]
        mean = self.mean if get[1] == 0 else 20_000
        for one in {cache, source}:
            one.work.append((self.now, front, mean))
        verdict, took, busy = V.SUCCEEDED, WAY, ()
        if cache.silent:
            return
        if cache.down:
            verdict = V.CONNECT_FAILED
        elif cache.out >= 3 * cache.member.weight:
            verdict = V.FULL
        elif (
            source is cache
            and cache.member.kind == CACHE
            and (get[1] or order.request * 0x9E3779B1 % 1000 >= self.held * 1000)
        ):
            verdict = V.MISS
        elif source is not cache and (source.down or source.silent or source.out >= 3 * source.member.weight):
            verdict = V.FULL
        else:
            busy = {cache, source}
            took += cache.sending(mean, self.sizes.get(order.request))
            if source is not cache:
                took += int(self.chance.expovariate(1) * self.upper)
        for one in busy:
            one.out += 1
        self.at(self.now + took, self.ended, front, order, number, verdict, took, busy)

    def ended(self, front, order, number, verdict, took, busy):
        for one in busy:
            one.out -= 1
        get = self.gets.get(order.request)
        closed = get is None or get[4] or verdict == V.SUCCEEDED
        if get and verdict == V.SUCCEEDED:
            self.close(order.request, "returned")
        self.hear(
            front,
            AttemptEnded(
                order.request, number, verdict, order.endpoint, took, 0, closed, CacheStatus.NONE, {}
            ),
        )

    # What is counted

    def probes(self, since=0):
        return sum(at >= since for one in self.members.values() for at, _ in one.probes)

    def answered_of_largest(self, part):
        """The share answered of the largest `part` of the sized GETs, over the share of all of them."""
        ended = sorted((ident for ident in self.sizes if ident in self.words), key=self.sizes.get)
        largest = ended[-int(len(ended) * part) :]
        share = lambda some: sum(self.words[ident] == "returned" for ident in some) / len(some)  # noqa: E731
        return share(largest) / share(ended)

    def share(self, word, since=0, ds=None):
        ends = [end for end in self.ends if end[0] >= since and ds in (None, end[2])]
        return sum(end[3] == word for end in ends) / len(ends)
