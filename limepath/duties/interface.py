"""The interface of the duties: plans at start, notes in, orders out, and the messages between instances.

Times are whole microseconds of the instance's own monotonic clock. A target is an integer, the same
everywhere.
"""

from typing import NamedTuple

import msgspec

from limepath.membership.interface import Message

# Messages


class ProbeResult(NamedTuple):
    """What serving one target told, `age` microseconds ago; a prober numbers its results."""

    duty: int
    target: int
    prober: int
    serial: int
    age: int
    verdict: int
    took: int
    load: dict[str, float] = {}


class ProbeResults(Message, tag="r"):
    results: tuple[ProbeResult, ...]


class LeaseRequest(Message, tag="c"):
    """I want these slots, or go on with them: (slot, epoch); the lease counts from when I sent this."""

    duty: int
    round: int
    slots: tuple[tuple[int, int], ...]


class LeaseGrant(Message, tag="v"):
    """Granted slots, and of those turned down (slot, the epoch that is in the way, what is left of its
    lease).
    """

    duty: int
    round: int
    granted: tuple[int, ...]
    denied: tuple[tuple[int, int, int], ...] = ()


class LeaseRelease(Message, tag="e"):
    """Given back before the end: (slot, epoch)."""

    duty: int
    slots: tuple[tuple[int, int], ...]


class EpochQuery(Message, tag="q"):
    """From a voter whose store is new or lost."""

    round: int


class EpochReport(Message, tag="k"):
    """No epoch above this one was ever granted here; `sure` unless this voter's own store is new or lost."""

    round: int
    ceiling: int
    sure: bool


MESSAGES = (ProbeResults, LeaseRequest, LeaseGrant, LeaseRelease, EpochQuery, EpochReport)


# Notes in


class TargetsUpdated(NamedTuple):
    """All targets of a duty, by its index, as the list of members tells now."""

    duty: int
    targets: tuple


class TargetServed(NamedTuple):
    """What serving a target told this instance, `took` microseconds after it began."""

    duty: int
    target: int
    verdict: int
    took: int
    load: dict


# Orders out


class ServeTarget(NamedTuple):
    """Serve the target now; `epoch` is 0 where the mode has none. Not later than `until`, if that is told."""

    duty: int
    target: int
    epoch: int
    until: int = 0


class SendToMember(NamedTuple):
    """Send to a live member."""

    token: int
    message: msgspec.Struct


class ResultShared(NamedTuple):
    """Another instance's result, new here."""

    result: ProbeResult


class PersistEpochCeiling(NamedTuple):
    """Write the ceiling of epochs to the store, and have it there before anything after this order is
    done.
    """

    ceiling: int
