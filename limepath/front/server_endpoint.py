"""One endpoint of the list: its connections, and the attempts and probes that wait for one."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError
from twisted.internet.protocol import Factory

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


class Incarnation(NamedTuple):
    """Which start of a server an endpoint stands for: another one may get its address."""

    address: tuple[str, int]
    started_ms: int  # by the Unix clock, as the list has it


class ServerEndpoint:
    """One endpoint: where it is, the connections there, and what waits for one."""

    def __init__(self, servers: Servers, ident: int, name: str):
        self.servers = servers
        self.ident = ident
        self.name = name
        self.log = servers.log
        self.limits = servers.limits
        self.incarnation: Incarnation | None = None
        self.kind: int | None = None
        self.removed_at: int | None = None  # from the list, on the front's clock
        self.connections: list[ServerConnection] = []
        self.idle: list[ServerConnection] = []  # with nothing out, the last used at the end
        self.connecting = 0  # connections that are not up yet
        self.waiting: deque[Attempt | Probe] = deque()

    @property
    def address(self) -> tuple[str, int]:
        """Host and port."""
        return self.incarnation.address

    @property
    def is_secured(self) -> bool:
        """Whether connections there are made by TLS."""
        secured = self.servers.secured
        return bool(secured and self.kind in secured.kinds)

    def update(self, incarnation: Incarnation, state: EndpointState) -> None:
        """The list has this entry now: connections to what was there before take nothing new."""
        if incarnation != self.incarnation or state == EndpointState.REMOVED:
            for connection in list(self.connections):
                connection.drain()
        self.incarnation = incarnation
        self.removed_at = clock() if state == EndpointState.REMOVED else None

    def is_forgettable(self, now: int) -> bool:
        """Whether it was removed a while ago, and nothing is out or waits there."""
        in_use = self.connections or self.waiting or self.connecting
        return (
            self.removed_at is not None
            and now - self.removed_at > self.limits.removed_endpoint_lifetime
            and not in_use
        )

    def send(self, attempt: Attempt | Probe) -> None:
        """Send it on a connection, or have it wait for one."""
        if isinstance(attempt, Attempt):
            if self.servers.is_client_disconnected(attempt):
                return
            if clock() >= attempt.send_by:  # decided too long ago; no server is at fault
                self.servers.end_attempt(attempt, AttemptOutcome.SUPERSEDED)
                return
        connection = self._connection_for(attempt)
        if connection is None:
            self.waiting.append(attempt)
            self.servers.start_timer(attempt, attempt.send_by - clock(), self._wait_timed_out)
            self.connect()
        elif isinstance(attempt, Probe):
            connection.send(attempt, probe_line(self.servers.probe_word, attempt.tag))
            self.servers.start_timer(attempt, self.limits.probe, self.servers.time_out_probe)
        else:
            request = attempt.request
            connection.send(attempt, attempt_line(attempt), request.body, b"\r\n")
            request.attempt_start_times.append(clock())
            if attempt.deadline < request.deadline:
                self.servers.start_timer(attempt, attempt.deadline - clock(), self.servers.time_out)

    def _connection_for(self, attempt: Attempt | Probe) -> ServerConnection | None:
        """The connection that was idle last; a probe goes where something has lacked an answer for longest.

        An attempt has a connection to itself where one can be had: what breaks takes no other along.
        """
        if isinstance(attempt, Probe) and (busy := self._busy_connections(attempt.tag)):
            return min(busy, key=ServerConnection.quiet_since)
        for connection in reversed(self.idle):
            if connection.can_send(attempt.tag):
                return connection
        if self.connecting > len(self.waiting) or self._may_connect():
            return None
        return min(self._busy_connections(attempt.tag), key=lambda one: len(one.attempts), default=None)

    def _busy_connections(self, tag: bytes) -> list[ServerConnection]:
        return [one for one in self.connections if one.attempts and one.can_send(tag)]

    def send_waiting(self) -> None:
        """Look once more for a connection for all that waits, in its order."""
        for _ in range(len(self.waiting)):
            if not self.waiting:  # others of a request whose client has gone went with it, or have been sent
                return
            attempt = self.waiting.popleft()
            if clock() >= attempt.send_by:  # its timer is late: the loop was busy, or the process stood still
                self.servers.end_attempt(attempt, AttemptOutcome.CONNECT_FAILED)
            elif self._connection_for(attempt):
                self.servers.cancel_timer(attempt)
                self.send(attempt)
            else:
                self.waiting.append(attempt)

    def _may_connect(self) -> bool:
        """Whether pace and limits allow one more connection; for a probe the pace does not count."""
        paced = self.servers.paced
        if paced and not paced.may_connect(self.ident):
            if not any(isinstance(one, Probe) for one in self.waiting):
                return False
        if self.connecting + len(self.connections) >= self.limits.cache_connections:
            return False
        return self.servers.may_connect()

    def connect(self) -> None:
        """Open one more connection if there are fewer coming than attempts that wait, and room for it."""
        if self.connecting >= len(self.waiting) or not self._may_connect():
            return
        self.servers.drain_longest_idle()
        self.connecting += 1
        self.servers.connection_count += 1
        if self.servers.paced:
            self.servers.paced.connection_started(self.ident)
        connecting = self._open(ServerConnection(self))
        connecting.addCallbacks(self.connected, self._connect_failed)
        connecting.addErrback(
            lambda failure: self.log.info("fault", failure.getErrorMessage(), where="connecting")
        )

    def _open(self, connection: ServerConnection) -> Deferred:
        """Open it by TLS where this endpoint has that, else by plain TCP; gives it once it is up."""
        secured = self.servers.secured
        connecting = secured and secured.connect(self, connection, clock() + self.limits.wait)
        if connecting:
            return connecting
        host, port = self.address
        timeout = self.limits.connect / MICROSECONDS
        endpoint = TCP4ClientEndpoint(self.servers.reactor, host, port, timeout=timeout)
        return endpoint.connect(Factory.forProtocol(lambda: connection))

    def connected(self, connection: ServerConnection) -> None:
        """A connection is up."""
        self.connecting -= 1
        if connection.state is not ConnectionState.OPEN:
            return
        self.connections.append(connection)
        self.idle.append(connection)
        if self.removed_at is not None or connection.incarnation != self.incarnation:
            connection.drain()  # it leads to what has gone since, or to another that has its address now
        self.send_waiting()
        if self.waiting:
            self.connect()

    def _connect_failed(self, failure: Failure) -> None:
        """The first that waits has failed; all have, where no other connection is there or coming."""
        self.connecting -= 1
        self.servers.connection_count -= 1
        if self.servers.paced:
            self.servers.paced.update()
        failure.trap(ConnectError)
        for _ in range(len(self.waiting) if not (self.connecting or self.connections) else 1):
            if self.waiting:
                self.servers.end_attempt(self.waiting.popleft(), AttemptOutcome.CONNECT_FAILED)

    def probe_answered(self) -> None:
        """Connections that stay unresponsive for a probe's timeout more are closed."""
        for connection in self.connections:
            if connection.is_unresponsive:
                timeout = self.limits.probe / MICROSECONDS
                self.servers.reactor.callLater(
                    timeout, connection.close_if_quiet_since, connection.last_read_at
                )

    def _wait_timed_out(self, attempt: Attempt | Probe) -> None:
        self.waiting.remove(attempt)
        self.servers.end_attempt(attempt, AttemptOutcome.CONNECT_FAILED)

    def connection_lost(self, connection: ServerConnection) -> None:
        """A connection is closed: what was out there has ended. What was not sent whole was not executed."""
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
        if self.servers.lacks_connections:
            self.servers.connection_freed()
