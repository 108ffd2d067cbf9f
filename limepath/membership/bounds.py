"""What the settings of the membership promise, computed: suspicion times, spread of news, detection."""

from math import ceil, log2, log10

MAX_SUSPICION_FACTOR = 3  # times the shortest one, while nobody confirms it
MAX_HEALTH_SCORE = 4  # by how much own missed answers stretch own time limits, at most


def minimum_suspicion_timeout(spans, live):
    """The shortest suspicion at so many live instances, in microseconds."""
    return int(spans.suspicion * spans.period * max(1.0, log10(max(1, live))))


def dissemination_time(spans, live):
    """The time in which news reaches all of a healthy view: log2 rounds of the checks and two to spare."""
    return spans.period * (ceil(log2(max(2, live))) + 2)


def detection_time(spans, live, together=1):
    """The longest time from a death until all of a healthy view know it, with so many dying together.

    Its ring predecessor checks it within a period and suspects it by the end of the next, or MOST_MISSED
    later if it has missed answers itself; where nobody confirms the suspicion it is at its longest;
    `together` neighbours on the ring are found one after another. The last check before it is declared takes
    a period.
    """
    one = (3 + MAX_HEALTH_SCORE) * spans.period + MAX_SUSPICION_FACTOR * minimum_suspicion_timeout(
        spans, live
    )
    return one * together + dissemination_time(spans, live)
