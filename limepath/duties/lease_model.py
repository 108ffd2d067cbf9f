"""The states that the model checker of the leases explores: instances, their clocks and messages under way.

The logic is the program's own (`leases`, `voter`): instances that all want one slot, all of them voters, with
clocks that run apart by the drift that the settings allow. States are copied by `pickle`.
"""

from collections.abc import Sequence
from typing import Any, NamedTuple

import msgspec

from limepath.configuration.sharing_settings import LeaseSettings
from limepath.duties.interface import LeaseRequest, PersistEpochCeiling
from limepath.duties.leases import LeaseManager
from limepath.duties.voter import Grant, Voter
from limepath.membership.interface import Message
from limepath.timer_queue import TimerQueue

SPAN = 1_000_000
"""Of a lease, in microseconds."""
DRIFT = 0.01
DUTY = 0
SLOT = 0
INCARNATIONS_PER_INSTANCE = 100
"""Keeps the sessions of different instances apart."""


class UnrandomTimers(TimerQueue):
    """Random delays add nothing to the orders that are explored: half of each, always."""

    def random_fraction(self) -> float:
        """Return the middle of the range."""
        return 0.5


class BrokenVoter(Voter):
    """The rule broken on purpose: what another holds is granted all the same."""

    def is_valid(self, grant: Grant) -> bool:
        """Take every grant for an expired one."""
        return False


class Envelope(NamedTuple):
    """A message under way, between instances by their index."""

    source: int
    destination: int
    session: int  # of the source
    message: Message


class ModelInstance:
    """One instance: its leases, the rate of its clock, and the ceiling in its store."""

    def __init__(self, index: int, names: Sequence[str], broken: bool):
        self.index = index
        self.names = names
        self.broken = broken
        self.incarnation = 0
        self.clock_rate = 1 - DRIFT * (index % 2)
        self.stored_ceiling = 0
        self.outgoing: list[Envelope] = []
        self.start(0, restarted=False)

    def start(self, now: int, restarted: bool) -> None:
        """Start anew with what the store has. The first start is as after a quiet time: the voter votes."""
        self.incarnation += 1
        self.timers = UnrandomTimers(0)
        self.timers.now = self.local_time(now)
        self.manager = LeaseManager(
            self.timers,
            self.names[self.index],
            self.index * INCARNATIONS_PER_INSTANCE + self.incarnation,
            LeaseSettings(tuple(self.names), SPAN, DRIFT, slots=1),
            (DUTY,),
            self.wanted_slots,
            self.on_leases_changed,
            self.send,
            self.stored_ceiling,
            is_ceiling_known=True,
        )
        if self.broken:
            self.manager.voter.__class__ = BrokenVoter
        self.manager.start()
        if not restarted:
            self.manager.voter.silent_until = 0
        self.settle()

    def local_time(self, now: int) -> int:
        """Return what this instance's clock shows at a time that all share."""
        return int(now * self.clock_rate)

    def wanted_slots(self, duty: int) -> set[int]:
        """Every instance wants the slot."""
        return {SLOT}

    def on_leases_changed(self, duty: int) -> None:
        """Nothing depends on it here."""

    def send(self, name: str, message: Message) -> None:
        """Take a message that the leases send."""
        destination = self.names.index(name)
        self.outgoing.append(Envelope(self.index, destination, self.manager.session, message))

    def settle(self) -> list[Envelope]:
        """Deliver messages to itself at once and carry out commands; return what goes to others."""
        while own := [envelope for envelope in self.outgoing if envelope.destination == self.index]:
            self.outgoing = [envelope for envelope in self.outgoing if envelope.destination != self.index]
            for envelope in own:
                self.manager.handle_message(self.names[self.index], envelope.session, envelope.message)
        for command in self.timers.take_commands():
            if isinstance(command, PersistEpochCeiling):
                self.stored_ceiling = command.ceiling
        sent = self.outgoing
        self.outgoing = []
        return sent

    def next_due(self) -> int:
        """Return when it has something to do next, in the time that all share."""
        return int(self.timers.next_due() / self.clock_rate) + 1

    def run_due(self, now: int) -> list[Envelope]:
        """Do what is due; return what goes to others."""
        self.timers.run_due(self.local_time(now))
        return self.settle()

    def receive(self, now: int, envelope: Envelope) -> list[Envelope]:
        """Take a message in; return what goes to others."""
        self.timers.now = self.local_time(now)
        self.manager.handle_message(self.names[envelope.source], envelope.session, envelope.message)
        return self.settle()

    def holds_slot(self, now: int) -> bool:
        """Whether it holds the slot by its own clock."""
        self.timers.now = self.local_time(now)
        return self.manager.valid_lease(DUTY, SLOT) is not None

    def fingerprint(self, now: int) -> tuple[Any, ...]:
        """Return what its future depends on: times as spans from now, rounds as steps back."""
        local_now = self.local_time(now)
        voter = self.manager.voter
        return (
            self.incarnation,
            self.stored_ceiling,
            self._holder_fingerprint(local_now),
            tuple(
                (grant.holder, grant.epoch, max(-1, grant.expires_at - local_now))
                for grant in voter.grants.values()
            ),
            max(0, voter.silent_until - local_now),
            voter.epoch_floor,
            self._timers_fingerprint(local_now),
        )

    def _holder_fingerprint(self, local_now: int) -> tuple[Any, ...]:
        manager = self.manager
        leases = sorted(
            (lease.epoch, max(-1, lease.expires_at - local_now)) for lease in manager.held_leases.values()
        )
        requests = [
            (
                manager.round - number,
                request.sent_at - local_now,
                tuple(request.epochs.items()),
                tuple(sorted(tuple(sorted(voters)) for voters in request.votes.values())),
            )
            for number, request in sorted(manager.pending_requests.items())
        ]
        return (
            tuple(leases),
            tuple(requests),
            tuple(manager.highest_epochs.items()),
            tuple(max(0, until - local_now) for until in manager.retry_at.values()),
        )

    def _timers_fingerprint(self, local_now: int) -> tuple[Any, ...]:
        pending = []
        for due, callback, arguments in self.timers.pending():
            rounds = [
                self.manager.round - argument if isinstance(argument, int) else 0 for argument in arguments
            ]
            pending.append((due - local_now, callback.__name__, tuple(rounds)))
        return tuple(sorted(pending))


class ModelState(NamedTuple):
    """One moment of a history."""

    now: int
    instances: tuple[ModelInstance, ...]
    in_transit: tuple[Envelope, ...]
    duplicated: int  # messages so far that were delivered twice
    crashed: int  # instances so far

    def holders(self) -> list[str]:
        """Return the names of the instances that hold the slot now, each by its own clock."""
        return [one.names[one.index] for one in self.instances if one.holds_slot(self.now)]

    def fingerprint(self) -> int:
        """Return a hash that is the same for states with the same future."""
        instances = tuple(one.fingerprint(self.now) for one in self.instances)
        messages = tuple(sorted(self._message_fingerprint(envelope) for envelope in self.in_transit))
        return hash((instances, messages, self.duplicated, self.crashed))

    def _message_fingerprint(self, envelope: Envelope) -> tuple[int, int, int, str, str]:
        """Rounds count as steps back from the latest round of the instance that requested."""
        message = envelope.message
        requester = envelope.source if isinstance(message, LeaseRequest) else envelope.destination
        fields = message_fields(message)
        steps_back = self.instances[requester].manager.round - fields.pop("round", 0)
        text = str((steps_back, *fields.values()))
        return (envelope.source, envelope.destination, envelope.session, type(message).__name__, text)


def message_fields(message: Message) -> dict[str, Any]:
    """Return a message's fields by name, in the order of the wire."""
    return msgspec.structs.asdict(message)
