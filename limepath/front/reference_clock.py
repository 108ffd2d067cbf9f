"""What the time is by the Unix clocks of other machines, which tell when members started, when objects were
purged and when copies were given out.

This machine's own wall clock may be stepped, so it is read once, at the start, and carried on by the
monotonic clock. It may have been wrong then, too: what others have told bounds their clock from below, as
they speak of the past. Ages come from that bound alone. They are never too long, so that a purge is not
forgotten early and a member not taken for warm early.
"""

from limepath.front.clock import clock, unix_clock

TOLD_LATE = 7_000_000  # microseconds: the protocol page's bound on how late the change log tells anything
RECENT = 60_000_000  # microseconds: a copy given out so shortly before shows that the own clock is not behind
BEHIND_AFTER = 3  # copies in a row from the future, until the own clock is taken for behind


class ReferenceClock:
    """The others' clock against the monotonic clock; all times are microseconds."""

    def __init__(self, skew):
        """`skew` is by how much two right clocks may differ."""
        self.tolerance = skew
        self.skew = skew
        self.told_offset = None  # their clock less the monotonic one: at least so much
        self.own_offset = unix_clock() - clock()
        self.ahead = []  # by how much the last copies were from the future

    def hear(self, unix_time):
        """Take in a time that others have told of something past."""
        offset = unix_time - clock()
        if self.told_offset is None or offset > self.told_offset:
            self.told_offset = offset
        if offset > self.own_offset + self.skew:  # the own clock is behind; this is behind by the news' way
            self.own_offset = offset
            self.tolerance = TOLD_LATE

    def age(self, unix_time):
        """How long ago that was, at the least."""
        if self.told_offset is None:
            return 0
        return max(0, clock() + self.told_offset - unix_time)

    def has_passed(self, unix_time):
        """Whether a copy can have been given out then. One from the future is spoilt; several in a row, and
        none recent between, show that the own clock is behind.
        """
        ahead = unix_time - clock() - self.own_offset
        if ahead <= self.tolerance:
            if ahead > -RECENT:
                self.ahead.clear()
            return True
        self.ahead.append(ahead)
        if len(self.ahead) < BEHIND_AFTER:
            return False
        self.own_offset += min(self.ahead)
        self.tolerance = TOLD_LATE
        self.ahead.clear()
        return True
