"""Slow start: limits the work that this front sends to a recently started server.

The settings define the capacity of such a server and the load that overloads it. Together all fronts stay
within the budget that follows from them, without communication: `share_of_budget` returns the share of one
front. docs/design.md, "Cold members and the number of fronts", has the method and its measurements.
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

BUDGET_MARGIN = 0.8  # mean fraction of the overload limit that all fronts may spend
BUDGET_DEVIATIONS = 5  # standard deviations between the work spent and the work that overloads the server
# Fraction of the budget and of its variance that a costlier class may use before cheaper classes.
COSTLIER_CLASS_SHARE = 0.75


class Charge(NamedTuple):
    """Work that this front has sent to a warming server."""

    at: int
    work: int
    """Expected sending time, in microseconds."""


class Warmup(NamedTuple):
    """A warming server: when it started, and the work that this front has sent since, oldest first."""

    started_at: int
    charges: deque[Charge]


class SlowStartBudgets:
    """The budgets of all warming servers.

    Attributes:
        settings: slow start settings of caches (key False) and of parents (key True).
        warmups: warming servers by id.
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
        """Begin the slow start of a server that started; the work already sent still counts."""
        previous = self.warmups.get(server_id, Warmup(at, deque()))
        self.warmups[server_id] = previous._replace(started_at=max(at, previous.started_at))

    def drop(self, server_id: int) -> None:
        """Remove a server that the endpoint list no longer contains."""
        self.warmups.pop(server_id, None)

    def charge(self, server_ids: Iterable[int], service_index: int) -> None:
        """Charge an attempt of a delivery service to the budgets of the servers that it uses."""
        for server_id in server_ids:
            if warmup := self.warmups.get(server_id):
                work = self._sending_times.by_service[service_index]
                warmup.charges.append(Charge(self._queue.now, work))

    def has_budget(self, server: "Server", service_index: int) -> bool:
        """Return whether this front may send the server another attempt of the service (rule 4)."""
        warmup = self.warmups.get(server.id)
        if warmup is None:
            return True
        settings = self.settings[server.is_upstream]
        age = self._queue.now - warmup.started_at
        if age > settings.duration:
            del self.warmups[server.id]
            return True
        progress = max(0, age - settings.overload_window) / settings.duration
        limit = server.limit
        capacity = limit.base_concurrency * (settings.initial_share + (1 - settings.initial_share) * progress)
        budget = BUDGET_MARGIN * settings.overload_factor * capacity * settings.overload_window
        charges = warmup.charges
        while charges and charges[0].at <= self._queue.now - settings.overload_window:
            charges.popleft()
        # The position depends only on the seed and the server, because a new draw would give the front
        # another chance to exceed its share.
        position = mix64(self._queue.seed ^ mix64(server.id)) / MASK_64 * limit.fronts
        spent = sum(charge.work for charge in charges)
        share = self.share_of_budget(budget, limit.fronts, position)
        return share - spent >= self._sending_times.by_service[service_index]

    def share_of_budget(self, budget: float, fronts: float, position: float) -> float:
        """Return the work that the front at `position` may send in one window of a shared budget.

        Each front may send as many whole attempts of the costliest class as the budget holds for all fronts.
        Of the rest, the fronts at the first positions may send one more such attempt, those at the next
        positions one attempt of a class that costs at most half as much, and so on. Positions are random, so
        the number of fronts at the first ones has a binomial distribution (docs/design.md).

        Args:
            budget: work that all fronts may send to the server in one window, in microseconds.
            fronts: number of fronts that share the budget.
            position: position of this front, in [0, fronts).
        """
        class_works = self._class_works()
        max_work = class_works[-1]
        mean = self._sending_times.mean
        whole_share = budget / fronts // max_work * max_work
        # With few fronts, an equal share suffices for a request of mean work and needs no random positions.
        equal_share = budget / fronts if budget >= fronts * mean else 0
        remaining = budget - whole_share * fronts
        limit = budget / BUDGET_MARGIN
        variance = ((limit - budget + 2 * sqrt(limit * mean) + 2 * mean) / BUDGET_DEVIATIONS) ** 2
        previous_work = 2 * max_work
        while class_works and remaining < fronts * class_works[-1]:
            work = class_works.pop()
            if 2 * work > previous_work:
                continue
            class_share = COSTLIER_CLASS_SHARE if class_works and 2 * class_works[0] <= work else 1
            selected = fronts_with_one_more(work, fronts, class_share * remaining, class_share * variance)
            if position < selected:
                return max(equal_share, whole_share + work)
            variance = max(0, variance - selected * (1 - selected / fronts) * work**2)
            remaining -= selected * work
            fronts -= selected
            position -= selected
            previous_work = work
        return max(equal_share, whole_share + remaining / fronts)

    def _class_works(self) -> list[int]:
        """Return the distinct sending times of the services in ascending order.

        Services whose requests go directly to the origin are left out, because the origin has no slow start.
        """
        sending_times = zip(self._sending_times.by_service, self._services, strict=True)
        class_works = {
            max(1, work) for work, service in sending_times if not (self._direct and service.uncacheable)
        }
        return sorted(class_works) or [1]


def fronts_with_one_more(work: int, fronts: float, budget: float, variance: float) -> float:
    """Return how many of `fronts` may send another attempt of `work`.

    Both the mean and the variance of the total limit the number.
    """
    discriminant = 1 - 4 * variance / work**2 / fronts
    max_selected = fronts / 2 * (1 - sqrt(discriminant)) if discriminant > 0 else fronts
    return min(budget / work, max_selected)
