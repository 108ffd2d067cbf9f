"""Whether a stream sends events as they happen, or still replays what it had. Free of I/O.

Where events never cease there is no silence to wait for. Their own times decide: as they happen, these
advance as fast as ours; in a replay faster, or slower. No two clocks are compared, only how far each has
gone.
"""

from collections import deque
from typing import Any, NamedTuple

MIN_EVENTS = 8  # with a time, to judge by
MIN_RATE = 0.7  # of the service's time to ours, as events happen
MAX_RATE = 1.3
EVENT_TIME_RETENTION_US = 10_000_000
US_PER_MS = 1000


class EventTime(NamedTuple):
    """When an event came, by our clock, and its own time, by the service's; both in microseconds."""

    received: int
    happened: int


class EventTimes:
    """The times of the latest events of a stream."""

    def __init__(self) -> None:
        self.times: deque[EventTime] = deque()

    def clear(self) -> None:
        """Forget all, for a new stream."""
        self.times.clear()

    def add(self, now: int, event: dict[str, Any]) -> None:
        """Note an event, if it has a time."""
        if "invalidate" not in event:
            return
        self.times.append(EventTime(now, event["invalidate"]["time"] * US_PER_MS))
        while self.times[0].received < now - EVENT_TIME_RETENTION_US:
            self.times.popleft()

    def is_live(self, now: int, span: int) -> bool:
        """Whether events were sent as they happened for the last `span` microseconds."""
        recent = [time for time in self.times if time.received >= now - span]
        if len(recent) < MIN_EVENTS or self.times[0].received > now - span * MIN_RATE:
            return False
        elapsed = recent[-1].received - recent[0].received
        if elapsed < span / 2:
            return False
        return MIN_RATE <= (recent[-1].happened - recent[0].happened) / elapsed <= MAX_RATE
