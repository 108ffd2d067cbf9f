"""One endpoint of the list: its connections, and the attempts and probes queued for a connection."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError
from twisted.internet.protocol import Factory

from limepath.front.address_owners import Incarnation
from limepath.front.attempt import Attempt, Probe
from limepath.front.clock import clock
from limepath.front.server_connection import ConnectionState, ServerConnection
from limepath.front.server_protocol import attempt_line, probe_line
from limepath.interface.events import AttemptOutcome, EndpointState

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure

    from limepath.front.servers import Servers

MICROSECONDS = 1e6


class ServerEndpoint:
    """One endpoint: its address, its connections, and the queue for a connection."""

    def __init__(self, servers: Servers, ident: int, name: str):
        self.servers = servers
        self.ident = ident
        self.name = name
        self.log = servers.log
        self.limits = servers.limits
        self.incarnation: Incarnation | None = None
        self.kind: int | None = None
        self.removed_at: int | None = None  # microseconds of the front's clock; None while it is listed
        self.connections: list[ServerConnection] = []
        self.idle: list[ServerConnection] = []  # nothing in flight; the most recently used last
        self.connecting = 0  # number of pending connects
        self.waiting: deque[Attempt | Probe] = deque()

    @property
    def address(self) -> tuple[str, int]:
        """The host and the port."""
        return self.incarnation.address

    @property
    def uses_tls(self) -> bool:
        """Whether connections to this endpoint use TLS."""
        secured = self.servers.secured
        return bool(secured and self.kind in secured.trust_by_kind)

    def update(self, incarnation: Incarnation, state: EndpointState) -> None:
        """Apply an entry of the endpoint list; connections to a former or removed incarnation are drained."""
        if incarnation != self.incarnation or state == EndpointState.REMOVED:
            for connection in list(self.connections):
                connection.drain()
        self.incarnation = incarnation
        self.removed_at = clock() if state == EndpointState.REMOVED else None

    def is_forgettable(self, now: int) -> bool:
        """Return whether the endpoint was removed long enough ago and has no connections and no queue."""
        in_use = self.connections or self.waiting or self.connecting
        return (
            self.removed_at is not None
            and now - self.removed_at > self.limits.removed_endpoint_lifetime
            and not in_use
        )

    def send(self, attempt: Attempt | Probe) -> None:
        """Send an attempt or probe, or queue it until a connection is available."""
        if isinstance(attempt, Attempt):
            if self.servers.is_client_disconnected(attempt):
                return
            if clock() >= attempt.send_by:  # the decision is too old; the server did not fail
                self.servers.end_attempt(attempt, AttemptOutcome.SUPERSEDED)
                return
        connection = self._connection_for(attempt)
        if connection is None:
            self.waiting.append(attempt)
            self.servers.start_timer(attempt, attempt.send_by - clock(), self._wait_timed_out)
            self.connect()
        elif isinstance(attempt, Probe):
            connection.send(attempt, probe_line(self.servers.probe_command, attempt.tag))
            self.servers.start_timer(attempt, self.limits.probe, self.servers.time_out_probe)
        else:
            request = attempt.request
            connection.send(attempt, attempt_line(attempt), request.body, b"\r\n")
            self.servers.clients.attempt_written(attempt)
            if attempt.deadline < request.deadline:
                self.servers.start_timer(attempt, attempt.deadline - clock(), self.servers.time_out)

    def _connection_for(self, attempt: Attempt | Probe) -> ServerConnection | None:
        """Return the connection to use, or None if the attempt has to be queued.

        A probe goes to the connection that has been without an answer for longest, if any is busy. An attempt
        takes the most recently used idle connection. It shares a connection only if no more can be opened,
        because a broken connection fails all attempts on it.
        """
        if isinstance(attempt, Probe) and (busy := self._busy_connections(attempt.tag)):
            return min(busy, key=ServerConnection.unanswered_since)
        for connection in reversed(self.idle):
            if connection.can_send(attempt.tag):
                return connection
        if self.connecting > len(self.waiting) or self._may_connect():
            return None
        return min(
            self._busy_connections(attempt.tag),
            key=lambda connection: len(connection.attempts),
            default=None,
        )

    def _busy_connections(self, tag: bytes) -> list[ServerConnection]:
        return [
            connection for connection in self.connections if connection.attempts and connection.can_send(tag)
        ]

    def send_waiting(self) -> None:
        """Send the queued attempts and probes for which a connection is available, in their order."""
        for _ in range(len(self.waiting)):
            # Sending one can empty the queue: all attempts of a request end when its client has disconnected.
            if not self.waiting:
                return
            attempt = self.waiting.popleft()
            # The timer may be late, because the event loop was busy or the process was suspended.
            if clock() >= attempt.send_by:
                self.servers.end_attempt(attempt, AttemptOutcome.CONNECT_FAILED)
            elif self._connection_for(attempt):
                self.servers.cancel_timer(attempt)
                self.send(attempt)
            else:
                self.waiting.append(attempt)

    def _may_connect(self) -> bool:
        """Return whether the rate limit and the connection limits allow one more connection.

        The rate limit does not apply if a probe is queued.
        """
        paced = self.servers.paced
        if paced and not paced.may_connect(self.ident):
            if not any(isinstance(attempt, Probe) for attempt in self.waiting):
                return False
        if self.connecting + len(self.connections) >= self.limits.cache_connections:
            return False
        return self.servers.may_connect()

    def connect(self) -> None:
        """Open a connection if fewer connects are pending than attempts queued, and the limits allow it."""
        if self.connecting >= len(self.waiting) or not self._may_connect():
            return
        self.servers.drain_longest_idle()
        self.connecting += 1
        self.servers.connection_count += 1
        if self.servers.paced:
            self.servers.paced.connection_started(self.ident)
        connecting = self._open(ServerConnection(self))
        connecting.addCallbacks(self.connected, self._connect_failed, errbackArgs=(self.incarnation,))
        connecting.addErrback(
            lambda failure: self.log.info("fault", failure.getErrorMessage(), where="connecting")
        )

    def _open(self, connection: ServerConnection) -> Deferred:
        """Open the connection by TLS if it is configured for this endpoint, otherwise by plain TCP.

        The Deferred fires with the connection when it is established.
        """
        secured = self.servers.secured
        connecting = secured and secured.connect(self, connection, clock() + self.limits.connection_wait)
        if connecting:
            return connecting
        host, port = self.address
        timeout = self.limits.connect / MICROSECONDS
        endpoint = TCP4ClientEndpoint(self.servers.reactor, host, port, timeout=timeout)
        return endpoint.connect(Factory.forProtocol(lambda: connection))

    def connected(self, connection: ServerConnection) -> None:
        """Register a connection that has been established."""
        self.connecting -= 1
        if connection.state is not ConnectionState.OPEN:
            return
        self.connections.append(connection)
        self.idle.append(connection)
        if self.removed_at is not None or connection.incarnation != self.incarnation:
            connection.drain()  # the endpoint was removed or restarted while the connect was pending
        self.send_waiting()
        if self.waiting:
            self.connect()

    def _connect_failed(self, failure: Failure, incarnation: Incarnation | None) -> None:
        """Fail the first queued attempt, or all if there is no other connection or pending connect.

        A failed connect to a former incarnation says nothing of the present one, so it is tried instead.
        """
        self.connecting -= 1
        self.servers.connection_count -= 1
        if self.servers.paced:
            self.servers.paced.update()
        failure.trap(ConnectError)
        if incarnation != self.incarnation:
            self.connect()
            return
        for _ in range(len(self.waiting) if not (self.connecting or self.connections) else 1):
            if self.waiting:
                self.servers.end_attempt(self.waiting.popleft(), AttemptOutcome.CONNECT_FAILED)

    def probe_answered(self) -> None:
        """Close each unresponsive connection that receives nothing for one more probe timeout."""
        for connection in self.connections:
            if connection.is_unresponsive:
                timeout = self.limits.probe / MICROSECONDS
                self.servers.reactor.callLater(
                    timeout, connection.close_if_silent_since, connection.last_read_at
                )

    def _wait_timed_out(self, attempt: Attempt | Probe) -> None:
        self.waiting.remove(attempt)
        self.servers.end_attempt(attempt, AttemptOutcome.CONNECT_FAILED)

    def connection_lost(self, connection: ServerConnection) -> None:
        """End all attempts and probes on a closed connection; those not fully sent were not executed."""
        self.servers.connection_count -= 1
        if connection in self.connections:
            self.connections.remove(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        if self.servers.paced:
            self.servers.paced.update()
        attempts = connection.attempts
        connection.attempts = {}
        for attempt in attempts.values():
            is_sent = connection.is_fully_sent(attempt)
            outcome = AttemptOutcome.RESET if is_sent else AttemptOutcome.CONNECT_FAILED
            self.servers.end_attempt(attempt, outcome)
        if self.waiting:
            self.connect()
        if self.servers.connection_limit_reached:
            self.servers.connection_freed()
