"""Limits the rate of new connections to an endpoint: each front may open one connection per interval.

The interval is proportional to the number of fronts that share the rate. A front draws the time of its first
connection to an endpoint at random from one interval, so that hundreds of fronts that start in the same
second do not all connect in that second. An endpoint is unavailable to a front while the front has no
connection to it and may not open one. With one connection open, transfers share it until the next connection
may be opened.

The module does no I/O. Times are arguments, in whole microseconds.
"""

from collections.abc import Callable, Collection
from math import ceil, sqrt
from typing import Generic, NamedTuple, TypeVar

EndpointId = TypeVar("EndpointId")

MICROSECONDS_PER_SECOND = 1e6


def most_expected(rate: float, duration_us: int) -> int:
    """Return the largest number of connections to expect in any period of `duration_us` at `rate` per second.

    The times of connections are random: the result is three standard deviations above the mean of a Poisson
    distribution.
    """
    mean = rate * duration_us / MICROSECONDS_PER_SECOND
    return ceil(mean + 3 * sqrt(mean))


class Availability(NamedTuple, Generic[EndpointId]):
    """Whether an endpoint can be reached over an open connection or by opening a new connection."""

    endpoint: EndpointId
    available: bool


class EndpointPace:
    """The connection state of one endpoint.

    Attributes:
        next_connection_at: the earliest time of the next connection.
        open_connections: the number of connections that are open or being opened.
        reported: the availability that was reported last, or None before the first report.
    """

    __slots__ = ("next_connection_at", "open_connections", "reported")

    def __init__(self, next_connection_at: int) -> None:
        self.next_connection_at = next_connection_at
        self.open_connections = 0
        self.reported: bool | None = None

    def is_available(self, now: int) -> bool:
        """Return whether a connection is open or may be opened at `now`."""
        return self.open_connections > 0 or now >= self.next_connection_at


class ConnectionPacer(Generic[EndpointId]):
    """Decides when this front may open a connection to an endpoint.

    Attributes:
        rate: new connections per second to one endpoint from all fronts together.
        sharing_fronts: returns the number of fronts that share the rate.
        random_fraction: returns a random number in [0, 1).
        endpoints: the connection state of each endpoint in the endpoint list.
    """

    def __init__(
        self, rate: float, sharing_fronts: Callable[[], int], random_fraction: Callable[[], float]
    ) -> None:
        self.rate = rate
        self.sharing_fronts = sharing_fronts
        self.random_fraction = random_fraction
        self.endpoints: dict[EndpointId, EndpointPace] = {}

    def interval(self) -> int:
        """Return the time between two connections of this front to one endpoint, in microseconds."""
        return int(max(1, self.sharing_fronts()) / self.rate * MICROSECONDS_PER_SECOND)

    def update_endpoints(self, now: int, listed: Collection[EndpointId]) -> None:
        """Add the endpoints that are new in the endpoint list; remove those that are no longer listed."""
        for endpoint in listed:
            if endpoint not in self.endpoints:
                first = now + int(self.random_fraction() * self.interval())
                self.endpoints[endpoint] = EndpointPace(first)
        for endpoint in [endpoint for endpoint in self.endpoints if endpoint not in listed]:
            del self.endpoints[endpoint]

    def may_connect(self, endpoint: EndpointId, now: int) -> bool:
        """Return whether a connection may be opened now; always true for an endpoint that is not listed."""
        pace = self.endpoints.get(endpoint)
        return pace is None or now >= pace.next_connection_at

    def connection_started(self, endpoint: EndpointId, now: int) -> None:
        """Record that a connection is being opened; the next may be opened one interval later."""
        if pace := self.endpoints.get(endpoint):
            pace.next_connection_at = max(now, pace.next_connection_at) + self.interval()

    def set_open_connections(self, endpoint: EndpointId, count: int) -> None:
        """Set the number of connections to an endpoint that are open or being opened."""
        if pace := self.endpoints.get(endpoint):
            pace.open_connections = count

    def availability_changes(self, now: int) -> list[Availability[EndpointId]]:
        """Return the endpoints whose availability has changed since the previous call."""
        changes = []
        for endpoint, pace in self.endpoints.items():
            available = pace.is_available(now)
            if available != pace.reported:
                pace.reported = available
                changes.append(Availability(endpoint, available))
        return changes

    def next(self) -> int | None:
        """Return when the next unavailable endpoint may be connected to, or None if there is none."""
        waiting = (pace.next_connection_at for pace in self.endpoints.values() if not pace.reported)
        return min(waiting, default=None)
