"""Manages the subscribers of this front in the trees: admission, acknowledgements, and sending of events.

Every tick of `gather` microseconds, each subscriber with missing events is sent one datagram. Subscribers
that are further behind share a limited number of extra datagrams, which bounds what a front sends per tick.
Events that are not acknowledged in time are sent again. Performs no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from limepath.discovery.bounds import (
    EXTRA_BATCHES_PER_TICK,
    LINK_DELAY_US,
    SNAPSHOT_CHUNKS_PER_TICK,
    max_children,
    max_watchers,
)
from limepath.discovery.component import Component
from limepath.discovery.event_coding import MAX_BATCH_BYTES, count_events, encode_batches
from limepath.discovery.event_window import CompactedError
from limepath.discovery.interface import EventBatch, Heartbeat, SendToMember, Subscribe, SubscriptionMode

if TYPE_CHECKING:
    from limepath.discovery.engine import DiscoveryEngine

LEASE_HEARTBEATS = 4  # heartbeat intervals for which a subscription lasts
ACKNOWLEDGEMENT_TIMEOUT_US = 2 * LINK_DELAY_US


class SentBatch(NamedTuple):
    """The time when a batch was sent, and the number of its last event."""

    at: int
    number: int


class NextBatch(NamedTuple):
    """The events of one datagram and the number of the last; `data` is empty if they were compacted away."""

    data: bytes
    last: int


class TreeSubscriber:
    """The mode of one subscriber, and the events that were sent to it."""

    __slots__ = ("expires_at", "mode", "sent", "unacknowledged", "stamp", "stamp_at")

    def __init__(self) -> None:
        self.expires_at: int = 0
        self.mode: int = SubscriptionMode.HEARTBEATS
        self.sent: int | None = None  # the last event sent, None if the next one was compacted away
        self.unacknowledged: list[SentBatch] = []
        self.stamp: int = 0  # of its last Subscribe
        self.stamp_at: int = 0  # when that Subscribe arrived

    def pop_overdue(self, now: int) -> int | None:
        """Return the last event whose acknowledgement is overdue, or None, and forget the overdue batches."""
        sent_before = now - ACKNOWLEDGEMENT_TIMEOUT_US
        overdue = [batch.number for batch in self.unacknowledged if batch.at <= sent_before]
        self.unacknowledged = [batch for batch in self.unacknowledged if batch.at > sent_before]
        return overdue[-1] if overdue else None


class TreeSubscribers(Component):
    """Holds the subscribers by token, and the send budgets of the current tick."""

    def __init__(self, engine: DiscoveryEngine):
        super().__init__(engine)
        self.subscribers: dict[int, TreeSubscriber] = {}
        self.tick_scheduled: bool = False
        self.extra_batches: int = EXTRA_BATCHES_PER_TICK  # remaining in this tick
        self.tick_began_at: int = 0
        self.chunks_sent: dict[int, int] = {}  # datagrams of lists sent in this tick, by token
        self.chunk_requesters: int = 0  # fronts that requested chunks in the previous tick

    def event_subscribers(self) -> list[TreeSubscriber]:
        """Return the subscribers that are sent events."""
        return [one for one in self.subscribers.values() if one.mode == SubscriptionMode.BATCHES]

    def retain(self, live: set[int], now: int) -> None:
        """Remove subscribers that are not live, or whose subscription has expired."""
        self.subscribers = {
            token: subscriber
            for token, subscriber in self.subscribers.items()
            if subscriber.expires_at > now and token in live
        }

    # Subscriptions

    def _accepts(self, token: int, mode: int) -> bool:
        """Return whether to accept a subscription: a renewal, or one below the limit of its mode."""
        known = self.subscribers.get(token)
        if known and known.mode == mode:
            return True
        event_subscribers = len(self.event_subscribers())
        if mode == SubscriptionMode.BATCHES:
            return event_subscribers < max_children(self.settings)
        return len(self.subscribers) - event_subscribers < max_watchers(self.settings)

    def on_subscribe(self, token: int, message: Subscribe) -> None:
        """Renew or refuse a subscription, answer with a heartbeat, and record the subscriber's revision."""
        if not self._accepts(token, message.mode):
            self.counts["turned away"] += 1
            self.subscribers.pop(token, None)
            self.timers.emit(SendToMember(token, self._reply(message.stamp, refused=True)))
            return
        now = self.timers.now
        subscriber = self.subscribers.setdefault(token, TreeSubscriber())
        subscriber.expires_at = now + LEASE_HEARTBEATS * self.settings.beat
        subscriber.mode = message.mode
        subscriber.stamp = message.stamp
        subscriber.stamp_at = now
        self.timers.emit(SendToMember(token, self._reply(message.stamp)))
        revision = self.replica.list.revision
        wants_events = message.mode == SubscriptionMode.BATCHES
        has_generation = message.generation == revision.generation
        if wants_events and has_generation and self.replica.window.covers(message.number):
            self._acknowledge(subscriber, message)
            if subscriber.sent < revision.number:
                self.schedule_tick()
        else:
            subscriber.sent = None

    def _reply(self, stamp: int, refused: bool = False) -> Heartbeat:
        return msgspec.structs.replace(self.star_subscribers.heartbeat(), stamp=stamp, refused=refused)

    def _acknowledge(self, subscriber: TreeSubscriber, message: Subscribe) -> None:
        """Rewind to the acknowledged event if a later one was lost; start there for a new subscription."""
        overdue = subscriber.pop_overdue(self.timers.now)
        is_lost = overdue is not None and message.number < overdue
        sent = subscriber.sent
        if sent is None or message.resend or is_lost or message.number > sent:
            self.counts["sent again"] += sent is not None and sent > message.number
            subscriber.sent = message.number
            subscriber.unacknowledged = []

    def send_heartbeats(self) -> None:
        """Send a heartbeat to each subscriber."""
        for token in self.subscribers:
            self.timers.emit(SendToMember(token, self.star_subscribers.heartbeat()))

    # Events

    def schedule_tick(self) -> None:
        """Schedule a tick, unless one is already scheduled."""
        if not self.tick_scheduled and self.subscribers:
            self.tick_scheduled = True
            self.timers.schedule(self.timers.now + self.settings.gather, self._tick)

    def _tick(self) -> None:
        """Send each subscriber its next datagram, then extra datagrams in turn to those still behind."""
        self.tick_scheduled = False
        self._renew_budgets()
        number = self.replica.list.revision.number
        prepared: dict[int, NextBatch] = {}
        waiting = [one for one in self.subscribers.items() if one[1].sent is not None]
        behind = []
        for token, subscriber in waiting:
            if self._send_next(token, subscriber, prepared) and subscriber.sent < number:
                behind.append((token, subscriber))
        while behind and self.extra_batches > 0:
            waiting = behind
            behind = []
            for token, subscriber in waiting:
                self.extra_batches -= 1
                if self._send_next(token, subscriber, prepared) and subscriber.sent < number:
                    behind.append((token, subscriber))
                if self.extra_batches <= 0:
                    break
        if any(one.sent is not None and one.sent < number for one in self.subscribers.values()):
            self.schedule_tick()

    def _send_next(self, token: int, subscriber: TreeSubscriber, prepared: dict[int, NextBatch]) -> bool:
        """Send the next batch and return whether there was one.

        `prepared` caches batches by the number of the last event before them.
        """
        revision = self.replica.list.revision
        if subscriber.sent is None or subscriber.sent >= revision.number:
            return False
        if subscriber.sent not in prepared:
            prepared[subscriber.sent] = self._next_batch(subscriber.sent)
        batch = prepared[subscriber.sent]
        if not batch.data:  # the subscriber will request the whole list
            subscriber.sent = None
            return False
        now = self.timers.now
        age = self.replica.wire_age() if batch.last == revision.number else -1
        since_subscribe = now - subscriber.stamp_at if subscriber.stamp else 0
        message = EventBatch(
            revision.generation, subscriber.sent + 1, batch.data, age, subscriber.stamp, since_subscribe
        )
        subscriber.sent = batch.last
        subscriber.unacknowledged.append(SentBatch(now, batch.last))
        self.counts["pushed"] += 1
        self.timers.emit(SendToMember(token, message))
        return True

    def _next_batch(self, sent: int) -> NextBatch:
        """Return the events after `sent` that fit one datagram."""
        try:
            coded = self.replica.window.events_after(sent, 2 * MAX_BATCH_BYTES)
        except CompactedError:
            return NextBatch(b"", sent)
        data = encode_batches(coded)[0]
        return NextBatch(data, sent + count_events(data))

    # Send budgets

    def may_send_chunk(self, token: int) -> bool:
        """Return whether one more datagram of a list may be sent to a front in this tick, and count it.

        The fronts that request chunks share a fixed number of datagrams per tick.
        """
        self._renew_budgets()
        sent = self.chunks_sent.setdefault(token, 0)
        share = max(1, SNAPSHOT_CHUNKS_PER_TICK // max(1, self.chunk_requesters))
        if sum(self.chunks_sent.values()) >= SNAPSHOT_CHUNKS_PER_TICK or sent >= share:
            return False
        self.chunks_sent[token] = sent + 1
        return True

    def _renew_budgets(self) -> None:
        """Reset the budgets of extra event datagrams and of list datagrams once per tick."""
        if self.timers.now - self.tick_began_at >= self.settings.gather:
            self.tick_began_at = self.timers.now
            self.extra_batches = EXTRA_BATCHES_PER_TICK
            self.chunk_requesters = len(self.chunks_sent)
            self.chunks_sent = {}
