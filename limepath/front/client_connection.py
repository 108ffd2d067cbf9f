"""The server side of HTTP/1.1 on one client connection: requests, answers and the closing sequence."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.interfaces import IHalfCloseableProtocol, IPushProducer
from twisted.internet.protocol import Protocol
from twisted.internet.tcp import Connection as TcpConnection
from zope.interface import implementer

from limepath.front.answer_delivery import is_delivered
from limepath.front.client_connection_state import CLOSING_STATES, ConnectionState
from limepath.front.client_disconnects import has_ended, since_last_data, since_last_packet
from limepath.front.clock import clock
from limepath.front.readiness import is_readable
from limepath.front.request_head import RequestError, RequestHead, body_size, empty_lines_size, parse_head
from limepath.front.response import response_head
from limepath.front.transport_output import flush, unsent_bytes

if TYPE_CHECKING:
    from limepath.front.client_request import ClientRequest
    from limepath.front.clients import Clients

HEALTH_TARGET = b"/_health"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@implementer(IPushProducer, IHalfCloseableProtocol)
class ClientConnection(Protocol):
    """A client connection, which handles one request at a time."""

    def __init__(self, clients: Clients):
        self.clients = clients
        self.state = ConnectionState.IDLE
        self.buffer = bytearray()  # unparsed input
        self.head: RequestHead | None = None  # the parsed head of a request whose body is incomplete
        self.request: ClientRequest | None = None  # the open request
        # Until when the client waits for the answer to its last request, microseconds; None before the first.
        self.client_deadline: int | None = None
        self.is_persistent = True  # whether the connection stays open after the next answer
        self.has_requested = False  # whether a complete request has arrived
        self.output_blocked = False  # whether the send buffer is full because the client does not read
        self.discarded_bytes = 0  # since the lingering close began
        self.close_deferred = False  # whether a sweep has deferred the close because of unread bytes
        self.last_activity_at = clock()
        # Microseconds; the first request may be as old as the connection.
        self.accept_delay = clients.read_delay()

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.clients.connections.add(self)
        self.clients.connection_limit.count_changed()

    def pauseProducing(self):
        self.output_blocked = True
        self.last_activity_at = clock()
        self.transport.pauseProducing()

    def resumeProducing(self):
        self.output_blocked = False
        self.clients.output_memory.discard(self)
        self.last_activity_at = clock()
        self.transport.resumeProducing()
        if self.buffer and self.state is ConnectionState.IDLE:
            data = bytes(self.buffer)
            self.buffer = bytearray()
            self.dataReceived(data)

    def stopProducing(self):
        self.output_blocked = False

    def dataReceived(self, data):
        if self.is_closing:  # the client retries a request, or this follows a rejected request
            self._discard(data)
            return
        if self.output_blocked:
            # Input was read in the same iteration in which output got blocked. While reading is paused, a
            # disconnect would go unnoticed, so the request starts only after output is unblocked.
            self.buffer += data
            self.clients.request_memory.set_incomplete(self, len(self.buffer))
            return
        if not self.buffer and self.has_requested:
            self.last_activity_at = clock()
        self.buffer += data
        self._handle_input()
        self.clients.request_memory.set_incomplete(self, len(self.buffer))

    def _handle_input(self) -> None:
        try:
            if self.request is not None:  # the body exceeds its Content-Length, or requests are pipelined
                raise RequestError(400, "unexpected bytes after an open request")
            self.state = ConnectionState.READING
            self._parse_buffer()
        except RequestError as error:
            self._reject(error)

    def _discard(self, data: bytes) -> None:
        self.discarded_bytes += len(data)
        if self.discarded_bytes > self.clients.limits.max_discarded_bytes:
            self.transport.pauseProducing()

    def _reject(self, error: RequestError) -> None:
        self.clients.log.info("client", str(error), status=error.status)
        if self.request is not None:
            self.clients.client_disconnected(self.request)
        self.is_persistent = False
        self.buffer = bytearray()
        self.send_response(error.status)

    def reject_incomplete_request(self) -> None:
        """Answer 503 to the incomplete request, which the front has no memory for, and close."""
        self._reject(RequestError(503, "too many bytes of incomplete requests; rejected the oldest"))

    def _parse_buffer(self) -> None:
        if self.head is None:
            limits = self.clients.limits
            del self.buffer[: empty_lines_size(self.buffer, limits.head)]
            self.head = parse_head(self.buffer, limits.head, limits.fields)
            if self.head is None:
                self.state = ConnectionState.READING if self.buffer else ConnectionState.IDLE
                return
        head = self.head
        request_size = head.length + body_size(head, self.clients.limits.body)
        if len(self.buffer) < request_size:
            if b"expect" in head.fields:
                del head.fields[b"expect"]
                self.transport.write(CONTINUE)
            return
        if len(self.buffer) > request_size:
            raise RequestError(400, "unexpected bytes after the end of the request")
        body = bytes(self.buffer[head.length :])
        self.buffer = bytearray()
        self.head = None
        self.last_activity_at = clock()
        self.has_requested = True
        if b"close" in head.fields.get(b"connection", b"").lower():
            self.is_persistent = False
        self._handle_request(head, body)

    def _handle_request(self, head: RequestHead, body: bytes) -> None:
        if head.target == HEALTH_TARGET and head.method == b"GET":
            self.send_response(200 if self.clients.is_healthy else 503)
        else:
            self.state = ConnectionState.AWAITING_ANSWER
            self.clients.accept_request(self, head, body, self._last_byte_at())

    def _last_byte_at(self) -> int:
        """Return when the last byte arrived, by TCP_INFO or else by the time between two polls.

        The clock is read first, so that the result is too early, not too late, if the process is stopped
        in this function.
        """
        now = clock()
        delay = max(self.clients.read_delay(), self.accept_delay)
        self.accept_delay = 0
        return now - (since_last_data(self.transport.socket) or delay)

    def send_response(self, status: int, fields: bytes = b"", body: bytes = b"") -> None:
        """Write a complete answer, with head and body in one gathered write."""
        self.request = None
        self.last_activity_at = clock()
        self.state = ConnectionState.IDLE
        self.close_deferred = False
        if self.clients.shutdown.is_started:
            self.is_persistent = False
        head = response_head(status, fields, len(body), self.is_persistent)
        self.transport.writeSequence((head, body) if body else (head,))
        flush(self.transport)  # only what the kernel does not accept waits for the client to read
        if self.output_blocked:
            self.clients.output_memory.add(self)
        if not self.is_persistent:
            self.close_gracefully()

    @property
    def is_closing(self) -> bool:
        """Whether the front has begun to close the connection and discards its input."""
        return self.state in CLOSING_STATES

    @property
    def is_between_requests(self) -> bool:
        """Whether the connection is idle or reading a request."""
        return self.state in (ConnectionState.IDLE, ConnectionState.READING)

    def close_gracefully(self) -> None:
        """Begin a lingering close: send buffered output and the FIN, and discard input for a limited time.

        Closing a socket with unread bytes would reset the connection, and the client could lose the answer. A
        request that was not read before is not accepted; the client retries it. The descriptor stays in use
        until the close is complete.
        """
        if self.is_closing or self.state is ConnectionState.CLOSED:
            return
        at_once = self._can_end_at_once()
        self.state = ConnectionState.LINGERING
        self.is_persistent = False
        self.last_activity_at = clock()
        self.discarded_bytes = 0
        self.buffer = bytearray()
        self.clients.request_memory.set_incomplete(self, 0)
        self.transport.unregisterProducer()  # a registered producer would keep the connection open
        self._end_output(at_once)

    def close(self, abort: bool) -> None:
        """Close the connection, with `abort` immediately, else once buffered output was sent.

        For connections without an open request, and for those whose client has not read for too long.
        """
        if self.state is ConnectionState.CLOSED:
            return
        at_once = self._can_end_at_once()
        if self.state not in (ConnectionState.HALF_CLOSED, ConnectionState.DELIVERED):
            self.state = ConnectionState.LINGERING
        self.transport.unregisterProducer()
        if at_once:
            self._end_output(at_once=True)
        self.transport.abortConnection() if abort else self.transport.loseConnection()

    def _can_end_at_once(self) -> bool:
        """Whether no request is open and the kernel has accepted all output."""
        if self.request is not None or not self.is_between_requests:
            return False
        return isinstance(self.transport, TcpConnection) and not unsent_bytes(self.transport)

    def _end_output(self, at_once: bool) -> None:
        """Send the FIN after buffered output.

        With `at_once` it is sent now instead of in the next iteration, because a request that arrives in
        between would be lost.
        """
        self.transport.loseWriteConnection()
        if at_once:
            self.transport.doWrite()

    def has_unread_bytes(self) -> bool:
        """Whether the socket has unread bytes or an unread FIN."""
        return is_readable(self.transport.fileno())

    def writeConnectionLost(self):
        """Wait until the client has all output, which the kernel holds now, and closes."""
        self.last_activity_at = clock()
        self.state = ConnectionState.HALF_CLOSED
        self.output_blocked = False
        self.clients.output_memory.discard(self)
        self.transport.resumeProducing()

    def check_delivery(self) -> None:
        """Note that the client has its last answer if the kernel says so, which reports no event for it."""
        if self.state is ConnectionState.HALF_CLOSED and is_delivered(self.transport):
            self.last_activity_at = clock()
            self.state = ConnectionState.DELIVERED

    def is_awaited(self, now: int) -> bool:
        """Whether the client still waits for its last answer, if it does not have it yet."""
        return self.client_deadline is not None and now < self.client_deadline

    def is_disconnected(self) -> bool:
        """Whether the client's FIN or reset has arrived, even if it is still unread."""
        return has_ended(self.transport.socket)

    def disconnected_before_attempt(self) -> None:
        """Abandon the open request, whose client disconnected before the next attempt, and close."""
        since_disconnect = since_last_packet(self.transport.socket)
        self.clients.disconnects.attempt_prevented(self.request.attempt_count - 1, since_disconnect)
        self._abandon_request()
        self.close(abort=True)

    def readConnectionLost(self):
        """Handle the client's FIN. A close cannot be distinguished from a half-close.

        If a request is open, the client counts as disconnected. Otherwise it may still read buffered output.
        """
        if self.request is None:
            self.close(abort=False)
            return
        start_times = self.request.attempt_start_times
        if start_times:
            disconnected_at = clock() - since_last_packet(self.transport.socket)
            self.clients.disconnects.disconnect_read(start_times, disconnected_at)
        self._abandon_request()
        self.close(abort=True)

    def _abandon_request(self) -> None:
        request = self.request
        self.request = None
        if request is not None:
            self.clients.client_disconnected(request)

    def connectionLost(self, reason):
        self.state = ConnectionState.CLOSED
        self.clients.connections.discard(self)
        self.clients.request_memory.set_incomplete(self, 0)
        self.clients.output_memory.discard(self)
        self.clients.connection_limit.closing.discard(self)
        self._abandon_request()
        self.clients.connection_limit.count_changed()
        self.clients.shutdown.check_finished()
