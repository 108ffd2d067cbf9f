"""Maintains this front's replica of the endpoint list, its freshness, and its application to the front.

A saved list is applied only after a relay or the service has confirmed its revision. Performs no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from limepath.discovery import bounds
from limepath.discovery.bounds import BATCH_DELAY_US
from limepath.discovery.component import Component
from limepath.discovery.endpoint_list import EndpointList, unpack_list
from limepath.discovery.event_checks import InvalidEventError, json_digest
from limepath.discovery.event_coding import MAX_BATCH_BYTES, CodingError, decode_event, encode_event
from limepath.discovery.event_window import EventWindow
from limepath.discovery.interface import (
    ApplyEvent,
    FrontReady,
    ListConfirmed,
    ListFreshnessChanged,
    LogEvent,
    SaveSnapshot,
)

if TYPE_CHECKING:
    from limepath.discovery.engine import DiscoveryEngine

SAVES_PER_WINDOW = 10  # maximum, for a front in trees
BATCH_HEADER_BYTES = 32  # maximum size of a batch without its events
SECOND = 1_000_000


class ListReplica(Component):
    """Holds the list, the window of its last events, and the time of the service's last confirmation."""

    def __init__(self, engine: DiscoveryEngine):
        super().__init__(engine)
        self.list: EndpointList = self.new_list()
        self.window = EventWindow(self.settings.window, self.settings.window_bytes)
        self.applied: bool = False  # this list was applied to the front
        self.confirmed_at: int | None = None  # when the service last had the revision of this list
        self.save_scheduled: bool = False
        self.stale_reported: bool = False  # the last report to the front said that the list is stale

    def new_list(self) -> EndpointList:
        """Return an empty list."""
        return EndpointList(self.settings.purge_lifetime + self.settings.window)

    # Storage

    def load(self, saved: bytes) -> None:
        """Load a saved list without applying it to the front.

        Subscriptions start from its revision, so that relays send only the later events.
        """
        try:
            self.list = self.unpack(saved)
            self.window.restart(self.list.revision.number)
        except InvalidEventError as error:
            self.timers.emit(LogEvent("saved-list", {"flaw": f"{error}; begins without"}))

    def unpack(self, data: bytes) -> EndpointList:
        """Return the list in packed bytes, or raise InvalidEventError."""
        retention = self.settings.purge_lifetime + self.settings.window
        return unpack_list(data, self.settings.max_snapshot_bytes, self.timers.now, retention)

    def schedule_save(self) -> None:
        """Schedule a save of the list, unless one is already scheduled."""
        if not self.save_scheduled:
            self.save_scheduled = True
            wait = self.settings.save_interval
            # In trees events arrive continuously, and a restarted front gets the missing ones from a window.
            if self.tree.enabled:
                wait = max(wait, self.settings.window // SAVES_PER_WINDOW)
            self.timers.schedule(self.timers.now + wait, self._save)

    def _save(self) -> None:
        self.save_scheduled = False
        self.timers.emit(SaveSnapshot(self.list.pack(self.timers.now)))

    # Freshness

    def age(self) -> int | None:
        """Return the time since the service last confirmed this list, in microseconds, or None."""
        return None if self.confirmed_at is None else self.timers.now - self.confirmed_at

    def wire_age(self) -> int:
        """Return the age as sent in messages: -1 if the service never confirmed this list."""
        age = self.age()
        return -1 if age is None else age

    def is_stale(self) -> bool:
        """Return whether the last confirmation is older than the limit, or there was none."""
        age = self.age()
        return age is None or age > self.freshness_limit()

    def freshness_limit(self) -> int:
        """Return the maximum age of the last confirmation of an up-to-date list, in microseconds."""
        return bounds.freshness_limit(self.settings, self.tree.hops)

    def _check_freshness(self) -> None:
        """Notify the front when its list becomes stale."""
        due = self.confirmed_at + self.freshness_limit() + 1
        if self.timers.now < due:
            self.timers.schedule(due, self._check_freshness)
        else:
            self.stale_reported = True
            self.timers.emit(ListFreshnessChanged(True))

    def confirm(self, at: int) -> None:
        """Record that the service had our revision at time `at`; apply the list at the first confirmation."""
        first = self.confirmed_at is None
        if first or at > self.confirmed_at:
            self.confirmed_at = at
        if not self.applied:
            self._apply_full()
        if self.stale_reported and not self.is_stale():
            self.stale_reported = False
            self.timers.emit(ListFreshnessChanged(False))
            self._check_freshness()
        if first:
            self._check_freshness()
            self.timers.emit(ListConfirmed(self.list.revision, self.timers.now - at))
            self.timers.schedule(self.timers.now + self._readiness_delay(), self.timers.emit, FrontReady())
            self._notify_subscribers()

    def _readiness_delay(self) -> int:
        """Return a random delay within the time that all fronts take to become ready at the set rate."""
        if not self.settings.ready:
            return 0
        fronts = max(self.settings.fronts, len(self.live()) + 1)
        return int(self.timers.random_fraction() * fronts / self.settings.ready * SECOND)

    # Changes

    def replace(self, new: EndpointList) -> None:
        """Replace the list with another one."""
        self.list = new
        self.applied = False
        self.window.restart(new.revision.number)
        self.schedule_save()
        if self.confirmed_at is not None:
            self._apply_full()
        self._notify_subscribers()

    def _notify_subscribers(self) -> None:
        self.star_subscribers.send_heartbeats()
        self.tree_subscribers.send_heartbeats()

    def _apply_full(self) -> None:
        """Apply the whole list to the front."""
        self.applied = True
        self.timers.emit(ApplyEvent(self.list.full_event()))
        for purge in self.list.purges.retained(self.timers.now):
            self.timers.emit(ApplyEvent(decode_event(purge.encoded).body, purge.age))

    def append(self, event: dict[str, Any], text: str) -> None:
        """Apply the next event and send it to the subscribers."""
        self.list.apply(event, self.timers.now)
        self._add_to_window(event, text)
        if self.applied:
            self.timers.emit(ApplyEvent(event))
        if not self.star_subscribers.unsent:
            self.timers.schedule(self.timers.now + BATCH_DELAY_US, self.star_subscribers.push)
        self.star_subscribers.unsent.append(event["seq"])
        self.tree_subscribers.schedule_tick()
        self.schedule_save()

    def _add_to_window(self, event: dict[str, Any], text: str) -> None:
        """Add an event to the window; if it does not fit a datagram, restart the window after it.

        Subscribers then get that event only with the whole list.
        """
        try:
            coded = encode_event(event, text)
        except CodingError:
            coded = None
        if coded is None or len(coded) > MAX_BATCH_BYTES - BATCH_HEADER_BYTES:
            self.window.restart(event["seq"])
        else:
            self.window.add(self.timers.now, event["seq"], coded, json_digest(event))

    def oldest_available(self) -> int:
        """Return the number of the oldest event that can be sent to other fronts."""
        oldest = self.window.oldest
        return self.list.revision.number + 1 if oldest is None else oldest

    def contradicts(self, event: dict[str, Any]) -> bool:
        """Return whether the window holds a different event with the same number."""
        digest = self.window.digest(event["seq"])
        return digest is not None and digest != json_digest(event)
