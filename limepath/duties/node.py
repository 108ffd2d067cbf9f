"""A simulated instance: runs the production logic with its own clock and store."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from limepath.duties.instance import Instance
from limepath.duties.interface import (
    PersistEpochCeiling,
    ResultShared,
    ServeTarget,
    TargetsUpdated,
)
from limepath.membership.interface import (
    REFUTATION_BITS,
    LeaveCompleted,
    LogEvent,
    MemberRecord,
    SendMessage,
    YieldIdentity,
)

if TYPE_CHECKING:
    from limepath.duties.world import World

PORT = 7946
"""The port of all instances; the host of an instance is its index."""
SOCKET_BUFFER = 2000
"""The most events that a paused instance receives when it resumes, as from a socket's buffer."""
MAX_CLOCK_OFFSET = 10**12
"""The largest offset in microseconds between an instance's clock and virtual time."""


@dataclass
class NodeStore:
    """The state that survives a crash."""

    token: int
    incarnation: int = 0
    ceiling: int = 0
    is_ceiling_known: bool = False


class Node:
    """One instance of a simulation, running or not."""

    def __init__(self, world: World, index: int):
        self.world = world
        self.index = index
        self.name = f"n{index}"
        self.clock_offset = world.random.randrange(MAX_CLOCK_OFFSET)
        self.clock_rate = 1 + world.random.uniform(-1, 1) * world.drift
        self.store = NodeStore(world.random.getrandbits(63))
        self.instance: Instance | None = None
        """The running instance; None while the node is down."""
        self.paused = False
        self.received: list[Any] = []
        """Events that arrived while the instance was paused."""
        self.wake_at: int | None = None
        """The virtual time at which the instance is to be called next."""
        self.yielded: str | None = None
        """Why the instance has yielded its identity, or None."""
        self.leases: dict[tuple[int, int], int] = {}
        """The held leases by duty and slot, with their expiry in virtual time."""

    def clock(self) -> int:
        """Return the time of this instance's clock."""
        return self.clock_offset + int(self.world.now * self.clock_rate)

    def world_time(self, local_time: int) -> int:
        """Return the virtual time at which this instance's clock has reached `local_time`."""
        return int((local_time - self.clock_offset) / self.clock_rate) + 1

    def start(self, seeds: Sequence[tuple[str, int]]) -> MemberRecord:
        """Create the instance of a new incarnation and return its record. It does nothing until `begin`."""
        world = self.world
        self.store.incarnation += 1
        me = MemberRecord(
            self.store.token,
            self.name,
            str(self.index),
            PORT,
            self.store.incarnation << REFUTATION_BITS,
            world.now + world.wall_clock_step,
        )
        self.instance = Instance(
            me,
            seeds,
            world.timeouts,
            world.duties,
            world.lease_settings,
            world.random.getrandbits(32),
            self.store.ceiling,
            self.store.is_ceiling_known,
        )
        self.received = []
        self.paused = False
        self.wake_at = None
        return me

    def begin(self) -> None:
        """Start the instance, with all targets of the simulation."""
        self._carry_out(self.instance.start(self.clock()))
        targets = tuple(self.world.targets)
        self.handle([TargetsUpdated(duty, targets) for duty in range(len(self.world.duties))])

    def stop(self) -> None:
        """Stop the instance at once, as in a crash."""
        self.instance = None
        self.received = []
        self.wake_at = None
        self._record_leases({})

    def lose_store(self) -> None:
        """Replace the store with an empty one for the next start."""
        self.store = NodeStore(self.world.random.getrandbits(63))

    def handle(self, events: Iterable[Any]) -> None:
        """Pass events to the instance, or keep them until it resumes if it is paused."""
        if self.paused:
            self.received += events
        elif self.instance:
            self._carry_out(self.instance.handle(self.clock(), list(events)))

    def resume(self) -> None:
        """Resume after a pause."""
        self.paused = False
        events = self.received[-SOCKET_BUFFER:]
        self.received = []
        self.handle(events)

    def _carry_out(self, commands: Iterable[Any]) -> None:
        me = self.instance.members.me
        for command in commands:
            if isinstance(command, (YieldIdentity, LeaveCompleted)):
                if isinstance(command, YieldIdentity):
                    self.yielded = command.reason
                    self.world.record_yield(self, command.reason)
                self.stop()
                return
            self._carry_out_one(me, command)
        if self.world.has_leases:
            self._record_leases(self._held_leases())
        self._schedule_wake()

    def _carry_out_one(self, me: MemberRecord, command: Any) -> None:
        world = self.world
        if isinstance(command, SendMessage):
            world.send(self, me, command)
        elif isinstance(command, ServeTarget):
            world.serve(self, command)
        elif isinstance(command, PersistEpochCeiling):
            self.store.ceiling = command.ceiling
            self.store.is_ceiling_known = True
        elif isinstance(command, ResultShared):
            world.handle_result_shared(self, command.result)
        elif isinstance(command, LogEvent):
            world.handle_log_event(command)

    def _held_leases(self) -> dict[tuple[int, int], int]:
        now = self.clock()
        return {
            key: self.world_time(lease.expires_at)
            for key, lease in self.instance.lease_manager.held_leases.items()
            if lease.expires_at > now
        }

    def _record_leases(self, leases: dict[tuple[int, int], int]) -> None:
        self.world.record_leases(self.index, self.leases, leases)
        self.leases = leases

    def _schedule_wake(self) -> None:
        due = self.instance.next()
        if due is None:
            return
        world = self.world
        due = max(world.now + 1, self.world_time(due))
        if self.wake_at is None or due < self.wake_at or self.wake_at <= world.now:
            self.wake_at = due
            world.at(due, self._wake, due)

    def _wake(self, due: int) -> None:
        if self.wake_at == due and self.instance and not self.paused:
            self.wake_at = None
            self._carry_out(self.instance.handle(self.clock(), ()))
