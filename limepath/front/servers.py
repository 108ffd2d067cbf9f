"""The server side: caches, parents and the origin by ident, and how each attempt and probe there ended."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from typing import TYPE_CHECKING

from limepath.configuration.process_limits import CROSSING_CLOSES
from limepath.front.attempt import Attempt, Probe
from limepath.front.clock import clock
from limepath.front.reference_clock import ReferenceClock
from limepath.front.server_connection import ConnectionState, ServerConnection
from limepath.front.server_endpoint import Incarnation, ServerEndpoint
from limepath.front.server_protocol import NOT_MODIFIED, Answer, parse_load
from limepath.interface.commands import CloseIdleConnections, ForwardRequest, SendProbe
from limepath.interface.events import (
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
    """Owns all endpoints, the connections to them, and what is out there or waits for a connection."""

    def __init__(
        self,
        reactor,
        decision_loop: DecisionLoop,
        clients: Clients,
        limits: Limits,
        log: Log,
        probe_word: bytes,
    ):
        self.reactor = reactor
        self.decision_loop = decision_loop
        self.clients = clients
        self.limits = limits
        self.log = log
        self.probe_word = probe_word
        self.endpoints: dict[int, ServerEndpoint] = {}  # by ident
        self.names: dict[int, bytes] = {}  # of endpoints, as servers know them
        self.probe_numbers = count(1)
        self.connection_count = 0  # up, or on their way
        self.lacks_connections = False  # an endpoint found no room for a connection
        self.reference = ReferenceClock(limits.skew)
        self.secured = None  # tls.host.Secured, where connections are made by TLS
        self.paced = None  # connection_pacing.host.Paced, where fronts share a pace of new connections

    # Timers of attempts and probes

    def start_timer(self, attempt: Attempt | Probe, delay: int, handler: Callable) -> None:
        """Call `handler(attempt)` in `delay` microseconds."""
        attempt.timer = self.reactor.callLater(max(0, delay) / MICROSECONDS, handler, attempt)

    def cancel_timer(self, attempt: Attempt | Probe) -> None:
        """Cancel the timer, if it runs."""
        if attempt.timer and attempt.timer.active():
            attempt.timer.cancel()

    # The limit on connections to all endpoints

    def may_connect(self) -> bool:
        """Whether there is a descriptor for one more connection, or an idle one that can make room.

        That one closes an iteration later, so that for so long there is one more than planned, and few are
        kept back for that.
        """
        excess = self.connection_count - self.limits.all_cache_connections
        allowed = excess < 0 or excess < CROSSING_CLOSES and bool(self.idle_connections())
        if not allowed:
            self.lacks_connections = True
        return allowed

    def connection_freed(self) -> None:
        """A connection has closed or become idle: endpoints that found no room look again."""
        self.lacks_connections = False
        for endpoint in self.endpoints.values():
            if endpoint.waiting:
                endpoint.connect()

    def idle_connections(self) -> list[ServerConnection]:
        """Open connections with nothing out."""
        return [
            connection
            for endpoint in self.endpoints.values()
            for connection in endpoint.idle
            if connection.state is ConnectionState.OPEN
        ]

    def drain_longest_idle(self) -> None:
        """At the limit, close the connection that has been idle for longest."""
        if self.connection_count >= self.limits.all_cache_connections:
            self.log.info("descriptors", caches=self.connection_count)
            min(self.idle_connections(), key=lambda one: one.last_read_at).drain()

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
        """The list has this entry now; `since` is when it started, in milliseconds by the Unix clock."""
        if ident not in self.endpoints and state == EndpointState.REMOVED:
            return
        if ident not in self.endpoints:
            self.endpoints[ident] = ServerEndpoint(self, ident, name)
            self.names[ident] = name.encode()
        self.endpoints[ident].kind = kind
        self.endpoints[ident].update(Incarnation(address, since), state)

    def cancel_waiting(self, is_concerned: Callable[[ForwardRequest, ClientRequest], bool]) -> None:
        """Cancel what still waits for a connection and is out of date by a watch event: it was not executed,
        and the decisions choose anew. Sent by the old command, it could go out past the grace, which counts
        from when the event was told.
        """
        for endpoint in self.endpoints.values():
            concerned = [
                one
                for one in endpoint.waiting
                if isinstance(one, Attempt) and is_concerned(one.command, one.request)
            ]
            for attempt in concerned:
                self._stop(attempt, AttemptOutcome.SUPERSEDED)

    def apply_purge(self, purge: PurgeAnnounced) -> None:
        """Cancel what waits and concerns a purged object or group."""
        if purge.object:
            self.cancel_waiting(lambda command, request: request.event.object == purge.object)
        else:
            self.cancel_waiting(lambda command, request: request.event.group == purge.group)

    # Commands of the decisions

    def forward(self, command: ForwardRequest, request: ClientRequest, decided_at: int) -> None:
        """Begin an attempt; `decided_at` is on the front's clock."""
        attempt = Attempt(request, command, self.names, decided_at, self.limits.wait)
        request.attempt_count += 1
        request.attempts[attempt.number] = attempt
        if not request.is_open or attempt.deadline <= attempt.started_at:
            self.end_attempt(attempt, AttemptOutcome.SUPERSEDED)
        else:
            self.endpoints[command.endpoint].send(attempt)

    def probe(self, command: SendProbe, epoch: int = 0) -> None:
        """Send a health check; under a lease its tag has the epoch: a server can reject an older one."""
        number = next(self.probe_numbers)
        tag = b"p%d-e%d" % (number, epoch) if epoch else b"p%d" % number
        self.endpoints[command.endpoint].send(Probe(command.endpoint, tag, self.limits.wait))

    def close_idle(self, command: CloseIdleConnections) -> None:
        """Close the connections to an endpoint that have nothing out."""
        for connection in list(self.endpoints[command.endpoint].connections):
            if not connection.attempts:
                connection.drain()

    # How attempts and probes end

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt that the decisions do not need any more."""
        self._stop(attempt, AttemptOutcome.CANCELLED)

    def time_out(self, attempt: Attempt) -> None:
        """End an attempt whose time is over."""
        self._stop(attempt, AttemptOutcome.TIMED_OUT)

    def time_out_probe(self, probe: Probe) -> None:
        """End a probe whose time is over."""
        probe.connection.cancel(probe, timed_out=True)
        self.end_attempt(probe, AttemptOutcome.TIMED_OUT)

    def _stop(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """End an attempt early. One that was never sent whole was not executed, and a server that does not
        even read is out of reach.
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
        """Whether this attempt's client has gone, its FIN read or not; the attempt has ended then.

        Asked of the system before each attempt: a late iteration, or one that brings an answer before a FIN,
        can't know.
        """
        client = attempt.request.connection
        if client is None or not client.is_disconnected():
            return False
        client.disconnected_before_attempt()
        return True

    def cancel_unsent(self, request: ClientRequest) -> None:
        """The client has gone: what was not sent whole is not sent, idempotent or not."""
        for attempt in list(request.attempts.values()):
            connection = attempt.connection
            if connection is None or not connection.is_fully_sent(attempt) and len(connection.attempts) == 1:
                self._stop(attempt, AttemptOutcome.SUPERSEDED)

    def end_attempt(
        self, attempt: Attempt | Probe, outcome: AttemptOutcome, answer: Answer | None = None
    ) -> None:
        """Every attempt and probe ends here, once."""
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
        if outcome == AttemptOutcome.SUCCEEDED:
            is_not_modified = answer.word == NOT_MODIFIED
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
            )
        )
        if not request.is_open:
            self.clients.release_if_done(request)

    def sweep(self) -> None:
        """Forget endpoints, close what has been idle for long, before the server does, and what stalls in the
        middle of an answer.
        """
        now = clock()
        for ident in [ident for ident, endpoint in self.endpoints.items() if endpoint.is_forgettable(now)]:
            del self.endpoints[ident]
            del self.names[ident]
        for endpoint in self.endpoints.values():
            for connection in list(endpoint.connections):
                self._sweep_connection(connection, now)

    def _sweep_connection(self, connection: ServerConnection, now: int) -> None:
        quiet_for = now - connection.last_read_at
        is_mid_answer = connection.answer_line or connection.buffer
        if not connection.attempts and quiet_for > self.limits.cache_idle:
            connection.drain()
        elif is_mid_answer and quiet_for > self.limits.stall:
            name = connection.endpoint.name
            self.log.info("cache", "an answer stands still; connection closed", cache=name)
            connection.close(abort=True)
