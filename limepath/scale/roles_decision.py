"""The decision module alone: processor time a request, by caches seen by one front and by parents seen.

The real `DecisionEngine` gets requests and the ends of its attempts; nothing else runs. Three of ten requests
miss at their cache and are filled from a parent.
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
from limepath.scale.measured import Found, Series
from limepath.scale.roles import least_cpu, settings

CACHES = (6, 20, 70, 200, 500, 1400)
PARENTS = (2, 5, 10, 20, 47)
FEW_PARENTS, FEW_CACHES = 2, 6  # beside the number that varies
OBJECTS, MISSES = 10_000, 0.3
COST = 1.5  # microseconds of a request by member, taken for the bound on the number of requests only
BOUND = 300_000  # microseconds of processor time that one run may take, about
MOST_REQUESTS, FEWEST_REQUESTS, REPEATS = 3000, 200, 5
CACHE_KIND, PARENT_KIND, ORIGIN_KIND = 0, 1, 2
PATIENCE = 5_000_000


def member(ident, kind):
    zone = 0 if kind == CACHE_KIND else 1
    weight = 6.0 if kind == CACHE_KIND else 30.0
    return Endpoint(EndpointState.READY, ident, 0, 0, zone, kind, weight)


def front_of(caches, parents):
    """An engine that has heard of so many members."""
    front = DecisionEngine(seed=1, **decision_arguments(settings()))
    members = [member(1 + index, CACHE_KIND) for index in range(caches)]
    members += [member(100_000 + index, PARENT_KIND) for index in range(parents)]
    members.append(member(200_000, ORIGIN_KIND))
    front.handle(1_000_000, (EndpointListUpdated(UpdateKind.FULL, 1, tuple(members)),))
    return front


class Load:
    """Requests one after another, each carried to its end."""

    def __init__(self, front, seed):
        self.front, self.chance, self.now, self.served = front, Random(seed), 2_000_000, 0

    def tell(self, note):
        self.now += 500
        orders = self.front.handle(self.now, (note,))
        return [order for order in orders if isinstance(order, ForwardRequest)]

    def request(self, ident):
        misses = self.chance.random() < MISSES
        obj = 1 + self.chance.randrange(OBJECTS)
        forwards = self.tell(RequestArrived(ident, 0, 0, obj, PATIENCE, 0.0, 0, 0, False, False))
        number = 0
        while forwards:
            forward = forwards[0]
            missed = misses and forward.source == forward.endpoint
            verdict = AttemptOutcome.MISS if missed else AttemptOutcome.SUCCEEDED
            ended = AttemptEnded(
                ident, number, verdict, forward.endpoint, 40_000, 0, not missed, CacheStatus.NONE, {}
            )
            self.served += not missed
            forwards, number = self.tell(ended), number + 1


class Trial:
    """One size: a front under load, the least processor time of its runs."""

    def __init__(self, caches, parents):
        count = int(BOUND / (40 + COST * (caches + parents)))
        self.count = max(FEWEST_REQUESTS, min(MOST_REQUESTS, count))
        self.load, self.asked = Load(front_of(caches, parents), 7), 0

    def run(self):
        for _ in range(self.count):
            self.asked += 1
            self.load.request(self.asked)

    def cost(self, spent):
        """Microseconds of processor time a request, from those of a run."""
        if self.load.served < self.asked * 0.99:
            raise ValueError(f"{self.load.served} of {self.asked} requests served")
        return round(spent / self.count, 1)


def costs(sizes):
    """The cost of each (caches, parents)."""
    trials = [Trial(caches, parents) for caches, parents in sizes]
    for trial in trials:
        trial.run()
    spent = least_cpu([trial.run for trial in trials], REPEATS)
    return [trial.cost(least) for trial, least in zip(trials, spent, strict=True)]


def measure():
    """Give the Found of the decision module."""
    caches = tuple(zip(CACHES, costs([(size, FEW_PARENTS) for size in CACHES]), strict=True))
    parents = tuple(zip(PARENTS, costs([(FEW_CACHES, size) for size in PARENTS]), strict=True))
    return Found(
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
            f"{FEW_PARENTS} parents beside the caches, {FEW_CACHES} caches beside the parents; "
            f"{MISSES:.0%} of the requests miss; least of {REPEATS} runs",
        ),
    )
