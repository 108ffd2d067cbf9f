"""The states that the model checker of the leases explores: instances, their clocks and messages in transit.

The model runs the production code of `leases` and `voter`: all instances are voters and want the same slot,
and the rates of their clocks differ by the drift that the settings allow. States are copied with `pickle`.
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
"""The duration of a lease in microseconds."""
DRIFT = 0.01
DUTY = 0
SLOT = 0
INCARNATIONS_PER_INSTANCE = 100
"""Separates the session numbers of different instances."""


class DeterministicTimers(TimerQueue):
    """Timers without randomness, because random delays add no further orders of events to explore."""

    def random_fraction(self) -> float:
        """Return the middle of the range."""
        return 0.5


class BrokenVoter(Voter):
    """A voter with a deliberate fault: it grants a slot although another instance holds it."""

    def is_valid(self, grant: Grant) -> bool:
        """Return False, as if each grant had expired."""
        return False


class Envelope(NamedTuple):
    """A message in transit between two instances, which are given by their indices."""

    source: int
    destination: int
    session: int  # identifies the incarnation of the source
    message: Message


class ModelInstance:
    """One instance: its lease manager, the rate of its clock, and the epoch ceiling in its store."""

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
        """Start a new incarnation with the stored ceiling; only a restarted voter has a startup silence."""
        self.incarnation += 1
        self.timers = DeterministicTimers(0)
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
        self.process_outputs()

    def local_time(self, now: int) -> int:
        """Convert a time of the model to the time of this instance's clock."""
        return int(now * self.clock_rate)

    def wanted_slots(self, duty: int) -> set[int]:
        """Return the slot, which every instance wants."""
        return {SLOT}

    def on_leases_changed(self, duty: int) -> None:
        """Do nothing, because nothing depends on the leases here."""

    def send(self, name: str, message: Message) -> None:
        """Queue a message that the lease manager sends."""
        destination = self.names.index(name)
        self.outgoing.append(Envelope(self.index, destination, self.manager.session, message))

    def process_outputs(self) -> list[Envelope]:
        """Deliver the instance's messages to itself and execute commands; return its messages to others."""
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
        """Return the time of the model at which the instance's next timer is due."""
        return int(self.timers.next_due() / self.clock_rate) + 1

    def run_due(self, now: int) -> list[Envelope]:
        """Run the timers that are due; return the messages to other instances."""
        self.timers.run_due(self.local_time(now))
        return self.process_outputs()

    def receive(self, now: int, envelope: Envelope) -> list[Envelope]:
        """Handle a message; return the resulting messages to other instances."""
        self.timers.now = self.local_time(now)
        self.manager.handle_message(self.names[envelope.source], envelope.session, envelope.message)
        return self.process_outputs()

    def holds_slot(self, now: int) -> bool:
        """Return whether the instance holds the slot according to its own clock."""
        self.timers.now = self.local_time(now)
        return self.manager.valid_lease(DUTY, SLOT) is not None

    def fingerprint(self, now: int) -> tuple[Any, ...]:
        """Return all state that future behaviour depends on, with times and round numbers relative to now."""
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
    """The state of all instances and messages at one time."""

    now: int
    instances: tuple[ModelInstance, ...]
    in_transit: tuple[Envelope, ...]
    duplicated: int  # the number of messages delivered twice so far
    crashed: int  # the number of crashes so far

    def holders(self) -> list[str]:
        """Return the names of the instances that hold the slot now, each according to its own clock."""
        return [
            instance.names[instance.index] for instance in self.instances if instance.holds_slot(self.now)
        ]

    def fingerprint(self) -> int:
        """Return a hash that is equal for states with the same future behaviour."""
        instances = tuple(instance.fingerprint(self.now) for instance in self.instances)
        messages = tuple(sorted(self._message_fingerprint(envelope) for envelope in self.in_transit))
        return hash((instances, messages, self.duplicated, self.crashed))

    def _message_fingerprint(self, envelope: Envelope) -> tuple[int, int, int, str, str]:
        """Return a message's fields, its round relative to the latest round of the requesting instance."""
        message = envelope.message
        requester = envelope.source if isinstance(message, LeaseRequest) else envelope.destination
        fields = message_fields(message)
        relative_round = self.instances[requester].manager.round - fields.pop("round", 0)
        text = str((relative_round, *fields.values()))
        return (envelope.source, envelope.destination, envelope.session, type(message).__name__, text)


def message_fields(message: Message) -> dict[str, Any]:
    """Return a message's fields by name, in the order of their encoding."""
    return msgspec.structs.asdict(message)
