"""The interface of the duties logic: messages between instances, events in, commands out.

The settings (`DutySettings`, `LeaseSettings`) are defined in `limepath.configuration.sharing_settings`. Times
are whole microseconds of the instance's own monotonic clock. A duty is identified by its index in the
settings. A target is identified by an integer that is the same at every instance. The tags of the messages
and the order of their fields are the wire format.
"""

from typing import NamedTuple

import msgspec

from limepath.membership.interface import Message

# Messages between instances


class ProbeResult(NamedTuple):
    """The outcome of serving one target, `age` and `duration` in microseconds."""

    duty: int
    target: int
    prober: int  # token of the instance that served the target
    serial: int  # sequence number of the prober's results
    age: int  # time since the target was served
    outcome: int  # an AttemptOutcome
    duration: int
    load: dict[str, float] = {}


class ProbeResults(Message, tag="r"):
    """Results of the sender, and results of other instances that it passes on."""

    results: tuple[ProbeResult, ...]


class SlotEpoch(NamedTuple):
    """A slot and the epoch under which its lease is requested or released."""

    slot: int
    epoch: int


class DeniedSlot(NamedTuple):
    """A slot that a voter did not grant."""

    slot: int
    epoch: int  # a request has to exceed this epoch
    remaining: int  # microseconds until another holder's grant expires, 0 if there is none


class LeaseRequest(Message, tag="c"):
    """Request to acquire or renew leases on these slots. A lease runs from when its request was sent."""

    duty: int
    round: int
    slots: tuple[SlotEpoch, ...]


class LeaseGrant(Message, tag="v"):
    """A voter's answer to the request with the same round number."""

    duty: int
    round: int
    granted: tuple[int, ...]
    denied: tuple[DeniedSlot, ...] = ()


class LeaseRelease(Message, tag="e"):
    """Leases, or grants without a majority, that the sender gives up before they expire."""

    duty: int
    slots: tuple[SlotEpoch, ...]


class EpochQuery(Message, tag="q"):
    """Query for the other voters' epoch ceilings, sent by a voter whose store is new or lost."""

    round: int


class EpochReport(Message, tag="k"):
    """Answer to an EpochQuery: the sender has granted no epoch above `ceiling`.

    `is_ceiling_known` is False while the sender's own store is new or lost.
    """

    round: int
    ceiling: int
    is_ceiling_known: bool


LEASE_MESSAGES = (LeaseRequest, LeaseGrant, LeaseRelease, EpochQuery, EpochReport)
MESSAGES = (ProbeResults, *LEASE_MESSAGES)


# Events in, besides MessageReceived and LeaveRequested of the membership


class TargetsUpdated(NamedTuple):
    """All targets of a duty that are on the endpoint list now."""

    duty: int
    targets: tuple[int, ...]


class TargetServed(NamedTuple):
    """This instance has served a target; it took `duration` microseconds until now."""

    duty: int
    target: int
    outcome: int  # an AttemptOutcome
    duration: int
    load: dict[str, float]


# Commands out, besides those of the membership


class ServeTarget(NamedTuple):
    """Serve the target now."""

    duty: int
    target: int
    epoch: int  # of the lease that permits it; 0 if the duty's mode uses no leases
    until: int = 0  # when the lease expires: the target must not be served later; 0 for no limit


class SendToMember(NamedTuple):
    """Send a message to the live member with this token."""

    token: int
    message: msgspec.Struct


class ResultShared(NamedTuple):
    """A new result of another instance has arrived."""

    result: ProbeResult


class PersistEpochCeiling(NamedTuple):
    """Write the epoch ceiling to the store before any later command is executed."""

    ceiling: int
