"""Heartbeats and events of other fronts, checked against our list.

Free of I/O.
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
from limepath.discovery.upstream import BAD_PEER_US, UpstreamSource

if TYPE_CHECKING:
    from limepath.discovery.engine import DiscoveryEngine

ASSUMED_DELAY_US = 5_000  # added to an age for the way of a message, where no stamp measures it
DEFAULT_HELD_EVENTS = 512  # that one has at the least who does not say how far its window reaches
REORDERING_TIMEOUT_US = 50_000  # until a batch that another has overtaken counts as lost
MAX_EARLY_BATCHES = 16  # kept meanwhile
MAX_STAMP_AGE_US = 60_000_000  # for which an answer to a Subscribe counts as one
MAX_REASON_LENGTH = 120  # characters of an error in a log line


class Lag(NamedTuple):
    """A revision of our list, and since when another front is known to be ahead of it."""

    revision: Revision
    since: int


class EarlyBatch(NamedTuple):
    """A batch that came before one that it follows, and its sender."""

    token: int
    message: EventBatch


class EventIntake(Component):
    """Takes in what other fronts send of the list, and passes over those that send invalid data."""

    def __init__(self, engine: DiscoveryEngine):
        super().__init__(engine)
        self.lag: Lag | None = None
        self.early: dict[int, EarlyBatch] = {}  # by the number of the first event
        self.resend_scheduled: bool = False

    # Heartbeats

    def on_heartbeat(self, token: int, message: Heartbeat) -> None:
        """Compare the revision of a source with ours."""
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
        """Wait for the events that it has; have its whole list if they can't bring us up to it."""
        source.behind_since = None
        events_suffice = self._has_missing_events(message)
        if events_suffice:
            self.tree.record_available(message.number)
        if message.age < 0 or self.snapshot_transfer.download or self.page_transfer.download:
            return
        if not events_suffice or self._lag_time() > 2 * self.settings.beat + self.tree.delivery_time():
            self._fetch_list(token, message)

    def _handle_source_equal(self, token: int, source: UpstreamSource, message: Heartbeat) -> None:
        """It confirms our list, unless it has another one."""
        source.behind_since = None
        number = self.replica.list.revision.number
        if message.digest != self.replica.list.digest:
            self._handle_contradiction(token, f"another list at {number}")
        elif message.age >= 0 and number:
            self.replica.confirm(self._confirmed_at(message.age, message.stamp))

    def _handle_source_behind(self, token: int, source: UpstreamSource, message: Heartbeat) -> None:
        """It is passed over if it calls itself up to date for long, and is not."""
        own_age = self.replica.age() or 0
        if self.tree.enabled and message.age + ASSUMED_DELAY_US >= own_age - self.tree.delivery_time():
            source.behind_since = None  # it sent this before the last events came
        elif 0 <= message.age < own_age and not self.replica.is_stale():
            source.behind_since = source.behind_since or self.timers.now
            if self.timers.now - source.behind_since > self.settings.heartbeat_timeout:
                number = self.replica.list.revision.number
                self._handle_contradiction(token, f"up to date at {message.number}, others are at {number}")

    def _fetch_list(self, token: int, message: Heartbeat) -> None:
        """Ask for the pages that differ, if the other can send those; else for its packed list."""
        if self.tree.enabled and message.site and self.replica.list.revision.number:
            self.page_transfer.start(token)
        else:
            self.snapshot_transfer.start(token, message.subscribers)

    def _has_missing_events(self, message: Heartbeat) -> bool:
        """Whether the sender of a heartbeat holds all events that we lack."""
        revision = self.replica.list.revision
        if message.generation != revision.generation or not revision.number:
            return False
        if message.oldest_available < 0:
            return message.number - revision.number <= DEFAULT_HELD_EVENTS
        return revision.number + 1 >= message.oldest_available

    def _confirmed_at(self, age: int, stamp: int, since_subscribe: int = 0) -> int:
        """When the service confirmed what a message says.

        That was `age` before the message was sent, which was `since_subscribe` after our Subscribe of that
        stamp had arrived, so not before that.
        """
        now = self.timers.now
        if 0 < stamp and 0 <= now - stamp - since_subscribe < MAX_STAMP_AGE_US:
            return stamp + since_subscribe - age
        return now - age - ASSUMED_DELAY_US

    def _lag_time(self) -> int:
        """How long we have lacked what another has, in microseconds."""
        revision = self.replica.list.revision
        if self.lag is None or self.lag.revision != revision:
            self.lag = Lag(revision, self.timers.now)
        return self.timers.now - self.lag.since

    # Faulty sources

    def _handle_contradiction(self, token: int, reason: str) -> None:
        """Two lists that should agree do not.

        The source is passed over, and the service asked, for it may be our list that is wrong.
        """
        source = self.upstream.sources.get(token)
        if source:
            source.rejected_until = self.timers.now + BAD_PEER_US
            source.behind_since = None
        self.counts["contradictions"] += 1
        self.timers.emit(LogEvent("list-contradiction", {"peer": f"{token:016x}", "why": reason}))
        has_service_list = self.stream.is_open and self.stream.caught_up
        self.roles.contradiction_seen = not has_service_list
        self.stream.replay_needed = not has_service_list

    def reject_invalid(self, token: int, reason: object) -> None:
        """Pass a front over that sent what cannot be used, and log why."""
        if token in self.upstream.sources:
            self.upstream.sources[token].rejected_until = self.timers.now + BAD_PEER_US
        self.counts["nonsense"] += 1
        fields = {"peer": f"{token:016x}", "why": str(reason)[:MAX_REASON_LENGTH]}
        self.timers.emit(LogEvent("list-nonsense", fields))

    # Events

    def _follows_our_list(self, token: int, generation: int) -> bool:
        """Whether events come from a source and belong to the list that we have."""
        revision = self.replica.list.revision
        return token in self.upstream.sources and generation == revision.generation and revision.number > 0

    def on_events(self, token: int, message: Events) -> None:
        """Take in events as texts, which relays send in the star."""
        if not self._follows_our_list(token, message.generation):
            return
        for number, text in enumerate(message.texts, message.first):
            try:
                event = parse_event(text)
                if event["seq"] != number:
                    raise InvalidEventError(f"event {event['seq']} told as {number}")
            except InvalidEventError as error:
                self.reject_invalid(token, error)
                return
            if not self._take(token, event, text):
                return
        last = message.first + len(message.texts) - 1
        if last == self.replica.list.revision.number and message.age >= 0:
            self.replica.confirm(self.timers.now - message.age - ASSUMED_DELAY_US)

    def on_event_batch(self, token: int, message: EventBatch) -> None:
        """Take in events of the parent, or of the backup that was asked for them."""
        if not self._follows_our_list(token, message.generation):
            return
        try:
            events = decode_batch(message.data)
        except CodingError as error:
            self.reject_invalid(token, error)
            return
        first = events[0].body["seq"]
        if first != message.first:
            self.reject_invalid(token, f"events from {first} told as {message.first}")
            return
        self.tree.record_available(events[-1].body["seq"])
        if first > self.replica.list.revision.number + 1:
            self._store_early(token, message)
            return
        self._take_batch(token, message, events)

    def _take_batch(self, token: int, message: EventBatch, events: tuple[ServiceEvent, ...]) -> None:
        number = self.replica.list.revision.number
        self.counts["doubled"] += sum(event.body["seq"] <= number for event in events)
        for event, text in events:
            if not self._take(token, event, text):
                return
        if events[-1].body["seq"] == self.replica.list.revision.number and message.age >= 0:
            self.replica.confirm(self._confirmed_at(message.age, message.stamp, message.since_subscribe))
        next_number = self.replica.list.revision.number + 1
        if (following := self.early.pop(next_number, None)) is not None:
            self.on_event_batch(following.token, following.message)

    def _take(self, token: int, event: dict[str, Any], text: str) -> bool:
        """Append the event that follows; return False where it contradicts one that we have."""
        number = event["seq"]
        if number == self.replica.list.revision.number + 1:
            self.replica.append(event, text)
        elif self.replica.contradicts(event):
            self._handle_contradiction(token, f"another event {number}")
            return False
        return True

    def _store_early(self, token: int, message: EventBatch) -> None:
        """Keep a batch that has overtaken another for a while; or that one was lost."""
        if len(self.early) < MAX_EARLY_BATCHES:
            self.early[message.first] = EarlyBatch(token, message)
        if not self.resend_scheduled:
            self.resend_scheduled = True
            due = self.timers.now + REORDERING_TIMEOUT_US
            self.timers.schedule(due, self._request_resend, token)

    def _request_resend(self, token: int) -> None:
        """Unless the batch that was overtaken has come, it was lost: ask for it."""
        self.resend_scheduled = False
        number = self.replica.list.revision.number
        self.early = {first: batch for first, batch in self.early.items() if first > number + 1}
        if self.early:
            self.counts["gaps"] += 1
            self.early.clear()
            request = self.roles.new_subscription(SubscriptionMode.BATCHES, resend=True)
            self.timers.emit(SendToMember(token, request))
