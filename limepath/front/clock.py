"""The clocks of a front in whole microseconds: the monotonic one for spans, the Unix one for the start."""

import time


def clock() -> int:
    """Microseconds on the monotonic clock, which does not follow steps of the system's wall clock."""
    return time.monotonic_ns() // 1000


def unix_clock() -> int:
    """Microseconds since the Unix epoch by the system's wall clock, which may be stepped."""
    return time.time_ns() // 1000
