"""One client's connection: a request in, its answer out, and how it ends."""

import select
from enum import Enum

from twisted.internet.interfaces import IHalfCloseableProtocol, IPushProducer
from twisted.internet.protocol import Protocol
from twisted.internet.tcp import Connection as TcpConnection
from zope.interface import implementer

from limepath.front.client_request import Flaw, read_head, whole_number
from limepath.front.clock import clock
from limepath.front.departures import has_ended, since_last_data, since_last_packet

REASONS = {
    200: b"OK",
    304: b"Not Modified",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    409: b"Conflict",
    411: b"Length Required",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
    505: b"HTTP Version Not Supported",
}
YOUNG = 4  # place in line for a close of a connection that has just come
HEALTH = b"/_health"


class State(Enum):
    """Of a client's connection (docs/front.md tells what is owed in each)."""

    RESTING = 0  # new, or kept after an answer
    READING = 1  # a part of a request has come
    OPEN = 2  # a request is owed its answer
    LINGERING = (
        3  # nothing more is taken: what is held goes out, then the end, then what still comes is dropped
    )
    CLOSED = 4


@implementer(IPushProducer, IHalfCloseableProtocol)
class ClientConnection(Protocol):
    """One client's connection: one GET at a time."""

    def __init__(self, clients):
        self.clients, self.buffer, self.get, self.state = clients, bytearray(), None, State.RESTING
        self.head, self.last, self.stuck, self.moved = None, False, False, clock()
        self.asked, self.dropped, self.flushed = False, 0, False
        self.spared = False  # kept by the last sweep for what lay unread on it
        self.came_late = clients.lateness()  # its first request may have come along

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.clients.connections.add(self)
        self.clients.counted()

    def pauseProducing(self):
        self.stuck, self.moved = True, clock()
        self.transport.pauseProducing()
        self.clients.one_more_stuck()

    def resumeProducing(self):
        self.stuck, self.moved = False, clock()
        self.transport.resumeProducing()
        if self.buffer and self.state is State.RESTING:
            data, self.buffer = bytes(self.buffer), bytearray()
            self.dataReceived(data)

    def stopProducing(self):
        self.stuck = False

    def dataReceived(self, data):
        if self.state is State.LINGERING:  # its client sends it again, or it is what comes behind a refusal
            self.dropped += len(data)
            if self.dropped > self.clients.limits.dropped:
                self.transport.pauseProducing()
            return
        if self.stuck:  # read in the pass in which the answer got stuck; a GET open here would be unwatched
            self.buffer += data
            return
        if not self.buffer and self.asked:
            self.moved = clock()
        self.buffer += data
        try:
            if self.get is not None:
                raise Flaw(400, "bytes behind an open GET")  # more body than was said, or another's GET
            self.state = State.READING
            self.read()
        except Flaw as flaw:
            self.clients.log.say("client", str(flaw), status=flaw.status)
            if self.get is not None:
                self.clients.left(self.get)
            self.last, self.buffer = True, bytearray()
            self.write(flaw.status)

    def read(self):
        limits = self.clients.limits
        if self.head is None:
            while self.buffer[:2] == b"\r\n":  # an empty line before a head says nothing
                del self.buffer[:2]
            self.head = read_head(self.buffer, limits.head, limits.fields)
            if self.head is None:
                self.state = State.READING if self.buffer else State.RESTING
                return
        method, target, fields, length = self.head
        if b"transfer-encoding" in fields:
            raise Flaw(501, "transfer coding")
        if method == b"PUT" and b"content-length" not in fields:
            raise Flaw(411, "no Content-Length")
        size = whole_number(fields.get(b"content-length", b"0"), 10**15, "Content-Length")
        if size > limits.body:
            raise Flaw(413, "body too large")
        if size and method != b"PUT":
            raise Flaw(400, "a body where none belongs")
        if len(self.buffer) < length + size:
            if b"expect" in fields:
                del fields[b"expect"]
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            return
        if len(self.buffer) > length + size:
            raise Flaw(400, "pipelined bytes")
        body = bytes(self.buffer[length:])
        self.buffer, self.head, self.moved, self.asked = bytearray(), None, clock(), True
        self.last |= b"close" in fields.get(b"connection", b"").lower()
        if target == HEALTH and method == b"GET":
            self.write(503 if self.clients.leaving or self.clients.unready else 200)
        else:
            self.state = State.OPEN
            self.clients.arrived(self, method, target, fields, body, self.arrived_at())

    def arrived_at(self):
        """When the last byte that was read came: as the system tells, or by the time that this front took
        between its looks. The clock is read first: a standstill behind it makes this earlier, not later.
        """
        now = clock()
        late, self.came_late = max(self.clients.lateness(), self.came_late), 0
        return now - (since_last_data(self.transport.socket) or late)

    def write(self, status, fields=b"", body=b""):
        """Write one whole answer, head and body in one gathered write."""
        self.get, self.moved, self.state, self.spared = None, clock(), State.RESTING, False
        self.last |= self.clients.leaving
        length = b"" if status == 304 else b"Content-Length: %d\r\n" % len(body)
        head = b"HTTP/1.1 %d %b\r\n%b%b%b\r\n" % (
            status,
            REASONS[status],
            length,
            fields,
            b"Connection: close\r\n" if self.last else b"",
        )
        self.transport.writeSequence((head, body) if body else (head,))
        if self.last:
            self.finish()

    def standing(self, now):
        """What is closed first where room is wanted: those that have their end, the silent, what has been
        half read for a while (a flood of slow senders must not keep all others out), the idle, those who have
        just come, and last those that still take an answer.
        """
        young = now - self.moved < self.clients.limits.young
        if self.stuck:
            place = 5
        elif self.state is State.LINGERING:
            place = 0 if self.flushed else 5
        elif young and (self.buffer or not self.asked):
            place = YOUNG
        else:
            place = 2 if self.buffer else 3 if self.asked else 1
        return place, self.moved

    def finish(self):
        """A lingering close: all that is held goes out, then the end; what still comes is read and dropped
        for a bounded time, as a close on unread bytes would reset the connection and take the answer along.
        What was not read before is not taken: its client sends it again. It costs the descriptor for that
        time.
        """
        if self.state in (State.LINGERING, State.CLOSED):
            return
        at_once = self.owes_nothing()
        self.state, self.last, self.moved, self.dropped, self.buffer = (
            State.LINGERING,
            True,
            clock(),
            0,
            bytearray(),
        )
        self.transport.unregisterProducer()  # one that stays registered would keep the connection
        self.end_writing(at_once)

    def close(self, abort):
        """End it now: after what is held has gone out, or at once. Nothing is owed, or for too long not
        taken.
        """
        if self.state is not State.CLOSED:
            owes_nothing = self.owes_nothing()
            self.state = State.LINGERING
            self.transport.unregisterProducer()
            if owes_nothing:
                self.end_writing(at_once=True)
            self.transport.abortConnection() if abort else self.transport.loseConnection()

    def owes_nothing(self):
        """Whether its end can go out at once: no request is open, and the system has taken all that was
        written.
        """
        held = self.transport
        rests = self.get is None and self.state in (State.RESTING, State.READING)
        return rests and isinstance(held, TcpConnection) and not (held.dataBuffer or held._tempDataBuffer)

    def end_writing(self, at_once):
        """Send the end behind what is held; at once, and not a pass later, where a request that came
        meanwhile would be lost.
        """
        self.transport.loseWriteConnection()
        if at_once:
            self.transport.doWrite()

    def has_unread(self):
        """Whether something has come that is not read yet: a request, or the client's end."""
        waiting = select.poll()
        waiting.register(self.transport.fileno(), select.POLLIN)
        return bool(waiting.poll(0))

    def writeConnectionLost(self):
        """All has gone out, and the end behind it: now the client has a while to close."""
        self.moved, self.flushed, self.stuck = clock(), True, False
        self.transport.resumeProducing()

    def has_gone(self):
        """Whether the client's end has come, read or not."""
        return has_ended(self.transport.socket)

    def hold_back(self):
        """The client was found gone before its next attempt began: its GET ends as if the end were read."""
        self.clients.departures.hold_back(self.get.sent - 1, since_last_packet(self.transport.socket))
        self.client_left()
        self.close(abort=True)

    def readConnectionLost(self):
        """The client has closed. With a GET open it has left; half closed is taken for that too, as the two
        look alike. Otherwise it may still take what is held.
        """
        if self.get is not None:
            if self.get.begun:
                gone_at = clock() - since_last_packet(self.transport.socket)
                self.clients.departures.left(self.get.begun, gone_at)
            self.client_left()
            self.close(abort=True)
        else:
            self.close(abort=False)

    def client_left(self):
        get, self.get = self.get, None
        if get is not None:
            self.clients.left(get)

    def connectionLost(self, reason):
        self.state = State.CLOSED
        self.clients.connections.discard(self)
        self.clients.closing.discard(self)
        self.client_left()
        self.clients.counted()
        self.clients.leave_if_done()
