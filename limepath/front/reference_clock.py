"""What the time is by the Unix clocks of other machines, which tell when endpoints started, when objects were
purged and when copies were served.

This machine's own wall clock may be stepped, so it is read once, at the start, and carried on by the
monotonic clock. It may have been wrong then, too: times received from others bound their clock from below, as
they are of the past. Ages come from that bound alone. They are never too long, so that a purge is not
forgotten early and a server not taken for warm early.
"""

from limepath.front.clock import clock, unix_clock

MAX_LIST_DELAY = 7_000_000  # microseconds: the protocol page's bound on how late watch events are
RECENT = 60_000_000  # microseconds: a copy served so shortly before shows that the own clock is not behind
BEHIND_AFTER = 3  # copies in a row from the future, until the own clock counts as behind


class ReferenceClock:
    """The others' clock against the monotonic clock; all times are microseconds."""

    def __init__(self, skew: int):
        self.skew = skew  # by how much two right clocks may differ
        self.tolerance = skew  # by how much a copy may be from the future
        self.lower_bound: int | None = None  # of their clock less the monotonic one
        self.own_offset = unix_clock() - clock()  # the same by this machine's wall clock, corrected
        self.recent_leads: list[int] = []  # by how much the last copies were from the future

    def observe(self, unix_time: int) -> None:
        """Take in a time that others have told of something past."""
        offset = unix_time - clock()
        if self.lower_bound is None or offset > self.lower_bound:
            self.lower_bound = offset
        if offset > self.own_offset + self.skew:  # the own clock is behind; this is, by the event's delay
            self.own_offset = offset
            self.tolerance = MAX_LIST_DELAY

    def age(self, unix_time: int) -> int:
        """How long ago that was, at the least."""
        if self.lower_bound is None:
            return 0
        return max(0, clock() + self.lower_bound - unix_time)

    def has_passed(self, unix_time: int) -> bool:
        """Whether a copy can have been served then.

        One from the future is corrupt; several in a row, and none recent between, show that the own clock is
        behind.
        """
        lead = unix_time - clock() - self.own_offset
        if lead <= self.tolerance:
            if lead > -RECENT:
                self.recent_leads.clear()
            return True
        self.recent_leads.append(lead)
        if len(self.recent_leads) < BEHIND_AFTER:
            return False
        self.own_offset += min(self.recent_leads)
        self.tolerance = MAX_LIST_DELAY
        self.recent_leads.clear()
        return True
