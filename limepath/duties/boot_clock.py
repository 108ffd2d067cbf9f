"""The clock of the duties and of everything else that fronts share."""

import time


def clock() -> int:
    """Return the time in whole microseconds of a clock that also advances while the machine is suspended.

    Otherwise a lease could still seem valid after its holder was suspended for longer than the lease.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000
