"""The clocks of a front in whole microseconds: monotonic for intervals, Unix time to compare with servers."""

import time


def clock() -> int:
    """Return microseconds on the monotonic clock, which steps of the wall clock do not affect."""
    return time.monotonic_ns() // 1000


def unix_clock() -> int:
    """Return microseconds since the Unix epoch by the wall clock, which may be stepped."""
    return time.time_ns() // 1000
