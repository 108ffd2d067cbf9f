"""Who may shake hands when, and which server is left alone. Free of I/O: notes in, orders out, one timers.

A full handshake costs both sides much more than a GET. So they pass a budget, by server and in all: a bucket
of `burst` that fills at `rate`, and so many under way at once. An offered session may be turned down by the
server, which makes the handshake a full one; so each is charged as full when it begins, and what it did not
cost is given back when it proves resumed. The budget is never overdrawn that way.

Who goes first: the nearest latency objective, with a head start for who can resume. The head start is a span,
so nobody waits for ever behind others; whose time is over is refused.

A server whose handshakes fail is left alone, longer each time: shortly where the failure may pass by itself,
long where somebody must mend a certificate. Then one try; then, with each success, one more at once until as
before.
"""

from sortedcontainers import SortedList

from limepath.configuration.tls_settings import HandshakePace, RetryDelays
from limepath.timer_queue import TimerQueue
from limepath.tls.interface import PASSING, Begin, Broken, Refuse, Shaken, Swapped, Told, Unwanted, Want

HEAD_START = 200_000  # microseconds for who can resume


class Bucket:
    """Tokens in millionths: `rate` a second into at most `burst`."""

    __slots__ = ("rate", "most", "held", "at")

    def __init__(self, rate, burst, now):
        self.rate, self.most, self.held, self.at = rate, burst * 1_000_000, burst * 1_000_000, now

    def fill(self, now):
        self.held = min(self.most, self.held + int((now - self.at) * self.rate))
        self.at = now

    def wait(self, now):
        """Microseconds until a whole one is there."""
        self.fill(now)
        return 0 if self.held >= 1_000_000 else int((1_000_000 - self.held) / self.rate) + 1

    def take(self):
        self.held -= 1_000_000

    def give_back(self, share):
        self.held = min(self.most, self.held + int(share * 1_000_000))


class Server:
    """One server: its bucket, what is under way, and whether it is left alone."""

    __slots__ = ("bucket", "under_way", "failures", "left_until", "limit", "line")

    def __init__(self, pace, now):
        self.bucket, self.under_way, self.failures, self.left_until = (
            Bucket(pace.rate, pace.burst, now),
            set(),
            0,
            None,
        )
        self.limit, self.line = pace.at_once, SortedList()


class Admission:
    def __init__(self, seed, pace=HandshakePace(), retry_delays=RetryDelays()):
        self.timers, self.pace, self.retry_delays = TimerQueue(seed), pace, retry_delays
        self.bucket, self.servers, self.wants, self.under_way = None, {}, {}, {}
        self.looks_at = None
        self.counts = {"full": 0, "resumed": 0, "failed": 0, "refused": 0}
        self.desks = {
            Want: self.wanted,
            Shaken: self.shaken,
            Broken: self.broken,
            Unwanted: self.unwanted,
            Swapped: self.swapped,
        }

    def handle(self, now, notes):
        """Take notes in at `now`; give the orders that follow."""
        self.timers.run_due(now)
        if self.bucket is None:
            self.bucket = Bucket(self.pace.all_rate, self.pace.all_burst, now)
        for note in notes:
            self.desks[type(note)](note)
        self.admit()
        return self.timers.take_commands()

    def next(self):
        return self.timers.next_due()

    def server(self, ident):
        if ident not in self.servers:
            self.servers[ident] = Server(self.pace, self.timers.now)
        return self.servers[ident]

    # Notes

    def wanted(self, note):
        server = self.server(note.server)
        if note.id in self.wants or note.id in self.under_way:
            return
        if note.until <= self.timers.now:
            return self.refuse(note.id, "too late")
        if (
            server.left_until is not None
            and self.timers.now < server.left_until
            and server.left_until >= note.until
        ):
            return self.refuse(note.id, "left alone")
        self.wants[note.id] = note
        server.line.add(self.place(note))
        self.timers.schedule(note.until, self.overdue, note.id)

    @staticmethod
    def place(note):
        return note.objective - HEAD_START * note.resumable, note.id

    def overdue(self, ident):
        if note := self.wants.pop(ident, None):
            self.servers[note.server].line.remove(self.place(note))
            self.refuse(ident, "too late")

    def refuse(self, ident, why):
        self.counts["refused"] += 1
        self.timers.emit(Refuse(ident, why))

    def shaken(self, note):
        if (ident := self.under_way.pop(note.id, None)) is None:
            return
        server = self.servers[ident]
        server.under_way.discard(note.id)
        self.counts["resumed" if note.resumed else "full"] += 1
        if note.resumed:
            for bucket in (server.bucket, self.bucket):
                bucket.fill(self.timers.now)
                bucket.give_back(1 - self.pace.resumed_share)
        if server.failures:
            self.timers.emit(Told(ident, "shakes hands again", None, 0))
        server.failures, server.left_until = 0, None
        server.limit = min(self.pace.at_once, server.limit + 1)

    def broken(self, note):
        if (ident := self.under_way.pop(note.id, None)) is None:
            return
        server = self.servers[ident]
        server.under_way.discard(note.id)
        self.counts["failed"] += 1
        now = self.timers.now
        if server.left_until is not None and now < server.left_until:
            return  # one of several that were under way: told already
        passing = note.failure in PASSING
        first, most = (
            (self.retry_delays.transient, self.retry_delays.transient_max)
            if passing
            else (self.retry_delays.permanent, self.retry_delays.permanent_max)
        )
        span = min(most, first << min(20, server.failures))
        span = int(span * (0.75 + self.timers.random_fraction() / 2))
        server.failures, server.limit, server.left_until = server.failures + 1, 1, now + span
        self.look_at(server.left_until)
        self.timers.emit(Told(ident, "left alone", note.failure, span))
        for _, waiting in list(server.line):  # whom it would come too late for
            if self.wants[waiting].until <= server.left_until:
                lost = self.wants.pop(waiting)
                server.line.remove(self.place(lost))
                self.refuse(waiting, "left alone")

    def unwanted(self, note):
        if want := self.wants.pop(note.id, None):
            self.servers[want.server].line.remove(self.place(want))
        elif (ident := self.under_way.pop(note.id, None)) is not None:
            self.servers[ident].under_way.discard(note.id)

    def swapped(self, note):
        for server in self.servers.values():
            server.failures, server.left_until, server.limit = 0, None, self.pace.at_once

    # Who goes

    def look_at(self, when):
        """Look again then, if not sooner."""
        if self.looks_at is None or when < self.looks_at:
            self.looks_at = when
            self.timers.schedule(when, self.look, when)

    def look(self, when):
        if self.looks_at == when:
            self.looks_at = None
            self.admit()

    def admit(self):
        """Begin what the budget allows, the nearest objective of all servers first."""
        now = self.timers.now
        while len(self.under_way) < self.pace.all_at_once:
            able = [
                (server.line[0], ident)
                for ident, server in self.servers.items()
                if server.line and self.ready(server)
            ]
            if not able:
                return
            if wait := self.bucket.wait(now):
                return self.look_at(now + wait)
            (_, want), ident = min(able)
            if self.wants[want].until <= now:  # its own timer is due as well, behind this one
                self.overdue(want)
                continue
            server = self.servers[ident]
            server.line.pop(0)
            del self.wants[want]
            server.bucket.take()
            self.bucket.take()
            server.under_way.add(want)
            self.under_way[want] = ident
            self.timers.emit(Begin(want))

    def ready(self, server):
        now = self.timers.now
        if server.left_until is not None and now < server.left_until:
            self.look_at(server.left_until)
            return False
        if len(server.under_way) >= server.limit:
            return False
        if wait := server.bucket.wait(now):
            self.look_at(now + wait)
            return False
        return True
