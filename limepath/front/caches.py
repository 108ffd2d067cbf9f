"""Caches, parents and the origin: connections to them, forwards and probes on those, and how each ended."""

from collections import deque
from itertools import count

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory, Protocol
from zope.interface import implementer

from limepath import contract as c
from limepath.front.turn import clock
from limepath.opening_values import LOAD_NAMES

VERDICTS = {b"DONE": c.Verdict.RETURNED, b"KEEP": c.Verdict.RETURNED, b"LACK": c.Verdict.MISS,
            b"WAIT": c.Verdict.FULL, b"BROKE": c.Verdict.ERRORED, b"PAST": c.Verdict.MOOT,
            b"FIT": c.Verdict.RETURNED, b"UNFIT": c.Verdict.FULL}
PROBE_WORDS = (b"FIT", b"UNFIT", b"WAIT")  # a probe, too, may find no room
FORWARD_WORDS = (b"DONE", b"KEEP", b"LACK", b"WAIT", b"BROKE", b"PAST")
HOW = (("join", "join"), ("held", "held_only"), ("nocopy", "no_copy_above"), ("renew", "renew"))


class Unreadable(Exception):
    """What came from a cache cannot be read."""


def read_answer(line, longest):
    """Give (tag, word, fields, length) of an answer's first line, without its end.

    >>> read_answer(b"9b1f DONE rev=4be0,since=1764576000123 5", 10)
    (b'9b1f', b'DONE', {b'rev': b'4be0', b'since': b'1764576000123'}, 5)
    >>> read_answer(b"9b1f LACK - 0", 10)
    (b'9b1f', b'LACK', {}, 0)
    >>> for line in (b"x", b"x MAYBE - 0", b"x DONE - eleven", b"x DONE - 11", b"x DONE rev 1",
    ...              b"x DONE - -1"):
    ...     try:
    ...         read_answer(line, 10)
    ...     except Unreadable as flaw:
    ...         print(flaw)
    1 of 4 words
    unknown word b'MAYBE'
    length b'eleven'
    length b'11'
    field b'rev'
    length b'-1'
    """
    words = line.split(b" ")
    if len(words) != 4:
        raise Unreadable(f"{len(words)} of 4 words")
    tag, word, told, size = words
    if word not in VERDICTS:
        raise Unreadable(f"unknown word {word[:20]!r}")
    if not size.isdigit() or len(size) > 9 or int(size) > longest:
        raise Unreadable(f"length {size[:20]!r}")
    fields = {}
    if told != b"-":
        for field in told.split(b","):
            name, equals, value = field.partition(b"=")
            if not equals:
                raise Unreadable(f"field {name[:20]!r}")
            fields[name] = value
    return tag, word, fields, int(size)


def read_load(told):
    """Give the load report that `use` holds, by the contract's names.

    >>> read_load(b"inflight:7;util:0.61")
    {'inflight': 7.0, 'util': 0.61}
    >>> read_load(b"rif:x;busy:1")
    {'util': 1.0}
    """
    load = {}
    for field in told.decode("ascii", "replace").split(";"):
        name, _, value = field.partition(":")
        try:
            load[LOAD_NAMES.get(name, name)] = float(value)
        except ValueError:
            continue  # a report that cannot be read says nothing
    return load


class Flight:
    """One forward on its way."""

    __slots__ = ("get", "number", "order", "at", "limit", "connection", "tag", "timer")

    def __init__(self, get, order):
        self.get, self.order, self.number, self.tag = get, order, get.sent, get.txn
        self.at, self.connection, self.timer = clock(), None, None
        self.limit = min(get.due, self.at + order.limit) if order.limit else get.due

    def words(self, name_of):
        """The command's first line, written when it is sent, with what is left of its time."""
        get, order = self.get, self.order
        told = [b"queue=%b,path=%b" % (get.service, get.object)]
        if get.part is not None:
            told.append(b"blk=%b" % get.part)
        told.append(b"budget=%d" % max(1, (self.limit - clock()) // 1000))
        if order.source != order.cache:
            told.append(b"up=%b" % name_of[order.source])
        if order.rank:
            told.append(b"store=%d" % order.rank)
        if order.oldest:
            told.append(b"cap=%d" % max(1, order.oldest // 1000))
        if how := "+".join(word for word, flag in HOW if getattr(order, flag)):
            told.append(b"do=%b" % how.encode())
        if get.have:
            told.append(b"inm=%b" % get.have)
        return b"ASK %b %b %d\r\n" % (get.txn, b",".join(told), len(get.body))


class Probing:
    """One probe on its way."""

    __slots__ = ("cache", "at", "tag", "timer", "connection")

    def __init__(self, cache, tag):
        self.cache, self.at, self.tag, self.timer, self.connection = cache, clock(), tag, None, None


@implementer(IPushProducer)
class CacheConnection(Protocol):
    """One connection: commands out, answers in, in any order."""

    def __init__(self, peer):
        self.peer, self.out, self.spent = peer, {}, set()
        self.buffer, self.answer = bytearray(), None
        self.up = self.full = self.retired = self.silent = False
        self.heard = clock()

    def connectionMade(self):
        self.up = True
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
        """Whether one more may go out here; an id given up here could be mistaken for its next forward."""
        return (self.up and not (self.full or self.retired or self.silent) and tag not in self.out
                and tag not in self.spent and len(self.out) < self.peer.limits.streams)

    def send(self, flight, *pieces):
        self.out[flight.tag], flight.connection = flight, self
        self.transport.writeSequence(pieces)

    def give_up(self, flight, unanswered=False):
        """Tell the cache that nobody waits. Where it has been silent since, nothing more is sent here until
        it speaks again."""
        del self.out[flight.tag]
        if isinstance(flight, Flight):
            self.spent.add(flight.tag)
            self.transport.write(b"QUIT %b\r\n" % flight.tag)
        self.silent |= unanswered and self.heard < flight.at
        self.retired |= len(self.spent) > 1000
        self.close_if_done()

    def retire(self):
        self.retired = True
        self.close_if_done()

    def close_if_done(self):
        if (self.retired or self.silent) and not self.out and self.up:
            self.transport.abortConnection() if self.full or self.silent else self.transport.loseConnection()

    def dead(self, heard):
        """Another connection was answered a while ago, this one has not spoken: what is out has broken."""
        if self.silent and self.heard == heard:
            self.transport.abortConnection()

    def dataReceived(self, data):
        self.heard, self.silent = clock(), False
        self.buffer += data
        at, whole = 0, len(self.buffer)
        try:
            while True:
                if self.answer is None:
                    end = self.buffer.find(b"\r\n", at, at + self.peer.limits.line)
                    if end < 0:
                        if whole - at >= self.peer.limits.line:
                            raise Unreadable("over-long line")
                        break
                    self.answer = read_answer(bytes(self.buffer[at:end]), self.peer.limits.answer)
                    at = end + 2
                size = self.answer[3]
                if whole - at < size + 2:
                    break
                if self.buffer[at + size:at + size + 2] != b"\r\n":
                    raise Unreadable("no line end where the length puts it")
                (tag, word, fields, _), self.answer = self.answer, None
                body = bytes(self.buffer[at:at + size])
                at += size + 2
                self.answered(tag, word, fields, body)
        except Unreadable as flaw:
            self.peer.log.say("cache", f"{self.peer.name}: {flaw}; connection closed")
            self.transport.abortConnection()
            return
        del self.buffer[:at]

    def answered(self, tag, word, fields, body):
        flight = self.out.get(tag)
        if flight is None:
            self.spent.discard(tag)  # late: it was given up
            return
        if word not in (PROBE_WORDS if isinstance(flight, Probing) else FORWARD_WORDS):
            raise Unreadable(f"{word!r} is no answer to that")
        if word == b"KEEP" and not flight.get.have:
            raise Unreadable("KEEP without a copy to keep")
        del self.out[tag]
        if isinstance(flight, Probing):
            self.peer.answered_probe()
        self.peer.caches.ended(flight, VERDICTS[word], word, fields, body)
        self.peer.send_waiting()
        self.close_if_done()

    def connectionLost(self, reason):
        self.up = False
        self.peer.lost(self)


class Peer:
    """One member of the list: its address, its connections and what waits for one."""

    def __init__(self, caches, ident, name):
        self.caches, self.ident, self.name = caches, ident, name
        self.log, self.limits = caches.log, caches.limits
        self.address, self.since, self.waiting, self.connections, self.coming = None, None, deque(), [], 0

    def listed(self, address, since, standing):
        if (address, since) != (self.address, self.since) or standing == c.Standing.GONE:
            for connection in list(self.connections):  # they lead to what has gone
                connection.retire()
        self.address, self.since = address, since

    def send(self, flight):
        fit = [connection for connection in self.connections if connection.takes(flight.tag)]
        if not fit:
            self.waiting.append(flight)
            self.caches.time(flight, self.limits.wait, self.overdue)
            self.connect()
            return
        connection = min(fit, key=lambda one: len(one.out))
        if isinstance(flight, Probing):
            connection.send(flight, self.caches.probe_word + b" %b\r\n" % flight.tag)
            self.caches.time(flight, self.limits.probe, self.caches.unanswered)
        else:
            connection.send(flight, flight.words(self.caches.names), flight.get.body, b"\r\n")
            if flight.limit < flight.get.due:
                self.caches.time(flight, flight.limit - clock(), self.caches.timed_out)

    def send_waiting(self):
        for _ in range(len(self.waiting)):
            flight = self.waiting.popleft()
            if any(connection.takes(flight.tag) for connection in self.connections):
                self.caches.still(flight)
                self.send(flight)
            else:
                self.waiting.append(flight)

    def connect(self):
        streams = self.limits.streams
        if self.coming * streams >= len(self.waiting):
            return
        if self.coming + len(self.connections) >= self.limits.cache_connections or not self.caches.spare():
            return
        self.coming += 1
        connection = CacheConnection(self)
        host, port = self.address
        endpoint = TCP4ClientEndpoint(self.caches.reactor, host, port, timeout=self.limits.connect / 1e6)
        coming = endpoint.connect(Factory.forProtocol(lambda: connection))
        coming.addCallbacks(self.came_up, self.never_came_up)
        coming.addErrback(lambda failure: self.log.say("fault", f"connecting: {failure.getErrorMessage()}"))

    def came_up(self, connection):
        self.coming -= 1
        if connection.up:
            self.connections.append(connection)
            self.send_waiting()

    def never_came_up(self, failure):
        self.coming -= 1
        failure.trap(ConnectError)
        waiting, self.waiting = self.waiting, deque()
        for flight in waiting:
            self.caches.ended(flight, c.Verdict.CONNECT_FAILED)

    def answered_probe(self):
        for connection in self.connections:
            if connection.silent:
                self.caches.reactor.callLater(self.limits.probe / 1e6, connection.dead, connection.heard)

    def overdue(self, flight):
        self.waiting.remove(flight)
        self.caches.ended(flight, c.Verdict.CONNECT_FAILED)

    def lost(self, connection):
        if connection in self.connections:
            self.connections.remove(connection)
        out, connection.out = connection.out, {}
        for flight in out.values():
            self.caches.ended(flight, c.Verdict.RESET)
        if self.waiting:
            self.connect()


class Caches:
    """All members by ident, and what the module orders of them."""

    def __init__(self, reactor, turn, clients, limits, log, probe_word):
        self.reactor, self.turn, self.clients, self.limits, self.log = reactor, turn, clients, limits, log
        self.probe_word, self.peers, self.names, self.tags = probe_word, {}, {}, count(1)

    def time(self, flight, span, then):
        flight.timer = self.reactor.callLater(max(0, span) / 1e6, then, flight)

    def still(self, flight):
        if flight.timer and flight.timer.active():
            flight.timer.cancel()

    def spare(self):
        """Whether there is a descriptor for one more connection; else the longest idle one makes room."""
        held = [one for peer in self.peers.values() for one in peer.connections]
        if len(held) + sum(peer.coming for peer in self.peers.values()) < self.limits.all_cache_connections:
            return True
        self.log.say("descriptors", f"{len(held)} connections to caches")
        if idle := [one for one in held if not one.out and not one.retired]:
            min(idle, key=lambda one: one.heard).retire()
        return bool(idle)

    def listed(self, ident, name, address, since, standing):
        if ident not in self.peers:
            self.peers[ident], self.names[ident] = Peer(self, ident, name), name.encode()
        self.peers[ident].listed(address, since, standing)

    def forward(self, order, get):
        flight = Flight(get, order)
        get.sent += 1
        get.flights[flight.number] = flight
        if get.closed or flight.limit <= flight.at:
            self.ended(flight, c.Verdict.MOOT)
        else:
            self.peers[order.cache].send(flight)

    def probe(self, order):
        self.peers[order.cache].send(Probing(order.cache, b"p%d" % next(self.tags)))

    def close_idle(self, order):
        for connection in list(self.peers[order.cache].connections):
            if not connection.out:
                connection.retire()

    def withdraw(self, flight):
        self.stop(flight, c.Verdict.CANCELLED)

    def timed_out(self, flight):
        self.stop(flight, c.Verdict.TIMED_OUT)

    def stop(self, flight, verdict):
        """Give a forward up; one that was never written did not run."""
        connection, peer = flight.connection, self.peers[flight.order.cache]
        if connection is None:
            if flight in peer.waiting:
                peer.waiting.remove(flight)
            verdict = c.Verdict.MOOT
        else:
            connection.give_up(flight, verdict == c.Verdict.TIMED_OUT)
        self.ended(flight, verdict)

    def unanswered(self, probing):
        probing.connection.give_up(probing, unanswered=True)
        self.ended(probing, c.Verdict.TIMED_OUT)

    def ended(self, flight, verdict, word=b"", fields=None, body=b""):
        """Every forward and probe ends here, once."""
        self.still(flight)
        fields = fields or {}
        load = read_load(fields[b"use"]) if b"use" in fields else {}
        if isinstance(flight, Probing):
            self.turn.gather(c.ProbeReport(flight.cache, verdict, clock() - flight.at, load))
            return
        get, order = flight.get, flight.order
        get.flights.pop(flight.number, None)
        if verdict == c.Verdict.RETURNED:
            self.clients.returned(get, word == b"KEEP", fields.get(b"rev"), body)
        self.turn.gather(c.Outcome(order.id, flight.number, verdict, order.cache, clock() - flight.at, 0,
                                   get.closed, c.Hint.NONE, load))
        if get.closed:
            self.clients.settled(get)

    def sweep(self):
        """Close what has been idle for long, before the cache does."""
        now = clock()
        for peer in self.peers.values():
            for connection in list(peer.connections):
                if not connection.out and now - connection.heard > self.limits.cache_idle:
                    connection.retire()
