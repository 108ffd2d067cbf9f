"""The bounds that the settings promise, computed where they are stated; docs/duties.md derives them.

All are microseconds but `doubles`, a count. They hold for a view of `live` instances, with `together`
instances dying within one detection, on a network that loses nothing for longer than a detection between
those that live.
"""

from typing import NamedTuple

from limepath.configuration.sharing_settings import DutyMode
from limepath.duties.leases import claim_every, silence
from limepath.membership.bounds import detection_time, dissemination_time


class Bounds(NamedTuple):
    gap: int  # between two rounds of one target, an owner's death among them
    restart: int  # the same where a majority of the voters, or all instances, start anew at once
    take_over: int  # from an owner's death until the first round of another
    disagreement: int  # how long views may differ after a change, and two instances serve one target


def bounds(spans, plan, leasing, live, together=1):
    """Give the Bounds of one plan."""
    found = detection_time(spans, live, together)
    if plan.mode == DutyMode.AT_LEAST_ONCE:
        return Bounds(
            gap=2 * plan.interval + found,
            restart=2 * plan.interval + found,
            take_over=found + plan.interval,
            disagreement=found,
        )
    # the last lease of the dead may outlast its detection; two rounds of claims may be split; then the
    # handover
    handing = 3 * claim_every(leasing) + dissemination_time(spans, live)
    free = max(found, silence(leasing)) + handing
    return Bounds(
        gap=2 * plan.interval + free,
        restart=2 * plan.interval + free + silence(leasing),
        take_over=free + plan.interval,
        disagreement=found + handing,
    )


def doubles(plan, bound, changes):
    """How often a target may be served twice within half an interval, over changes of these lengths
    (microseconds).

    While views differ, each side serves it once an interval; the change itself may add one each way. Where
    one instance at most owns it, two follow each other within half an interval only at a change of owner.
    """
    if plan.mode == DutyMode.ONE_OWNER:
        return 2 * len(changes)
    return sum(2 + (length + bound.disagreement) // plan.interval for length in changes)
