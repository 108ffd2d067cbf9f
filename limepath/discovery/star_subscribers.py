"""Those that follow this front as in the star: where its list stands and the events that each lacks.

Free of I/O.
"""

from limepath.discovery.component import Component
from limepath.discovery.event_coding import decode_event
from limepath.discovery.event_window import CompactedError
from limepath.discovery.interface import Events, Heartbeat, SendToMember, SubscriptionMode

MAX_EVENT_BYTES = 1000  # bytes of events in one datagram
MAX_EVENT_DATAGRAMS = 4  # datagrams of events in answer to one Follow
LEASE_HEARTBEATS = 4  # beats for which a follower counts as one


class StarSubscribers(Component):
    """`known` maps a follower's token to when it ceases to count as one."""

    def __init__(self, listing):
        super().__init__(listing)
        self.known = {}
        self.to_push = []

    def my_beat(self):
        now, place, held = self.timers.now, self.held.list.place, self.held
        age = -1 if held.confirmed_at is None else now - held.confirmed_at
        return Heartbeat(
            self.terms.zone,
            *place,
            held.list.digest,
            age,
            self.tries(),
            len(self.known) + len(self.children.known),
            site=self.terms.site,
            reaches=held.reaches(),
        )

    def tries(self):
        """How long this front, or the one that it hears the list from, has been calling in vain."""
        roles, stream = self.roles, self.stream
        if roles.tries_since is not None and not (stream.caught_up and stream.state):
            return max(1, self.timers.now - roles.tries_since)
        source = self.upstream.sources.get(self.tree.parent)
        return source.beat.tries if source and source.beat and self.held.late() else 0

    def tell(self):
        for token in self.known:
            self.timers.emit(SendToMember(token, self.my_beat()))

    def push(self):
        numbers = self.to_push
        self.to_push = []
        if numbers and self.known:
            messages = self.events_from(numbers[0])
            for token in self.known:
                for message in messages or (self.my_beat(),):
                    self.counts["pushed"] += 1
                    self.timers.emit(SendToMember(token, message))

    def events_from(self, first):
        """The first WINDOW messages of the events from this number on; none where one is not kept or does not
        fit.
        """
        out, texts, size, at = [], [], 0, first
        try:
            coded = self.held.window.since(first - 1, MAX_EVENT_DATAGRAMS * MAX_EVENT_BYTES)
        except CompactedError:
            return []
        for number, text in enumerate((decode_event(data).text for data in coded), first):
            if len(text) > MAX_EVENT_BYTES:
                return []
            if texts and size + len(text) > MAX_EVENT_BYTES:
                out.append((at, tuple(texts)))
                texts, size, at = [], 0, number
            texts.append(text)
            size += len(text)
        out.append((at, tuple(texts)))
        return [self.events(at, texts) for at, texts in out[:MAX_EVENT_DATAGRAMS] if texts]

    def events(self, first, texts):
        held = self.held
        age = -1 if held.confirmed_at is None else self.timers.now - held.confirmed_at
        return Events(held.list.place.generation, first, texts, age)

    def subscribed(self, token, message):
        place = self.held.list.place
        self.scopes.learn(token, message.zone, message.site)
        if self.tree.on and message.reads != SubscriptionMode.TEXTS:
            return self.children.subscribed(token, message)
        self.known[token] = self.timers.now + LEASE_HEARTBEATS * self.terms.beat
        self.timers.emit(SendToMember(token, self.my_beat()))
        if message.generation == place.generation and message.number < place.number:
            for one in self.events_from(message.number + 1):
                self.timers.emit(SendToMember(token, one))
