"""Clients: their GETs in, one final answer to each out."""

from enum import Enum
from heapq import nsmallest
from itertools import count
from operator import itemgetter

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IHalfCloseableProtocol, IPushProducer
from twisted.internet.protocol import Factory, Protocol
from zope.interface import implementer

from limepath import contract as c
from limepath.front.departures import Departures, has_ended, since_last_packet
from limepath.front.descriptors import descriptor_use
from limepath.front.turn import clock
from limepath.opening.limits import ACCEPTED_AT_ONCE

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
PATH = b"/invoke/"
HEALTH = b"/_health"
READ = frozenset(
    (
        b"host",
        b"connection",
        b"content-length",
        b"transfer-encoding",
        b"x-txn",
        b"x-ttl-ms",
        b"x-family",
        b"x-txn-key",
        b"if-none-match",
        b"expect",
    )
)
HEX = frozenset(b"0123456789abcdef")
KEY = frozenset(b"0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_.:")


class Flaw(Exception):
    """What a client sent cannot be taken: the status that says so, and why."""

    def __init__(self, status, why):
        super().__init__(why)
        self.status = status


def read_head(buffer, longest, most):
    """Parse a head where it lies: (method, target, fields, its length), or None while it is not whole."""
    end = buffer.find(b"\r\n\r\n", 0, longest)
    if end < 0:
        if len(buffer) >= longest:
            raise Flaw(431, "over-long head")
        return None
    lines = bytes(buffer[:end]).split(b"\r\n")
    words = lines[0].split(b" ")
    if len(words) != 3 or not words[0].isalpha() or not words[1]:
        raise Flaw(400, "malformed first line")
    if words[2] != b"HTTP/1.1":
        raise Flaw(505 if words[2].startswith(b"HTTP/") else 400, "another version of HTTP")
    if len(lines) - 1 > most:
        raise Flaw(431, "too many fields")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(b":")
        name = name.lower()
        if not colon or not name or name.strip() != name or b" " in name:
            raise Flaw(400, "malformed field")
        if name in fields:
            raise Flaw(400, "twofold field")
        if name in READ:
            fields[name] = value.strip()
    return words[0], words[1], fields, end + 4


def whole_number(text, most, what):
    if not text.isdigit() or len(text) > 15 or int(text) > most:
        raise Flaw(400, what)
    return int(text)


def throttle(come_back):
    return b"X-Throttle-Ms: %d\r\n" % -(-come_back // 1000) if come_back else b""


class OpenGet:
    """One GET as the client worded it, and what has become of it."""

    __slots__ = (
        "id",
        "connection",
        "txn",
        "key",
        "service",
        "object",
        "part",
        "have",
        "body",
        "note",
        "due",
        "sent",
        "begun",
        "flights",
        "closed",
        "timer",
    )

    def __init__(self, ident, connection, method, target, fields, body, services):
        if target.startswith(b"http://"):
            target = b"/" + target[7:].partition(b"/")[2]
        path, mark, query = target.partition(b"?")
        service, slash, obj = path[len(PATH) :].partition(b"/")
        if not path.startswith(PATH) or not slash or service not in services:
            raise Flaw(404, "no such target")
        ds, writes, longest = services[service]
        if method != (b"PUT" if writes else b"GET"):
            raise Flaw(405, "not this method here")
        part = None
        if mark:
            name, _, part = query.partition(b"=")
            if name != b"block":
                raise Flaw(400, "query")
        txn, have = fields.get(b"x-txn", b""), fields.get(b"if-none-match", b"")
        if len(txn) != 16 or not HEX.issuperset(txn.lower()):
            raise Flaw(400, "X-Txn")
        if not obj or len(obj) > 16 or not HEX.issuperset(obj.lower()):
            raise Flaw(404, "no such object")
        if not (have[:1] == have[-1:] == b'"' and have[1:-1].isalnum() and len(have) < 100):
            have = b""  # no tag that could be one of ours: the whole answer serves as well
        patience = whole_number(fields.get(b"x-ttl-ms", b""), longest // 1000, "X-Ttl-Ms") * 1000
        if not patience:
            raise Flaw(400, "X-Ttl-Ms")
        group = whole_number(fields.get(b"x-family", b""), 255, "X-Family")
        number = whole_number(part, 1 << 24, "block") if part is not None else 0
        self.key = fields.get(
            b"x-txn-key", b""
        )  # goes on unchanged, as all that makes the request what it is
        if len(self.key) > 64 or not KEY.issuperset(self.key):  # others could end the field it becomes
            raise Flaw(400, "X-Txn-Key")
        self.id, self.connection, self.txn, self.service, self.object = ident, connection, txn, service, obj
        self.part, self.have, self.body, self.due = part, have.strip(b'"'), body, clock() + patience
        self.sent, self.flights, self.closed, self.timer = 0, {}, False, None
        self.begun = []  # when its attempts were handed to the system
        self.note = c.Get(
            ident, ds, 0, int(obj, 16), patience, 0.0, group, number, False, writes, bool(self.key)
        )

    def shorten(self, due):
        """Its time ends at `due`, sooner than its client told."""
        self.due, self.note = due, self.note._replace(patience=max(1, due - clock()))


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
            self.clients.arrived(self, method, target, fields, body)

    def write(self, status, fields=b"", body=b""):
        """Write one whole answer, head and body in one gathered write."""
        self.get, self.moved, self.state = None, clock(), State.RESTING
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
        self.state, self.last, self.moved, self.dropped, self.buffer = (
            State.LINGERING,
            True,
            clock(),
            0,
            bytearray(),
        )
        self.transport.unregisterProducer()  # one that stays registered would keep the connection
        self.transport.loseWriteConnection()

    def close(self, abort):
        """End it now: after what is held has gone out, or at once. Nothing is owed, or for too long not
        taken.
        """
        if self.state is not State.CLOSED:
            self.state = State.LINGERING
            self.transport.unregisterProducer()
            self.transport.abortConnection() if abort else self.transport.loseConnection()

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


class Clients:
    """All connections of clients and all GETs that are owed an answer or have a forward out."""

    def __init__(self, reactor, turn, limits, log, services):
        self.reactor, self.turn, self.limits, self.log, self.services = reactor, turn, limits, log, services
        self.connections, self.open, self.ids, self.txns = set(), {}, count(1), set()
        self.leaving, self.full, self.port, self.gone = False, False, None, Deferred()
        self.departures = Departures(log)
        self.closing, self.making_room = set(), False  # connections that end to make room
        self.unready = False  # the list is not known yet
        self.last_call, self.done, self.accepted = None, [], 0
        self.last_answer_at = None  # when shutting down, until when all that is open is answered

    def listen(self, endpoint):
        """Give a Deferred that fires once clients can connect."""
        listening = endpoint.listen(Factory.forProtocol(self.accept))
        return listening.addCallback(self.listening)

    def accept(self):
        self.accepted += 1
        return ClientConnection(self)

    def listening(self, port):
        """Take the port, and bound how many it accepts at once: it learns of too many after the last only."""
        self.port, accept = port, port.doRead

        def accept_some():
            port.numberAccepts = min(port.numberAccepts, ACCEPTED_AT_ONCE)
            accept()

        port.doRead = accept_some

    def counted(self):
        """Accept no more connections than planned; at the limit close what has been idle longest."""
        over = len(self.connections) > self.limits.viewers
        if self.port and over != self.full:
            self.full = over
            self.port.stopReading() if over else self.port.startReading()
        if over and not self.making_room:  # once for all that this pass of the reactor brings
            self.making_room = True
            self.reactor.callLater(0, self.make_room)

    def make_room(self):
        """Close as many idle connections as there are too many, less those that are closing already, and a
        few more that no one will miss: to look at all of them for each that comes costs too much.
        """
        self.making_room = False
        over = len(self.connections) - self.limits.viewers - len(self.closing)
        if over <= 0:
            return
        idle = [one for one in self.connections if one.get is None and one not in self.closing]
        self.log.say("descriptors", clients=len(self.connections), idle=len(idle))
        now = clock()
        first = nsmallest(
            over + self.limits.viewers // 64, ((one.standing(now), one) for one in idle), key=itemgetter(0)
        )
        for number, ((place, _), one) in enumerate(first):
            if number < over or place < YOUNG:
                one.close(abort=one.stuck or one.state is State.LINGERING)
                self.closing.add(one)

    def one_more_stuck(self):
        """Answers that clients do not take must not fill the memory: the longest untaken is given up."""
        stuck = [one for one in self.connections if one.stuck]
        if len(stuck) > self.limits.all_stuck:
            self.log.say("memory", "clients do not take their answers", clients=len(stuck))
            min(stuck, key=lambda one: one.moved).close(abort=True)

    def arrived(self, connection, method, target, fields, body):
        get = OpenGet(next(self.ids), connection, method, target, fields, body, self.services)
        if get.txn in self.txns:  # two with one id could not be told apart at the caches
            raise Flaw(409, "an id that is open")
        if len(self.open) >= self.limits.open_gets:
            self.log.say("open", "one more shed", gets=len(self.open))
            connection.write(503, throttle(self.limits.come_back))
            return
        self.open[get.id], connection.get = get, get
        self.txns.add(get.txn)
        if self.last_answer_at is not None and get.due > self.last_answer_at:
            get.shorten(self.last_answer_at)
        get.timer = self.reactor.callLater(get.note.patience / 1e6, self.over, get)
        self.turn.gather(get.note)

    def over(self, get):
        """The GET's time is over: what is out has timed out; the module answers, else this does soon."""
        get.timer = None
        for flight in list(get.flights.values()):
            self.caches.timed_out(flight)
        if not get.closed:
            get.timer = self.reactor.callLater(self.limits.backstop / 1e6, self.forgotten, get)

    def forgotten(self, get):
        get.timer = None
        self.log.say("backstop", "a GET had no answer in time; errored", ds=get.service)
        self.turn.gather(c.Left(get.id))
        self.answer(get, 504)

    def left(self, get):
        get.closed, get.connection = True, None
        self.txns.discard(get.txn)
        self.caches.abandoned(get)
        self.turn.gather(c.Left(get.id))
        self.settled(get)

    def returned(self, get, same, tag, body):
        fields = b'ETag: "%b"\r\n' % tag if tag else b""  # the answer to a PUT has none
        self.answer(get, 304, fields) if same else self.answer(get, 200, fields, body)

    def shed(self, order):
        if get := self.open.get(order.id):
            self.answer(get, 503, throttle(order.come_back))

    def errored(self, order):
        if get := self.open.get(order.id):
            self.answer(get, 502)

    def answer(self, get, status, fields=b"", body=b""):
        """The one final answer."""
        if get.closed:
            return
        get.closed, connection = True, get.connection
        get.connection = None
        self.txns.discard(get.txn)
        connection.write(status, fields, body)
        self.settled(get)

    def settled(self, get):
        """A closed GET without forwards is done with, once the module has heard all of it: until then it may
        order one more forward, which needs its outcome."""
        if not get.flights:
            if get.timer is not None:
                get.timer.cancel()
                get.timer = None
            self.done.append(get)

    def clear(self):
        """The module has heard all there was."""
        done, self.done = self.done, []
        for get in done:
            if not get.flights:
                self.open.pop(get.id, None)
        self.leave_if_done()

    def withdraw(self, order, caches):
        get = self.open.get(order.id)
        flight = get and get.flights.get(order.forward)
        if flight:
            caches.withdraw(flight)

    def sweep(self):
        """Close what is idle, half sent or not taken for long; tell who holds the descriptors once they are
        taken."""
        if len(self.connections) >= self.limits.viewers:
            self.log.say("descriptors-by-use", **descriptor_use(self, self.caches, self.limits)._asdict())
        now = clock()
        for one in list(self.connections):
            if one.get is None and now - one.moved > self.patience(one):
                if one.state is State.RESTING and one.asked and not one.stuck:
                    one.finish()
                else:
                    one.close(abort=True)

    def patience(self, one):
        limits = self.limits
        if one.stuck or one.state is State.LINGERING and not one.flushed:
            return limits.stuck
        if one.state is State.LINGERING:
            return limits.linger
        return limits.slow if one.buffer or not one.asked else limits.viewer_idle

    def leave(self):
        """Take GETs for the time in which they still come and answer all; then the Deferred `gone` fires."""
        if not self.leaving:
            self.leaving = True
            self.log.say("leaving", gets=len(self.open))
            self.shorten_open()
            self.reactor.callLater(self.limits.leaving / 1e6, self.close_up)

    def shorten_open(self):
        """Whoever told this front to end kills it once the longest deadline is over, as far as that is waited
        for: what has more time than that gets its answer while there is still one to give.
        """
        self.last_answer_at = clock() + self.limits.last_answer
        self.turn.gather(c.ShuttingDown(self.limits.last_answer))
        for get in self.open.values():
            if get.timer is not None and not get.closed and get.due > self.last_answer_at:
                get.shorten(self.last_answer_at)
                get.timer.reset(self.limits.last_answer / 1e6)

    def close_up(self):
        """Nothing new from here on. What the system has accepted for this front is taken over first, and what
        has come on connections is read once more: a GET in there counts as taken.
        """
        fruitless = 0
        for _ in range(self.limits.backlog):
            accepted = self.accepted
            self.port.doRead()
            fruitless = fruitless + 1 if self.accepted == accepted else 0
            if fruitless > 1:  # one look may take none: Twisted adapts how many it accepts at once
                break
        self.port.stopListening()
        self.port = None
        self.reactor.callLater(0, self.close_resting)

    def close_resting(self):
        for one in list(self.connections):
            if one.state is State.RESTING:
                one.finish()
        self.leave_if_done()

    def leave_if_done(self):
        """All answered and all connections closed, or not taken for the longest time that an answer may take:
        the front may end.
        """
        if self.leaving and self.port is None and not self.open and not self.gone.called:
            if not self.connections:
                self.gone.callback(None)
            elif not self.last_call:
                self.last_call = self.reactor.callLater(
                    self.limits.last_call / 1e6, lambda: self.gone.called or self.gone.callback(None)
                )
