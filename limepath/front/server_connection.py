"""A connection to a cache, a parent or the origin: sends commands, reads answers, and detects failures."""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import TYPE_CHECKING

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol
from twisted.internet.tcp import Connection as TcpConnection
from zope.interface import implementer

from limepath.front.attempt import Attempt, Probe
from limepath.front.clock import clock
from limepath.front.server_protocol import (
    ATTEMPT_STATUSES,
    LINE_END,
    OUTCOMES,
    PROBE_STATUSES,
    STATUSES_WITH_COPY,
    Answer,
    AnswerLine,
    ParseError,
    cancel_line,
    check_copy,
    parse_answer_line,
)
from limepath.front.transport_output import buffered_bytes

if TYPE_CHECKING:
    from limepath.front.server_endpoint import ServerEndpoint


class ConnectionState(Enum):
    """State of a connection to a server (docs/front.md lists the obligations in each state)."""

    CONNECTING = 0
    OPEN = 1
    DRAINING = 2  # accepts no new attempts; closes when none are in flight
    CLOSING = 3  # closed by this front; attempts in flight end when the transport reports the close
    CLOSED = 4


@implementer(IPushProducer)
class ServerConnection(Protocol):
    """A connection to a server; its answers may arrive in any order."""

    def __init__(self, endpoint: ServerEndpoint):
        self.endpoint = endpoint
        self.incarnation = endpoint.incarnation  # the server that this connection was opened to
        self.state = ConnectionState.CONNECTING
        self.attempts: dict[bytes, Attempt | Probe] = {}  # in flight on this connection, by tag
        self.recent_tags: deque[bytes] = deque(maxlen=endpoint.limits.remembered_tags)
        self.queued_bytes = 0  # total written to the transport since the connection was opened
        self.buffer = bytearray()  # received bytes of an incomplete answer
        self.answer_line: AnswerLine | None = None  # the first line of the incomplete answer
        self.output_blocked = False  # the kernel's send buffer is full
        self.is_unresponsive = False  # nothing received since an attempt or probe timed out
        self.last_read_at = clock()
        self.is_plain_tcp = False  # the transport can be flushed immediately
        self.is_reading_paused = False  # the front holds too many bytes of incomplete answers

    def connectionMade(self):
        self.state = ConnectionState.OPEN
        self.is_plain_tcp = isinstance(self.transport, TcpConnection)
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        if self.is_plain_tcp:
            self._limit_reads()

    def _limit_reads(self) -> None:
        """Let each read ask for memory first, because a read that is due can't be held back otherwise."""
        read = self.transport.doRead

        def read_if_permitted():
            if self.endpoint.servers.response_memory.may_read(self):
                return read()
            self.is_reading_paused = True
            self.transport.pauseProducing()
            return None

        self.transport.doRead = read_if_permitted

    def resume_reading(self) -> None:
        """Read again after a pause, which does not count as silence of the server."""
        self.is_reading_paused = False
        self.last_read_at = clock()
        self.transport.resumeProducing()

    def pauseProducing(self):
        self.output_blocked = True

    def resumeProducing(self):
        self.output_blocked = False
        self.endpoint.send_waiting()

    def stopProducing(self):
        self.output_blocked = True

    def can_send(self, tag: bytes) -> bool:
        """Return whether an attempt or probe with this tag may be sent on this connection.

        A tag used recently on this connection is refused, because a late or duplicate answer to it could be
        mistaken for the answer to the new attempt.
        """
        return (
            self.state is ConnectionState.OPEN
            and not (self.output_blocked or self.is_unresponsive or self.has_stray_bytes())
            and not self.is_reading_paused
            and tag not in self.attempts
            and tag not in self.recent_tags
            and len(self.attempts) < self.endpoint.limits.streams
        )

    def has_stray_bytes(self) -> bool:
        """Return whether received bytes belong to no attempt in flight and would corrupt the next answer."""
        if not (self.buffer or self.answer_line):
            return False
        return not self.attempts or (
            self.answer_line is not None and self.answer_line.tag not in self.attempts
        )

    def send(self, attempt: Attempt | Probe, *pieces: bytes) -> None:
        """Send a command as one gathered write."""
        if not self.attempts:
            self.endpoint.idle.remove(self)
        self.attempts[attempt.tag] = attempt
        attempt.connection = self
        self.recent_tags.append(attempt.tag)
        self.queued_bytes += sum(map(len, pieces))
        attempt.end_offset = self.queued_bytes
        self.transport.writeSequence(pieces)
        if self.is_plain_tcp:
            self._flush()

    def _flush(self) -> None:
        """Write buffered bytes to the socket immediately.

        Twisted would write them an iteration of the event loop later, and the client could disconnect in
        between. Write errors are still reported in the next iteration. If the kernel does not accept all
        bytes, the connection is blocked until it has, so that no other attempt is queued behind them.
        """
        self.transport.doWrite()
        if self.unsent_bytes():
            self.output_blocked = True
            self.transport.producerPaused = True  # makes the transport call resumeProducing when it is empty

    def _end_attempt(self, tag: bytes) -> None:
        del self.attempts[tag]
        if not self.attempts:
            self.endpoint.idle.append(self)

    def unanswered_since(self) -> int:
        """Return since when attempts have been unanswered, in microseconds of the front's clock."""
        return max(self.last_read_at, min(attempt.started_at for attempt in self.attempts.values()))

    def unsent_bytes(self) -> int:
        """Return how many bytes the kernel has not accepted yet.

        With TLS this is unknown and 0 is returned, as if all bytes had been sent.
        """
        if self.endpoint.uses_tls:
            return 0
        return buffered_bytes(self.transport)

    def is_fully_sent(self, attempt: Attempt | Probe) -> bool:
        """Return whether the kernel accepted the whole command; otherwise it cannot have been executed."""
        return attempt.end_offset <= self.queued_bytes - self.unsent_bytes()

    def cancel(self, attempt: Attempt | Probe, timed_out: bool = False) -> bool:
        """Cancel an attempt or probe, and return whether it may have been executed.

        After a timeout without any received bytes, nothing more is sent on this connection until the server
        answers again. If part of an answer has been received, the connection is drained.
        """
        self._end_attempt(attempt.tag)
        if not self.attempts and not self.is_fully_sent(attempt):
            self.close(abort=True)  # a partly sent command must never be completed
            return False
        if isinstance(attempt, Attempt):
            line = cancel_line(attempt.tag)
            self.queued_bytes += len(line)
            self.transport.write(line)
        if timed_out and self.last_read_at < attempt.started_at:
            self.is_unresponsive = True
        if self.has_stray_bytes():
            self.drain()
        self._close_if_done()
        return True

    def drain(self) -> None:
        """Accept no new attempts, and close when none are in flight."""
        if self.state is ConnectionState.OPEN:
            self.state = ConnectionState.DRAINING
        self._close_if_done()

    def _close_if_done(self) -> None:
        if (self.state is ConnectionState.DRAINING or self.is_unresponsive) and not self.attempts:
            self.close(abort=self.output_blocked or self.is_unresponsive or bool(self.buffer))

    def close(self, abort: bool = False) -> None:
        """Close the connection; with `abort`, discard unsent bytes and reset it.

        This is the only method that closes the transport.
        """
        if self.state in (ConnectionState.OPEN, ConnectionState.DRAINING):
            self.state = ConnectionState.CLOSING
            self.transport.abortConnection() if abort else self.transport.loseConnection()

    def close_if_silent_since(self, last_read_at: int) -> None:
        """Reset the connection if it has received nothing since `last_read_at` and is unresponsive.

        Called some time after the server has answered a probe on another connection.
        """
        if self.is_unresponsive and self.last_read_at == last_read_at:
            self.close(abort=True)

    def dataReceived(self, data):
        self.last_read_at = clock()
        self.is_unresponsive = False
        self.buffer += data
        try:
            while self.state is not ConnectionState.CLOSING and (answer := self._next_answer()):
                self._handle_answer(answer)
        except ParseError as error:
            self.endpoint.log.info("cache", f"{error}; connection closed", cache=self.endpoint.name)
            self.close(abort=True)
        self.endpoint.servers.response_memory.set_incomplete(self, len(self.buffer))

    def _next_answer(self) -> Answer | None:
        """Remove the next complete answer from the buffer and return it, or None if there is none."""
        limits = self.endpoint.limits
        if self.answer_line is None:
            end = self.buffer.find(LINE_END, 0, limits.line)
            if end < 0:
                if len(self.buffer) >= limits.line:
                    raise ParseError(f"answer line exceeds the limit of {limits.line} bytes")
                return None
            self.answer_line = parse_answer_line(bytes(self.buffer[:end]), limits.answer)
            del self.buffer[: end + len(LINE_END)]
        tag, status, fields, size = self.answer_line
        total = size + len(LINE_END)
        if len(self.buffer) < total:
            return None
        if self.buffer[size:total] != LINE_END:
            raise ParseError(f"no line end after a body of {size} bytes")
        body = bytes(self.buffer[:size])
        self.answer_line = None
        del self.buffer[:total]
        return Answer(tag, status, fields, body)

    def _handle_answer(self, answer: Answer) -> None:
        attempt = self.attempts.get(answer.tag)
        if attempt is None:
            return  # a late or duplicate answer, or an unknown tag
        is_probe = isinstance(attempt, Probe)
        if answer.status not in (PROBE_STATUSES if is_probe else ATTEMPT_STATUSES):
            raise ParseError(f"unexpected answer {answer.status!r} to {attempt.tag!r}")
        servers = self.endpoint.servers
        if answer.status in STATUSES_WITH_COPY:
            check_copy(attempt, answer, servers.reference)
        self._end_attempt(answer.tag)
        if is_probe:
            self.endpoint.probe_answered()
        servers.end_attempt(attempt, OUTCOMES[answer.status], answer)
        if self.endpoint.waiting:
            self.endpoint.send_waiting()
        if servers.connection_limit_reached and not self.attempts:
            servers.connection_freed()
        self._close_if_done()

    def connectionLost(self, reason):
        self.state = ConnectionState.CLOSED
        self.buffer = bytearray()
        self.endpoint.servers.response_memory.forget(self)
        self.endpoint.connection_lost(self)
