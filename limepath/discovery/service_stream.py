"""The stream of the list service: calls, what it tells, whether it told all, numbers that run backwards.

Free of I/O.
"""

from zlib import crc32

from limepath.discovery.bounds import QUIET_SPAN_US
from limepath.discovery.component import Component
from limepath.discovery.event_checks import InvalidEventError, json_digest, parse_event
from limepath.discovery.interface import CloseStream, LogEvent, OpenStream, Revision, Role
from limepath.discovery.replay_detection import EventTimes

CALLING, UP = "calling", "up"
LIVE_SPAN_US = 1_000_000  # for which events come as they happen, until a stream has told all that it had


class ServiceStream(Component):
    """`state` is None, CALLING or UP; `whole`: the next call asks for all, gathered in `incoming`."""

    def __init__(self, listing):
        super().__init__(listing)
        self.state = None
        self.heard_at = 0
        self.event_at = 0
        self.serial = 0
        self.incoming = None
        self.caught_up = False
        self.overlapped = False
        self.whole = True
        self.doubted = None
        self.times = EventTimes()
        self.meets = False
        self.tail = []  # the events told anew lead through our list; those beyond it
        self.differs = False  # one of them is not as we hold it

    def call(self):
        self.roles.budget.called()
        self.counts["calls"] += 1
        self.serial += 1
        self.state = CALLING
        self.heard_at = self.timers.now
        self.event_at = self.timers.now
        self.caught_up = False
        number = self.held.list.place.number
        self.whole |= number not in self.held.window
        self.incoming = self.held.empty() if self.whole else None
        self.overlapped = False
        self.timers.emit(
            OpenStream(0 if self.whole else number - 1)
        )  # one that we hold: a service restored from an older
        # state, which would say nothing until its numbers pass ours, does not tell it again
        self.times.clear()
        self.meets = False
        self.differs = False
        self.tail = []
        self.timers.schedule(self.timers.now + self.terms.silence, self.still_silent, self.serial)

    def still_silent(self, serial):
        if serial != self.serial or not self.state:
            return
        if self.timers.now - self.heard_at >= self.terms.silence:
            self.hang_up("silent")
        else:
            self.timers.schedule(self.heard_at + self.terms.silence, self.still_silent, serial)

    def hang_up(self, why):
        self.timers.emit(CloseStream(why))
        self.ended(why)

    def ended(self, why):
        now = self.timers.now
        self.timers.emit(LogEvent("list-stream", {"ended": why, "after": self.held.list.place.number}))
        self.whole |= (
            not self.caught_up or now - self.heard_at >= self.terms.silence
        )  # it may have been restored meanwhile
        self.state = None
        self.incoming = None
        self.serial += 1
        if self.roles.role != Role.FOLLOWS:
            self.roles.tries_since = self.roles.tries_since or now
            self.roles.decide()

    def up(self, note):
        self.state = UP
        self.heard_at = self.timers.now
        self.timers.schedule(self.timers.now + QUIET_SPAN_US, self.told_all, self.serial)

    def says(self, note):
        self.heard_at = self.timers.now
        self.told_all(self.serial)

    def lost(self, note):
        if self.state:
            self.ended(note.why)

    def moved(self, note):
        """Another address: its numbers go on, as far as it tells; the stream is opened anew."""
        if self.state:
            self.hang_up("another address")

    def event(self, note):
        now = self.timers.now
        self.heard_at = self.event_at = now
        if not self.state:
            return
        try:
            told = parse_event(note.text)
            self.times.add(now, told)
            if self.incoming is not None:
                self.replayed(told, note.text)
            else:
                self.continued(told, note.text)
            self.doubted = None
        except InvalidEventError as flaw:
            mark = crc32(note.text.encode())
            if self.doubted != mark:  # it may have been damaged on the way: once more from the start
                self.doubted = mark
                self.whole = True
                return self.hang_up(f"event: {flaw}"[:120])
            self.timers.emit(LogEvent("list-event", {"skipped": str(flaw)[:120], "number": note.number}))
            self.counts["nonsense"] += 1
        if self.caught_up:
            self.held.confirm(now)
        else:
            self.timers.schedule(now + QUIET_SPAN_US, self.told_all, self.serial)

    def replayed(self, told, text):
        """Of a stream that tells all from the start: the first event holds the whole list, no number is left
        out.
        """
        incoming, number = self.incoming, told["seq"]
        if not incoming.place.number and not incoming.members:
            if not told.get("fleet", {}).get("complete"):
                raise InvalidEventError("the first event holds no whole list")
        elif number <= incoming.place.number:
            return
        elif number != incoming.place.number + 1 and self.doubted is None:
            raise InvalidEventError(f"{number} comes after {incoming.place.number}")
        incoming.take(told, self.timers.now)
        held = self.held.list
        self.differs |= self.held.contradicts(told)
        if self.meets and number > held.place.number:
            self.tail.append((told, text))
        elif number == held.place.number and self.tree.on:
            self.meets = incoming.digest == held.digest and not self.differs

    def continued(self, told, text):
        number, known, window = told["seq"], self.held.list.place.number, self.held.window
        if number == known and window.digest(number) == json_digest(told):
            self.overlapped = True
        elif number == known + 1:
            self.overlapped = True
            self.held.advance(told, text)
        elif number > known:
            self.whole = True
            raise InvalidEventError(f"{number} comes after {known}")
        elif window.digest(number) != json_digest(told):
            self.whole = True  # told before, but not so: the service's numbers ran backwards
            self.counts["contradictions"] += 1
            self.hang_up(f"event {number} is told anew, and otherwise")

    def told_all(self, serial):
        """Whether the stream has told what it had, so that the list is the service's as of now: no event came
        for a while, a longer one before we believe that its numbers ran backwards; it may be telling all
        slowly.
        """
        now, incoming = self.timers.now, self.incoming
        if serial != self.serial or self.state != UP or incoming is not None and not incoming.place.number:
            return
        if not self.caught_up:
            behind = incoming is not None and incoming.place.number < self.held.list.place.number
            due = self.event_at + (self.terms.silence if behind else QUIET_SPAN_US)
            if now < due and not self.times.live(now, self.terms.silence if behind else LIVE_SPAN_US):
                return self.timers.schedule(due, self.told_all, serial)
        if self.incoming is not None:
            incoming = self.incoming
            self.incoming = None
            self.replaced(incoming)
        elif not (self.caught_up or self.overlapped):
            self.whole = True
            return self.hang_up(f"event {self.held.list.place.number} is not told again")
        self.caught_up = True
        self.whole = False
        self.roles.suspicious = False
        self.roles.tries_since = None
        self.held.confirm(now)

    def replaced(self, incoming):
        """A whole list from the service itself: where its numbers are behind ours, they ran backwards."""
        place, old = incoming.place, self.held.list.place
        if self.meets and place.number >= old.number:
            return self.caught(place.number)
        generation = old.generation
        if (
            place.number < old.number
            or place.number == old.number
            and incoming.digest != self.held.list.digest
        ):
            generation += 1
            self.timers.emit(
                LogEvent("list-backwards", {"was": old.number, "is": place.number, "generation": generation})
            )
        incoming.place = Revision(generation, place.number)
        if incoming.place != old or incoming.digest != self.held.list.digest:
            self.held.adopt(incoming)

    def caught(self, number):
        """What was told anew goes through our list: its last events alone are new, to those below as well."""
        tail = self.tail
        self.tail = []
        for told, text in tail:
            if told["seq"] == self.held.list.place.number + 1:
                self.held.advance(told, text)
