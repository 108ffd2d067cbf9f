"""The spans of time that keep two instances from holding one lease.

All are microseconds on each instance's own clock. Clocks run apart by at most `drift` of a span. A holder
counts `holder_duration` from when it sent its request; the voters count the longer `span` from when that
arrived. So the holder always stops first.
"""

from limepath.configuration.sharing_settings import LeaseSettings


def holder_duration(settings: LeaseSettings) -> int:
    """How long a holder may act on a lease, from when it sent the request."""
    return int(settings.span * (1 - settings.drift))


def startup_silence(settings: LeaseSettings) -> int:
    """How long a voter grants nothing after its start."""
    return int(settings.span * (1 + settings.drift))


def renewal_interval(settings: LeaseSettings) -> int:
    """How often a holder renews its leases."""
    return settings.span // 4
