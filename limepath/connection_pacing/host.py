"""Connects a `ConnectionPacer` to the network code and the decision module of a front."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from limepath.connection_pacing.connections import MICROSECONDS_PER_SECOND, ConnectionPacer
from limepath.front.clock import clock
from limepath.interface.events import ConnectionAvailabilityChanged

if TYPE_CHECKING:
    from twisted.internet.interfaces import IDelayedCall, IReactorTime

    from limepath.duties.probe_sharing import DecisionLoop


class PacedServers(Protocol):
    """The part of `front.servers.Servers` that `PacedConnections` uses."""

    endpoints: dict[int, Any]
    paced: Any


TIMER_SLACK = 0.001  # seconds; added because the timer must not fire before the due time


class PacedConnections:
    """Limits the rate of a front's new connections to its endpoints.

    Attributes:
        reactor: schedules the timer.
        decision_loop: passes events to the decision module.
        servers: the network code of the endpoints, which calls `may_connect` before it connects.
        pacer: the logic without I/O.
        timer: fires when the next endpoint becomes available; None if no endpoint is unavailable.
    """

    def __init__(
        self,
        reactor: "IReactorTime",
        decision_loop: "DecisionLoop",
        servers: PacedServers,
        rate: float,
        sharing_fronts: Callable[[], int],
        random_fraction: Callable[[], float],
    ) -> None:
        """Create the pacer from the arguments of `ConnectionPacer` and attach this object to `servers`."""
        self.reactor = reactor
        self.decision_loop = decision_loop
        self.servers = servers
        self.pacer: ConnectionPacer[int] = ConnectionPacer(rate, sharing_fronts, random_fraction)
        self.timer: IDelayedCall | None = None
        servers.paced = self

    def may_connect(self, endpoint: int) -> bool:
        """Return whether a connection to an endpoint may be opened now."""
        return self.pacer.may_connect(endpoint, clock())

    def connection_started(self, endpoint: int) -> None:
        """Record that a connection to an endpoint is being opened."""
        self.pacer.connection_started(endpoint, clock())

    def update(self) -> None:
        """Report changed availability; called on changes of the list or a connection, and by the timer."""
        now = clock()
        endpoints = self.servers.endpoints
        self.pacer.update_endpoints(
            now, [ident for ident, endpoint in endpoints.items() if endpoint.removed_at is None]
        )
        for ident, endpoint in endpoints.items():
            self.pacer.set_open_connections(ident, len(endpoint.connections) + endpoint.connecting)
        changes = self.pacer.availability_changes(now)
        self.decision_loop.gather(*(ConnectionAvailabilityChanged(*change) for change in changes))
        self._set_timer(now)

    def _set_timer(self, now: int) -> None:
        if self.timer and self.timer.active():
            self.timer.cancel()
        self.timer = None
        due = self.pacer.next()
        if due is not None:
            delay = max(0, due - now) / MICROSECONDS_PER_SECOND + TIMER_SLACK
            self.timer = self.reactor.callLater(delay, self.update)
