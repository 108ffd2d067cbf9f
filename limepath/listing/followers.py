"""Those that follow this front: where its list stands and the events that each lacks.

Free of I/O.
"""

from limepath.listing.component import Component
from limepath.listing.held import KEPT
from limepath.listing.interface import Beat, Events, Reach

CARRIED = 1000  # bytes of events in one datagram
WINDOW = 4  # datagrams of events in answer to one Follow
LEASE = 4  # beats for which a follower counts as one


class Followers(Component):
    """`known` maps a follower's token to when it ceases to count as one."""

    def __init__(self, listing):
        super().__init__(listing)
        self.known, self.to_push = {}, []

    def my_beat(self):
        now, place = self.agenda.now, self.held.list.place
        age = -1 if self.held.confirmed_at is None else now - self.held.confirmed_at
        tries = (
            0
            if self.roles.tries_since is None or self.stream.caught_up and self.stream.state
            else max(1, now - self.roles.tries_since)
        )
        return Beat(self.terms.zone, *place, self.held.list.digest, age, tries, len(self.known))

    def tell(self):
        for token in self.known:
            self.agenda.order(Reach(token, self.my_beat()))

    def push(self):
        numbers, self.to_push = self.to_push, []
        if numbers and self.known:
            messages = self.events_from(numbers[0])
            for token in self.known:
                for message in messages or (self.my_beat(),):
                    self.counts["pushed"] += 1
                    self.agenda.order(Reach(token, message))

    def events_from(self, first):
        """Messages that carry all events from this number on; none where one of them is not kept or does not
        fit.
        """
        out, texts, size, at = [], [], 0, first
        for number in range(first, self.held.list.place.number + 1):
            if number not in self.held.log or len(self.held.log[number][0]) > CARRIED:
                return []
            text = self.held.log[number][0]
            if texts and size + len(text) > CARRIED:
                out.append((at, tuple(texts)))
                texts, size, at = [], 0, number
            texts.append(text)
            size += len(text)
        age = -1 if self.held.confirmed_at is None else self.agenda.now - self.held.confirmed_at
        return [
            Events(self.held.list.place.generation, at, texts, age)
            for at, texts in [*out, (at, tuple(texts))]
            if texts
        ]

    def subscribed(self, token, message):
        place = self.held.list.place
        self.zones[token] = message.zone
        self.known[token] = self.agenda.now + LEASE * self.terms.beat
        self.agenda.order(Reach(token, self.my_beat()))
        behind = place.number - message.number
        if message.generation == place.generation and 0 < behind <= KEPT:
            for one in self.events_from(message.number + 1)[:WINDOW]:
                self.agenda.order(Reach(token, one))
