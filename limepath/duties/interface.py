"""The interface of the duties logic: messages between instances, events in, commands out.

The settings (`DutySettings`, `LeaseSettings`) stand in `limepath.configuration.sharing_settings`. Times are
whole microseconds of the instance's own monotonic clock. A duty is named by its index in the settings. A
target is an integer, the same at every instance. Message tags and the order of fields are the wire format.
"""

from typing import NamedTuple

import msgspec

from limepath.membership.interface import Message

# Messages between instances


class ProbeResult(NamedTuple):
    """The outcome of serving one target, `age` microseconds ago."""

    duty: int
    target: int
    prober: int  # token of the instance that served the target
    serial: int  # counts the prober's results
    age: int
    outcome: int  # an AttemptOutcome
    duration: int
    load: dict[str, float] = {}


class ProbeResults(Message, tag="r"):
    """Results of the sender and of others."""

    results: tuple[ProbeResult, ...]


class SlotEpoch(NamedTuple):
    """A slot and the epoch under which its lease is requested or released."""

    slot: int
    epoch: int


class DeniedSlot(NamedTuple):
    """A slot that a voter did not grant."""

    slot: int
    epoch: int  # the epoch that a request has to exceed
    remaining: int  # of the grant that another holds, 0 if none


class LeaseRequest(Message, tag="c"):
    """Acquire or renew leases on these slots. A lease runs from when its request was sent."""

    duty: int
    round: int
    slots: tuple[SlotEpoch, ...]


class LeaseGrant(Message, tag="v"):
    """A voter's answer to the request of that round."""

    duty: int
    round: int
    granted: tuple[int, ...]
    denied: tuple[DeniedSlot, ...] = ()


class LeaseRelease(Message, tag="e"):
    """Leases or grants given back before they expire."""

    duty: int
    slots: tuple[SlotEpoch, ...]


class EpochQuery(Message, tag="q"):
    """A voter whose store is new or lost asks for the ceilings of the other voters."""

    round: int


class EpochReport(Message, tag="k"):
    """No epoch above `ceiling` was ever granted here; `sure` unless this voter's own store is new or lost."""

    round: int
    ceiling: int
    sure: bool


LEASE_MESSAGES = (LeaseRequest, LeaseGrant, LeaseRelease, EpochQuery, EpochReport)
MESSAGES = (ProbeResults, *LEASE_MESSAGES)


# Events in, beside MessageReceived and LeaveRequested of the membership


class TargetsUpdated(NamedTuple):
    """All targets of a duty, as the endpoint list has them now."""

    duty: int
    targets: tuple[int, ...]


class TargetServed(NamedTuple):
    """This instance has served a target; it took `duration` microseconds until now."""

    duty: int
    target: int
    outcome: int  # an AttemptOutcome
    duration: int
    load: dict[str, float]


# Commands out, beside those of the membership


class ServeTarget(NamedTuple):
    """Serve the target now."""

    duty: int
    target: int
    epoch: int  # of the lease that allows it; 0 where the duty's mode has none
    until: int = 0  # the lease's expiry: not to be served later; 0 for no limit


class SendToMember(NamedTuple):
    """Send a message to the live member with this token."""

    token: int
    message: msgspec.Struct


class ResultShared(NamedTuple):
    """A result of another instance, new here."""

    result: ProbeResult


class PersistEpochCeiling(NamedTuple):
    """Write the ceiling of epochs to the store before any later command takes effect."""

    ceiling: int
