"""One member of the cache list: its connections, and the forwards that wait for one."""

from collections import deque

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError
from twisted.internet.protocol import Factory

from limepath.front.attempt import Attempt, Probing
from limepath.front.cache_connection import CacheConnection, State
from limepath.front.clock import clock
from limepath.interface.events import AttemptOutcome, EndpointState


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
        if (address, since) != (self.address, self.since) or standing == EndpointState.REMOVED:
            for connection in list(self.connections):  # they lead to what has gone
                connection.retire()
        self.address, self.since = address, since
        self.gone = clock() if standing == EndpointState.REMOVED else None

    def done_with(self, now):
        """Gone, and nothing is out or waits: nobody will speak of it any more."""
        held = self.connections or self.waiting or self.coming
        return self.gone is not None and now - self.gone > self.limits.gone and not held

    def send(self, attempt):
        """A forward has a connection to itself where one can be had: what breaks takes no other along."""
        if isinstance(attempt, Attempt):
            if self.caches.client_has_gone(attempt):
                return
            if clock() >= attempt.send_by:  # decided too long ago; nobody else is at fault
                self.caches.ended(attempt, AttemptOutcome.SUPERSEDED)
                return
        connection = self.fit_for(attempt)
        if connection is None:
            self.waiting.append(attempt)
            self.caches.time(attempt, attempt.send_by - clock(), self.overdue)
            self.connect()
        elif isinstance(attempt, Probing):
            connection.send(attempt, self.caches.probe_word + b" %b\r\n" % attempt.tag)
            self.caches.time(attempt, self.limits.probe, self.caches.unanswered)
        else:
            connection.send(attempt, attempt.words(), attempt.get.body, b"\r\n")
            attempt.get.attempt_start_times.append(clock())
            if attempt.limit < attempt.get.deadline:
                self.caches.time(attempt, attempt.limit - clock(), self.caches.time_out)

    def fit_for(self, attempt):
        """The connection that was idle last; a probe asks where it has been quiet for longest."""
        if isinstance(attempt, Probing) and (busy := self.busy(attempt.tag)):
            return min(busy, key=CacheConnection.quiet_since)
        for connection in reversed(self.idle):
            if connection.takes(attempt.tag):
                return connection
        if self.coming > len(self.waiting) or self.may_connect():
            return None
        return min(self.busy(attempt.tag), key=lambda one: len(one.out), default=None)

    def busy(self, tag):
        return [connection for connection in self.connections if connection.out and connection.takes(tag)]

    def send_waiting(self):
        for _ in range(len(self.waiting)):
            if not self.waiting:  # others of a GET whose client has gone went with it, or found their way
                return
            attempt = self.waiting.popleft()
            if clock() >= attempt.send_by:  # its timer is late: the loop was busy, or the process stood still
                self.caches.ended(attempt, AttemptOutcome.CONNECT_FAILED)
            elif self.fit_for(attempt):
                self.caches.still(attempt)
                self.send(attempt)
            else:
                self.waiting.append(attempt)

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
                self.caches.ended(self.waiting.popleft(), AttemptOutcome.CONNECT_FAILED)

    def answered_probe(self):
        for connection in self.connections:
            if connection.silent:
                self.caches.reactor.callLater(self.limits.probe / 1e6, connection.dead, connection.heard)

    def overdue(self, attempt):
        self.waiting.remove(attempt)
        self.caches.ended(attempt, AttemptOutcome.CONNECT_FAILED)

    def lost(self, connection):
        self.caches.held -= 1
        if connection in self.connections:
            self.connections.remove(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        if self.caches.paced:
            self.caches.paced.look()
        out, connection.out = connection.out, {}
        for attempt in out.values():  # what was not written whole has not run
            self.caches.ended(
                attempt,
                AttemptOutcome.RESET if connection.written(attempt) else AttemptOutcome.CONNECT_FAILED,
            )
        if self.waiting:
            self.connect()
        if self.caches.crowded:
            self.caches.freed()
