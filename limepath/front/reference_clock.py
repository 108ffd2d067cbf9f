"""Estimates the Unix time of other machines, whose timestamps tell when endpoints started, when objects were
purged and when copies were served.

The wall clock of this machine may be stepped, so it is read only once, at the start, and extrapolated by the
monotonic clock. It may be wrong at the start, too. Timestamps received from other machines lie in the past,
so they are a lower bound of those machines' clock. Ages are computed from that bound alone: they are never
too long, so that a purge is not forgotten early and a server does not count as warm early.
"""

from limepath.front.clock import clock, unix_clock

MAX_LIST_DELAY = 7_000_000  # microseconds; maximum delay of watch events by the protocol page
# Microseconds; a copy that was served less than this ago shows that this machine's clock is not behind.
RECENT_SPAN = 60_000_000
BEHIND_AFTER = 3  # consecutive copies from the future, after which this machine's clock counts as behind


class ReferenceClock:
    """Relates the clock of other machines to the monotonic clock; all times are microseconds."""

    def __init__(self, skew: int):
        self.skew = skew  # maximum difference between two correct clocks
        self.tolerance = skew  # maximum time by which a valid copy may lie in the future
        self.lower_bound: int | None = None  # of the other machines' clock minus the monotonic clock
        # This machine's corrected Unix clock minus the monotonic one.
        self.own_offset = unix_clock() - clock()
        self.recent_leads: list[int] = []  # by how much the last copies lay in the future

    def observe(self, unix_time: int) -> None:
        """Process a timestamp of a past event that another machine sent."""
        offset = unix_time - clock()
        if self.lower_bound is None or offset > self.lower_bound:
            self.lower_bound = offset
        if offset > self.own_offset + self.skew:
            # This machine's clock is behind; the new offset is behind only by the delay of the event.
            self.own_offset = offset
            self.tolerance = MAX_LIST_DELAY

    def age(self, unix_time: int) -> int:
        """Return the minimum age of a timestamp."""
        if self.lower_bound is None:
            return 0
        return max(0, clock() + self.lower_bound - unix_time)

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
