"""Caches, parents and the origin: connections to them, forwards and probes on those, and how each ended."""

from collections import deque
from enum import Enum
from itertools import count

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.tcp import Connection as TcpConnection
from zope.interface import implementer

from limepath import contract as c
from limepath.front.turn import clock, unix_clock
from limepath.opening.limits import CROSSING_CLOSES
from limepath.opening_values import LOAD_NAMES

VERDICTS = {
    b"DONE": c.Verdict.RETURNED,
    b"KEEP": c.Verdict.RETURNED,
    b"LACK": c.Verdict.MISS,
    b"WAIT": c.Verdict.FULL,
    b"BROKE": c.Verdict.ERRORED,
    b"PAST": c.Verdict.MOOT,
    b"FIT": c.Verdict.RETURNED,
    b"UNFIT": c.Verdict.FULL,
}
PROBE_WORDS = (b"FIT", b"UNFIT", b"WAIT")  # a probe, too, may find no room
FORWARD_WORDS = (b"DONE", b"KEEP", b"LACK", b"WAIT", b"BROKE", b"PAST")
HOW = (("join", "join"), ("held", "held_only"), ("nocopy", "no_copy_above"), ("renew", "renew"))


class Unreadable(Exception):
    """What came from a cache cannot be read."""


def read_answer(line, longest):
    """Give (tag, word, fields, length) of an answer's first line, without its end."""
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
    """Give the load report that `use` holds, by the contract's names."""
    load = {}
    for field in told.decode("ascii", "replace").split(";"):
        name, _, value = field.partition(":")
        try:
            load[LOAD_NAMES.get(name, name)] = float(value)
        except ValueError:
            continue  # a report that cannot be read says nothing
    return load


def check_copy(flight, word, fields, body, skew):
    """What is spoilt must not pass for a whole answer: a copy tells its tag and since when it is out."""
    get, oldest = flight.get, flight.order.oldest
    if word == b"KEEP" and (not get.have or body):
        raise Unreadable("KEEP without a copy to keep, or with one")
    tag, since = fields.get(b"rev"), fields.get(b"since")
    if get.note.write and tag is since is None:
        return
    if not tag or not tag.isalnum() or not since or not since.isdigit() or len(since) > 15:
        raise Unreadable("no tag or no time of the copy")
    age = unix_clock() - int(since) * 1000
    if age < -skew or oldest and age > oldest + clock() - flight.at + skew:
        raise Unreadable(f"a copy {age // 1000} ms old")


class Flight:
    """One forward on its way."""

    __slots__ = (
        "get",
        "number",
        "order",
        "at",
        "limit",
        "connection",
        "tag",
        "timer",
        "end",
        "source",
        "send_by",
    )

    def __init__(self, get, order, name_of, wait):
        self.get, self.order, self.number, self.tag = get, order, get.sent, get.txn
        self.source = b"" if order.source == order.cache else name_of[order.source]
        self.at, self.connection, self.timer = clock(), None, None
        self.send_by = self.at + min(
            wait, order.within or wait
        )  # what its rules let it wait, wherever it does
        self.limit = min(get.due, self.at + order.limit) if order.limit else get.due

    def words(self):
        """The command's first line, written when it is sent, with what is left of its time."""
        get, order = self.get, self.order
        told = [b"queue=%b,path=%b" % (get.service, get.object)]
        if get.part is not None:
            told.append(b"blk=%b" % get.part)
        told.append(b"budget=%d" % max(1, (self.limit - clock()) // 1000))
        if self.source:
            told.append(b"up=%b" % self.source)
        if order.rank:
            told.append(b"store=%d" % order.rank)
        if order.oldest:
            told.append(b"cap=%d" % max(1, order.oldest // 1000))
        if how := "+".join(word for word, flag in HOW if getattr(order, flag)):
            told.append(b"do=%b" % how.encode())
        if get.have:
            told.append(b"inm=%b" % get.have)
        if get.key:
            told.append(b"uniq=%b" % get.key)
        return b"ASK %b %b %d\r\n" % (get.txn, b",".join(told), len(get.body))


class Probing:
    """One probe on its way."""

    __slots__ = ("cache", "at", "tag", "timer", "connection", "end", "send_by")

    def __init__(self, cache, tag, wait):
        self.cache, self.at, self.tag, self.timer, self.connection = cache, clock(), tag, None, None
        self.send_by = self.at + wait


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
            and not (self.out and self.direct and self.unsent())  # behind what a cache does not read it waits
        )

    def stray(self):
        """Whether bytes have come here that belong to nothing out: the next answer would be read behind
        them.
        """
        return bool(self.buffer or self.answer) and (
            not self.out or bool(self.answer) and self.answer[0] not in self.out
        )

    def send(self, flight, *pieces):
        if not self.out:
            self.peer.idle.remove(self)
        self.out[flight.tag], flight.connection = flight, self
        self.past.append(flight.tag)
        self.queued += sum(map(len, pieces))
        flight.end = self.queued
        self.transport.writeSequence(pieces)
        if self.direct:  # now, and not a pass later, in which its client could go; errors are told there
            self.transport.doWrite()

    def done(self, tag):
        del self.out[tag]
        if not self.out:
            self.peer.idle.append(self)

    def quiet_since(self):
        """Since when something out here has heard nothing."""
        return max(self.heard, min(flight.at for flight in self.out.values()))

    def unsent(self):
        """Bytes that were never handed to the system. Behind TLS that can't be told: all may have gone."""
        if self.peer.caches.secured and self.peer.kind in self.peer.caches.secured.kinds:
            return 0
        held = self.transport
        return len(held.dataBuffer) - held.offset + sum(map(len, held._tempDataBuffer))

    def written(self, flight):
        """Whether all of it was handed to the system; what was not can't have run."""
        return flight.end <= self.queued - self.unsent()

    def give_up(self, flight, unanswered=False):
        """Tell the cache that nobody waits; give whether it may have run. Where the cache has been silent
        since, nothing more is sent here until it speaks again, and nothing behind an answer that has
        begun.
        """
        self.done(flight.tag)
        if not self.out and not self.written(flight):  # half a command: closed, it never becomes a whole one
            self.end(abort=True)
            return False
        if isinstance(flight, Flight):
            line = b"QUIT %b\r\n" % flight.tag
            self.queued += len(line)
            self.transport.write(line)
        self.silent |= unanswered and self.heard < flight.at
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
        flight = self.out.get(tag)
        if flight is None:
            return  # late, a second copy, or nobody's
        if word not in (PROBE_WORDS if isinstance(flight, Probing) else FORWARD_WORDS):
            raise Unreadable(f"{word!r} is no answer to that")
        if word in (b"DONE", b"KEEP"):
            check_copy(flight, word, fields, body, self.peer.limits.skew)
        self.done(tag)
        if isinstance(flight, Probing):
            self.peer.answered_probe()
        self.peer.caches.ended(flight, VERDICTS[word], word, fields, body)
        if self.peer.waiting:
            self.peer.send_waiting()
        if self.peer.caches.crowded and not self.out:
            self.peer.caches.freed()
        self.close_if_done()

    def connectionLost(self, reason):
        self.state = State.CLOSED
        self.peer.lost(self)


class Peer:
    """One member of the list: its address, its connections and what waits for one."""

    def __init__(self, caches, ident, name):
        self.caches, self.ident, self.name = caches, ident, name
        self.log, self.limits = caches.log, caches.limits
        self.address, self.since, self.waiting, self.connections, self.coming = None, None, deque(), [], 0
        self.idle, self.gone, self.kind = (
            [],
            None,
            None,
        )  # the connections with nothing out, the last used at the end

    def listed(self, address, since, standing):
        if (address, since) != (self.address, self.since) or standing == c.Standing.GONE:
            for connection in list(self.connections):  # they lead to what has gone
                connection.retire()
        self.address, self.since = address, since
        self.gone = clock() if standing == c.Standing.GONE else None

    def done_with(self, now):
        """Gone, and nothing is out or waits: nobody will speak of it any more."""
        held = self.connections or self.waiting or self.coming
        return self.gone is not None and now - self.gone > self.limits.gone and not held

    def send(self, flight):
        """A forward has a connection to itself where one can be had: what breaks takes no other along."""
        if isinstance(flight, Flight) and self.caches.client_has_gone(flight):
            return
        connection = self.fit_for(flight)
        if connection is None:
            self.waiting.append(flight)
            self.caches.time(flight, flight.send_by - clock(), self.overdue)
            self.connect()
        elif isinstance(flight, Probing):
            connection.send(flight, self.caches.probe_word + b" %b\r\n" % flight.tag)
            self.caches.time(flight, self.limits.probe, self.caches.unanswered)
        else:
            connection.send(flight, flight.words(), flight.get.body, b"\r\n")
            flight.get.begun.append(clock())
            if flight.limit < flight.get.due:
                self.caches.time(flight, flight.limit - clock(), self.caches.timed_out)

    def fit_for(self, flight):
        """The connection that was idle last; a probe asks where it has been quiet for longest."""
        if isinstance(flight, Probing) and (busy := self.busy(flight.tag)):
            return min(busy, key=CacheConnection.quiet_since)
        for connection in reversed(self.idle):
            if connection.takes(flight.tag):
                return connection
        if self.coming > len(self.waiting) or self.may_connect():
            return None
        return min(self.busy(flight.tag), key=lambda one: len(one.out), default=None)

    def busy(self, tag):
        return [connection for connection in self.connections if connection.out and connection.takes(tag)]

    def send_waiting(self):
        for _ in range(len(self.waiting)):
            if not self.waiting:  # others of a GET whose client has gone went with it, or found their way
                return
            flight = self.waiting.popleft()
            if clock() >= flight.send_by:  # its timer is late: the loop was busy, or the process stood still
                self.caches.ended(flight, c.Verdict.CONNECT_FAILED)
            elif self.fit_for(flight):
                self.caches.still(flight)
                self.send(flight)
            else:
                self.waiting.append(flight)

    def may_connect(self):
        paced = self.caches.paced  # probes are shared out among fronts by themselves
        if (
            paced
            and not paced.may(self.ident, clock())
            and not any(isinstance(one, Probing) for one in self.waiting)
        ):
            return False
        return self.coming + len(self.connections) < self.limits.cache_connections and self.caches.spare()

    def connect(self):
        """One connection for each forward that waits, as far as there is room."""
        if self.coming >= len(self.waiting) or not self.may_connect():
            return
        self.caches.make_room()
        self.coming += 1
        self.caches.held += 1
        if self.caches.paced:
            self.caches.paced.took(self.ident)
        connection = CacheConnection(self)
        coming = self.caches.secured and self.caches.secured.connect(
            self, connection, clock() + self.limits.wait
        )
        if not coming:
            host, port = self.address
            endpoint = TCP4ClientEndpoint(self.caches.reactor, host, port, timeout=self.limits.connect / 1e6)
            coming = endpoint.connect(Factory.forProtocol(lambda: connection))
        coming.addCallbacks(self.came_up, self.never_came_up)
        coming.addErrback(
            lambda failure: self.log.say("fault", failure.getErrorMessage(), where="connecting")
        )

    def came_up(self, connection):
        self.coming -= 1
        if connection.state is State.OPEN:
            self.connections.append(connection)
            self.idle.append(connection)
            if self.gone is not None or connection.leads_to != (self.address, self.since):
                connection.retire()  # to what has gone since, or to another that has its address now
            self.send_waiting()
            if self.waiting:
                self.connect()

    def never_came_up(self, failure):
        """The first that waits has failed; all have, where no other connection is there or coming."""
        self.coming -= 1
        self.caches.held -= 1
        if self.caches.paced:
            self.caches.paced.look()
        failure.trap(ConnectError)
        for _ in range(len(self.waiting) if not (self.coming or self.connections) else 1):
            if self.waiting:
                self.caches.ended(self.waiting.popleft(), c.Verdict.CONNECT_FAILED)

    def answered_probe(self):
        for connection in self.connections:
            if connection.silent:
                self.caches.reactor.callLater(self.limits.probe / 1e6, connection.dead, connection.heard)

    def overdue(self, flight):
        self.waiting.remove(flight)
        self.caches.ended(flight, c.Verdict.CONNECT_FAILED)

    def lost(self, connection):
        self.caches.held -= 1
        if connection in self.connections:
            self.connections.remove(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        if self.caches.paced:
            self.caches.paced.look()
        out, connection.out = connection.out, {}
        for flight in out.values():  # what was not written whole has not run
            self.caches.ended(
                flight, c.Verdict.RESET if connection.written(flight) else c.Verdict.CONNECT_FAILED
            )
        if self.waiting:
            self.connect()
        if self.caches.crowded:
            self.caches.freed()


class Caches:
    """All members by ident, and what the module orders of them."""

    def __init__(self, reactor, turn, clients, limits, log, probe_word):
        self.reactor, self.turn, self.clients, self.limits, self.log = reactor, turn, clients, limits, log
        self.probe_word, self.peers, self.names, self.tags, self.held = probe_word, {}, {}, count(1), 0
        self.crowded = False  # somebody found no room for a connection
        self.secured = None  # TLS, where the front is told of it
        self.paced = None  # a pace of new connections, where fronts keep one together

    def time(self, flight, span, then):
        flight.timer = self.reactor.callLater(max(0, span) / 1e6, then, flight)

    def still(self, flight):
        if flight.timer and flight.timer.active():
            flight.timer.cancel()

    def spare(self):
        """Whether there is a descriptor for one more connection, or an idle one that can make room: it ends a
        pass later, so that for so long there is one more than planned, and few are kept back for that.
        """
        over = self.held - self.limits.all_cache_connections
        room = over < 0 or over < CROSSING_CLOSES and bool(self.idle())
        self.crowded |= not room
        return room

    def freed(self):
        """A connection has ended or become idle: those that found no room look again."""
        self.crowded = False
        for peer in self.peers.values():
            if peer.waiting:
                peer.connect()

    def idle(self):
        return [one for peer in self.peers.values() for one in peer.idle if one.state is State.OPEN]

    def make_room(self):
        if self.held >= self.limits.all_cache_connections:
            self.log.say("descriptors", caches=self.held)
            min(self.idle(), key=lambda one: one.heard).retire()

    def listed(self, ident, name, address, since, standing, kind=None):
        if ident not in self.peers and standing == c.Standing.GONE:
            return
        if ident not in self.peers:
            self.peers[ident], self.names[ident] = Peer(self, ident, name), name.encode()
        self.peers[ident].kind = kind
        self.peers[ident].listed(address, since, standing)

    def recall(self, concerned):
        """What still waits for a connection when news makes its order stale has not run: the module decides
        anew. Sent by the old order, it could go out past the grace, which counts from when the news was
        told.
        """
        for peer in self.peers.values():
            for flight in [
                one for one in peer.waiting if isinstance(one, Flight) and concerned(one.order, one.get)
            ]:
                self.stop(flight, c.Verdict.MOOT)

    def purged(self, purge):
        self.recall(
            lambda order, get: get.note.obj == purge.obj if purge.obj else get.note.group == purge.group
        )

    def forward(self, order, get):
        flight = Flight(get, order, self.names, self.limits.wait)
        get.sent += 1
        get.flights[flight.number] = flight
        if get.closed or flight.limit <= flight.at:
            self.ended(flight, c.Verdict.MOOT)
        else:
            self.peers[order.cache].send(flight)

    def probe(self, order, epoch=0):
        """A probe under a lease tells its epoch in its tag, so that a member can turn an older one away."""
        tag = b"p%d-e%d" % (next(self.tags), epoch) if epoch else b"p%d" % next(self.tags)
        self.peers[order.cache].send(Probing(order.cache, tag, self.limits.wait))

    def close_idle(self, order):
        for connection in list(self.peers[order.cache].connections):
            if not connection.out:
                connection.retire()

    def withdraw(self, flight):
        self.stop(flight, c.Verdict.CANCELLED)

    def timed_out(self, flight):
        self.stop(flight, c.Verdict.TIMED_OUT)

    def stop(self, flight, verdict):
        """Give a forward up; one that was never written whole did not run, and a cache that does not even
        read is out of reach.
        """
        connection, peer = flight.connection, self.peers[flight.order.cache]
        if connection is None:
            if flight in peer.waiting:
                peer.waiting.remove(flight)
            verdict = c.Verdict.MOOT
        elif not connection.give_up(flight, verdict == c.Verdict.TIMED_OUT):
            verdict = c.Verdict.CONNECT_FAILED if verdict == c.Verdict.TIMED_OUT else c.Verdict.MOOT
        self.ended(flight, verdict)

    def client_has_gone(self, flight):
        """Whether this attempt's client has gone, its end read or not; the attempt has ended then. Asked of
        the system before each attempt: a late pass, or one that brings an answer before an end, can't know.
        """
        client = flight.get.connection
        if client is None or not client.has_gone():
            return False
        client.hold_back()
        return True

    def abandoned(self, get):
        """The client has left: what has not gone out whole goes no more, whether its effect could be repeated
        or not.
        """
        for flight in list(get.flights.values()):
            if (
                flight.connection is None
                or not flight.connection.written(flight)
                and len(flight.connection.out) == 1
            ):
                self.stop(flight, c.Verdict.MOOT)

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
        self.turn.gather(
            c.Outcome(
                order.id,
                flight.number,
                verdict,
                order.cache,
                clock() - flight.at,
                0,
                get.closed,
                c.Hint.NONE,
                load,
            )
        )
        if get.closed:
            self.clients.settled(get)

    def sweep(self):
        """Close what has been idle for long, before the cache does, and what stands still in an answer."""
        now = clock()
        for ident in [ident for ident, peer in self.peers.items() if peer.done_with(now)]:
            del self.peers[ident], self.names[ident]
        for peer in self.peers.values():
            for connection in list(peer.connections):
                if not connection.out and now - connection.heard > self.limits.cache_idle:
                    connection.retire()
                elif (connection.answer or connection.buffer) and now - connection.heard > self.limits.stall:
                    self.log.say("cache", "an answer stands still; connection closed", cache=peer.name)
                    connection.end(abort=True)
