"""Measures the decision module alone: processor time per request, by caches and parents seen by a front.

The real `DecisionEngine` receives request arrivals and attempt results; nothing else runs. 30% of the
requests miss at their cache and are filled from a parent.
"""

from random import Random

from limepath.configuration.decision_settings import decision_arguments
from limepath.decisions.engine import DecisionEngine
from limepath.interface.commands import ForwardRequest
from limepath.interface.events import (
    AttemptEnded,
    AttemptOutcome,
    CacheStatus,
    Endpoint,
    EndpointListUpdated,
    EndpointState,
    RequestArrived,
    UpdateKind,
)
from limepath.scale.measured import RoleResult, Series
from limepath.scale.roles import minimum_cpu_us, settings

CACHES = (6, 20, 70, 200, 500, 1400)
PARENTS = (2, 5, 10, 20, 47)
FIXED_PARENTS, FIXED_CACHES = 2, 6  # while the other number varies
OBJECT_COUNT, MISS_RATIO = 10_000, 0.3
MEMBER_COST_US = 1.5  # microseconds per request and endpoint; only limits the number of requests
RUN_BUDGET_US = 300_000  # approximate processor time of one run, in microseconds
MAX_REQUESTS, MIN_REQUESTS, REPEATS = 3000, 200, 5
CACHE_KIND, PARENT_KIND, ORIGIN_KIND = 0, 1, 2
DEADLINE_US = 5_000_000


def endpoint(endpoint_id, kind):
    zone = 0 if kind == CACHE_KIND else 1
    weight = 6.0 if kind == CACHE_KIND else 30.0
    return Endpoint(EndpointState.READY, endpoint_id, 0, 0, zone, kind, weight)


def engine_with_endpoints(caches, parents):
    """Return an engine whose endpoint list holds this many caches and parents, and one origin."""
    engine = DecisionEngine(seed=1, **decision_arguments(settings()))
    members = [endpoint(1 + index, CACHE_KIND) for index in range(caches)]
    members += [endpoint(100_000 + index, PARENT_KIND) for index in range(parents)]
    members.append(endpoint(200_000, ORIGIN_KIND))
    engine.handle(1_000_000, (EndpointListUpdated(UpdateKind.FULL, 1, tuple(members)),))
    return engine


class RequestDriver:
    """Sends requests to an engine one after another and reports the outcome of every attempt."""

    def __init__(self, engine, seed):
        self.engine, self.random, self.now, self.served = engine, Random(seed), 2_000_000, 0

    def handle_event(self, event):
        self.now += 500
        commands = self.engine.handle(self.now, (event,))
        return [command for command in commands if isinstance(command, ForwardRequest)]

    def request(self, request_id):
        cache_misses = self.random.random() < MISS_RATIO
        object_id = 1 + self.random.randrange(OBJECT_COUNT)
        forwards = self.handle_event(
            RequestArrived(request_id, 0, 0, object_id, DEADLINE_US, 0.0, 0, 0, False, False)
        )
        number = 0
        while forwards:
            forward = forwards[0]
            is_miss = cache_misses and forward.source == forward.endpoint
            outcome = AttemptOutcome.MISS if is_miss else AttemptOutcome.SUCCEEDED
            ended = AttemptEnded(
                request_id, number, outcome, forward.endpoint, 40_000, 0, not is_miss, CacheStatus.NONE, {}
            )
            self.served += not is_miss
            forwards, number = self.handle_event(ended), number + 1


class Trial:
    """The measurement of one size: a number of requests to one engine, repeated."""

    def __init__(self, caches, parents):
        count = int(RUN_BUDGET_US / (40 + MEMBER_COST_US * (caches + parents)))
        self.count = max(MIN_REQUESTS, min(MAX_REQUESTS, count))
        self.driver, self.requested = RequestDriver(engine_with_endpoints(caches, parents), 7), 0

    def run(self):
        for _ in range(self.count):
            self.requested += 1
            self.driver.request(self.requested)

    def cost(self, cpu_us):
        """Return microseconds of processor time per request, given those of one run."""
        if self.driver.served < self.requested * 0.99:
            raise ValueError(f"{self.driver.served} of {self.requested} requests served")
        return round(cpu_us / self.count, 1)


def costs(sizes):
    """Return the cost of each (caches, parents), in microseconds of processor time per request."""
    trials = [Trial(caches, parents) for caches, parents in sizes]
    for trial in trials:
        trial.run()
    cpu_us = minimum_cpu_us([trial.run for trial in trials], REPEATS)
    return [trial.cost(least) for trial, least in zip(trials, cpu_us, strict=True)]


def measure():
    """Return the RoleResult of the decision module."""
    caches = tuple(zip(CACHES, costs([(size, FIXED_PARENTS) for size in CACHES]), strict=True))
    parents = tuple(zip(PARENTS, costs([(FIXED_CACHES, size) for size in PARENTS]), strict=True))
    return RoleResult(
        (
            Series(
                "caches",
                "a decision",
                "us of CPU a request",
                "caches seen by one front",
                caches,
                "real logic",
            ),
            Series(
                "parents",
                "a decision",
                "us of CPU a request",
                "parents seen by one front",
                parents,
                "real logic",
            ),
        ),
        notes=(
            f"{FIXED_PARENTS} parents beside the caches, {FIXED_CACHES} caches beside the parents; "
            f"{MISS_RATIO:.0%} of the requests miss; least of {REPEATS} runs",
        ),
    )
