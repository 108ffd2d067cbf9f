"""The bounds that the settings promise, computed where they are stated; docs/duties.md derives them.

They hold for a view of `live` instances, with `together` neighbours on the ring dying within one detection,
on a network that loses nothing for longer than a detection between those that live.
"""

from collections.abc import Iterable
from typing import NamedTuple

from limepath.configuration.sharing_settings import DutyMode, DutySettings, LeaseSettings, MembershipTimeouts
from limepath.duties.lease_timing import renewal_interval, startup_silence
from limepath.membership.bounds import detection_time, dissemination_time

REQUEST_ROUNDS = 3
"""Rounds of lease requests until a slot is granted: two may end in a split vote."""


class Bounds(NamedTuple):
    """The longest spans that the settings promise, in microseconds."""

    gap: int  # between two rounds of one target, an owner's death among them
    restart: int  # the same where a majority of the voters, or all instances, start anew at once
    take_over: int  # from an owner's death until the first round of another
    disagreement: int  # how long views may differ after a change, and two instances serve one target


def bounds(
    timeouts: MembershipTimeouts, duty: DutySettings, leases: LeaseSettings, live: int, together: int = 1
) -> Bounds:
    """Return the bounds of one duty."""
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
    """Return how often a target may be served twice within half an interval, over changes of these lengths.

    The lengths are microseconds. While views differ, each side serves it once an interval; the change itself
    may add one each way. Where one instance at most owns it, two rounds follow each other within half an
    interval only at a change of owner.
    """
    if duty.mode == DutyMode.ONE_OWNER:
        return sum(2 for _ in changes)
    return sum(2 + (length + bound.disagreement) // duty.interval for length in changes)
