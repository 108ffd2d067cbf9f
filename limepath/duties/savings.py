"""Measures how many probes sharing saves the caches, with many fronts and the real decision module.

Runs in virtual time, in which one cache does not answer for a while. There are three modes: the decision
module alone (probes on suspicion only), each front on its own (every front probes every cache in each
interval), and shared. Counted are the probes that caches receive, and the requests that are forwarded to the
silent cache.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import Any, NamedTuple

from limepath.configuration.sharing_settings import DutyMode, DutySettings, LeaseSettings, MembershipTimeouts
from limepath.decisions.engine import DecisionEngine
from limepath.duties.interface import ProbeResult, ServeTarget, TargetServed
from limepath.duties.node import Node
from limepath.duties.probe_sharing import report_of
from limepath.duties.world import SERVE_DURATION, World
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


class ProbeMode(StrEnum):
    """How fronts detect that a cache is silent. The values are written to the measurements."""

    ALONE = "on suspicion alone"
    EACH = "each for itself"
    SHARED = "shared"


# All in microseconds.
DEADLINE = 2 * SECOND
PROBE_TIMEOUT = 250_000
ATTEMPT_DURATION = 40_000
KEYS = 10_000
"""The number of different keys that are requested."""
SILENT_CACHE = 1
SILENCE_BEGIN = 20 * SECOND
SILENCE_END = 40 * SECOND
RUN_LENGTH = 60 * SECOND
SERVICE = DeliveryService(
    latency_objective=600_000,
    objective_stretch=1.6,
    deadline=DEADLINE,
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


class Savings(NamedTuple):
    """The measurements of one mode."""

    mode: ProbeMode
    fronts: int
    probes: float  # received by a healthy cache per second
    probes_silent: float  # received by the silent cache per second of its silence
    forwarded_to_silent: int  # requests forwarded to the silent cache during its silence
    requests: int  # at all fronts


def make_front(index: int, fronts: int, seed: int) -> DecisionEngine:
    """Return the decision module of one front."""
    return DecisionEngine(
        seed=seed + index,
        services=(SERVICE,),
        footprint=Topology(0, (0,), (), fronts, fronts, 2, 3, 0.0, False),
        allowance=Permissions(6, False, True, True, False, SECOND, True, False, "none", False),
        cache_warmup=SlowStart(1.0, 1, 2.0, SECOND),
        parent_warmup=SlowStart(1.0, 1, 2.0, SECOND),
        grace=GracePeriods(8000, SECOND, 0, 0, 0),
    )


class FrontWorld(World):
    """A simulation in which each node has a front.

    `interval` is the interval of the probes in microseconds, `rate` the requests per second at each front.
    """

    def __init__(self, mode: ProbeMode, fronts: int, caches: int, interval: int, rate: float, seed: int):
        duty = DutySettings("probe", DutyMode.AT_LEAST_ONCE, interval)
        super().__init__(fronts, caches, (duty,), MembershipTimeouts(), LeaseSettings(), seed)
        self.mode = mode
        self.rate = rate
        self.fronts = [make_front(index, fronts, seed) for index in range(fronts)]
        self.wakeups: list[int | None] = [None] * fronts
        """The time of each front's next wakeup, or None."""
        self.pending_probes: list[set[int]] = [set() for _ in range(fronts)]
        """By front, the caches with a pending probe that the decision module requested."""
        self.attempts: dict[tuple[int, int], ForwardRequest] = {}
        """The pending attempts by front and request."""
        self.probes_seen: dict[int, list[int]] = {}
        """By cache, the times at which it received probes."""
        self.forwarded_to_silent = 0
        self.requests = 0

    def start(self, members_known: bool = True) -> None:
        """Start all fronts and the arrival of their requests."""
        if self.mode == ProbeMode.SHARED:
            super().start(True)
        else:
            for node in self.nodes:
                node.start(())
                if self.mode == ProbeMode.EACH:
                    node.begin()
        endpoints = tuple(Endpoint(EndpointState.READY, target, 0, 0, 0, 0, 6.0) for target in self.targets)
        for index in range(len(self.nodes)):
            self._submit(index, EndpointListUpdated(UpdateKind.FULL, 1, endpoints))
            self.at(self.random.randrange(SECOND), self._request, index)

    def is_silent(self, cache: int) -> bool:
        """Return whether a cache does not answer now."""
        return cache == SILENT_CACHE and SILENCE_BEGIN <= self.now < SILENCE_END

    # The fronts' decision modules

    def _submit(self, index: int, *events: Any) -> None:
        self._carry_out(index, self.fronts[index].handle(self.now, events))

    def _carry_out(self, index: int, commands: Iterable[Any]) -> None:
        for command in commands:
            if isinstance(command, ForwardRequest):
                self._forward(index, command)
            elif isinstance(command, CancelAttempt):
                if attempt := self.attempts.get((index, command.request)):
                    self._end_attempt(index, attempt, AttemptOutcome.CANCELLED, SECOND)
            elif isinstance(command, SendProbe):
                self._send_probe(index, command)
            elif isinstance(command, ScheduleWakeup):
                self._schedule_wakeup(index, self.now + command.delay)

    def _schedule_wakeup(self, index: int, due: int) -> None:
        scheduled = self.wakeups[index]
        if scheduled is None or scheduled <= self.now or due < scheduled:
            self.wakeups[index] = due
            self.at(due, self._wake_up, index, due)

    def _wake_up(self, index: int, due: int) -> None:
        if self.wakeups[index] == due:
            self.wakeups[index] = None
            self._submit(index, TimerFired(0))

    # Requests

    def _request(self, index: int) -> None:
        self.requests += 1
        key = 1 + self.random.randrange(KEYS)
        self._submit(index, RequestArrived(self.requests, 0, 0, key, DEADLINE, 0.0, 0, 0, False, False))
        delay = int(self.random.expovariate(self.rate) * SECOND) + 1
        self.at(self.now + delay, self._request, index)

    def _forward(self, index: int, attempt: ForwardRequest) -> None:
        self.attempts[index, attempt.request] = attempt
        outcome, duration = AttemptOutcome.SUCCEEDED, ATTEMPT_DURATION
        if self.is_silent(attempt.endpoint):
            self.forwarded_to_silent += 1
            outcome, duration = AttemptOutcome.TIMED_OUT, DEADLINE
        self.at(self.now + duration, self._end_attempt, index, attempt, outcome, duration)

    def _end_attempt(
        self, index: int, attempt: ForwardRequest, outcome: AttemptOutcome, duration: int
    ) -> None:
        if self.attempts.pop((index, attempt.request), None) is not attempt:
            return
        is_complete = outcome == AttemptOutcome.SUCCEEDED
        self._submit(
            index,
            AttemptEnded(
                attempt.request,
                0,
                outcome,
                attempt.endpoint,
                duration,
                0,
                is_complete,
                CacheStatus.NONE,
                {},
            ),
        )

    # Probes of scheduled rounds, and probes that the decision module requests

    def _send_probe(self, index: int, command: SendProbe) -> None:
        node = self.nodes[index]
        if self.mode == ProbeMode.SHARED:
            node.instance.timers.now = node.clock()
            if shared := node.instance.find_recent_result(command.endpoint, command.max_age):
                self.at(self.now + 1, self._submit, index, report_of(shared._replace(load={})))
                return
        self.pending_probes[index].add(command.endpoint)
        self._probe(index, command.endpoint)

    def _probe(self, index: int, cache: int) -> None:
        self.probes_seen.setdefault(cache, []).append(self.now)
        outcome, duration = AttemptOutcome.SUCCEEDED, SERVE_DURATION
        if self.is_silent(cache):
            outcome, duration = AttemptOutcome.TIMED_OUT, PROBE_TIMEOUT
        self.at(self.now + duration, self._end_probe, index, cache, outcome, duration)

    def _end_probe(self, index: int, cache: int, outcome: AttemptOutcome, duration: int) -> None:
        self.pending_probes[index].discard(cache)
        self._submit(index, ProbeEnded(cache, outcome, duration, {}))
        if self.mode != ProbeMode.ALONE:
            self.nodes[index].handle([TargetServed(0, cache, int(outcome), duration, {})])

    def serve(self, node: Node, command: ServeTarget) -> None:
        """Probe a cache that is due, from the node's front."""
        self._probe(node.index, command.target)

    def handle_result_shared(self, node: Node, result: ProbeResult) -> None:
        """Report another instance's result to the node's front, unless a requested probe is pending."""
        if result.target not in self.pending_probes[node.index]:
            self._submit(node.index, report_of(result._replace(load={})))


def measure_savings(
    mode: ProbeMode,
    fronts: int,
    caches: int = 20,
    interval: int = 2 * SECOND,
    rate: float = 20.0,
    seed: int = 1,
) -> Savings:
    """Run one mode for RUN_LENGTH; return its measurements."""
    world = FrontWorld(mode, fronts, caches, interval, rate, seed)
    world.start()
    world.run(RUN_LENGTH)
    healthy = sum(len(seen) for cache, seen in world.probes_seen.items() if cache != SILENT_CACHE)
    silent = sum(SILENCE_BEGIN <= at < SILENCE_END for at in world.probes_seen.get(SILENT_CACHE, ()))
    return Savings(
        mode,
        fronts,
        round(healthy / (caches - 1) / (RUN_LENGTH // SECOND), 3),
        round(silent / ((SILENCE_END - SILENCE_BEGIN) / SECOND), 3),
        world.forwarded_to_silent,
        world.requests,
    )
