"""The latest events, coded, for subscribers that are behind; older ones are compacted away.

`span` is the longest cut between fronts that is to be bridged without a snapshot. The window is sized by time
and bounded in bytes of what `event_coding.encode_event` gave; it says where that bound made it drop events
early. Times are whole microseconds and handed in. Free of I/O.
"""

from typing import NamedTuple


class CompactedError(Exception):
    """Events that are not in the window any more, or not yet."""


class WindowEvent(NamedTuple):
    """`accepted` is when this front accepted the event, `digest` its `event_checks.json_digest`."""

    accepted: int
    encoded: bytes
    digest: int


class EarlyEviction:
    """Whether a bound in bytes evicted something before its time, which is `span` after it was accepted."""

    def __init__(self, span: int):
        self.span = span
        self.count: int = 0  # of evictions
        self.accepted: int | None = None  # when the youngest evicted one was accepted

    def record(self, accepted: int) -> None:
        """Something accepted at that time was evicted."""
        self.count += 1
        self.accepted = accepted if self.accepted is None else max(self.accepted, accepted)

    def is_current(self, now: int) -> bool:
        """Whether something that was evicted would still be kept for its age."""
        return self.accepted is not None and now - self.accepted <= self.span


class EventWindow:
    """The events that were accepted within the last `span`, at most `max_bytes` of them together."""

    def __init__(self, span: int, max_bytes: int):
        self.span = span
        self.max_bytes = max_bytes
        self.events: dict[int, WindowEvent] = {}  # by number; numbers follow each other
        self.oldest: int | None = None  # number of the oldest event here
        self.newest: int | None = None  # stays known when that event is not here
        self.bytes: int = 0
        self.evictions = EarlyEviction(span)

    def __contains__(self, number: int) -> bool:
        return number in self.events

    def digest(self, number: int) -> int | None:
        """The digest of an event that is in the window, else None."""
        event = self.events.get(number)
        return event.digest if event else None

    def restart(self, number: int) -> None:
        """Begin anew behind this number.

        Another list took the place of the one that the events led to, or an event has no coded form.
        """
        self.events = {}
        self.oldest = None
        self.newest = number
        self.bytes = 0

    def add(self, now: int, number: int, encoded: bytes, digest: int) -> None:
        """Add the next event; raise ValueError where its number does not follow."""
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
        """Drop what is older than the span."""
        while self.events and now - self.events[self.oldest].accepted > self.span:
            self._drop_oldest()

    def _drop_oldest(self) -> WindowEvent:
        event = self.events.pop(self.oldest)
        self.bytes -= len(event.encoded)
        self.oldest = self.oldest + 1 if self.events else None
        return event

    def covers(self, number: int) -> bool:
        """Whether all events after this number are in the window, or there are none."""
        if self.newest is None or number > self.newest:
            return False
        return number == self.newest or self.oldest is not None and number >= self.oldest - 1

    def events_after(self, number: int, max_bytes: int | None = None) -> tuple[bytes, ...]:
        """The coded events after this number in order.

        As many as have `max_bytes` together, but one at the least. Raise CompactedError where not all of
        them are in the window.
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
        """Whether the bound in bytes evicted an event that the span would still keep."""
        return self.evictions.is_current(now)


def bytes_needed(events_a_second: float, span: int, bytes_an_event: int) -> int:
    """The bytes that events of so long a span take, to be compared with the bound of a window."""
    return int(events_a_second * span / 1e6 * bytes_an_event)
