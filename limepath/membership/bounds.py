"""What the settings of the membership promise, computed: suspicion times, spread of news, detection."""

from math import ceil, log2, log10

LONGEST_SUSPICION = 3  # times the shortest one, while nobody confirms it
MOST_MISSED = 4  # by how much own missed answers stretch own time limits, at most


def shortest(spans, live):
    """The shortest suspicion at so many live instances, in microseconds."""
    return int(spans.suspicion * spans.period * max(1.0, log10(max(1, live))))


def spread(spans, live):
    """The time in which news reaches all of a healthy view: log2 rounds of the checks and two to spare."""
    return spans.period * (ceil(log2(max(2, live))) + 2)


def detection(spans, live, together=1):
    """The longest time from a death until all of a healthy view know it, with so many dying together.

    Its ring predecessor checks it within a period and suspects it by the end of the next, or MOST_MISSED
    later if it has missed answers itself; where nobody confirms the suspicion it is at its longest;
    `together` neighbours on the ring are found one after another. The last check before it is declared takes
    a period.
    """
    one = (3 + MOST_MISSED) * spans.period + LONGEST_SUSPICION * shortest(spans, live)
    return one * together + spread(spans, live)
