"""Decides when TLS handshakes may start, and when a failing server is tried again.

The module does no I/O: it takes events and returns commands.

A full handshake costs both sides much more than a GET, so handshakes are limited for each server and for all
of them: by a token bucket of `burst` tokens that fills at `rate`, and by a maximum number in progress. The
server may reject an offered session, which makes the handshake a full one. Each handshake is therefore
charged as a full one when it starts, and the difference is refunded when it turns out to be resumed. That way
the buckets are never overdrawn.

Handshakes start in the order of their latency objectives. Those with a session to offer are treated as if
their objective were earlier by a constant, so no handshake waits forever behind others. A handshake is
refused once its deadline has passed.

A server whose handshakes fail is in backoff, with a delay that grows with each failure: a short one if the
failure may pass by itself, a long one if a certificate must be replaced. After the delay one handshake is
allowed; each success raises the number that may be in progress by one, up to the configured maximum.
"""

from sortedcontainers import SortedList

from limepath.configuration.tls_settings import HandshakePace, RetryDelays
from limepath.timer_queue import TimerQueue
from limepath.tls.interface import (
    TRANSIENT_FAILURES,
    HandshakeCancelled,
    HandshakeCompleted,
    HandshakeFailed,
    HandshakeRequested,
    KeySetReplaced,
    LogServerState,
    RefuseHandshake,
    StartHandshake,
)

RESUMPTION_ADVANTAGE_US = 200_000  # subtracted from the objective of a handshake with a session to offer


class TokenBucket:
    """A token bucket that fills with `rate` tokens a second, up to `burst`. Counts millionths of a token."""

    __slots__ = ("rate", "capacity", "level", "filled_at")

    def __init__(self, rate, burst, now):
        self.rate, self.capacity, self.level, self.filled_at = rate, burst * 1_000_000, burst * 1_000_000, now

    def fill(self, now):
        self.level = min(self.capacity, self.level + int((now - self.filled_at) * self.rate))
        self.filled_at = now

    def time_until_token(self, now):
        """Return the microseconds until a whole token is available, 0 if there is one."""
        self.fill(now)
        return 0 if self.level >= 1_000_000 else int((1_000_000 - self.level) / self.rate) + 1

    def take(self):
        self.level -= 1_000_000

    def refund(self, share):
        """Put back a share of a token, up to the capacity."""
        self.level = min(self.capacity, self.level + int(share * 1_000_000))


class ServerState:
    """The handshakes of one server.

    Attributes:
        bucket: the server's token bucket.
        in_progress: identifiers of the handshakes in progress.
        failures: failures since the last success.
        retry_at: when the backoff ends, or None without one.
        limit: how many handshakes may be in progress.
        queue: the waiting handshakes, as (effective objective, identifier).
    """

    __slots__ = ("bucket", "in_progress", "failures", "retry_at", "limit", "queue")

    def __init__(self, pace, now):
        self.bucket, self.in_progress, self.failures, self.retry_at = (
            TokenBucket(pace.rate, pace.burst, now),
            set(),
            0,
            None,
        )
        self.limit, self.queue = pace.at_once, SortedList()


class Admission:
    """Admits handshakes to all servers of a front.

    Attributes:
        bucket: the token bucket that all servers share.
        servers: a ServerState by server.
        waiting: the requests that have not started, by handshake.
        in_progress: the server of each handshake in progress, by handshake.
        next_check: when waiting handshakes are looked at again, or None if that is not scheduled.
        counts: handshakes by result.
    """

    def __init__(self, seed, pace=HandshakePace(), retry_delays=RetryDelays()):
        self.timers, self.pace, self.retry_delays = TimerQueue(seed), pace, retry_delays
        self.bucket, self.servers, self.waiting, self.in_progress = None, {}, {}, {}
        self.next_check = None
        self.counts = {"full": 0, "resumed": 0, "failed": 0, "refused": 0}
        self.handlers = {
            HandshakeRequested: self.on_requested,
            HandshakeCompleted: self.on_completed,
            HandshakeFailed: self.on_failed,
            HandshakeCancelled: self.on_cancelled,
            KeySetReplaced: self.on_key_set_replaced,
        }

    def handle(self, now, events):
        """Handle events at `now`, run the timers that are due, and return the resulting commands."""
        self.timers.run_due(now)
        if self.bucket is None:
            self.bucket = TokenBucket(self.pace.all_rate, self.pace.all_burst, now)
        for event in events:
            self.handlers[type(event)](event)
        self.start_allowed()
        return self.timers.take_commands()

    def next(self):
        """Return when the next timer is due, or None without a timer."""
        return self.timers.next_due()

    def server(self, ident):
        """Return the state of a server, which is created at its first handshake."""
        if ident not in self.servers:
            self.servers[ident] = ServerState(self.pace, self.timers.now)
        return self.servers[ident]

    # Events

    def on_requested(self, event):
        server = self.server(event.server)
        if event.id in self.waiting or event.id in self.in_progress:
            return
        if event.deadline <= self.timers.now:
            return self.refuse(event.id, "deadline passed")
        if (
            server.retry_at is not None
            and self.timers.now < server.retry_at
            and server.retry_at >= event.deadline
        ):
            return self.refuse(event.id, "server in backoff")
        self.waiting[event.id] = event
        server.queue.add(self.queue_key(event))
        self.timers.schedule(event.deadline, self.expire, event.id)

    @staticmethod
    def queue_key(event):
        return event.objective - RESUMPTION_ADVANTAGE_US * event.resumable, event.id

    def expire(self, ident):
        """Refuse a handshake whose deadline has passed, if it is still waiting."""
        if event := self.waiting.pop(ident, None):
            self.servers[event.server].queue.remove(self.queue_key(event))
            self.refuse(ident, "deadline passed")

    def refuse(self, ident, reason):
        self.counts["refused"] += 1
        self.timers.emit(RefuseHandshake(ident, reason))

    def on_completed(self, event):
        if (ident := self.in_progress.pop(event.id, None)) is None:
            return
        server = self.servers[ident]
        server.in_progress.discard(event.id)
        self.counts["resumed" if event.resumed else "full"] += 1
        if event.resumed:
            for bucket in (server.bucket, self.bucket):
                bucket.fill(self.timers.now)
                bucket.refund(1 - self.pace.resumed_share)
        if server.failures:
            self.timers.emit(LogServerState(ident, "backoff ended: a handshake succeeded", None, 0))
        server.failures, server.retry_at = 0, None
        server.limit = min(self.pace.at_once, server.limit + 1)

    def on_failed(self, event):
        if (ident := self.in_progress.pop(event.id, None)) is None:
            return
        server = self.servers[ident]
        server.in_progress.discard(event.id)
        self.counts["failed"] += 1
        now = self.timers.now
        if server.retry_at is not None and now < server.retry_at:
            return  # an earlier failure of the handshakes in progress started the backoff and was logged
        transient = event.failure in TRANSIENT_FAILURES
        first, most = (
            (self.retry_delays.transient, self.retry_delays.transient_max)
            if transient
            else (self.retry_delays.permanent, self.retry_delays.permanent_max)
        )
        backoff = min(most, first << min(20, server.failures))
        backoff = int(backoff * (0.75 + self.timers.random_fraction() / 2))
        server.failures, server.limit, server.retry_at = server.failures + 1, 1, now + backoff
        self.schedule_check(server.retry_at)
        self.timers.emit(LogServerState(ident, "backoff started", event.failure, backoff))
        for _, waiting_id in list(server.queue):  # refuse those whose deadline is not after the backoff
            if self.waiting[waiting_id].deadline <= server.retry_at:
                refused = self.waiting.pop(waiting_id)
                server.queue.remove(self.queue_key(refused))
                self.refuse(waiting_id, "server in backoff")

    def on_cancelled(self, event):
        if request := self.waiting.pop(event.id, None):
            self.servers[request.server].queue.remove(self.queue_key(request))
        elif (ident := self.in_progress.pop(event.id, None)) is not None:
            self.servers[ident].in_progress.discard(event.id)

    def on_key_set_replaced(self, event):
        for server in self.servers.values():
            server.failures, server.retry_at, server.limit = 0, None, self.pace.at_once

    # Start of handshakes

    def schedule_check(self, when):
        """Look at the waiting handshakes at `when`, unless an earlier check is scheduled."""
        if self.next_check is None or when < self.next_check:
            self.next_check = when
            self.timers.schedule(when, self.check, when)

    def check(self, when):
        """Start waiting handshakes, unless the check at `when` was replaced by an earlier one."""
        if self.next_check == when:
            self.next_check = None
            self.start_allowed()

    def start_allowed(self):
        """Start as many handshakes as the limits allow, the earliest objective of all servers first."""
        now = self.timers.now
        while len(self.in_progress) < self.pace.all_at_once:
            candidates = [
                (server.queue[0], ident)
                for ident, server in self.servers.items()
                if server.queue and self.can_start(server)
            ]
            if not candidates:
                return
            if delay := self.bucket.time_until_token(now):
                return self.schedule_check(now + delay)
            (_, request_id), ident = min(candidates)
            # A check may run before the request's own deadline timer when both are due.
            if self.waiting[request_id].deadline <= now:
                self.expire(request_id)
                continue
            server = self.servers[ident]
            server.queue.pop(0)
            del self.waiting[request_id]
            server.bucket.take()
            self.bucket.take()
            server.in_progress.add(request_id)
            self.in_progress[request_id] = ident
            self.timers.emit(StartHandshake(request_id))

    def can_start(self, server):
        """Whether a handshake with this server may start now; schedules a check at the time it may."""
        now = self.timers.now
        if server.retry_at is not None and now < server.retry_at:
            self.schedule_check(server.retry_at)
            return False
        if len(server.in_progress) >= server.limit:
            return False
        if delay := server.bucket.time_until_token(now):
            self.schedule_check(now + delay)
            return False
        return True
