"""Clients: all their connections and requests, one final answer to each."""

import select
from heapq import nsmallest
from itertools import count
from operator import itemgetter

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory

from limepath.configuration.process_limits import ACCEPTED_AT_ONCE
from limepath.front.client_connection import YOUNG, ClientConnection, State
from limepath.front.client_request import Flaw, Request
from limepath.front.clock import clock
from limepath.front.departures import Departures
from limepath.front.descriptors import descriptor_use
from limepath.interface.events import ClientDisconnected, ShutdownStarted


def with_unread(connections):
    """Those of the connections on which something has come that is not read yet: a request, or the end."""
    by_number = {one.transport.fileno(): one for one in connections if one.transport.fileno() >= 0}
    waiting = select.poll()
    for number in by_number:
        waiting.register(number, select.POLLIN)
    return {by_number[number] for number, _ in waiting.poll(0)}


def throttle(come_back):
    return b"X-Throttle-Ms: %d\r\n" % -(-come_back // 1000) if come_back else b""


class Clients:
    """All connections of clients and all GETs that are owed an answer or have a forward out."""

    def __init__(self, reactor, turn, limits, log, services):
        self.reactor, self.turn, self.limits, self.log, self.services = reactor, turn, limits, log, services
        self.connections, self.open, self.ids, self.txns = set(), {}, count(1), set()
        self.leaving, self.full, self.port, self.gone = False, False, None, Deferred()
        self.departures = Departures(log)
        self.lateness = lambda: 0  # for how long what has just been read may have waited for the last pass
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
        if over:
            self.look_for_room()

    def look_for_room(self):
        """Make room once for all that this pass of the reactor brings."""
        if not self.making_room:
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
        now, unread = clock(), with_unread(idle)
        standings = ((one in unread, *one.standing(now), one) for one in idle)
        first = nsmallest(over + self.limits.viewers // 64, standings, key=itemgetter(0, 1, 2))
        for number, (had_unread, place, _, one) in enumerate(first):
            if number >= over and (place >= YOUNG or had_unread):
                continue
            if not had_unread and one.has_unread():  # it has come since: the next look counts it so
                self.look_for_room()
                continue
            self.closing.add(one)  # until it is lost, which may be within the call
            one.close(abort=one.stuck or one.state is State.LINGERING)

    def one_more_stuck(self):
        """Answers that clients do not take must not fill the memory: the longest untaken is given up."""
        stuck = [one for one in self.connections if one.stuck]
        if len(stuck) > self.limits.all_stuck:
            self.log.say("memory", "clients do not take their answers", clients=len(stuck))
            min(stuck, key=lambda one: one.moved).close(abort=True)

    def arrived(self, connection, method, target, fields, body, arrived_at=None):
        """Take in a request whose last byte came then, or just now."""
        if arrived_at is None:
            arrived_at = clock()
        get = Request(next(self.ids), connection, method, target, fields, body, self.services, arrived_at)
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
        get.timer = self.reactor.callLater(get.note.time_left / 1e6, self.over, get)
        self.turn.gather(get.note)

    def over(self, get):
        """The GET's time is over: what is out has timed out; the module answers, else this does soon."""
        get.timer = None
        for attempt in list(get.attempts.values()):
            self.caches.timed_out(attempt)
        if not get.closed:
            get.timer = self.reactor.callLater(self.limits.backstop / 1e6, self.forgotten, get)

    def forgotten(self, get):
        get.timer = None
        self.log.say("backstop", "a GET had no answer in time; errored", ds=get.service)
        self.turn.gather(ClientDisconnected(get.id))
        self.answer(get, 504)

    def left(self, get):
        get.closed, get.connection = True, None
        self.txns.discard(get.txn)
        self.caches.abandoned(get)
        self.turn.gather(ClientDisconnected(get.id))
        self.settled(get)

    def returned(self, get, same, tag, body):
        fields = b'ETag: "%b"\r\n' % tag if tag else b""  # the answer to a PUT has none
        self.answer(get, 304, fields) if same else self.answer(get, 200, fields, body)

    def shed(self, order):
        if get := self.open.get(order.request):
            self.answer(get, 503, throttle(order.retry_after))

    def errored(self, order):
        if get := self.open.get(order.request):
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
        if not get.attempts:
            if get.timer is not None:
                get.timer.cancel()
                get.timer = None
            self.done.append(get)

    def clear(self):
        """The module has heard all there was."""
        done, self.done = self.done, []
        for get in done:
            if not get.attempts:
                self.open.pop(get.id, None)
        self.leave_if_done()

    def withdraw(self, order, caches):
        get = self.open.get(order.request)
        attempt = get and get.attempts.get(order.attempt)
        if attempt:
            caches.withdraw(attempt)

    def sweep(self):
        """Close what is idle, half sent or not taken for long; tell who holds the descriptors once they are
        taken."""
        if len(self.connections) >= self.limits.viewers:
            self.log.say("descriptors-by-use", **descriptor_use(self, self.caches, self.limits)._asdict())
        now = clock()
        for one in list(self.connections):
            if one.get is None and now - one.moved > self.patience(one):
                may_ask = one.state in (State.RESTING, State.READING) and not one.stuck
                if may_ask and not one.spared and one.has_unread():
                    one.spared = True  # once: read first, it may be a request
                    continue
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
        self.turn.gather(ShutdownStarted(self.limits.last_answer))
        for get in self.open.values():
            if get.timer is not None and not get.closed and get.due > self.last_answer_at:
                get.shorten(self.last_answer_at)
                get.timer.reset(self.limits.last_answer / 1e6)

    def close_up(self):
        """Nothing new from here on. What the system has accepted for this front is taken over first, and what
        has come on connections is read once more: a GET in there counts as taken. Accept may fail for a
        moment: then it is asked again, as long as there is time for an answer.
        """
        fruitless = 0
        for _ in range(self.limits.backlog):
            accepted = self.accepted
            self.port.doRead()
            fruitless = fruitless + 1 if self.accepted == accepted else 0
            if fruitless > 1:  # one look may take none: Twisted adapts how many it accepts at once
                break
        if self.has_waiting() and clock() < self.last_answer_at:
            self.reactor.callLater(self.limits.accept_pause / 1e6, self.close_up)
            return
        self.port.stopListening()
        self.port = None
        self.reactor.callLater(0, self.close_resting)

    def has_waiting(self):
        """Whether the system has a connection for this front that it has not taken over."""
        waiting = select.poll()
        waiting.register(self.port.socket, select.POLLIN)
        return bool(waiting.poll(0))

    def close_resting(self):
        unread = False
        for one in list(self.connections):
            if one.state is State.RESTING and not one.stuck and one.has_unread():
                unread = True
            elif one.state is State.RESTING:
                one.finish()
        if unread:  # a request, or the client's end: once more when that has been read
            self.reactor.callLater(0, self.close_resting)
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
