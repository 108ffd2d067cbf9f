"""Estimates the Unix time of other machines, whose timestamps tell when endpoints started and when copies
were served.

Any wall clock may be wrong or stepped, this machine's and those of others, so no single one is believed. An
age is the smaller of two estimates: by the latest timestamp received from other machines, as timestamps lie
in the past, and by this machine's wall clock. It is too long only if both are ahead. An estimate that is too
short is harmless: a server counts as recently started for longer, and servers check the age of copies, too.
"""

from limepath.front.clock import clock, unix_clock

MAX_LIST_DELAY = 7_000_000  # microseconds; maximum delay of watch events by the protocol page
# Microseconds; a copy that was served less than this ago shows that this machine's clock is not behind.
RECENT_SPAN = 60_000_000
BEHIND_AFTER = 3  # consecutive copies from the future, after which this machine's clock counts as behind


class ReferenceClock:
    """Relates the clock of other machines to the monotonic clock; all times are microseconds.

    Attributes:
        skew: maximum difference between two correct clocks.
        tolerance: maximum time by which a valid copy may lie in the future.
        latest_offset: of the latest timestamp of others, minus the monotonic clock; None before the first.
        least_own_offset: the lowest difference seen between this machine's wall clock and the monotonic one.
        own_offset: the difference at the start, raised by timestamps that show that the clock was behind.
        recent_leads: by how much the last copies lay in the future.
    """

    def __init__(self, skew: int):
        self.skew = skew
        self.tolerance = skew
        self.latest_offset: int | None = None
        self.own_offset = unix_clock() - clock()
        self.least_own_offset = self.own_offset
        self.recent_leads: list[int] = []

    def observe(self, unix_time: int) -> None:
        """Process a timestamp of a past event that another machine sent."""
        offset = unix_time - clock()
        if self.latest_offset is None or offset > self.latest_offset:
            self.latest_offset = offset
        if offset > self.own_offset + self.skew:
            # This machine's clock is behind, or the other is ahead. In both cases copies of that time must be
            # served; the new offset is behind only by the delay of the event.
            self.own_offset = offset
            self.tolerance = MAX_LIST_DELAY

    def age(self, unix_time: int) -> int:
        """Return the minimum age of a timestamp, 0 if none has been received yet."""
        if self.latest_offset is None:
            return 0
        now = clock()
        self.least_own_offset = min(self.least_own_offset, unix_clock() - now)
        return max(0, now + min(self.latest_offset, self.least_own_offset) - unix_time)

    def has_passed(self, unix_time: int) -> bool:
        """Whether a copy with this timestamp is valid, that is, not from the future.

        A single copy from the future is corrupt. Several in a row, without a recent one between them, show
        that this machine's clock is behind.
        """
        lead = unix_time - clock() - self.own_offset
        if lead <= self.tolerance:
            if lead > -RECENT_SPAN:
                self.recent_leads.clear()
            return True
        self.recent_leads.append(lead)
        if len(self.recent_leads) < BEHIND_AFTER:
            return False
        self.own_offset += min(self.recent_leads)
        self.tolerance = MAX_LIST_DELAY
        self.recent_leads.clear()
        return True
