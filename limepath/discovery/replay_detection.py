"""Whether a stream tells events as they happen, or still replays what it had. Free of I/O.

Where events never cease there is no silence to wait for. Their own times tell: as they happen, these advance
as fast as ours; in a replay faster, or slower. No two clocks are compared, only how far each has gone.
"""

from collections import deque

MIN_EVENTS = 8  # with a time, to judge by
MIN_RATE, MAX_RATE = 0.7, 1.3  # of the service's time to ours
EVENT_TIME_RETENTION_US = 10_000_000


class EventTimes:
    """Pairs of when an event came (microseconds of ours) and its own time (the same unit, the service's)."""

    def __init__(self):
        self.pairs = deque()

    def clear(self):
        self.pairs.clear()

    def add(self, now, told):
        """Note an event, if it has a time."""
        if "invalidate" not in told:
            return
        self.pairs.append((now, told["invalidate"]["time"] * 1000))
        while self.pairs[0][0] < now - EVENT_TIME_RETENTION_US:
            self.pairs.popleft()

    def live(self, now, span):
        """Whether events were told as they happened for the last `span`."""
        recent = [pair for pair in self.pairs if pair[0] >= now - span]
        if len(recent) < MIN_EVENTS or self.pairs[0][0] > now - span * MIN_RATE:
            return False
        (first, first_time), (last, last_time) = recent[0], recent[-1]
        elapsed = last - first
        return elapsed >= span / 2 and MIN_RATE <= (last_time - first_time) / elapsed <= MAX_RATE
