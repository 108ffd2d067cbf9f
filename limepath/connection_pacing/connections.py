"""A rate of new connections to each endpoint, shared by many fronts: each may open one in an interval.

The interval grows with the number of fronts that share the rate. A front that starts, or sees a new endpoint,
draws the time of its first connection from one interval, so that hundreds of fronts that start in one second
do not all connect in it. While a front has no connection to an endpoint and may open none, that endpoint is
not available to it; with one connection open, transfers share it until the next may be opened.

Free of I/O: times are handed in, whole microseconds.
"""

from collections.abc import Callable, Collection
from math import ceil, sqrt
from typing import Generic, NamedTuple, TypeVar

EndpointId = TypeVar("EndpointId")

MICROSECONDS_PER_SECOND = 1e6


def most_expected(rate: float, duration_us: int) -> int:
    """Return the most connections to be expected in any so many microseconds.

    The times are drawn at random, so this lies three standard deviations above the mean (of a Poisson
    distribution).
    """
    mean = rate * duration_us / MICROSECONDS_PER_SECOND
    return ceil(mean + 3 * sqrt(mean))


class Availability(NamedTuple, Generic[EndpointId]):
    """Whether an endpoint can be reached: over an open connection, or by opening one."""

    endpoint: EndpointId
    available: bool


class EndpointPace:
    """What is known of one endpoint.

    Attributes:
        next_connection_at: from when the next connection may be opened.
        open_connections: how many are open or being opened.
        reported: the availability that was last reported, None before the first report.
    """

    __slots__ = ("next_connection_at", "open_connections", "reported")

    def __init__(self, next_connection_at: int) -> None:
        self.next_connection_at = next_connection_at
        self.open_connections = 0
        self.reported: bool | None = None

    def is_available(self, now: int) -> bool:
        """Return whether a connection is open, or may be opened now."""
        return self.open_connections > 0 or now >= self.next_connection_at


class ConnectionPacer(Generic[EndpointId]):
    """Says when this front may open a connection to an endpoint.

    Attributes:
        rate: new connections a second to one endpoint, from all fronts together.
        sharing_fronts: returns how many fronts share the rate.
        random_fraction: draws a number in [0, 1).
        endpoints: the pace of each endpoint of the list.
    """

    def __init__(
        self, rate: float, sharing_fronts: Callable[[], int], random_fraction: Callable[[], float]
    ) -> None:
        self.rate = rate
        self.sharing_fronts = sharing_fronts
        self.random_fraction = random_fraction
        self.endpoints: dict[EndpointId, EndpointPace] = {}

    def interval(self) -> int:
        """Return the microseconds between two connections of this front to one endpoint."""
        return int(max(1, self.sharing_fronts()) / self.rate * MICROSECONDS_PER_SECOND)

    def update_endpoints(self, now: int, listed: Collection[EndpointId]) -> None:
        """Take the endpoints that the list has now: add new ones, forget those that have gone."""
        for endpoint in listed:
            if endpoint not in self.endpoints:
                first = now + int(self.random_fraction() * self.interval())
                self.endpoints[endpoint] = EndpointPace(first)
        for endpoint in [endpoint for endpoint in self.endpoints if endpoint not in listed]:
            del self.endpoints[endpoint]

    def may_connect(self, endpoint: EndpointId, now: int) -> bool:
        """Return whether a connection may be opened now. An endpoint that is not listed has no pace."""
        pace = self.endpoints.get(endpoint)
        return pace is None or now >= pace.next_connection_at

    def connection_started(self, endpoint: EndpointId, now: int) -> None:
        """Take note that a connection is being opened; the next may be an interval later."""
        if pace := self.endpoints.get(endpoint):
            pace.next_connection_at = max(now, pace.next_connection_at) + self.interval()

    def set_open_connections(self, endpoint: EndpointId, count: int) -> None:
        """Take how many connections to an endpoint are open or being opened."""
        if pace := self.endpoints.get(endpoint):
            pace.open_connections = count

    def availability_changes(self, now: int) -> list[Availability[EndpointId]]:
        """Return the endpoints whose availability differs from what was returned before."""
        changes = []
        for endpoint, pace in self.endpoints.items():
            available = pace.is_available(now)
            if available != pace.reported:
                pace.reported = available
                changes.append(Availability(endpoint, available))
        return changes

    def next(self) -> int | None:
        """Return when the next endpoint becomes available by itself, or None."""
        waiting = (pace.next_connection_at for pace in self.endpoints.values() if not pace.reported)
        return min(waiting, default=None)
