"""Simulates many `DecisionEngine`s that use one cold server, and measures their combined load by window.

Every front is offered more requests than it may send, so that only its share of the budget limits it. A draw
is determined by a seed: the seeds of the fronts, the times of their requests within a step, the order of
simultaneous requests, and the times at which the fronts learn of the server's start.
`python -m tests.cold_ramp DRAWS` prints the table of docs/design.md.
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
STEPS = 8  # times in a window at which a front is offered requests
VIDEO, MATERIAL = 400_000, 70_000  # mean sending times of two classes, microseconds


class Ramp(NamedTuple):
    """One case of the simulation.

    `sending_times` are the mean sending times of the services in microseconds, and `class_shares` their
    shares of the requests. `active_spans` are the spans, as shares of the slow start, in which requests
    arrive; if empty, a burst of one and a half windows begins at a drawn time. The fronts learn of the
    server's start within `max_notice_delay` microseconds. `restart` is the share of the slow start after
    which the server restarts (0: never). `busy_share` is the share of the fronts with full demand; the others
    are offered one in 20 of their requests. With `every_class`, requests of each service are always queued,
    instead of a mixture.
    """

    fronts: int
    sending_times: tuple[int, ...] = (VIDEO,)
    class_shares: tuple[float, ...] = (1.0,)
    slow_start: SlowStart = SlowStart(0.18, 12 * SECOND, 2.5, 3 * SECOND // 2)
    concurrency: float = 20.0
    active_spans: tuple[tuple[float, float], ...] = ((0.0, 1.0),)
    max_notice_delay: int = 0
    restart: float = 0.0
    parent: bool = False
    busy_share: float = 1.0
    every_class: bool = False

    @property
    def mean(self):
        """The mean sending time of a request in microseconds."""
        return sum(share * work for share, work in zip(self.class_shares, self.sending_times, strict=True))

    def budget(self, age):
        """Return N: the requests of mean sending time in a window that begins `age` after the start."""
        slow_start = self.slow_start
        capacity = self.concurrency * (
            slow_start.initial_share
            + (1 - slow_start.initial_share) * min(1, max(0, age) / slow_start.duration)
        )
        return slow_start.overload_factor * capacity * slow_start.overload_window / self.mean


class SentRequest(NamedTuple):
    at: int
    front: int
    sending_time: int


def create_engine(ramp, seed):
    return DecisionEngine(
        seed=seed,
        services=tuple(make_service(latency_objective=work) for work in ramp.sending_times),
        footprint=Topology(
            zone=0,
            hub_of=(0, 0),
            link_kb_s=(ramp.concurrency * 1000.0, 0.0),
            fronts_in_zone=ramp.fronts,
            fronts=ramp.fronts,
            parent_kind=PARENT,
            origin_kind=ORIGIN,
            transfer_kb_s=1000.0,
            weighted=True,
        ),
        allowance=Permissions(6, False, True, True, False, SECOND, False, False, "none", False),
        cache_warmup=ramp.slow_start,
        parent_warmup=ramp.slow_start,
        grace=GracePeriods(8000, SECOND, 300_000, 6 * SECOND, 10 * SECOND),
    )


class SaturatedFront:
    """A front that is offered more requests than it may send, and its requests to the cold server."""

    def __init__(self, ramp, number, seed):
        self.ramp, self.number, self.front = ramp, number, create_engine(ramp, seed)
        self.front.sending_times.mean = ramp.mean  # as measured before the server starts
        self.request_count, self.sent = 0, []

    def announce(self, now, started):
        source = make_endpoint(WARM_PARENT, PARENT, weight=100 * self.ramp.concurrency)
        members = [make_endpoint(COLD, started_at=started, weight=self.ramp.concurrency), source]
        if self.ramp.parent:
            members = [
                make_endpoint(WARM, weight=self.ramp.concurrency),
                make_endpoint(COLD_PARENT, PARENT, started_at=started, weight=self.ramp.concurrency),
            ]
        self.front.handle(now, (EndpointListUpdated(UpdateKind.FULL, 1, tuple(members)),))

    def offer_requests(self, now, random, limit):
        """Offer at most `limit` requests, of services drawn by their shares, until one is rejected."""
        classes = range(len(self.ramp.sending_times))
        if self.ramp.every_class:
            for ds in random.sample(classes, len(classes)):
                while self.request(now, ds, random.randrange(1, 1 << 40)):
                    pass
            return
        for _ in range(limit):
            ds = random.choices(classes, self.ramp.class_shares)[0]
            if not self.request(now, ds, random.randrange(1, 1 << 40)):
                return

    def request(self, now, ds, obj):
        self.request_count += 1
        commands = self.front.handle(
            now, (RequestArrived(self.request_count, ds, 0, obj, SECOND, 0.0, 0, 0, False, False),)
        )
        number = 0
        while forward := next((o for o in commands if isinstance(o, ForwardRequest)), None):
            is_miss = self.ramp.parent and forward.source == forward.endpoint
            outcome = AttemptOutcome.MISS if is_miss else AttemptOutcome.SUCCEEDED
            if COLD in (forward.endpoint, forward.source) or forward.source == COLD_PARENT:
                self.sent.append(SentRequest(now, self.number, self.ramp.sending_times[ds]))
            event = AttemptEnded(
                forward.request,
                number,
                outcome,
                forward.endpoint,
                self.ramp.sending_times[ds],
                0,
                not is_miss,
                CacheStatus.NONE,
                {},
            )
            number += 1
            commands = self.front.handle(now, (event,))
            if not is_miss:
                return True
        return False


def simulate(ramp, seed):
    """Return the server's start times, and all requests that the fronts send to it in one draw, by time."""
    random, started_at = Random(seed), 1000 * SECOND
    window, span = ramp.slow_start.overload_window, ramp.slow_start.duration
    starts = [started_at] + [started_at + int(span * ramp.restart)] * (ramp.restart > 0)
    spans = ramp.active_spans or ((at := random.uniform(0, 0.8), at + 1.5 * window / span),)
    fronts = []
    for number in range(ramp.fronts):
        front = SaturatedFront(ramp, number, random.getrandbits(64))
        offset, limit = random.randrange(window // STEPS), 400
        step = window // STEPS * (1 if number < ramp.fronts * ramp.busy_share else 20)
        notices = [start + random.randrange(ramp.max_notice_delay + 1) for start in starts]
        for start, at in zip(starts, notices, strict=True):
            end = starts[1] if len(starts) > 1 and start == starts[0] else started_at + span
            front.announce(at, start)
            for first, last in spans:
                now = max(at, started_at + int(span * first)) // step * step + offset
                while now < min(end + (at - start), started_at + int(span * last)):
                    if now >= at:
                        front.offer_requests(now, random, limit)
                    now += step
        fronts.append(front)
    return starts, sorted(sent for front in fronts for sent in front.sent)


def peak_load(ramp, starts, sent):
    """Return the largest load of a window, relative to N + 2 x root of N + 2 and relative to N."""
    limit_ratio = budget_ratio = 0.0
    for start, end in zip(starts, [*starts[1:], 1 << 62], strict=True):
        of_this_start = [request for request in sent if start <= request.at < end]
        times, sums = (
            [request.at for request in of_this_start],
            [0, *accumulate(request.sending_time for request in of_this_start)],
        )
        for last, at in enumerate(times):
            first = bisect_right(times, at - ramp.slow_start.overload_window)
            received = (sums[last + 1] - sums[first]) / ramp.mean
            allowed = ramp.budget(at - ramp.slow_start.overload_window - start)
            limit_ratio = max(limit_ratio, received / (allowed + 2 * sqrt(allowed) + 2))
            budget_ratio = max(budget_ratio, received / allowed)
    return limit_ratio, budget_ratio


def peak_budget_use(ramp, draws, seed=1, ages=12, places=2000):
    """Return, for each draw, the largest sum of the fronts' shares relative to N + 2 x root of N + 2.

    All shares count as spent, so no demand can exceed this. The places of the fronts are random.
    """
    front, random, worst = create_engine(ramp, 1), Random(seed), [0.0] * draws
    front.sending_times.mean = ramp.mean
    shares_by_age, limits, slow_start = [], [], ramp.slow_start
    for age in (slow_start.duration * number / ages for number in range(ages)):
        allowed = ramp.budget(age)
        total = BUDGET_MARGIN * allowed * ramp.mean
        shares = [
            front.budgets.share_of_budget(total, ramp.fronts, (at + 0.5) / places * ramp.fronts)
            for at in range(places)
        ]
        # A share below the shortest sending time forwards nothing.
        shares_by_age.append([share if share >= min(ramp.sending_times) else 0 for share in shares])
        limits.append((allowed + 2 * sqrt(allowed) + 2) * ramp.mean)
    for draw in range(draws):
        drawn_places = [int(random.random() * places) for _ in range(ramp.fronts)]
        sums = (sum(map(share.__getitem__, drawn_places)) for share in shares_by_age)
        worst[draw] = max(sum_ / limit for sum_, limit in zip(sums, limits, strict=True))
    return worst


TWO_CLASSES = {"sending_times": (VIDEO, MATERIAL), "class_shares": (0.58, 0.42)}
CASES = {
    "all ask always": {},
    "a burst out of silence": {"active_spans": ()},
    "burst, two classes": {"active_spans": (), **TWO_CLASSES},
    "burst, each class waits": {"active_spans": (), "every_class": True, **TWO_CLASSES},
    "each class waits": {"every_class": True, **TWO_CLASSES},
    "burst, small cache": {"active_spans": (), "concurrency": 5.0, **TWO_CLASSES},
    "told within 3 s": {"max_notice_delay": 3 * SECOND, **TWO_CLASSES},
    "starts anew": {"restart": 0.4, **TWO_CLASSES},
    "parent, fills": {"parent": True},
    "one in five busy": {"busy_share": 0.2, **TWO_CLASSES},
}


def table(draws, sizes=(2, 20, 30, 200), cases=CASES):
    for name, case in cases.items():
        for fronts in sizes:
            ramp = Ramp(fronts, **case)
            results = [
                (*peak_load(ramp, *(drawn := simulate(ramp, seed))), len(drawn[1])) for seed in range(draws)
            ]
            overloads = sum(result[0] > 1 for result in results)
            mean = sum(result[1] for result in results) / draws
            worst_ratio = max(result[0] for result in results)
            requests = sum(result[2] for result in results) / draws
            yield f"{name:24} {fronts:4} {overloads:5}/{draws} {worst_ratio:6.2f} {mean:6.2f} {requests:9.1f}"


if __name__ == "__main__":
    chosen = {name: CASES[name] for name in sys.argv[2:]} or CASES
    for line in table(int(sys.argv[1]), cases=chosen):
        print(line, flush=True)
