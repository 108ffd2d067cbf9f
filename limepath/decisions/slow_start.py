"""Slow start: what a server that has started may be sent while it warms up, and this front's share of that.

The settings tell the capacity of a server that has started, and what overloads it. All fronts together stay
within that budget without hearing of each other: `share_of_budget` tells what one may send. The method and
its measurements are in docs/design.md, "Cold members and the number of fronts".
"""

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from math import sqrt
from typing import TYPE_CHECKING, NamedTuple

from limepath.decisions.event_queue import EventQueue
from limepath.decisions.sending_times import SendingTimes
from limepath.hashing import MASK_64, mix64
from limepath.interface.settings import DeliveryService, SlowStart

if TYPE_CHECKING:
    from limepath.decisions.server import Server

BUDGET_MARGIN = 0.8  # share of the budget that is spent, in the mean
BUDGET_DEVIATIONS = 5  # standard deviations kept between what is spent and what overloads the server
COSTLIER_CLASS_SHARE = (
    0.75  # of a budget and of its variance that a costlier class may take before cheaper ones
)


class Charge(NamedTuple):
    """Work that this front has sent to a warming server."""

    at: int
    work: int
    """Expected sending time, in microseconds."""


class Warmup(NamedTuple):
    """A server that warms up: when it started, and what this front has sent it since, oldest first."""

    started_at: int
    charges: deque[Charge]


class SlowStartBudgets:
    """The budgets of all servers that warm up.

    Attributes:
        settings: by whether the server is a parent.
        warmups: by the server's id.
    """

    def __init__(
        self,
        queue: EventQueue,
        settings: Mapping[bool, SlowStart],
        services: Sequence[DeliveryService],
        sending_times: SendingTimes,
        direct: bool,
    ) -> None:
        self._queue = queue
        self._services = services
        self._sending_times = sending_times
        self._direct = direct
        self.settings = settings
        self.warmups: dict[int, Warmup] = {}

    def record_start(self, server_id: int, at: int) -> None:
        """A server started: its budget counts from now on, without what was sent before being forgotten."""
        before = self.warmups.get(server_id, Warmup(at, deque()))
        self.warmups[server_id] = before._replace(started_at=max(at, before.started_at))

    def drop(self, server_id: int) -> None:
        """The server is gone."""
        self.warmups.pop(server_id, None)

    def charge(self, server_ids: Iterable[int], service_index: int) -> None:
        """An attempt of this service goes to these servers."""
        for server_id in server_ids:
            if warmup := self.warmups.get(server_id):
                work = self._sending_times.by_service[service_index]
                warmup.charges.append(Charge(self._queue.now, work))

    def has_budget(self, server: "Server", service_index: int) -> bool:
        """Whether this front may send the server one more attempt of this service (rule 4)."""
        warmup = self.warmups.get(server.id)
        if warmup is None:
            return True
        settings = self.settings[server.is_upstream]
        age = self._queue.now - warmup.started_at
        if age > settings.duration:
            del self.warmups[server.id]
            return True
        risen = max(0, age - settings.overload_window) / settings.duration
        limit = server.limit
        capacity = limit.base_concurrency * (settings.initial_share + (1 - settings.initial_share) * risen)
        budget = BUDGET_MARGIN * settings.overload_factor * capacity * settings.overload_window
        charges = warmup.charges
        while charges and charges[0].at <= self._queue.now - settings.overload_window:
            charges.popleft()
        # The place is for good: to draw it anew would be a second chance.
        place = mix64(self._queue.seed ^ mix64(server.id)) / MASK_64 * limit.fronts
        spent = sum(charge.work for charge in charges)
        share = self.share_of_budget(budget, limit.fronts, place)
        return share - spent >= self._sending_times.by_service[service_index]

    def share_of_budget(self, budget: float, fronts: float, place: float) -> float:
        """What the front at `place`, in [0, fronts), may send in one window of a budget that all share.

        As many attempts of the costliest class as all fronts can have; of the rest of `budget` those in the
        first places one more, those after them one of a class at half of that or less, and so on. Places
        are random, so how many fronts have one of the first is binomial (docs/design.md).
        """
        works = self._works()
        costliest = works[-1]
        mean = self._sending_times.mean
        each = budget / fronts // costliest * costliest
        # With few fronts an equal share takes a request of mean work: then it is no matter of chance.
        equal = budget / fronts if budget >= fronts * mean else 0
        left = budget - each * fronts
        limit = budget / BUDGET_MARGIN
        variance = ((limit - budget + 2 * sqrt(limit * mean) + 2 * mean) / BUDGET_DEVIATIONS) ** 2
        last_work = 2 * costliest
        while works and left < fronts * works[-1]:
            work = works.pop()
            if 2 * work > last_work:
                continue
            part = COSTLIER_CLASS_SHARE if works and 2 * works[0] <= work else 1
            chosen = fronts_with_one_more(work, fronts, part * left, part * variance)
            if place < chosen:
                return max(equal, each + work)
            variance = max(0, variance - chosen * (1 - chosen / fronts) * work**2)
            left -= chosen * work
            fronts -= chosen
            place -= chosen
            last_work = work
        return max(equal, each + left / fronts)

    def _works(self) -> list[int]:
        """The services' sending times, rising; without those that go to the origin, which is never cold."""
        sending_times = zip(self._sending_times.by_service, self._services, strict=True)
        works = {
            max(1, work) for work, service in sending_times if not (self._direct and service.uncacheable)
        }
        return sorted(works) or [1]


def fronts_with_one_more(work: int, fronts: float, budget: float, variance: float) -> float:
    """How many of `fronts` may send one more attempt of `work`, by the mean and the variance of their sum."""
    within_variance = 1 - 4 * variance / work**2 / fronts
    most = fronts / 2 * (1 - sqrt(within_variance)) if within_variance > 0 else fronts
    return min(budget / work, most)
