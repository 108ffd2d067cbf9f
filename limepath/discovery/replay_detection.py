"""Detects whether a stream sends live events or still replays earlier ones. Performs no I/O.

If events arrive continuously, a replay does not end with a silence. Instead, the rate at which the times of
the events advance is compared with our clock: it is close to 1 for live events, and higher or lower in a
replay. Only elapsed times are compared, so the clocks need not be synchronized.
"""

from collections import deque
from typing import Any, NamedTuple

MIN_EVENTS = 8  # with a time, for a decision
MIN_RATE = 0.7  # ratio of the elapsed service time to ours, for live events
MAX_RATE = 1.3
EVENT_TIME_RETENTION_US = 10_000_000
US_PER_MS = 1000


class EventTime(NamedTuple):
    """The time of an event's arrival by our clock, and its own time by the service's, in microseconds."""

    received: int
    happened: int


class EventTimes:
    """Holds the times of the latest events of a stream."""

    def __init__(self) -> None:
        self.times: deque[EventTime] = deque()

    def clear(self) -> None:
        """Discard all times, for a new stream."""
        self.times.clear()

    def add(self, now: int, event: dict[str, Any]) -> None:
        """Record the times of an event if it is a purge; other events have no time."""
        if "invalidate" not in event:
            return
        self.times.append(EventTime(now, event["invalidate"]["time"] * US_PER_MS))
        while self.times[0].received < now - EVENT_TIME_RETENTION_US:
            self.times.popleft()

    def is_live(self, now: int, span: int) -> bool:
        """Return whether the events of the last `span` microseconds were sent as they happened."""
        recent = [time for time in self.times if time.received >= now - span]
        if len(recent) < MIN_EVENTS or self.times[0].received > now - span * MIN_RATE:
            return False
        elapsed = recent[-1].received - recent[0].received
        if elapsed < span / 2:
            return False
        return MIN_RATE <= (recent[-1].happened - recent[0].happened) / elapsed <= MAX_RATE
