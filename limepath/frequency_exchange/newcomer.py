"""Whom a newcomer asks for counts, what it takes, and what it tells others. Free of I/O."""

from limepath.frequency_exchange.interface import (
    CARRIED,
    LARGEST,
    MOST,
    AddCounts,
    CountsRead,
    PeerMessage,
    ReadCounts,
    RequestCounts,
    RequestCountsQuery,
    SendToMember,
)
from limepath.timer_queue import TimerQueue

FIRST, ANSWER_TIMEOUT = 500_000, 1_000_000  # microseconds until it asks; for an answer
TRIES = 4  # fronts that are asked in all
HALF = 600_000_000  # age at which a count is worth half
OLDEST = 6 * HALF
ASKED = 64  # answers a second that a front gives at most, each one datagram or some


class Newcomer:
    """`live()` are the others that live."""

    def __init__(self, seed, live):
        self.timers, self.live = TimerQueue(seed), live
        self.asked, self.tries, self.parts, self.done = None, 0, {}, False
        self.counted_at, self.answers, self.second = None, 0, 0
        self.counts = {"asked": 0, "learnt": 0, "told": 0, "refused": 0}

    def start(self, now):
        self.timers.now = now
        self.timers.schedule(now + int(FIRST * (1 + self.timers.random_fraction())), self.ask)

    def handle(self, now, notes=()):
        self.timers.run_due(now)
        for note in notes:
            if isinstance(note, CountsRead):
                self.tell(note)
            elif isinstance(note, PeerMessage) and isinstance(note.message, RequestCountsQuery):
                self.asked_by(note.token)
            elif isinstance(note, PeerMessage):
                self.take(note.token, note.message)
        return self.timers.take_commands()

    def next(self):
        return self.timers.next_due()

    def saw_get(self, now):
        """A GET was counted."""
        self.counted_at = now

    # Asking

    def ask(self):
        """One live front, another after ANSWER_TIMEOUT, a few in all. A view without others costs no try."""
        if self.done or self.tries >= TRIES:
            return
        live = self.live()
        if live:
            self.tries += 1
            self.asked, self.parts = self.timers.sample(live, 1)[0], {}
            self.counts["asked"] += 1
            self.timers.emit(SendToMember(self.asked, RequestCountsQuery()))
        self.timers.schedule(self.timers.now + ANSWER_TIMEOUT, self.ask)

    def take(self, token, message):
        """A part of the summary asked for; what is out of bounds is refused whole, what is missing is done
        without.
        """
        if token != self.asked or self.done:
            return
        sound = (
            0 <= message.age <= OLDEST
            and 0 <= message.at < message.of <= -(-MOST // CARRIED)
            and len(message.counts) <= CARRIED
            and all(obj >= 0 and part >= 0 and 0 < count <= LARGEST for obj, part, count in message.counts)
        )
        if not sound:
            self.counts["refused"] += 1
            self.asked = None
            return
        if not message.counts:  # as new as we are
            return
        if message.at in self.parts:
            return
        self.parts[message.at] = True
        self.done = len(self.parts) == message.of
        worth = 0.5 ** (message.age / HALF)
        self.counts["learnt"] += len(message.counts)
        self.timers.emit(AddCounts(tuple((obj, part, count * worth) for obj, part, count in message.counts)))

    # Telling

    def asked_by(self, token):
        """At most ASKED a second, whatever a fleet that starts at once asks of one."""
        second = self.timers.now // 1_000_000
        if second != self.second:
            self.second, self.answers = second, 0
        self.answers += 1
        if self.answers <= ASKED:
            self.timers.emit(ReadCounts(token, MOST))

    def tell(self, note):
        counts = note.counts[:MOST] if self.counted_at is not None else ()
        age = 0 if self.counted_at is None else self.timers.now - self.counted_at
        parts = [counts[at : at + CARRIED] for at in range(0, len(counts), CARRIED)] or [()]
        for at, part in enumerate(parts):
            self.counts["told"] += len(part)
            self.timers.emit(SendToMember(note.token, RequestCounts(age, tuple(part), at, len(parts))))
