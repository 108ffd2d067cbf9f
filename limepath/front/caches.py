"""Caches, parents and the origin by ident: orders of the module carried out there, and how each ended."""

from itertools import count

from limepath.configuration.process_limits import CROSSING_CLOSES
from limepath.front.attempt import Attempt, Probing
from limepath.front.cache_connection import State
from limepath.front.cache_peer import Peer
from limepath.front.cache_protocol import read_load
from limepath.front.clock import clock
from limepath.front.reference_clock import ReferenceClock
from limepath.interface.events import AttemptEnded, AttemptOutcome, CacheStatus, EndpointState, ProbeEnded


class Caches:
    """All members by ident, and what the module orders of them."""

    def __init__(self, reactor, turn, clients, limits, log, probe_word):
        self.reactor, self.turn, self.clients, self.limits, self.log = reactor, turn, clients, limits, log
        self.probe_word, self.peers, self.names, self.tags, self.held = probe_word, {}, {}, count(1), 0
        self.reference = ReferenceClock(limits.skew)
        self.crowded = False  # somebody found no room for a connection
        self.secured = None  # TLS, where the front is told of it
        self.paced = None  # a pace of new connections, where fronts keep one together

    def time(self, attempt, span, then):
        attempt.timer = self.reactor.callLater(max(0, span) / 1e6, then, attempt)

    def still(self, attempt):
        if attempt.timer and attempt.timer.active():
            attempt.timer.cancel()

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
        if ident not in self.peers and standing == EndpointState.REMOVED:
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
            for attempt in [
                one for one in peer.waiting if isinstance(one, Attempt) and concerned(one.order, one.get)
            ]:
                self.stop(attempt, AttemptOutcome.SUPERSEDED)

    def purged(self, purge):
        self.recall(
            lambda order, get: (
                get.event.object == purge.object if purge.object else get.event.group == purge.group
            )
        )

    def forward(self, order, get, decided_at):
        attempt = Attempt(get, order, self.names, decided_at, self.limits.wait)
        get.attempt_count += 1
        get.attempts[attempt.number] = attempt
        if not get.is_open or attempt.limit <= attempt.at:
            self.ended(attempt, AttemptOutcome.SUPERSEDED)
        else:
            self.peers[order.endpoint].send(attempt)

    def probe(self, order, epoch=0):
        """A probe under a lease tells its epoch in its tag, so that a member can turn an older one away."""
        tag = b"p%d-e%d" % (next(self.tags), epoch) if epoch else b"p%d" % next(self.tags)
        self.peers[order.endpoint].send(Probing(order.endpoint, tag, self.limits.wait))

    def close_idle(self, order):
        for connection in list(self.peers[order.endpoint].connections):
            if not connection.out:
                connection.retire()

    def cancel(self, attempt):
        self.stop(attempt, AttemptOutcome.CANCELLED)

    def time_out(self, attempt):
        self.stop(attempt, AttemptOutcome.TIMED_OUT)

    def stop(self, attempt, verdict):
        """Give a forward up; one that was never written whole did not run, and a cache that does not even
        read is out of reach.
        """
        connection, peer = attempt.connection, self.peers[attempt.order.endpoint]
        if connection is None:
            if attempt in peer.waiting:
                peer.waiting.remove(attempt)
            verdict = AttemptOutcome.SUPERSEDED
        elif not connection.give_up(attempt, verdict == AttemptOutcome.TIMED_OUT):
            verdict = (
                AttemptOutcome.CONNECT_FAILED
                if verdict == AttemptOutcome.TIMED_OUT
                else AttemptOutcome.SUPERSEDED
            )
        self.ended(attempt, verdict)

    def client_has_gone(self, attempt):
        """Whether this attempt's client has gone, its end read or not; the attempt has ended then. Asked of
        the system before each attempt: a late pass, or one that brings an answer before an end, can't know.
        """
        client = attempt.get.connection
        if client is None or not client.is_disconnected():
            return False
        client.disconnected_before_attempt()
        return True

    def cancel_unsent(self, get):
        """The client has left: what has not gone out whole goes no more, whether its effect could be repeated
        or not.
        """
        for attempt in list(get.attempts.values()):
            if (
                attempt.connection is None
                or not attempt.connection.written(attempt)
                and len(attempt.connection.out) == 1
            ):
                self.stop(attempt, AttemptOutcome.SUPERSEDED)

    def unanswered(self, probing):
        probing.connection.give_up(probing, unanswered=True)
        self.ended(probing, AttemptOutcome.TIMED_OUT)

    def ended(self, attempt, verdict, word=b"", fields=None, body=b""):
        """Every forward and probe ends here, once."""
        self.still(attempt)
        fields = fields or {}
        load = read_load(fields[b"use"]) if b"use" in fields else {}
        if isinstance(attempt, Probing):
            self.turn.gather(ProbeEnded(attempt.cache, verdict, clock() - attempt.at, load))
            return
        get, order = attempt.get, attempt.order
        get.attempts.pop(attempt.number, None)
        if verdict == AttemptOutcome.SUCCEEDED:
            self.clients.answer_with_copy(get, word == b"KEEP", fields.get(b"rev"), body)
        self.turn.gather(
            AttemptEnded(
                order.request,
                attempt.number,
                verdict,
                order.endpoint,
                clock() - attempt.at,
                0,
                not get.is_open,
                CacheStatus.NONE,
                load,
            )
        )
        if not get.is_open:
            self.clients.release_if_done(get)

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
