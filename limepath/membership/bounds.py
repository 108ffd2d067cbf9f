"""Time bounds that follow from the membership settings: suspicion, dissemination and detection times.

All times are whole microseconds. `live` is the number of live members, including this instance.
"""

from math import ceil, log2, log10

from limepath.configuration.sharing_settings import MembershipTimeouts

MAX_SUSPICION_FACTOR = (
    3  # longest suspicion timeout, without confirmations, in multiples of the shortest (Lifeguard)
)
MAX_HEALTH_SCORE = 4  # missed acks multiply timeouts by at most 1 + this (Lifeguard, local health)
SPARE_PERIODS = 2  # dissemination periods in addition to log2 of the number of members


def minimum_suspicion_timeout(timeouts: MembershipTimeouts, live: int) -> int:
    """Return the fully confirmed suspicion timeout, which grows with log10 of the members (memberlist)."""
    return int(timeouts.suspicion * timeouts.period * max(1.0, log10(max(1, live))))


def dissemination_time(timeouts: MembershipTimeouts, live: int) -> int:
    """Return the time in which gossip reaches all healthy members: log2 periods (SWIM, 4.1) and a margin."""
    return timeouts.period * (ceil(log2(max(2, live))) + SPARE_PERIODS)


def detection_time(timeouts: MembershipTimeouts, live: int, adjacent_deaths: int = 1) -> int:
    """Return the longest time from the death of a member until all healthy members have its death recorded.

    The ring predecessor pings the dead member within one period and suspects it by the end of the next, or
    MAX_HEALTH_SCORE periods later if the predecessor has missed acks itself. An unconfirmed suspicion lasts
    longest, and the last probe takes one period. `adjacent_deaths` ring neighbours that die at the same time
    are detected one after another.
    """
    probing = (3 + MAX_HEALTH_SCORE) * timeouts.period
    suspicion = MAX_SUSPICION_FACTOR * minimum_suspicion_timeout(timeouts, live)
    return (probing + suspicion) * adjacent_deaths + dissemination_time(timeouts, live)
