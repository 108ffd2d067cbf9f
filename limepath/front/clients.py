"""The client side of a front: client connections, their requests, and one final answer to each request."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from limepath.front.answer_delivery import is_delivered
from limepath.front.client_connection import ClientConnection
from limepath.front.client_connection_state import ConnectionState
from limepath.front.client_disconnects import DisconnectCounter
from limepath.front.client_limit import ClientConnectionLimit
from limepath.front.client_listener import ClientListener
from limepath.front.client_request import ClientRequest, RequestState, parse_request
from limepath.front.clock import clock
from limepath.front.descriptors import descriptor_use
from limepath.front.graceful_shutdown import GracefulShutdown
from limepath.front.output_memory import OutputMemory
from limepath.front.request_head import RequestError, RequestHead
from limepath.front.request_memory import RequestMemory
from limepath.front.response import retry_after_field
from limepath.front.sent_transactions import SentTransactions
from limepath.interface.commands import CancelAttempt, FailRequest, RejectRequest
from limepath.interface.events import ClientDisconnected

if TYPE_CHECKING:
    from twisted.internet.interfaces import IStreamServerEndpoint

    from limepath.configuration.platform import Service
    from limepath.configuration.process_limits import Limits
    from limepath.front.attempt import Attempt
    from limepath.front.decision_loop import DecisionLoop
    from limepath.front.servers import Servers
    from limepath.log import Log

MICROSECONDS_PER_SECOND = 1e6


class Clients:
    """Owns all client connections, and all requests that are unanswered or have an attempt in flight."""

    servers: Servers  # set by `DecisionLoop.connect`

    def __init__(
        self,
        reactor,
        decision_loop: DecisionLoop,
        limits: Limits,
        log: Log,
        services: dict[bytes, Service],
    ):
        self.reactor = reactor
        self.decision_loop = decision_loop
        self.limits = limits
        self.log = log
        self.services = services  # by name; see `client_request.parse_request`
        self.connections: set[ClientConnection] = set()
        self.requests: dict[int, ClientRequest] = {}  # by id
        self.transaction_ids: set[bytes] = set()  # transaction ids of open requests
        longest_deadline = max((service.max_deadline for service in services.values()), default=0)
        self.sent_transactions = SentTransactions(longest_deadline + limits.repeat_margin)
        self.request_ids = count(1)
        self.released: list[ClientRequest] = []  # removed after the next call of the decision engine
        self.read_delay = lambda: 0  # returns the maximum age of the data read last, in microseconds
        self.is_waiting_for_list = False  # whether the endpoint list is not confirmed yet
        self.disconnects = DisconnectCounter(log)
        self.listener = ClientListener(self)
        self.connection_limit = ClientConnectionLimit(self)
        self.request_memory = RequestMemory(limits.request_bytes)
        self.output_memory = OutputMemory(self)
        self.shutdown = GracefulShutdown(self)

    def listen(self, endpoint: IStreamServerEndpoint) -> Deferred:
        """Listen on a Twisted server endpoint; return a Deferred that fires once clients can connect."""
        return self.listener.listen(endpoint)

    @property
    def is_healthy(self) -> bool:
        """Whether the health check answers 200, so that load balancers send new clients."""
        return not (self.shutdown.is_started or self.is_waiting_for_list)

    def accept_request(
        self, connection: ClientConnection, head: RequestHead, body: bytes, arrived_at: int | None = None
    ) -> None:
        """Accept a request, or answer 503 if too many are open.

        `arrived_at` is when its last byte arrived, in microseconds on the monotonic clock; by default now.

        Raises:
            RequestError: the request is invalid.
        """
        if arrived_at is None:
            arrived_at = clock()
        request = parse_request(next(self.request_ids), connection, head, body, self.services, arrived_at)
        if request.transaction_id in self.transaction_ids:  # caches identify requests by this id
            raise RequestError(409, "X-Txn: another open request has this id")
        if len(self.requests) >= self.limits.open_requests:
            self.log.info("open", "request shed: too many open requests", gets=len(self.requests))
            self._reject_unaccepted(connection)
            return
        if not self.request_memory.add_body(len(body)):
            self.log.info("memory", "request shed: the bodies of open requests fill their part of the memory")
            self._reject_unaccepted(connection)
            return
        if self.sent_transactions.has(request.transaction_id, clock()):
            self.log.info("client", "X-Txn: an earlier request with this id may have run", status=502)
            request.mark_as_repeat()
        self.requests[request.id] = request
        connection.request = request
        connection.client_deadline = request.deadline
        self.transaction_ids.add(request.transaction_id)
        answer_deadline = self.shutdown.answer_deadline
        if answer_deadline is not None and request.deadline > answer_deadline:
            request.shorten_deadline(answer_deadline)
        time_left = request.event.time_left
        request.timer = self.reactor.callLater(
            time_left / MICROSECONDS_PER_SECOND, self._deadline_passed, request
        )
        self.decision_loop.gather(request.event)

    def _reject_unaccepted(self, connection: ClientConnection) -> None:
        connection.send_response(503, retry_after_field(self.limits.overload_retry_after))

    def _deadline_passed(self, request: ClientRequest) -> None:
        """Time out all attempts in flight.

        The decision engine then answers; if it does not, `_fail_unanswered` does after `Limits.backstop`.
        """
        request.timer = None
        for attempt in list(request.attempts.values()):
            self.servers.time_out(attempt)
        if request.is_open:
            backstop = self.limits.backstop
            request.timer = self.reactor.callLater(
                backstop / MICROSECONDS_PER_SECOND, self._fail_unanswered, request
            )

    def _fail_unanswered(self, request: ClientRequest) -> None:
        request.timer = None
        self.log.info("backstop", "request had no answer by its deadline; answered 504", ds=request.service)
        self.decision_loop.gather(ClientDisconnected(request.id))
        self._answer(request, 504)

    def client_disconnected(self, request: ClientRequest) -> None:
        """Abandon a request whose client has disconnected."""
        request.end(RequestState.ABANDONED)
        self.transaction_ids.discard(request.transaction_id)
        self.servers.cancel_unsent(request)
        self.decision_loop.gather(ClientDisconnected(request.id))
        self.release_if_done(request)

    def attempt_written(self, attempt: Attempt) -> None:
        """Note that an attempt was written to its server, so that its request may run from now on."""
        request = attempt.request
        now = clock()
        request.attempt_start_times.append(now)
        request.possible_executions.add(attempt.number)
        if not request.is_idempotent:
            self.sent_transactions.add(request.transaction_id, now)

    def attempt_not_executed(self, attempt: Attempt) -> None:
        """Note that an attempt certainly had no effect."""
        request = attempt.request
        request.possible_executions.discard(attempt.number)
        if not (request.is_idempotent or request.possible_executions or request.event.may_have_run):
            self.sent_transactions.discard(request.transaction_id)

    def answer_with_copy(
        self, request: ClientRequest, is_not_modified: bool, tag: bytes | None, body: bytes
    ) -> None:
        """Answer with the body of a server's answer, or 304; the answer to a write has no `tag`."""
        fields = b'ETag: "%b"\r\n' % tag if tag else b""
        if is_not_modified:
            self._answer(request, 304, fields)
        else:
            self._answer(request, 200, fields, body)

    def reject(self, command: RejectRequest) -> None:
        """Answer 503 with the time after which the client may retry."""
        if request := self.requests.get(command.request):
            self._answer(request, 503, retry_after_field(command.retry_after))

    def fail(self, command: FailRequest) -> None:
        """Answer 502, because the request may have had an effect."""
        if request := self.requests.get(command.request):
            self._answer(request, 502)

    def _answer(self, request: ClientRequest, status: int, fields: bytes = b"", body: bytes = b"") -> None:
        """Send the final answer, unless the request has ended already."""
        if not request.is_open:
            return
        connection = request.end(RequestState.ANSWERED)
        self.transaction_ids.discard(request.transaction_id)
        connection.send_response(status, fields, body)
        self.release_if_done(request)

    def release_if_done(self, request: ClientRequest) -> None:
        """Mark an ended request without attempts for removal.

        It is removed only once the decision engine has processed all its events: until then the engine may
        start another attempt, whose outcome has to be reported.
        """
        if request.attempts:
            return
        if request.timer is not None:
            request.timer.cancel()
            request.timer = None
        self.released.append(request)

    def forget_released(self) -> None:
        """Remove released requests after the decision engine has processed all events."""
        released = self.released
        self.released = []
        for request in released:
            if not request.attempts and request.id in self.requests:
                del self.requests[request.id]
                self.request_memory.remove_body(len(request.body))
        self.shutdown.check_finished()

    def cancel_attempt(self, command: CancelAttempt) -> None:
        """Cancel an attempt that is still in flight."""
        request = self.requests.get(command.request)
        attempt = request and request.attempts.get(command.attempt)
        if attempt:
            self.servers.cancel(attempt)

    def sweep(self) -> None:
        """Close connections that were idle, in the middle of a request or blocked on output for too long.

        If clients hold all descriptors reserved for them, log the use of descriptors.
        """
        if len(self.connections) >= self.limits.client_connections:
            self.log.info("descriptors-by-use", **descriptor_use(self, self.servers, self.limits)._asdict())
        now = clock()
        for connection in list(self.connections):
            if connection.request is None and now > self._expires_at(connection):
                self._close_expired(connection, now)

    def _close_expired(self, connection: ClientConnection, now: int) -> None:
        may_send = connection.is_between_requests and not connection.output_blocked
        if may_send and not connection.close_deferred and connection.has_unread_bytes():
            connection.close_deferred = True  # only once: the unread bytes may be a request
            return
        is_idle = connection.state is ConnectionState.IDLE and connection.has_requested
        is_receiving = connection.is_awaited(now) and not is_delivered(connection.transport)
        if (is_idle or is_receiving) and not connection.output_blocked:
            connection.close_gracefully()
        else:
            connection.close(abort=connection.state is not ConnectionState.DELIVERED)

    def _expires_at(self, connection: ClientConnection) -> int:
        """Return when this connection is closed if nothing happens on it, in microseconds.

        A client that has not received its answer is not cut off while it waits for it.
        """
        connection.check_delivery()
        limits = self.limits
        since = connection.last_activity_at
        if connection.state is ConnectionState.DELIVERED:
            return since + limits.half_close_timeout
        if connection.output_blocked or connection.is_closing:
            return max(since + limits.undrained_timeout, connection.client_deadline or 0)
        if connection.buffer or not connection.has_requested:
            return since + limits.request_read_timeout
        return since + limits.client_idle_timeout
