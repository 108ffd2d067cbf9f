"""Many real `DecisionEngine`s before one cold member, in virtual time: what they send it together, by window.

Every front is offered more than it may send, so that its part of the budget is all that holds it back. A
draw is a seed; it draws what differs between the fronts of a fleet: their seeds, the moment of their
requests within a step, the order of the requests of one moment, the moment in which a front is told of the
start. `python -m tests.cold_ramp DRAWS` prints the table of docs/design.md.
"""

import sys
from bisect import bisect_right
from itertools import accumulate
from math import sqrt
from random import Random
from typing import NamedTuple

from limepath.decisions.engine import DecisionEngine
from limepath.decisions.slow_start import BUDGET_MARGIN
from limepath.interface.commands import ForwardRequest
from limepath.interface.events import (
    AttemptEnded,
    AttemptOutcome,
    CacheStatus,
    EndpointListUpdated,
    RequestArrived,
    UpdateKind,
)
from limepath.interface.settings import GracePeriods, Permissions, SlowStart, Topology
from tests.fake_host import ORIGIN, PARENT, SECOND, make_endpoint, make_service

COLD, WARM, COLD_PARENT, WARM_PARENT = 1, 2, 11, 12
STEPS = 8  # moments in a window in which a front is offered requests
VIDEO, MATERIAL = 400_000, 70_000  # mean sending times of two classes, microseconds


class Ramp(NamedTuple):
    """One case: `works` are the classes' mean sending times and `shares` their parts of the requests.

    `moments` are the spans of the ramp in which requests come, as shares of it. Without `moments` a burst of
    one and a half windows begins in a drawn moment. `told` is the span within which the fronts hear of
    the start, and `restart` the share of the ramp after which the member starts anew (0: never). `busy` is
    the share of the fronts that have most of the requests, the others are offered one in 20 of theirs.
    With `every` requests of each class wait always, in place of a mixture of them.
    """

    fronts: int
    works: tuple[int, ...] = (VIDEO,)
    shares: tuple[float, ...] = (1.0,)
    warmup: SlowStart = SlowStart(0.18, 12 * SECOND, 2.5, 3 * SECOND // 2)
    lanes: float = 20.0
    moments: tuple[tuple[float, float], ...] = ((0.0, 1.0),)
    told: int = 0
    restart: float = 0.0
    parent: bool = False
    busy: float = 1.0
    every: bool = False

    @property
    def mean(self):
        """Mean work of a request, microseconds."""
        return sum(share * work for share, work in zip(self.shares, self.works, strict=True))

    def allowed(self, age):
        """N: requests of mean work in a window that begins `age` after the start, by the settings."""
        warmup = self.warmup
        able = self.lanes * (
            warmup.initial_share + (1 - warmup.initial_share) * min(1, max(0, age) / warmup.duration)
        )
        return warmup.overload_factor * able * warmup.overload_window / self.mean


class Sent(NamedTuple):
    at: int
    front: int
    work: int


def front_of(ramp, seed):
    return DecisionEngine(
        seed=seed,
        services=tuple(make_service(latency_objective=work) for work in ramp.works),
        footprint=Topology(
            zone=0,
            hub_of=(0, 0),
            link_kb_s=(ramp.lanes * 1000.0, 0.0),
            fronts_in_zone=ramp.fronts,
            fronts=ramp.fronts,
            parent_kind=PARENT,
            origin_kind=ORIGIN,
            transfer_kb_s=1000.0,
            weighted=True,
        ),
        allowance=Permissions(6, False, True, True, False, SECOND, False, False, "none", False),
        cache_warmup=ramp.warmup,
        parent_warmup=ramp.warmup,
        grace=GracePeriods(8000, SECOND, 300_000, 6 * SECOND, 10 * SECOND),
    )


class OfferedFront:
    """A front with requests waiting, and what it sends to the cold member."""

    def __init__(self, ramp, number, seed):
        self.ramp, self.number, self.front = ramp, number, front_of(ramp, seed)
        self.front.sending_times.mean = ramp.mean  # learnt before the member starts
        self.ids, self.sent = 0, []

    def told(self, now, started):
        source = make_endpoint(WARM_PARENT, PARENT, weight=100 * self.ramp.lanes)
        members = [make_endpoint(COLD, started_at=started, weight=self.ramp.lanes), source]
        if self.ramp.parent:
            members = [
                make_endpoint(WARM, weight=self.ramp.lanes),
                make_endpoint(COLD_PARENT, PARENT, started_at=started, weight=self.ramp.lanes),
            ]
        self.front.handle(now, (EndpointListUpdated(UpdateKind.FULL, 1, tuple(members)),))

    def offered(self, now, chance, most):
        """Offer requests of all classes, drawn by their shares, until one is turned away, `most` at most."""
        classes = range(len(self.ramp.works))
        if self.ramp.every:
            for ds in chance.sample(classes, len(classes)):
                while self.request(now, ds, chance.randrange(1, 1 << 40)):
                    pass
            return
        for _ in range(most):
            ds = chance.choices(classes, self.ramp.shares)[0]
            if not self.request(now, ds, chance.randrange(1, 1 << 40)):
                return

    def request(self, now, ds, obj):
        self.ids += 1
        orders = self.front.handle(
            now, (RequestArrived(self.ids, ds, 0, obj, SECOND, 0.0, 0, 0, False, False),)
        )
        number = 0
        while forward := next((o for o in orders if isinstance(o, ForwardRequest)), None):
            missed = self.ramp.parent and forward.source == forward.endpoint
            verdict = AttemptOutcome.MISS if missed else AttemptOutcome.SUCCEEDED
            if COLD in (forward.endpoint, forward.source) or forward.source == COLD_PARENT:
                self.sent.append(Sent(now, self.number, self.ramp.works[ds]))
            outcome = AttemptEnded(
                forward.request,
                number,
                verdict,
                forward.endpoint,
                self.ramp.works[ds],
                0,
                not missed,
                CacheStatus.NONE,
                {},
            )
            number += 1
            orders = self.front.handle(now, (outcome,))
            if not missed:
                return True
        return False


def sent_in(ramp, seed):
    """All that the fronts send to the cold member in one draw, by time, with the times of its starts."""
    chance, began = Random(seed), 1000 * SECOND
    window, span = ramp.warmup.overload_window, ramp.warmup.duration
    starts = [began] + [began + int(span * ramp.restart)] * (ramp.restart > 0)
    moments = ramp.moments or ((at := chance.uniform(0, 0.8), at + 1.5 * window / span),)
    fronts = []
    for number in range(ramp.fronts):
        one = OfferedFront(ramp, number, chance.getrandbits(64))
        phase, most = chance.randrange(window // STEPS), 400
        step = window // STEPS * (1 if number < ramp.fronts * ramp.busy else 20)
        heard = [start + chance.randrange(ramp.told + 1) for start in starts]
        for start, at in zip(starts, heard, strict=True):
            end = starts[1] if len(starts) > 1 and start == starts[0] else began + span
            one.told(at, start)
            for first, last in moments:
                now = max(at, began + int(span * first)) // step * step + phase
                while now < min(end + (at - start), began + int(span * last)):
                    if now >= at:
                        one.offered(now, chance, most)
                    now += step
        fronts.append(one)
    return starts, sorted(sent for one in fronts for sent in one.sent)


def worst(ramp, starts, sent):
    """The largest part of N + 2 x root of N + 2 that a window took, and the largest part of N."""
    of_limit = of_budget = 0.0
    for start, end in zip(starts, [*starts[1:], 1 << 62], strict=True):
        some = [one for one in sent if start <= one.at < end]
        times, sums = [one.at for one in some], [0, *accumulate(one.work for one in some)]
        for last, at in enumerate(times):
            first = bisect_right(times, at - ramp.warmup.overload_window)
            took = (sums[last + 1] - sums[first]) / ramp.mean
            allowed = ramp.allowed(at - ramp.warmup.overload_window - start)
            of_limit = max(of_limit, took / (allowed + 2 * sqrt(allowed) + 2))
            of_budget = max(of_budget, took / allowed)
    return of_limit, of_budget


def spent_at_most(ramp, draws, seed=1, ages=12, places=2000):
    """For each draw the largest part of N + 2 x root of N + 2 that the fronts' parts of the budget come to,
    with all of them spent, over the ramp: what no demand can go beyond. Fronts' places fall by chance.
    """
    front, chance, worst_of = front_of(ramp, 1), Random(seed), [0.0] * draws
    front.sending_times.mean = ramp.mean
    parts, limits, warmup = [], [], ramp.warmup
    for age in (warmup.duration * number / ages for number in range(ages)):
        allowed = ramp.allowed(age)
        whole = BUDGET_MARGIN * allowed * ramp.mean
        told = [
            front.budgets.share_of_budget(whole, ramp.fronts, (at + 0.5) / places * ramp.fronts)
            for at in range(places)
        ]
        parts.append([part if part >= min(ramp.works) else 0 for part in told])  # less takes no request
        limits.append((allowed + 2 * sqrt(allowed) + 2) * ramp.mean)
    for draw in range(draws):
        fronts = [int(chance.random() * places) for _ in range(ramp.fronts)]
        sums = (sum(map(part.__getitem__, fronts)) for part in parts)
        worst_of[draw] = max(sum_ / limit for sum_, limit in zip(sums, limits, strict=True))
    return worst_of


TWO = {"works": (VIDEO, MATERIAL), "shares": (0.58, 0.42)}
CASES = {
    "all ask always": {},
    "a burst out of silence": {"moments": ()},
    "burst, two classes": {"moments": (), **TWO},
    "burst, each class waits": {"moments": (), "every": True, **TWO},
    "each class waits": {"every": True, **TWO},
    "burst, small cache": {"moments": (), "lanes": 5.0, **TWO},
    "told within 3 s": {"told": 3 * SECOND, **TWO},
    "starts anew": {"restart": 0.4, **TWO},
    "parent, fills": {"parent": True},
    "one in five busy": {"busy": 0.2, **TWO},
}


def table(draws, sizes=(2, 20, 30, 200), cases=CASES):
    for name, case in cases.items():
        for fronts in sizes:
            ramp = Ramp(fronts, **case)
            parts = [(*worst(ramp, *(drawn := sent_in(ramp, seed))), len(drawn[1])) for seed in range(draws)]
            falls = sum(part[0] > 1 for part in parts)
            mean = sum(part[1] for part in parts) / draws
            worst_part = max(part[0] for part in parts)
            requests = sum(part[2] for part in parts) / draws
            yield f"{name:24} {fronts:4} {falls:5}/{draws} {worst_part:6.2f} {mean:6.2f} {requests:9.1f}"


if __name__ == "__main__":
    chosen = {name: CASES[name] for name in sys.argv[2:]} or CASES
    for line in table(int(sys.argv[1]), cases=chosen):
        print(line, flush=True)
