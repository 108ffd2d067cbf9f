"""One connection to a cache, a parent or the origin: commands out, answers in, and how it ends."""

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
    ATTEMPT_WORDS,
    LINE_END,
    OUTCOMES,
    PROBE_WORDS,
    WITH_COPY,
    Answer,
    AnswerLine,
    ParseError,
    cancel_line,
    check_copy,
    parse_answer_line,
)

if TYPE_CHECKING:
    from limepath.front.server_endpoint import ServerEndpoint


class ConnectionState(Enum):
    """State of a connection to a server (docs/front.md tells what is owed in each)."""

    CONNECTING = 0
    OPEN = 1
    DRAINING = 2  # takes nothing new, closes once nothing is out
    CLOSING = 3  # closed by this front; what is out ends once the transport has said so
    CLOSED = 4


@implementer(IPushProducer)
class ServerConnection(Protocol):
    """One connection: commands out, answers in, in any order."""

    def __init__(self, endpoint: ServerEndpoint):
        self.endpoint = endpoint
        self.incarnation = endpoint.incarnation  # of the server that it leads to
        self.state = ConnectionState.CONNECTING
        self.attempts: dict[bytes, Attempt | Probe] = {}  # what is out on it, by tag
        self.recent_tags: deque[bytes] = deque(maxlen=endpoint.limits.remembered_tags)
        self.queued_bytes = 0  # ever written to the transport
        self.buffer = bytearray()  # of an answer that is not complete
        self.answer_line: AnswerLine | None = None  # the first line of that answer
        self.output_blocked = False  # the system did not take all that was written
        self.is_unresponsive = False  # nothing has come since an attempt or probe that timed out
        self.last_read_at = clock()
        self.is_plain_tcp = False  # the transport can be written at once

    def connectionMade(self):
        self.state = ConnectionState.OPEN
        self.is_plain_tcp = isinstance(self.transport, TcpConnection)
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)

    def pauseProducing(self):
        self.output_blocked = True

    def resumeProducing(self):
        self.output_blocked = False
        self.endpoint.send_waiting()

    def stopProducing(self):
        self.output_blocked = True

    def can_send(self, tag: bytes) -> bool:
        """Whether one more may go out here.

        A second or late answer to a tag that was out here before could be taken for that of the next attempt.
        """
        return (
            self.state is ConnectionState.OPEN
            and not (self.output_blocked or self.is_unresponsive or self.has_stray_bytes())
            and tag not in self.attempts
            and tag not in self.recent_tags
            and len(self.attempts) < self.endpoint.limits.streams
        )

    def has_stray_bytes(self) -> bool:
        """Whether bytes have come that belong to nothing out: the next answer would be read behind them."""
        if not (self.buffer or self.answer_line):
            return False
        return not self.attempts or (
            self.answer_line is not None and self.answer_line.tag not in self.attempts
        )

    def send(self, attempt: Attempt | Probe, *pieces: bytes) -> None:
        """Send a command, in one gathered write."""
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
        """Hand over what is buffered now, and not an iteration later, in which a client could disconnect;
        errors come then. What the system does not take blocks the connection until it has: nothing waits
        behind that.
        """
        self.transport.doWrite()
        if self.unsent_bytes():
            self.output_blocked = True
            self.transport.producerPaused = True  # so that it calls once all has gone out

    def _end_attempt(self, tag: bytes) -> None:
        del self.attempts[tag]
        if not self.attempts:
            self.endpoint.idle.append(self)

    def quiet_since(self) -> int:
        """Since when something out here has had no answer, on the front's clock."""
        return max(self.last_read_at, min(attempt.started_at for attempt in self.attempts.values()))

    def unsent_bytes(self) -> int:
        """Bytes that were never handed to the system. Behind TLS that can't be told: all may have gone."""
        if self.endpoint.is_secured:
            return 0
        transport = self.transport
        return len(transport.dataBuffer) - transport.offset + sum(map(len, transport._tempDataBuffer))

    def is_fully_sent(self, attempt: Attempt | Probe) -> bool:
        """Whether all of it was handed to the system; otherwise it can't have been executed."""
        return attempt.end_offset <= self.queued_bytes - self.unsent_bytes()

    def cancel(self, attempt: Attempt | Probe, timed_out: bool = False) -> bool:
        """Tell the server that nobody waits; give whether the attempt may have been executed.

        Where nothing has come since it timed out, nothing more is sent here until the server answers again,
        and nothing behind an answer that has begun.
        """
        self._end_attempt(attempt.tag)
        if not self.attempts and not self.is_fully_sent(attempt):
            self.close(abort=True)  # half a command must never become a complete one
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
        """Take nothing new, and close once nothing is out."""
        if self.state is ConnectionState.OPEN:
            self.state = ConnectionState.DRAINING
        self._close_if_done()

    def _close_if_done(self) -> None:
        if (self.state is ConnectionState.DRAINING or self.is_unresponsive) and not self.attempts:
            self.close(abort=self.output_blocked or self.is_unresponsive or bool(self.buffer))

    def close(self, abort: bool = False) -> None:
        """Close the connection, here and nowhere else. With `abort`, all out on it is reset."""
        if self.state in (ConnectionState.OPEN, ConnectionState.DRAINING):
            self.state = ConnectionState.CLOSING
            self.transport.abortConnection() if abort else self.transport.loseConnection()

    def close_if_quiet_since(self, last_read_at: int) -> None:
        """Another connection was answered a while ago: if this one still is silent, what is out is reset."""
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

    def _next_answer(self) -> Answer | None:
        """Take the next complete answer out of the buffer."""
        limits = self.endpoint.limits
        if self.answer_line is None:
            end = self.buffer.find(LINE_END, 0, limits.line)
            if end < 0:
                if len(self.buffer) >= limits.line:
                    raise ParseError("over-long line")
                return None
            self.answer_line = parse_answer_line(bytes(self.buffer[:end]), limits.answer)
            del self.buffer[: end + len(LINE_END)]
        tag, word, fields, size = self.answer_line
        total = size + len(LINE_END)
        if len(self.buffer) < total:
            return None
        if self.buffer[size:total] != LINE_END:
            raise ParseError("no line end where the length puts it")
        body = bytes(self.buffer[:size])
        self.answer_line = None
        del self.buffer[:total]
        return Answer(tag, word, fields, body)

    def _handle_answer(self, answer: Answer) -> None:
        attempt = self.attempts.get(answer.tag)
        if attempt is None:
            return  # late, a second copy, or nobody's
        is_probe = isinstance(attempt, Probe)
        if answer.word not in (PROBE_WORDS if is_probe else ATTEMPT_WORDS):
            raise ParseError(f"{answer.word!r} is no answer to that")
        servers = self.endpoint.servers
        if answer.word in WITH_COPY:
            check_copy(attempt, answer, servers.reference)
        self._end_attempt(answer.tag)
        if is_probe:
            self.endpoint.probe_answered()
        servers.end_attempt(attempt, OUTCOMES[answer.word], answer)
        if self.endpoint.waiting:
            self.endpoint.send_waiting()
        if servers.lacks_connections and not self.attempts:
            servers.connection_freed()
        self._close_if_done()

    def connectionLost(self, reason):
        self.state = ConnectionState.CLOSED
        self.endpoint.connection_lost(self)
