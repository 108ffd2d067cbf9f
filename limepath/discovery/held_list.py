"""The list that a front holds: when the service last confirmed it, what of it was handed on.

A saved list is not used before a relay or the service has confirmed where it stands. Free of I/O.
"""

from limepath.discovery import bounds
from limepath.discovery.bounds import BATCH_DELAY_US
from limepath.discovery.component import Component
from limepath.discovery.endpoint_list import EndpointList, unpack_list
from limepath.discovery.event_checks import InvalidEventError, json_digest
from limepath.discovery.event_coding import MAX_BATCH_BYTES, CodingError, encode_event
from limepath.discovery.event_window import EventWindow
from limepath.discovery.interface import (
    ApplyEvent,
    FrontReady,
    ListConfirmed,
    ListFreshnessChanged,
    LogEvent,
    SaveSnapshot,
)

SAVES_PER_WINDOW = 10  # of a list that changes all the time
BATCH_HEAD_BYTES = 32  # bytes of a batch beside its events, at the most


class HeldList(Component):
    """`window` keeps the last events for those behind; `given`: the front has the list; `stale`: it was told
    that the list is late.
    """

    def __init__(self, listing):
        super().__init__(listing)
        self.list = self.empty()
        self.window = EventWindow(self.terms.window, self.terms.window_bytes)
        self.given = False
        self.confirmed_at = None
        self.saving = False
        self.stale = False

    def empty(self):
        return EndpointList(self.terms.gone + self.terms.window)

    def read(self, saved):
        """Take a saved list up: where it stands is told to relays, so that they tell what is new; it goes
        nowhere else.
        """
        try:
            self.list = self.unpacked(saved)
            self.window.restart(self.list.place.number)
        except InvalidEventError as flaw:
            self.timers.emit(LogEvent("saved-list", {"flaw": f"{flaw}; begins without"}))

    def unpacked(self, data):
        """The list of packed bytes; raise InvalidEventError."""
        return unpack_list(data, self.terms.longest, self.timers.now, self.terms.gone + self.terms.window)

    def save_soon(self):
        if not self.saving:
            self.saving = True
            wait = self.terms.save
            if self.tree.on:  # events never cease; a restarted front is told those since by the window
                wait = max(wait, self.terms.window // SAVES_PER_WINDOW)
            self.timers.schedule(self.timers.now + wait, self.save)

    def save(self):
        self.saving = False
        self.timers.emit(SaveSnapshot(self.list.packed(self.timers.now)))

    def age(self):
        """How long ago the service confirmed this list, or None."""
        return None if self.confirmed_at is None else self.timers.now - self.confirmed_at

    def late(self):
        return self.confirmed_at is None or self.timers.now - self.confirmed_at > self.fresh()

    def fresh(self):
        """How old the last confirmation may be."""
        return bounds.freshness_limit(self.terms, self.tree.hops)

    def watch(self):
        """Tell the front when its list becomes late."""
        due = self.confirmed_at + self.fresh() + 1
        if self.timers.now < due:
            self.timers.schedule(due, self.watch)
        else:
            self.stale = True
            self.timers.emit(ListFreshnessChanged(True))

    def adopt(self, new):
        """Put another list in the place of ours."""
        self.list = new
        self.given = False
        self.window.restart(new.place.number)
        self.save_soon()
        if self.confirmed_at is not None:
            self.give()
        self.followers.tell()
        self.children.tell()

    def give(self):
        """Hand the whole list to the front. How old its purges are only the clocks tell."""
        self.given = True
        self.timers.emit(ApplyEvent(self.list.whole()))
        for told in self.list.purges.values():
            self.timers.emit(ApplyEvent(told))

    def advance(self, told, text):
        """The next event. It was not yet told when our list was last confirmed: so old it can be at most."""
        oldest = -1 if self.confirmed_at is None else self.timers.now - self.confirmed_at
        self.list.take(told, self.timers.now)
        self.keep(told, text)
        if self.given:
            self.timers.emit(ApplyEvent(told, oldest))
        if not self.followers.to_push:
            self.timers.schedule(self.timers.now + BATCH_DELAY_US, self.followers.push)
        self.followers.to_push.append(told["seq"])
        self.children.tick_soon()
        self.save_soon()

    def keep(self, told, text):
        """Put an event into the window; one that fits no datagram is had with the whole list only."""
        try:
            coded = encode_event(told, text)
        except CodingError:
            coded = None
        if coded is None or len(coded) > MAX_BATCH_BYTES - BATCH_HEAD_BYTES:
            self.window.restart(told["seq"])
        else:
            self.window.add(self.timers.now, told["seq"], coded, json_digest(told))

    def reaches(self):
        """The oldest event that can be sent to others."""
        oldest = self.window.reaches
        return self.list.place.number + 1 if oldest is None else oldest

    def contradicts(self, told):
        """Whether we hold another event of that number."""
        digest = self.window.digest(told["seq"])
        return digest is not None and digest != json_digest(told)

    def confirm(self, at):
        """The service stood where our list stands at that time."""
        first = self.confirmed_at is None
        if first or at > self.confirmed_at:
            self.confirmed_at = at
        if not self.given:
            self.give()
        if self.stale and not self.late():
            self.stale = False
            self.timers.emit(ListFreshnessChanged(False))
            self.watch()
        if first:
            self.watch()
            self.timers.emit(ListConfirmed(self.list.place, self.timers.now - at))
            sharing = max(self.terms.fronts, len(self.live()) + 1)
            wait = (
                int(self.timers.random_fraction() * sharing / self.terms.ready * 1e6)
                if self.terms.ready
                else 0
            )
            self.timers.schedule(self.timers.now + wait, self.timers.emit, FrontReady())
            self.followers.tell()
            self.children.tell()
