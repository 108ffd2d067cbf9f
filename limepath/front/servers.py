"""The server side of the front: endpoints of caches, parents and the origin, their attempts and probes."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from typing import TYPE_CHECKING

from limepath.configuration.process_limits import MAX_EXCESS_CONNECTIONS
from limepath.front.address_owners import Incarnation
from limepath.front.attempt import Attempt, Probe
from limepath.front.clock import clock
from limepath.front.reference_clock import ReferenceClock
from limepath.front.response_memory import ResponseMemory
from limepath.front.server_connection import ConnectionState, ServerConnection
from limepath.front.server_endpoint import ServerEndpoint
from limepath.front.server_protocol import NOT_MODIFIED, Answer, parse_load
from limepath.interface.commands import CloseIdleConnections, ForwardRequest, SendProbe
from limepath.interface.events import (
    NEVER_EXECUTED,
    AttemptEnded,
    AttemptOutcome,
    CacheStatus,
    EndpointState,
    ProbeEnded,
    PurgeAnnounced,
)

if TYPE_CHECKING:
    from limepath.configuration.process_limits import Limits
    from limepath.front.client_request import ClientRequest
    from limepath.front.clients import Clients
    from limepath.front.decision_loop import DecisionLoop
    from limepath.log import Log

MICROSECONDS = 1e6


class Servers:
    """Owns all endpoints, their connections, and the attempts and probes that are in flight or queued."""

    def __init__(
        self,
        reactor,
        decision_loop: DecisionLoop,
        clients: Clients,
        limits: Limits,
        log: Log,
        probe_command: bytes,
    ):
        self.reactor = reactor
        self.decision_loop = decision_loop
        self.clients = clients
        self.limits = limits
        self.log = log
        self.probe_command = probe_command
        self.endpoints: dict[int, ServerEndpoint] = {}  # by ident
        self.names: dict[int, bytes] = {}  # endpoint names by ident, as sent in the line protocol
        self.probe_numbers = count(1)
        self.connection_count = 0  # established connections and pending connects
        self.connection_limit_reached = False  # an endpoint could not connect because of the limit
        self.reference = ReferenceClock(limits.max_clock_skew)
        self.response_memory = ResponseMemory(limits.response_bytes, reactor.callLater)
        self.secured = None  # tls.host.TlsConnector if connections to some kinds of servers use TLS
        self.paced = None  # connection_pacing.host.Paced if the fronts share a limit on new connections

    # Timers of attempts and probes

    def start_timer(self, attempt: Attempt | Probe, delay: int, handler: Callable) -> None:
        """Call `handler(attempt)` after `delay` microseconds."""
        attempt.timer = self.reactor.callLater(max(0, delay) / MICROSECONDS, handler, attempt)

    def cancel_timer(self, attempt: Attempt | Probe) -> None:
        """Cancel the timer if it is running."""
        if attempt.timer and attempt.timer.active():
            attempt.timer.cancel()

    # The limit on connections to all endpoints

    def may_connect(self) -> bool:
        """Return whether a new connection fits the limit, or an idle connection can be closed for it.

        The idle connection closes one iteration of the event loop later, so the limit is exceeded for that
        long. MAX_EXCESS_CONNECTIONS descriptors are reserved for this.
        """
        excess = self.connection_count - self.limits.all_cache_connections
        allowed = excess < 0 or excess < MAX_EXCESS_CONNECTIONS and bool(self.idle_connections())
        if not allowed:
            self.connection_limit_reached = True
        return allowed

    def connection_freed(self) -> None:
        """Let endpoints connect that the limit held back, after a connection has closed or become idle."""
        self.connection_limit_reached = False
        for endpoint in self.endpoints.values():
            if endpoint.waiting:
                endpoint.connect()

    def idle_connections(self) -> list[ServerConnection]:
        """Return the open connections without attempts or probes in flight."""
        return [
            connection
            for endpoint in self.endpoints.values()
            for connection in endpoint.idle
            if connection.state is ConnectionState.OPEN
        ]

    def drain_longest_idle(self) -> None:
        """Close the connection that has been idle for longest if the connection limit is reached."""
        if self.connection_count >= self.limits.all_cache_connections:
            self.log.info("descriptors", caches=self.connection_count)
            min(self.idle_connections(), key=lambda connection: connection.last_read_at).drain()

    # Endpoint list and purges

    def update_endpoint(
        self,
        ident: int,
        name: str,
        address: tuple[str, int],
        since: int,
        state: EndpointState,
        kind: int | None = None,
    ) -> None:
        """Apply an entry of the endpoint list; `since` is its start time in milliseconds of Unix time."""
        if ident not in self.endpoints and state == EndpointState.REMOVED:
            return
        if ident not in self.endpoints:
            self.endpoints[ident] = ServerEndpoint(self, ident, name)
            self.names[ident] = name.encode()
        self.endpoints[ident].kind = kind
        self.endpoints[ident].update(Incarnation(address, since), state)

    def cancel_waiting(self, is_concerned: Callable[[ForwardRequest, ClientRequest], bool]) -> None:
        """Cancel the queued attempts that a watch event has made obsolete.

        They have not been executed, so the decisions choose again. If they were sent by the old command, they
        could go out after the grace period, which begins when the event is published.
        """
        for endpoint in self.endpoints.values():
            concerned = [
                queued
                for queued in endpoint.waiting
                if isinstance(queued, Attempt) and is_concerned(queued.command, queued.request)
            ]
            for attempt in concerned:
                self._end_early(attempt, AttemptOutcome.SUPERSEDED)

    def apply_purge(self, purge: PurgeAnnounced) -> None:
        """Cancel the queued attempts for a purged object or group."""
        if purge.object is None:
            self.cancel_waiting(lambda command, request: request.event.group == purge.group)
        else:
            self.cancel_waiting(lambda command, request: request.event.object == purge.object)

    # Commands of the decisions

    def forward(self, command: ForwardRequest, request: ClientRequest, decided_at: int) -> None:
        """Start an attempt; `decided_at` is in microseconds of the front's clock."""
        attempt = Attempt(request, command, self.names, decided_at, self.limits.connection_wait)
        request.attempt_count += 1
        request.attempts[attempt.number] = attempt
        if not request.is_open or attempt.deadline <= attempt.started_at:
            self.end_attempt(attempt, AttemptOutcome.SUPERSEDED)
        else:
            self.endpoints[command.endpoint].send(attempt)

    def probe(self, command: SendProbe, epoch: int = 0) -> None:
        """Send a health check.

        Under a lease, its tag contains the epoch, so that a server can reject probes of an older epoch.
        """
        number = next(self.probe_numbers)
        tag = b"p%d-e%d" % (number, epoch) if epoch else b"p%d" % number
        self.endpoints[command.endpoint].send(Probe(command.endpoint, tag, self.limits.connection_wait))

    def close_idle(self, command: CloseIdleConnections) -> None:
        """Close the connections to an endpoint that have nothing in flight."""
        for connection in list(self.endpoints[command.endpoint].connections):
            if not connection.attempts:
                connection.drain()

    # How attempts and probes end

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt that the decisions no longer need."""
        self._end_early(attempt, AttemptOutcome.CANCELLED)

    def time_out(self, attempt: Attempt) -> None:
        """End an attempt that has reached its deadline."""
        self._end_early(attempt, AttemptOutcome.TIMED_OUT)

    def time_out_probe(self, probe: Probe) -> None:
        """End a probe that has reached its timeout."""
        probe.connection.cancel(probe, timed_out=True)
        self.end_attempt(probe, AttemptOutcome.TIMED_OUT)

    def _end_early(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """End an attempt early.

        An attempt that was not fully sent has not been executed. If such an attempt times out, the server
        does not read from the connection, so it counts as unreachable.
        """
        endpoint = self.endpoints[attempt.command.endpoint]
        timed_out = outcome == AttemptOutcome.TIMED_OUT
        if attempt.connection is None:
            if attempt in endpoint.waiting:
                endpoint.waiting.remove(attempt)
            outcome = AttemptOutcome.SUPERSEDED
        elif not attempt.connection.cancel(attempt, timed_out):
            outcome = AttemptOutcome.CONNECT_FAILED if timed_out else AttemptOutcome.SUPERSEDED
        self.end_attempt(attempt, outcome)

    def is_client_disconnected(self, attempt: Attempt) -> bool:
        """Return whether this attempt's client has disconnected; if so, the attempt has been ended.

        The state of the socket is queried before each attempt, because the client's FIN may not have been
        read yet: an iteration of the event loop may be late, or read an answer before the FIN.
        """
        client = attempt.request.connection
        if client is None or not client.is_disconnected():
            return False
        client.disconnected_before_attempt()
        return True

    def cancel_unsent(self, request: ClientRequest) -> None:
        """End the attempts of a disconnected client that are not fully sent, idempotent or not."""
        for attempt in list(request.attempts.values()):
            connection = attempt.connection
            if connection is None or not connection.is_fully_sent(attempt) and len(connection.attempts) == 1:
                self._end_early(attempt, AttemptOutcome.SUPERSEDED)

    def end_attempt(
        self, attempt: Attempt | Probe, outcome: AttemptOutcome, answer: Answer | None = None
    ) -> None:
        """Report the outcome of an attempt or probe to the decisions; called exactly once for each."""
        self.cancel_timer(attempt)
        load = {}
        if answer and b"use" in answer.fields:
            load = parse_load(answer.fields[b"use"])
        if isinstance(attempt, Probe):
            duration = clock() - attempt.started_at
            self.decision_loop.gather(ProbeEnded(attempt.server, outcome, duration, load))
            return
        request, command = attempt.request, attempt.command
        request.attempts.pop(attempt.number, None)
        if outcome in NEVER_EXECUTED:
            self.clients.attempt_not_executed(attempt)
        is_not_modified = answer is not None and answer.status == NOT_MODIFIED
        if outcome == AttemptOutcome.SUCCEEDED:
            self.clients.answer_with_copy(request, is_not_modified, answer.fields.get(b"rev"), answer.body)
        self.decision_loop.gather(
            AttemptEnded(
                command.request,
                attempt.number,
                outcome,
                command.endpoint,
                clock() - attempt.started_at,
                0,
                not request.is_open,
                CacheStatus.NONE,
                load,
                is_not_modified,
            )
        )
        if not request.is_open:
            self.clients.release_if_done(request)

    def sweep(self) -> None:
        """Delete endpoints that were removed from the list, and close idle and stalled connections.

        Idle connections are closed before the server's own idle timeout would close them. A connection is
        stalled if no bytes arrive in the middle of an answer.
        """
        now = clock()
        for ident in [ident for ident, endpoint in self.endpoints.items() if endpoint.is_forgettable(now)]:
            del self.endpoints[ident]
            del self.names[ident]
        for endpoint in self.endpoints.values():
            for connection in list(endpoint.connections):
                self._sweep_connection(connection, now)

    def _sweep_connection(self, connection: ServerConnection, now: int) -> None:
        silence = now - connection.last_read_at
        if connection.is_reading_paused:
            return
        is_mid_answer = connection.answer_line or connection.buffer
        if not connection.attempts and silence > self.limits.cache_idle:
            connection.drain()
        elif is_mid_answer and silence > self.limits.answer_stall_timeout:
            name = connection.endpoint.name
            self.log.info("cache", "stalled in the middle of an answer; connection closed", cache=name)
            connection.close(abort=True)
