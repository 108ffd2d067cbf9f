"""Handles heartbeats and events from other fronts, and checks them against our list.

Performs no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from limepath.discovery.component import Component
from limepath.discovery.event_checks import InvalidEventError, parse_event
from limepath.discovery.event_coding import CodingError, ServiceEvent, decode_batch
from limepath.discovery.interface import (
    EventBatch,
    Events,
    Heartbeat,
    LogEvent,
    Revision,
    SendToMember,
    SubscriptionMode,
)
from limepath.discovery.upstream import BAD_PEER_EXCLUSION_US, UpstreamSource

if TYPE_CHECKING:
    from limepath.discovery.engine import DiscoveryEngine

ASSUMED_DELAY_US = 5_000  # added to an age for the transmission of a message without a stamp
DEFAULT_HELD_EVENTS = 512  # minimum held by an older program, whose heartbeats do not report its window
REORDERING_TIMEOUT_US = 50_000  # after which a missing batch counts as lost rather than reordered
MAX_EARLY_BATCHES = 16  # kept until the missing batch arrives
MAX_STAMP_AGE_US = 60_000_000  # maximum time between a Subscribe and an answer to it
MAX_REASON_LENGTH = 120  # characters of an error in a log line


class Lag(NamedTuple):
    """A revision of our list, and the time since which another front is known to be ahead of it."""

    revision: Revision
    since: int


class EarlyBatch(NamedTuple):
    """A batch that arrived before its predecessor, and its sender."""

    token: int
    message: EventBatch


class EventIntake(Component):
    """Applies what other fronts send of the list, and avoids fronts that send invalid data."""

    def __init__(self, engine: DiscoveryEngine):
        super().__init__(engine)
        self.lag: Lag | None = None
        self.early: dict[int, EarlyBatch] = {}  # by the number of the first event
        self.resend_scheduled: bool = False

    # Heartbeats

    def on_heartbeat(self, token: int, message: Heartbeat) -> None:
        """Record the heartbeat of a source, and compare its revision with ours."""
        self.scopes.learn(token, message.zone, message.site)
        source = self.upstream.sources.get(token)
        if source is None:
            return
        source.heartbeat = message
        source.heartbeat_at = self.timers.now
        source.awaiting_since = None
        if message.refused:
            self.tree.record_refusal(token)
            return
        revision = self.replica.list.revision
        other = Revision(message.generation, message.number)
        if other > revision:
            self._handle_source_ahead(token, source, message)
        elif other == revision:
            self._handle_source_equal(token, source, message)
        else:
            self._handle_source_behind(token, source, message)

    def _handle_source_ahead(self, token: int, source: UpstreamSource, message: Heartbeat) -> None:
        """Wait for the missing events, or fetch the source's list if they are unavailable or overdue."""
        source.behind_since = None
        events_suffice = self._has_missing_events(message)
        if events_suffice:
            self.tree.record_available(message.number)
        if message.age < 0 or self.snapshot_transfer.download or self.page_transfer.download:
            return
        if not events_suffice or self._lag_time() > 2 * self.settings.beat + self.tree.delivery_time():
            self._fetch_list(token, message)

    def _handle_source_equal(self, token: int, source: UpstreamSource, message: Heartbeat) -> None:
        """Accept the heartbeat as a confirmation of our list, unless the source's list differs."""
        source.behind_since = None
        number = self.replica.list.revision.number
        if message.digest != self.replica.list.digest:
            self._handle_contradiction(token, f"a different list at {number}")
        elif message.age >= 0 and number:
            self.replica.confirm(self._confirmed_at(message.age, message.stamp))

    def _handle_source_behind(self, token: int, source: UpstreamSource, message: Heartbeat) -> None:
        """Reject a source that claims to be up to date but has been behind us for too long."""
        own_age = self.replica.age() or 0
        if self.tree.enabled and message.age + ASSUMED_DELAY_US >= own_age - self.tree.delivery_time():
            source.behind_since = None  # sent before it received the last events
        elif 0 <= message.age < own_age and not self.replica.is_stale():
            source.behind_since = source.behind_since or self.timers.now
            if self.timers.now - source.behind_since > self.settings.heartbeat_timeout:
                number = self.replica.list.revision.number
                self._handle_contradiction(
                    token, f"claims to be up to date at {message.number}, but others are at {number}"
                )

    def _fetch_list(self, token: int, message: Heartbeat) -> None:
        """Request the pages that differ if the source supports it, else its packed list."""
        if self.tree.enabled and message.site and self.replica.list.revision.number:
            self.page_transfer.start(token)
        else:
            self.snapshot_transfer.start(token, message.subscribers)

    def _has_missing_events(self, message: Heartbeat) -> bool:
        """Return whether the sender of a heartbeat holds all events that we lack."""
        revision = self.replica.list.revision
        if message.generation != revision.generation or not revision.number:
            return False
        if message.oldest_available < 0:
            return message.number - revision.number <= DEFAULT_HELD_EVENTS
        return revision.number + 1 >= message.oldest_available

    def _confirmed_at(self, age: int, stamp: int, since_subscribe: int = 0) -> int:
        """Return the earliest time at which the service can have confirmed the revision of a message.

        The confirmation was `age` before the message was sent. The sender sent the message `since_subscribe`
        after it had received our Subscribe, which we sent at `stamp`, so not before `stamp` plus that time.
        """
        now = self.timers.now
        if 0 < stamp and 0 <= now - stamp - since_subscribe < MAX_STAMP_AGE_US:
            return stamp + since_subscribe - age
        return now - age - ASSUMED_DELAY_US

    def _lag_time(self) -> int:
        """Return how long our list has been behind another front's, in microseconds."""
        revision = self.replica.list.revision
        if self.lag is None or self.lag.revision != revision:
            self.lag = Lag(revision, self.timers.now)
        return self.timers.now - self.lag.since

    # Faulty sources

    def _handle_contradiction(self, token: int, reason: str) -> None:
        """Reject a source whose list differs from ours where both should agree.

        Unless a stream has confirmed our list, call the service for a replay, as our list may be wrong.
        """
        source = self.upstream.sources.get(token)
        if source:
            source.rejected_until = self.timers.now + BAD_PEER_EXCLUSION_US
            source.behind_since = None
        self.counts["contradictions"] += 1
        self.timers.emit(LogEvent("list-contradiction", {"peer": f"{token:016x}", "why": reason}))
        has_service_list = self.stream.is_open and self.stream.caught_up
        self.roles.contradiction_seen = not has_service_list
        self.stream.replay_needed = not has_service_list

    def reject_invalid(self, token: int, reason: object) -> None:
        """Reject a front that sent invalid data, and log the reason."""
        if token in self.upstream.sources:
            self.upstream.sources[token].rejected_until = self.timers.now + BAD_PEER_EXCLUSION_US
        self.counts["nonsense"] += 1
        fields = {"peer": f"{token:016x}", "why": str(reason)[:MAX_REASON_LENGTH]}
        self.timers.emit(LogEvent("list-nonsense", fields))

    # Events

    def _follows_our_list(self, token: int, generation: int) -> bool:
        """Return whether events come from a source and belong to the generation of our list."""
        revision = self.replica.list.revision
        return token in self.upstream.sources and generation == revision.generation and revision.number > 0

    def on_events(self, token: int, message: Events) -> None:
        """Apply events in text form, which relays send to fronts outside the trees."""
        if not self._follows_our_list(token, message.generation):
            return
        for number, text in enumerate(message.texts, message.first):
            try:
                event = parse_event(text)
                if event["seq"] != number:
                    raise InvalidEventError(f"event {event['seq']} sent as {number}")
            except InvalidEventError as error:
                self.reject_invalid(token, error)
                return
            if not self._append_or_compare(token, event, text):
                return
        last = message.first + len(message.texts) - 1
        if last == self.replica.list.revision.number and message.age >= 0:
            self.replica.confirm(self.timers.now - message.age - ASSUMED_DELAY_US)

    def on_event_batch(self, token: int, message: EventBatch) -> None:
        """Apply encoded events from the parent, or from the backup while the parent is late."""
        if not self._follows_our_list(token, message.generation):
            return
        try:
            events = decode_batch(message.data)
        except CodingError as error:
            self.reject_invalid(token, error)
            return
        first = events[0].body["seq"]
        if first != message.first:
            self.reject_invalid(token, f"events from {first} sent as {message.first}")
            return
        self.tree.record_available(events[-1].body["seq"])
        if first > self.replica.list.revision.number + 1:
            self._store_early(token, message)
            return
        self._apply_batch(token, message, events)

    def _apply_batch(self, token: int, message: EventBatch, events: tuple[ServiceEvent, ...]) -> None:
        number = self.replica.list.revision.number
        self.counts["doubled"] += sum(event.body["seq"] <= number for event in events)
        for event, text in events:
            if not self._append_or_compare(token, event, text):
                return
        if events[-1].body["seq"] == self.replica.list.revision.number and message.age >= 0:
            self.replica.confirm(self._confirmed_at(message.age, message.stamp, message.since_subscribe))
        next_number = self.replica.list.revision.number + 1
        if (following := self.early.pop(next_number, None)) is not None:
            self.on_event_batch(following.token, following.message)

    def _append_or_compare(self, token: int, event: dict[str, Any], text: str) -> bool:
        """Append an event if it is the next; return False if it contradicts one in the window."""
        number = event["seq"]
        if number == self.replica.list.revision.number + 1:
            self.replica.append(event, text)
        elif self.replica.contradicts(event):
            self._handle_contradiction(token, f"a different event {number}")
            return False
        return True

    def _store_early(self, token: int, message: EventBatch) -> None:
        """Keep a batch whose predecessor is missing, and request a resend if that does not arrive soon."""
        if len(self.early) < MAX_EARLY_BATCHES:
            self.early[message.first] = EarlyBatch(token, message)
        if not self.resend_scheduled:
            self.resend_scheduled = True
            due = self.timers.now + REORDERING_TIMEOUT_US
            self.timers.schedule(due, self._request_resend, token)

    def _request_resend(self, token: int) -> None:
        """Request the missing events again if kept batches still wait for them."""
        self.resend_scheduled = False
        number = self.replica.list.revision.number
        self.early = {first: batch for first, batch in self.early.items() if first > number + 1}
        if self.early:
            self.counts["gaps"] += 1
            self.early.clear()
            request = self.roles.new_subscription(SubscriptionMode.BATCHES, resend=True)
            self.timers.emit(SendToMember(token, request))
