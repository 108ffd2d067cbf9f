"""A tree's subscribers of this front: how many are accepted, what each has acknowledged, what is sent.

Every tick of `gather` microseconds each is sent the events since, one datagram at least; those behind share a
number of extra datagrams, so that a front sends no more than a set number whatever others lack. What was sent
and is not acknowledged in time is sent again. Free of I/O.
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
    """When a batch was sent and the number of its last event."""

    at: int
    number: int


class NextBatch(NamedTuple):
    """The events of one datagram and the number of the last; no data where they were compacted away."""

    data: bytes
    last: int


class TreeSubscriber:
    """What one subscriber wants and has."""

    __slots__ = ("expires_at", "mode", "sent", "unacknowledged", "stamp", "stamp_at")

    def __init__(self) -> None:
        self.expires_at: int = 0
        self.mode: int = SubscriptionMode.HEARTBEATS
        self.sent: int | None = None  # the last event sent, None where the next it needs was compacted away
        self.unacknowledged: list[SentBatch] = []
        self.stamp: int = 0  # of its last Subscribe
        self.stamp_at: int = 0  # when that came

    def pop_overdue(self, now: int) -> int | None:
        """The last event that must have been acknowledged by now, or None."""
        sent_before = now - ACKNOWLEDGEMENT_TIMEOUT_US
        overdue = [batch.number for batch in self.unacknowledged if batch.at <= sent_before]
        self.unacknowledged = [batch for batch in self.unacknowledged if batch.at > sent_before]
        return overdue[-1] if overdue else None


class TreeSubscribers(Component):
    """The subscribers by token, and what may still be sent in this tick."""

    def __init__(self, engine: DiscoveryEngine):
        super().__init__(engine)
        self.subscribers: dict[int, TreeSubscriber] = {}
        self.tick_scheduled: bool = False
        self.extra_batches: int = EXTRA_BATCHES_PER_TICK  # that may still be sent in this tick
        self.tick_began_at: int = 0
        self.chunks_sent: dict[int, int] = {}  # of lists in this tick, by token
        self.chunk_requesters: int = 0  # fronts that asked for any in the tick before

    def event_subscribers(self) -> list[TreeSubscriber]:
        """Those that are sent events."""
        return [one for one in self.subscribers.values() if one.mode == SubscriptionMode.BATCHES]

    def retain(self, live: set[int], now: int) -> None:
        """Forget subscribers that are not live, or whose subscription has expired."""
        self.subscribers = {
            token: subscriber
            for token, subscriber in self.subscribers.items()
            if subscriber.expires_at > now and token in live
        }

    # Subscriptions

    def _accepts(self, token: int, mode: int) -> bool:
        """Whether one more subscriber of its kind is accepted; one that is known stays."""
        known = self.subscribers.get(token)
        if known and known.mode == mode:
            return True
        event_subscribers = len(self.event_subscribers())
        if mode == SubscriptionMode.BATCHES:
            return event_subscribers < max_children(self.settings)
        return len(self.subscribers) - event_subscribers < max_watchers(self.settings)

    def on_subscribe(self, token: int, message: Subscribe) -> None:
        """Renew a subscription; answer with a heartbeat, and note what the subscriber has."""
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
        """Send again from where the subscriber stands, if something that was sent did not arrive."""
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
        """Send events some time from now, unless that is due already."""
        if not self.tick_scheduled and self.subscribers:
            self.tick_scheduled = True
            self.timers.schedule(self.timers.now + self.settings.gather, self._tick)

    def _tick(self) -> None:
        """Send each subscriber the next datagram, and those behind more of them in turn."""
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
        """Send the next batch; return whether there was one. `prepared` are batches by the number before."""
        revision = self.replica.list.revision
        if subscriber.sent is None or subscriber.sent >= revision.number:
            return False
        if subscriber.sent not in prepared:
            prepared[subscriber.sent] = self._next_batch(subscriber.sent)
        batch = prepared[subscriber.sent]
        if not batch.data:  # the subscriber will ask for the whole list
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
        """The events after `sent` that go into one datagram."""
        try:
            coded = self.replica.window.events_after(sent, 2 * MAX_BATCH_BYTES)
        except CompactedError:
            return NextBatch(b"", sent)
        data = encode_batches(coded)[0]
        return NextBatch(data, sent + count_events(data))

    # The budget of lists

    def may_send_chunk(self, token: int) -> bool:
        """Whether one more datagram of a list may be sent to a front before the next tick.

        Those that ask share a set number of datagrams.
        """
        self._renew_budgets()
        sent = self.chunks_sent.setdefault(token, 0)
        share = max(1, SNAPSHOT_CHUNKS_PER_TICK // max(1, self.chunk_requesters))
        if sum(self.chunks_sent.values()) >= SNAPSHOT_CHUNKS_PER_TICK or sent >= share:
            return False
        self.chunks_sent[token] = sent + 1
        return True

    def _renew_budgets(self) -> None:
        """So many extra datagrams of events and so many of lists in each span of a tick."""
        if self.timers.now - self.tick_began_at >= self.settings.gather:
            self.tick_began_at = self.timers.now
            self.extra_batches = EXTRA_BATCHES_PER_TICK
            self.chunk_requesters = len(self.chunks_sent)
            self.chunks_sent = {}
