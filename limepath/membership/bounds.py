"""What the settings of membership promise, computed: suspicion timeouts, dissemination, detection.

All times are whole microseconds; `live` is the number of live members, this instance included.
"""

from math import ceil, log2, log10

from limepath.configuration.sharing_settings import MembershipTimeouts

MAX_SUSPICION_FACTOR = (
    3  # the longest suspicion timeout, unconfirmed, in multiples of the shortest (Lifeguard)
)
MAX_HEALTH_SCORE = 4  # timeouts are stretched up to 1 + this, by own missed acks (Lifeguard, local health)
SPARE_ROUNDS = 2  # of dissemination, beyond the logarithm of the members


def minimum_suspicion_timeout(timeouts: MembershipTimeouts, live: int) -> int:
    """Return the suspicion timeout once it is confirmed; it grows with log10 of the members (memberlist)."""
    return int(timeouts.suspicion * timeouts.period * max(1.0, log10(max(1, live))))


def dissemination_time(timeouts: MembershipTimeouts, live: int) -> int:
    """Return the time in which gossip reaches all of a healthy view: log2 periods (SWIM, 4.1) and spare."""
    return timeouts.period * (ceil(log2(max(2, live))) + SPARE_ROUNDS)


def detection_time(timeouts: MembershipTimeouts, live: int, together: int = 1) -> int:
    """Return the longest time from a death until all of a healthy view know it.

    The ring predecessor pings the dead member within a period and suspects it by the end of the next, or
    MAX_HEALTH_SCORE later if it has missed acks itself; an unconfirmed suspicion lasts longest; the last
    probe takes a period. `together` neighbours on the ring that die at one time are found one after another.
    """
    probing = (3 + MAX_HEALTH_SCORE) * timeouts.period
    suspicion = MAX_SUSPICION_FACTOR * minimum_suspicion_timeout(timeouts, live)
    return (probing + suspicion) * together + dissemination_time(timeouts, live)
