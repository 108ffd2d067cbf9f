"""The durations that keep two instances from holding the same lease at once.

All are in microseconds of each instance's own clock. The rates of two clocks differ by at most the fraction
`drift`. A holder counts `holder_duration` from when it sent its request; the voters count the longer `span`
from when the request arrived. So a lease always ends at its holder before it ends at the voters.
"""

from limepath.configuration.sharing_settings import LeaseSettings


def holder_duration(settings: LeaseSettings) -> int:
    """Return how long a holder may use a lease, counted from when it sent the request."""
    return int(settings.span * (1 - settings.drift))


def startup_silence(settings: LeaseSettings) -> int:
    """Return how long a voter grants nothing after its start."""
    return int(settings.span * (1 + settings.drift))


def renewal_interval(settings: LeaseSettings) -> int:
    """Return the interval at which a holder renews its leases."""
    return settings.span // 4
