"""The time of a scale run: real time, or a stated fraction of it, so that one machine can play a fleet that
it could not play as fast.

At a stretch of 4 all spans of the settings are four times as long and all rates a quarter; a microsecond of
the run is four of CLOCK_BOOTTIME. What the run tells is in its own time, so that shares of a core and rates
are those that a front would have in real time. Spans that the program holds as constants are not stretched.
"""

import time


def boottime_us():
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class Pace:
    """`stretch`: real time for one of the run's."""

    def __init__(self, stretch=1):
        self.stretch = stretch

    def now(self):
        """The run's time, in whole microseconds."""
        return self.of(boottime_us())

    def of(self, real_us):
        """The run's time at a moment of CLOCK_BOOTTIME."""
        return real_us // self.stretch

    def seconds(self, span):
        """Real seconds that a span of the run takes."""
        return max(0, span) * self.stretch / 1e6
