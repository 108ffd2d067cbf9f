"""The pace of connections at a front: asked by its network code, reported to the decision module."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from limepath.connection_pacing.connections import MICROSECONDS_PER_SECOND, ConnectionPacer
from limepath.front.clock import clock
from limepath.interface.events import ConnectionAvailabilityChanged

if TYPE_CHECKING:
    from twisted.internet.interfaces import IDelayedCall, IReactorTime

    from limepath.duties.probe_sharing import DecisionLoop


class PacedServers(Protocol):
    """What is used of the front's connections to its servers (`front.servers.Servers`)."""

    endpoints: dict[int, Any]
    paced: Any


TIMER_SLACK = 0.001  # seconds: the timer must not fire before the time that it is set to


class PacedConnections:
    """Keeps the pace of a front's connections to its endpoints.

    Attributes:
        reactor: schedules the timer.
        decision_loop: takes events to the decision module.
        servers: the network code of the endpoints; it asks here before it connects.
        pacer: the logic.
        timer: fires when the next endpoint becomes available, or None.
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
        """Take the arguments of `ConnectionPacer`, and attach to `servers`."""
        self.reactor = reactor
        self.decision_loop = decision_loop
        self.servers = servers
        self.pacer: ConnectionPacer[int] = ConnectionPacer(rate, sharing_fronts, random_fraction)
        self.timer: IDelayedCall | None = None
        servers.paced = self

    def may_connect(self, endpoint: int) -> bool:
        """Return whether a connection to this endpoint may be opened now."""
        return self.pacer.may_connect(endpoint, clock())

    def connection_started(self, endpoint: int) -> None:
        """Take note that a connection to this endpoint is being opened."""
        self.pacer.connection_started(endpoint, clock())

    def update(self) -> None:
        """Report what is available, after the list or a connection has changed or the timer has fired."""
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
