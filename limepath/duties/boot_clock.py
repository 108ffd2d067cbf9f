"""The clock of all that fronts share."""

import time


def clock() -> int:
    """Return whole microseconds of a clock that goes on while the machine sleeps.

    A lease must not outlive its holder's sleep.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000
