"""Upper bounds of gaps, take-over times and duplicate rounds, computed from the settings.

docs/duties.md derives them. They hold for a view of `live` instances, if at most `together` neighbours on the
ring die within one detection time and if the network between live instances fails for no longer than that.
"""

from collections.abc import Iterable
from typing import NamedTuple

from limepath.configuration.sharing_settings import DutyMode, DutySettings, LeaseSettings, MembershipTimeouts
from limepath.duties.lease_timing import renewal_interval, startup_silence
from limepath.membership.bounds import detection_time, dissemination_time

REQUEST_ROUNDS = 3
"""The most rounds of lease requests until a slot is granted: two of them may end in a split vote."""


class Bounds(NamedTuple):
    """The bounds of one duty, in microseconds."""

    gap: int  # between two rounds of a target, also if its owner dies
    restart: int  # the same if a majority of the voters, or all instances, restart at once
    take_over: int  # from an owner's death until another instance serves its target
    disagreement: int  # how long views may differ after a change, so that two instances serve a target


def bounds(
    timeouts: MembershipTimeouts, duty: DutySettings, leases: LeaseSettings, live: int, together: int = 1
) -> Bounds:
    """Return the bounds of one duty; see the module for `live` and `together`."""
    detected = detection_time(timeouts, live, together)
    if duty.mode == DutyMode.AT_LEAST_ONCE:
        return Bounds(
            gap=2 * duty.interval + detected,
            restart=2 * duty.interval + detected,
            take_over=detected + duty.interval,
            disagreement=detected,
        )
    handover = REQUEST_ROUNDS * renewal_interval(leases) + dissemination_time(timeouts, live)
    # The last lease of a dead holder may expire after its death is detected.
    granted = max(detected, startup_silence(leases)) + handover
    return Bounds(
        gap=2 * duty.interval + granted,
        restart=2 * duty.interval + granted + startup_silence(leases),
        take_over=granted + duty.interval,
        disagreement=detected + handover,
    )


def most_duplicates(duty: DutySettings, bound: Bounds, changes: Iterable[int]) -> int:
    """Return how often a target may be served twice within half an interval, given the lengths of changes.

    The lengths are in microseconds. While views differ, each side serves the target once an interval; the
    change itself may add two more duplicates. In mode one-owner, two rounds are within half an interval of
    each other only at a change of owner.
    """
    if duty.mode == DutyMode.ONE_OWNER:
        return sum(2 for _ in changes)
    return sum(2 + (length + bound.disagreement) // duty.interval for length in changes)
