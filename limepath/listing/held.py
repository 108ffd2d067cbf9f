"""The list that a front holds: when the service last confirmed it, what of it was handed on.

A saved list is not used before a relay or the service has confirmed where it stands. Free of I/O.
"""

from collections import OrderedDict

from limepath.listing import bounds
from limepath.listing.bounds import BATCH
from limepath.listing.component import Component
from limepath.listing.interface import Confirmed, Ready, Save, Say, Take
from limepath.listing.state import BadList, List, summary, unpacked

KEPT = 512  # events that are kept for followers


class Held(Component):
    """`log` maps the numbers of the last events to their text and digest; `given`: the front has the list."""

    def __init__(self, listing):
        super().__init__(listing)
        self.list, self.log = List(), OrderedDict()
        self.given, self.confirmed_at, self.saving = False, None, False

    def read(self, saved):
        """Take a saved list up: where it stands is told to relays, so that they tell what is new; it goes
        nowhere else.
        """
        try:
            self.list = unpacked(saved, self.terms.longest)
        except BadList as flaw:
            self.agenda.order(Say("saved-list", {"flaw": f"{flaw}; begins without"}))

    def save_soon(self):
        if not self.saving:
            self.saving = True
            self.agenda.at(self.agenda.now + self.terms.save, self.save)

    def save(self):
        self.saving = False
        self.agenda.order(Save(self.list.packed()))

    def age(self):
        """How long ago the service confirmed this list, or None."""
        return None if self.confirmed_at is None else self.agenda.now - self.confirmed_at

    def late(self):
        return self.confirmed_at is None or self.agenda.now - self.confirmed_at > bounds.fresh(self.terms)

    def adopt(self, new):
        """Put another list in the place of ours."""
        self.list, self.given = new, False
        self.log.clear()
        self.save_soon()
        if self.confirmed_at is not None:
            self.give()
        self.followers.tell()

    def give(self):
        """Hand the whole list to the front. How old its purges are only the clocks tell."""
        self.given = True
        self.agenda.order(Take(self.list.whole()))
        for told in self.list.purges.values():
            self.agenda.order(Take(told))

    def advance(self, told, text):
        """The next event. It was not yet told when our list was last confirmed: so old it can be at most."""
        oldest = -1 if self.confirmed_at is None else self.agenda.now - self.confirmed_at
        self.list.take(told)
        self.log[told["seq"]] = text, summary(told)
        if len(self.log) > KEPT:
            self.log.popitem(last=False)
        if self.given:
            self.agenda.order(Take(told, oldest))
        if not self.followers.to_push:
            self.agenda.at(self.agenda.now + BATCH, self.followers.push)
        self.followers.to_push.append(told["seq"])
        self.save_soon()

    def confirm(self, at):
        """The service stood where our list stands at that time."""
        first = self.confirmed_at is None
        if first or at > self.confirmed_at:
            self.confirmed_at = at
        if not self.given:
            self.give()
        if first:
            self.agenda.order(Confirmed(self.list.place, self.agenda.now - at))
            sharing = max(self.terms.fronts, len(self.live()) + 1)
            wait = int(self.agenda.chance() * sharing / self.terms.ready * 1e6) if self.terms.ready else 0
            self.agenda.at(self.agenda.now + wait, self.agenda.order, Ready())
            self.followers.tell()
