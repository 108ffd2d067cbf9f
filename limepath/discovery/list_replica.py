"""This front's replica of the endpoint list: when the service last confirmed it, what the front has of it.

A saved list is not applied before a relay or the service has confirmed its revision. Free of I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

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

if TYPE_CHECKING:
    from limepath.discovery.engine import DiscoveryEngine

SAVES_PER_WINDOW = 10  # of a list that changes all the time
BATCH_HEAD_BYTES = 32  # of a batch beside its events, at the most
SECOND = 1_000_000


class ListReplica(Component):
    """The list, the window of its last events, and how fresh both are."""

    def __init__(self, engine: DiscoveryEngine):
        super().__init__(engine)
        self.list: EndpointList = self.new_list()
        self.window = EventWindow(self.settings.window, self.settings.window_bytes)
        self.applied: bool = False  # the front has this list
        self.confirmed_at: int | None = None  # when the service stood where this list stands
        self.save_scheduled: bool = False
        self.stale_reported: bool = False  # the front was last notified that the list is stale

    def new_list(self) -> EndpointList:
        """An empty list."""
        return EndpointList(self.settings.purge_lifetime + self.settings.window)

    # Storage

    def load(self, saved: bytes) -> None:
        """Take a saved list up.

        Relays are sent its revision, so that they send what is new; it is not applied to the front.
        """
        try:
            self.list = self.unpack(saved)
            self.window.restart(self.list.revision.number)
        except InvalidEventError as error:
            self.timers.emit(LogEvent("saved-list", {"flaw": f"{error}; begins without"}))

    def unpack(self, data: bytes) -> EndpointList:
        """The list of packed bytes; raise InvalidEventError."""
        retention = self.settings.purge_lifetime + self.settings.window
        return unpack_list(data, self.settings.max_snapshot_bytes, self.timers.now, retention)

    def schedule_save(self) -> None:
        """Save the list some time from now, unless that is due already."""
        if not self.save_scheduled:
            self.save_scheduled = True
            wait = self.settings.save_interval
            if self.tree.enabled:  # events never cease; after a restart the window brings those since
                wait = max(wait, self.settings.window // SAVES_PER_WINDOW)
            self.timers.schedule(self.timers.now + wait, self._save)

    def _save(self) -> None:
        self.save_scheduled = False
        self.timers.emit(SaveSnapshot(self.list.pack(self.timers.now)))

    # Freshness

    def age(self) -> int | None:
        """How long ago the service confirmed this list, in microseconds, or None."""
        return None if self.confirmed_at is None else self.timers.now - self.confirmed_at

    def wire_age(self) -> int:
        """The age as messages have it: -1 where the service never confirmed this list."""
        age = self.age()
        return -1 if age is None else age

    def is_stale(self) -> bool:
        """Whether the last confirmation is older than the bound, or there was none."""
        age = self.age()
        return age is None or age > self.freshness_limit()

    def freshness_limit(self) -> int:
        """How old the last confirmation may be, in microseconds."""
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
        """The service stood at our revision at that time."""
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
        """A random part of the span in which all fronts become ready, at the rate of the settings."""
        if not self.settings.ready:
            return 0
        fronts = max(self.settings.fronts, len(self.live()) + 1)
        return int(self.timers.random_fraction() * fronts / self.settings.ready * SECOND)

    # Changes

    def replace(self, new: EndpointList) -> None:
        """Put another list in the place of this one."""
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
        """Apply the whole list to the front; how old its purges are only the clocks tell."""
        self.applied = True
        self.timers.emit(ApplyEvent(self.list.full_event()))
        for event in self.list.purges.values():
            self.timers.emit(ApplyEvent(event))

    def append(self, event: dict[str, Any], text: str) -> None:
        """Apply the next event and pass it on.

        It did not exist yet when our list was last confirmed: so old it can be at most.
        """
        max_purge_age = self.wire_age()
        self.list.apply(event, self.timers.now)
        self._add_to_window(event, text)
        if self.applied:
            self.timers.emit(ApplyEvent(event, max_purge_age))
        if not self.star_subscribers.unsent:
            self.timers.schedule(self.timers.now + BATCH_DELAY_US, self.star_subscribers.push)
        self.star_subscribers.unsent.append(event["seq"])
        self.tree_subscribers.schedule_tick()
        self.schedule_save()

    def _add_to_window(self, event: dict[str, Any], text: str) -> None:
        """Put an event into the window; one that fits no datagram is had with the whole list only."""
        try:
            coded = encode_event(event, text)
        except CodingError:
            coded = None
        if coded is None or len(coded) > MAX_BATCH_BYTES - BATCH_HEAD_BYTES:
            self.window.restart(event["seq"])
        else:
            self.window.add(self.timers.now, event["seq"], coded, json_digest(event))

    def oldest_available(self) -> int:
        """The number of the oldest event that can be sent to others."""
        oldest = self.window.oldest
        return self.list.revision.number + 1 if oldest is None else oldest

    def contradicts(self, event: dict[str, Any]) -> bool:
        """Whether the window holds another event of that number."""
        digest = self.window.digest(event["seq"])
        return digest is not None and digest != json_digest(event)
