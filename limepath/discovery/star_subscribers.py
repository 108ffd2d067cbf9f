"""Sends heartbeats and missing events, in text form, to the subscribers outside the trees.

These are fronts without a site and fronts with older program versions. Performs no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limepath.discovery.component import Component
from limepath.discovery.event_coding import decode_event
from limepath.discovery.event_window import CompactedError
from limepath.discovery.interface import Events, Heartbeat, SendToMember, Subscribe, SubscriptionMode

if TYPE_CHECKING:
    from limepath.discovery.engine import DiscoveryEngine

MAX_EVENT_BYTES = 1000  # of events per datagram
MAX_EVENT_DATAGRAMS = 4  # per answer to a Subscribe
LEASE_HEARTBEATS = 4  # heartbeat intervals for which a subscription lasts


class StarSubscribers(Component):
    """Holds the subscribers outside the trees, and the events to be pushed to them."""

    def __init__(self, engine: DiscoveryEngine):
        super().__init__(engine)
        self.subscribers: dict[int, int] = {}  # expiry time of the subscription, by token
        self.unsent: list[int] = []  # numbers of the events to be pushed

    def retain(self, live: set[int], now: int) -> None:
        """Remove subscribers that are not live, or whose subscription has expired."""
        self.subscribers = {
            token: expires_at
            for token, expires_at in self.subscribers.items()
            if token in live and expires_at > now
        }

    def heartbeat(self) -> Heartbeat:
        """Return a heartbeat with our revision and the time since the service last confirmed it."""
        current = self.replica.list
        return Heartbeat(
            self.settings.zone,
            *current.revision,
            current.digest,
            self.replica.wire_age(),
            self._failing_for(),
            len(self.subscribers) + len(self.tree_subscribers.subscribers),
            site=self.settings.site,
            oldest_available=self.replica.oldest_available(),
        )

    def _failing_for(self) -> int:
        """Return how long the calls of this front, or else of its parent, have been failing, or 0."""
        since = self.roles.failing_since
        if since is not None and not (self.stream.caught_up and self.stream.is_open):
            return max(1, self.timers.now - since)
        source = self.upstream.sources.get(self.tree.parent)
        if source and source.heartbeat and self.replica.is_stale():
            return source.heartbeat.failing_for
        return 0

    def send_heartbeats(self) -> None:
        """Send a heartbeat to each subscriber."""
        for token in self.subscribers:
            self.timers.emit(SendToMember(token, self.heartbeat()))

    def push(self) -> None:
        """Send the new events to each subscriber, or a heartbeat if they cannot be sent as texts."""
        numbers = self.unsent
        self.unsent = []
        if not numbers or not self.subscribers:
            return
        messages = self._events_from(numbers[0])
        for token in self.subscribers:
            for message in messages or (self.heartbeat(),):
                self.counts["pushed"] += 1
                self.timers.emit(SendToMember(token, message))

    def _events_from(self, first: int) -> list[Events]:
        """Return the messages with the events from this number on, at most `MAX_EVENT_DATAGRAMS`.

        Return no messages if an event was compacted away or does not fit a datagram.
        """
        try:
            coded = self.replica.window.events_after(first - 1, MAX_EVENT_DATAGRAMS * MAX_EVENT_BYTES)
        except CompactedError:
            return []
        messages: list[Events] = []
        texts: list[str] = []
        size = 0
        for text in (decode_event(data).text for data in coded):
            if len(text) > MAX_EVENT_BYTES:
                return []
            if texts and size + len(text) > MAX_EVENT_BYTES:
                messages.append(self._events_message(first, texts))
                first += len(texts)
                texts = []
                size = 0
            texts.append(text)
            size += len(text)
        if texts:
            messages.append(self._events_message(first, texts))
        return messages[:MAX_EVENT_DATAGRAMS]

    def _events_message(self, first: int, texts: list[str]) -> Events:
        generation = self.replica.list.revision.generation
        return Events(generation, first, tuple(texts), self.replica.wire_age())

    def on_subscribe(self, token: int, message: Subscribe) -> None:
        """Renew a subscription; answer with a heartbeat and the missing events."""
        self.scopes.learn(token, message.zone, message.site)
        if self.tree.enabled and message.mode != SubscriptionMode.TEXTS:
            self.tree_subscribers.on_subscribe(token, message)
            return
        self.subscribers[token] = self.timers.now + LEASE_HEARTBEATS * self.settings.beat
        self.timers.emit(SendToMember(token, self.heartbeat()))
        revision = self.replica.list.revision
        if message.generation == revision.generation and message.number < revision.number:
            for events in self._events_from(message.number + 1):
                self.timers.emit(SendToMember(token, events))
