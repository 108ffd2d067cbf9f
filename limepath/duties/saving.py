"""What sharing saves the caches: many fronts with the real decision module, in virtual time, before one
silent cache.

Three ways: as the module does by itself (probes on suspicion only), each front for itself (every front probes
every cache in each interval), and shared. Counted are the probes that caches see, and the GETs that meet the
silent cache.
"""

from typing import NamedTuple

from limepath.choice import Front
from limepath.configuration.sharing_settings import DutyMode, DutySettings, LeaseSettings, MembershipTimeouts
from limepath.duties.interface import TargetServed
from limepath.duties.world import World
from limepath.interface.commands import CancelAttempt, ForwardRequest, ScheduleWakeup, SendProbe
from limepath.interface.events import (
    AttemptEnded,
    AttemptOutcome,
    CacheStatus,
    Endpoint,
    EndpointListUpdated,
    EndpointState,
    ProbeEnded,
    RequestArrived,
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

SECOND = 1_000_000
ALONE, EACH, SHARED = "on suspicion alone", "each for itself", "shared"
WAYS = (ALONE, EACH, SHARED)
VIEWER_TIMEOUT, PROBE = 2 * SECOND, 250_000
WORK = 40_000  # of a GET at a cache
SERVICE = DeliveryService(
    latency_objective=600_000,
    objective_stretch=1.6,
    deadline=VIEWER_TIMEOUT,
    priority_weight=1.0,
    late_share=0.2,
    idempotency=Idempotency.IDEMPOTENT,
    key_scope=KeyScope.ALL,
    retry_window=SECOND,
    streamed=False,
    max_age=0,
    stale_grace=0,
    stale_share=0.0,
    uncacheable=False,
    segmented=False,
)


class Saved(NamedTuple):
    way: str
    fronts: int
    probes: float  # that a healthy cache sees, by second
    probes_silent: float  # that the silent cache sees, by second of its silence
    met: int  # GETs forwarded to the silent cache in its silence
    gets: int


class Fronts(World):
    """A world whose nodes each have a front. The silent cache is target 1, between two moments."""

    def __init__(self, way, fronts, caches, interval, rate, seed):
        super().__init__(
            fronts,
            caches,
            (DutySettings("probe", DutyMode.AT_LEAST_ONCE, interval),),
            MembershipTimeouts(),
            LeaseSettings(),
            seed,
        )
        self.way, self.rate = way, rate
        self.silent, self.seen, self.met, self.gets = (20 * SECOND, 40 * SECOND), {}, 0, 0
        self.fronts = [
            Front(
                seed=seed + index,
                services=(SERVICE,),
                footprint=Topology(0, (0,), (), fronts, fronts, 2, 3, 0.0, False),
                allowance=Permissions(6, False, True, True, False, SECOND, True, False, "none", False),
                cache_warmup=SlowStart(1.0, 1, 2.0, SECOND),
                parent_warmup=SlowStart(1.0, 1, 2.0, SECOND),
                grace=GracePeriods(8000, SECOND, 0, 0, 0),
            )
            for index in range(fronts)
        ]
        self.asked, self.wakes, self.out = [set() for _ in range(fronts)], [None] * fronts, {}

    def open(self, preset=True):
        if self.way == SHARED:
            super().open(True)
        else:
            for node in self.nodes:
                node.start(())
                if self.way == EACH:
                    node.begin()
        members = tuple(Endpoint(EndpointState.READY, target, 0, 0, 0, 0, 6.0) for target in self.targets)
        for index in range(len(self.nodes)):
            self.tell(index, EndpointListUpdated(UpdateKind.FULL, 1, members))
            self.at(self.random.randrange(SECOND), self.get, index)

    def is_silent(self, cache):
        return cache == 1 and self.silent[0] <= self.now < self.silent[1]

    def tell(self, index, *notes):
        self.carry(index, self.fronts[index].handle(self.now, notes))

    def carry(self, index, orders):
        for order in orders:
            if isinstance(order, ForwardRequest):
                self.out[index, order.request] = order
                self.met += self.is_silent(order.endpoint)
                if self.is_silent(order.endpoint):
                    self.at(
                        self.now + VIEWER_TIMEOUT,
                        self.ended,
                        index,
                        order,
                        AttemptOutcome.TIMED_OUT,
                        VIEWER_TIMEOUT,
                    )
                else:
                    self.at(self.now + WORK, self.ended, index, order, AttemptOutcome.SUCCEEDED, WORK)
            elif isinstance(order, CancelAttempt):
                if forward := self.out.get((index, order.request)):
                    self.ended(index, forward, AttemptOutcome.CANCELLED, SECOND)
            elif isinstance(order, SendProbe):
                self.probe(index, order)
            elif isinstance(order, ScheduleWakeup) and (
                self.wakes[index] is None
                or self.wakes[index] <= self.now
                or self.now + order.delay < self.wakes[index]
            ):
                self.wakes[index] = self.now + order.delay
                self.at(self.wakes[index], self.wake, index, self.wakes[index])

    def wake(self, index, due):
        if self.wakes[index] == due:
            self.wakes[index] = None
            self.tell(index, TimerFired(0))

    def get(self, index):
        self.gets += 1
        self.tell(
            index,
            RequestArrived(
                self.gets, 0, 0, 1 + self.random.randrange(10_000), VIEWER_TIMEOUT, 0.0, 0, 0, False, False
            ),
        )
        self.at(self.now + int(self.random.expovariate(self.rate) * SECOND) + 1, self.get, index)

    def ended(self, index, order, verdict, took):
        if self.out.pop((index, order.request), None) is order:
            done = verdict == AttemptOutcome.SUCCEEDED
            self.tell(
                index,
                AttemptEnded(order.request, 0, verdict, order.endpoint, took, 0, done, CacheStatus.NONE, {}),
            )

    # Probes: of rounds, of the module's asking

    def probe(self, index, order):
        node = self.nodes[index]
        if self.way == SHARED:
            node.instance.timers.now = node.clock()
            if shared := node.instance.find_answer(order.endpoint, order.max_age):
                return self.at(self.now + 1, self.tell, index, self.report_of(shared))
        self.asked[index].add(order.endpoint)
        self.sent(index, order.endpoint)

    def sent(self, index, cache):
        self.seen.setdefault(cache, []).append(self.now)
        silent = self.is_silent(cache)
        verdict, took = (AttemptOutcome.TIMED_OUT, PROBE) if silent else (AttemptOutcome.SUCCEEDED, 800)
        self.at(self.now + took, self.probed, index, cache, verdict, took)

    def probed(self, index, cache, verdict, took):
        self.asked[index].discard(cache)
        self.tell(index, ProbeEnded(cache, verdict, took, {}))
        if self.way != ALONE:
            self.nodes[index].handle([TargetServed(0, cache, int(verdict), took, {})])

    def serve(self, node, order):
        self.sent(node.index, order.target)

    def handle_result_shared(self, node, result):
        if result.target not in self.asked[node.index]:
            self.tell(node.index, self.report_of(result))

    def report_of(self, result):
        return ProbeEnded(
            result.target, AttemptOutcome(result.outcome), result.duration, {}, max(1, result.age)
        )


def saved(way, fronts, caches=20, interval=2 * SECOND, rate=20.0, seed=1):
    """Play 60 s of one way; give what was Saved."""
    world = Fronts(way, fronts, caches, interval, rate, seed)
    world.open()
    world.run(60 * SECOND)
    begin, end = world.silent
    healthy = sum(len(seen) for cache, seen in world.seen.items() if cache != 1) / (caches - 1) / 60
    silent = sum(begin <= at < end for at in world.seen.get(1, ())) / ((end - begin) / SECOND)
    return Saved(way, fronts, round(healthy, 3), round(silent, 3), world.met, world.gets)
