"""Keeps the latest events, encoded, for subscribers that are behind, and compacts older events away.

`span` is the longest partition between fronts after which a subscriber can catch up without a snapshot. The
window is limited by age and by the total size of its events as encoded by `event_coding.encode_event`; it
reports whether the size limit evicted events before their time. Times are integers in microseconds, passed
in by the caller. Performs no I/O.
"""

from typing import NamedTuple


class CompactedError(Exception):
    """Raised for events that are no longer in the window, or not yet."""


class WindowEvent(NamedTuple):
    """An encoded event, the time when this front accepted it, and its `event_checks.json_digest`."""

    accepted: int
    encoded: bytes
    digest: int


class EarlyEviction:
    """Records items that a size limit evicted early, that is, less than `span` after they were accepted."""

    def __init__(self, span: int):
        self.span = span
        self.count: int = 0  # of evictions
        self.accepted: int | None = None  # when the newest evicted item was accepted

    def record(self, accepted: int) -> None:
        """Record the eviction of an item that was accepted at time `accepted`."""
        self.count += 1
        self.accepted = accepted if self.accepted is None else max(self.accepted, accepted)

    def is_current(self, now: int) -> bool:
        """Return whether an evicted item would still be kept if there were no size limit."""
        return self.accepted is not None and now - self.accepted <= self.span


class EventWindow:
    """Holds the events accepted within the last `span` microseconds, up to `max_bytes` in total."""

    def __init__(self, span: int, max_bytes: int):
        self.span = span
        self.max_bytes = max_bytes
        self.events: dict[int, WindowEvent] = {}  # by number, without gaps
        self.oldest: int | None = None  # number of the oldest event in the window
        self.newest: int | None = None  # number of the last event, even if it has left the window
        self.bytes: int = 0
        self.evictions = EarlyEviction(span)

    def __contains__(self, number: int) -> bool:
        return number in self.events

    def digest(self, number: int) -> int | None:
        """Return the digest of an event, or None if it is not in the window."""
        event = self.events.get(number)
        return event.digest if event else None

    def restart(self, number: int) -> None:
        """Drop all events and continue after this number.

        Called when another list replaces the current one, or when an event has no encoded form.
        """
        self.events = {}
        self.oldest = None
        self.newest = number
        self.bytes = 0

    def add(self, now: int, number: int, encoded: bytes, digest: int) -> None:
        """Add the next event; raise ValueError if its number does not follow the last one."""
        if self.newest is not None and number != self.newest + 1:
            raise ValueError(f"event {number} after {self.newest}")
        self.events[number] = WindowEvent(now, encoded, digest)
        self.newest = number
        self.oldest = number if self.oldest is None else self.oldest
        self.bytes += len(encoded)
        self.expire(now)
        while self.bytes > self.max_bytes:
            self.evictions.record(self._drop_oldest().accepted)

    def expire(self, now: int) -> None:
        """Drop the events that are older than the span."""
        while self.events and now - self.events[self.oldest].accepted > self.span:
            self._drop_oldest()

    def _drop_oldest(self) -> WindowEvent:
        event = self.events.pop(self.oldest)
        self.bytes -= len(event.encoded)
        self.oldest = self.oldest + 1 if self.events else None
        return event

    def covers(self, number: int) -> bool:
        """Return whether all events after this number are in the window, or there are none."""
        if self.newest is None or number > self.newest:
            return False
        return number == self.newest or self.oldest is not None and number >= self.oldest - 1

    def events_after(self, number: int, max_bytes: int | None = None) -> tuple[bytes, ...]:
        """Return the encoded events after this number in order, up to `max_bytes` but at least one.

        Raise CompactedError if the window does not hold all events after this number.
        """
        if not self.covers(number):
            raise CompactedError(f"events after {number}: held from {self.oldest} to {self.newest}")
        found: list[bytes] = []
        size = 0
        for following in range(number + 1, self.newest + 1):
            encoded = self.events[following].encoded
            size += len(encoded)
            if found and max_bytes is not None and size > max_bytes:
                break
            found.append(encoded)
        return tuple(found)

    def is_cut_short(self, now: int) -> bool:
        """Return whether the size limit evicted an event that is younger than the span."""
        return self.evictions.is_current(now)


def bytes_needed(events_a_second: float, span: int, bytes_an_event: int) -> int:
    """Return the total size of the events of a span, for comparison with a window's size limit."""
    return int(events_a_second * span / 1e6 * bytes_an_event)
