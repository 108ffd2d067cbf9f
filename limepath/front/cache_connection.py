"""One connection to a cache, a parent or the origin: commands out, answers in, and how it ends."""

from collections import deque
from enum import Enum

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol
from twisted.internet.tcp import Connection as TcpConnection
from zope.interface import implementer

from limepath.front.attempt import Attempt, Probing
from limepath.front.cache_protocol import (
    FORWARD_WORDS,
    PROBE_WORDS,
    VERDICTS,
    Unreadable,
    check_copy,
    read_answer,
)
from limepath.front.clock import clock


class State(Enum):
    """Of a connection to a cache (docs/front.md tells what is owed in each)."""

    CONNECTING = 0
    OPEN = 1
    RETIRED = 2  # takes nothing new, closes once nothing is out
    CLOSING = 3  # closed by this front; what is out ends once the transport has said so
    CLOSED = 4


@implementer(IPushProducer)
class CacheConnection(Protocol):
    """One connection: commands out, answers in, in any order."""

    def __init__(self, peer):
        self.peer, self.out, self.past, self.queued = peer, {}, deque(maxlen=peer.limits.past), 0
        self.leads_to = (peer.address, peer.since)
        self.buffer, self.answer = (
            bytearray(),
            None,
        )  # of what is unfinished, the bytes and the first line as read
        self.state, self.full, self.silent, self.heard = State.CONNECTING, False, False, clock()
        self.direct = False  # whether the transport is a plain TCP connection, which can be written at once

    def connectionMade(self):
        self.state, self.direct = State.OPEN, isinstance(self.transport, TcpConnection)
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)

    def pauseProducing(self):
        self.full = True

    def resumeProducing(self):
        self.full = False
        self.peer.send_waiting()

    def stopProducing(self):
        self.full = True

    def takes(self, tag):
        """Whether one more may go out here; a second or late answer to an id that was out here before could
        be taken for its next forward's."""
        return (
            self.state is State.OPEN
            and not (self.full or self.silent or self.stray())
            and tag not in self.out
            and tag not in self.past
            and len(self.out) < self.peer.limits.streams
        )

    def stray(self):
        """Whether bytes have come here that belong to nothing out: the next answer would be read behind
        them.
        """
        return bool(self.buffer or self.answer) and (
            not self.out or bool(self.answer) and self.answer[0] not in self.out
        )

    def send(self, attempt, *pieces):
        if not self.out:
            self.peer.idle.remove(self)
        self.out[attempt.tag], attempt.connection = attempt, self
        self.past.append(attempt.tag)
        self.queued += sum(map(len, pieces))
        attempt.end = self.queued
        self.transport.writeSequence(pieces)
        if self.direct:
            self.write_now()

    def write_now(self):
        """Hand over what is held now, and not a pass later, in which a client could go; errors come then.
        What the system does not take makes this connection full until it has: nothing waits behind that.
        """
        self.transport.doWrite()
        if self.unsent():
            self.full = self.transport.producerPaused = True  # so that it calls once all has gone out

    def done(self, tag):
        del self.out[tag]
        if not self.out:
            self.peer.idle.append(self)

    def quiet_since(self):
        """Since when something out here has heard nothing."""
        return max(self.heard, min(attempt.at for attempt in self.out.values()))

    def unsent(self):
        """Bytes that were never handed to the system. Behind TLS that can't be told: all may have gone."""
        if self.peer.caches.secured and self.peer.kind in self.peer.caches.secured.kinds:
            return 0
        held = self.transport
        return len(held.dataBuffer) - held.offset + sum(map(len, held._tempDataBuffer))

    def written(self, attempt):
        """Whether all of it was handed to the system; what was not can't have run."""
        return attempt.end <= self.queued - self.unsent()

    def give_up(self, attempt, unanswered=False):
        """Tell the cache that nobody waits; give whether it may have run. Where the cache has been silent
        since, nothing more is sent here until it speaks again, and nothing behind an answer that has
        begun.
        """
        self.done(attempt.tag)
        if not self.out and not self.written(attempt):  # half a command: closed, it never becomes a whole one
            self.end(abort=True)
            return False
        if isinstance(attempt, Attempt):
            line = b"QUIT %b\r\n" % attempt.tag
            self.queued += len(line)
            self.transport.write(line)
        self.silent |= unanswered and self.heard < attempt.at
        if self.stray():
            self.retire()
        self.close_if_done()
        return True

    def retire(self):
        if self.state is State.OPEN:
            self.state = State.RETIRED
        self.close_if_done()

    def close_if_done(self):
        if (self.state is State.RETIRED or self.silent) and not self.out:
            self.end(abort=self.full or self.silent or bool(self.buffer))

    def end(self, abort=False):
        """The one way in which this front closes a connection to a cache. Aborted, what is out on it has
        broken.
        """
        if self.state in (State.OPEN, State.RETIRED):
            self.state = State.CLOSING
            self.transport.abortConnection() if abort else self.transport.loseConnection()

    def dead(self, heard):
        """Another connection was answered a while ago, this one has not spoken: what is out has broken."""
        if self.silent and self.heard == heard:
            self.end(abort=True)

    def dataReceived(self, data):
        self.heard, self.silent = clock(), False
        self.buffer += data
        try:
            while self.state is not State.CLOSING and (answer := self.next_answer()):
                self.answered(*answer)
        except Unreadable as flaw:
            self.peer.log.say("cache", f"{flaw}; connection closed", cache=self.peer.name)
            self.end(abort=True)

    def next_answer(self):
        """Take the next whole answer out of what has come: (tag, word, fields, body), or None."""
        if self.answer is None:
            end = self.buffer.find(b"\r\n", 0, self.peer.limits.line)
            if end < 0:
                if len(self.buffer) >= self.peer.limits.line:
                    raise Unreadable("over-long line")
                return None
            self.answer = read_answer(bytes(self.buffer[:end]), self.peer.limits.answer)
            del self.buffer[: end + 2]
        tag, word, fields, size = self.answer
        if len(self.buffer) < size + 2:
            return None
        if self.buffer[size : size + 2] != b"\r\n":
            raise Unreadable("no line end where the length puts it")
        body, self.answer = bytes(self.buffer[:size]), None
        del self.buffer[: size + 2]
        return tag, word, fields, body

    def answered(self, tag, word, fields, body):
        attempt = self.out.get(tag)
        if attempt is None:
            return  # late, a second copy, or nobody's
        if word not in (PROBE_WORDS if isinstance(attempt, Probing) else FORWARD_WORDS):
            raise Unreadable(f"{word!r} is no answer to that")
        if word in (b"DONE", b"KEEP"):
            check_copy(attempt, word, fields, body, self.peer.caches.reference)
        self.done(tag)
        if isinstance(attempt, Probing):
            self.peer.answered_probe()
        self.peer.caches.ended(attempt, VERDICTS[word], word, fields, body)
        if self.peer.waiting:
            self.peer.send_waiting()
        if self.peer.caches.crowded and not self.out:
            self.peer.caches.freed()
        self.close_if_done()

    def connectionLost(self, reason):
        self.state = State.CLOSED
        self.peer.lost(self)
