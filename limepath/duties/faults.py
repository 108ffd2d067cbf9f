"""Faults in virtual time: drawn from a seed and injected into a simulation, whose outages are recorded."""

from collections.abc import Iterable, Sequence
from enum import StrEnum
from random import Random
from typing import NamedTuple

from limepath.duties.network import Cut
from limepath.duties.world import NodeEvent, World
from limepath.membership.interface import LeaveRequested

SECOND = 1_000_000
FAULT_SEED = 0xFA17
MIN_LENGTH = 8
MAX_LENGTH = 30
"""The range of the length of most faults in seconds; the maximum is exclusive."""
ROLLING_STEP = 3 * SECOND
ROLLING_LIMIT = 60 * SECOND
FLAPPING_PERIOD = 4 * SECOND
WALL_CLOCK_STEP = 3600 * SECOND
REPLACED_DIVISOR = 5
"""The number of targets divided by this is replaced at once."""


class FaultKind(StrEnum):
    """The kind of a fault. The values are used on the command line."""

    KILL = "kill"
    PAUSE = "pause"
    HALVES = "halves"
    MINORITY = "minority"
    ASYMMETRIC = "one-way"
    ROLLING = "rolling"
    ALL = "all"
    FLAPPING = "flapping"
    LOST_STORE = "lost-store"
    WALL_STEP = "wall-step"
    LEAVE = "leave"
    TARGETS = "targets"


KINDS = tuple(FaultKind)
PARTITIONS = (FaultKind.HALVES, FaultKind.MINORITY, FaultKind.ASYMMETRIC)


class Fault(NamedTuple):
    """A fault that begins at `at` and lasts for `length`, both in microseconds of virtual time."""

    at: int
    kind: str
    who: tuple[int, ...]  # the indices of the affected instances
    length: int


class Outage(NamedTuple):
    """A period in which no part of a partitioned fleet could serve the duties."""

    begin: int
    end: int


def draw_faults(
    kinds: Sequence[str], instances: int, first: int, end: int, settle: int, seed: int
) -> list[Fault]:
    """Draw consecutive faults until `end`, each followed by a pause of about `settle`."""
    random = Random(seed ^ FAULT_SEED)
    faults: list[Fault] = []
    remaining: list[str] = []
    at = first
    while True:
        if not remaining:
            remaining = list(kinds)
            random.shuffle(remaining)
        fault = _draw_fault(random, remaining.pop(), instances, at)
        if at + fault.length + settle > end:
            return faults
        faults.append(fault)
        at += fault.length + settle * random.randrange(50, 150) // 100


def _draw_fault(random: Random, kind: str, instances: int, at: int) -> Fault:
    length = random.randrange(MIN_LENGTH, MAX_LENGTH) * SECOND
    single = random.randrange(instances)
    divisor = 2 if kind == FaultKind.HALVES else 3
    side = tuple(random.sample(range(instances), max(1, instances // divisor)))
    who: tuple[int, ...] = (single,)
    if kind in PARTITIONS:
        who = side
    elif kind in (FaultKind.ALL, FaultKind.ROLLING):
        who = tuple(range(instances))
    if kind == FaultKind.ALL:
        length = SECOND
    elif kind == FaultKind.ROLLING:
        length = min(ROLLING_LIMIT, ROLLING_STEP * instances)
    elif kind in (FaultKind.WALL_STEP, FaultKind.TARGETS):
        length = 0
    return Fault(at, kind, who, length)


class FaultRun:
    """Injects the faults of one run into a simulation, and records their consequences."""

    def __init__(self, world: World, faults: Sequence[Fault], end: int):
        self.world = world
        self.faults = faults
        self.end = end
        self.deaths: list[NodeEvent] = []
        """The times at which instances were killed, paused or requested to leave."""
        self.outages: list[Outage] = []
        self.is_available: bool | None = None
        """Whether the duties can be served now; None before the first check."""
        self.unreachable_neighbours = 1
        """The most neighbours on the ring that were unreachable at the same time."""
        self.has_restarts = False
        self.random = Random(len(faults))
        self._begin_by_kind = {
            FaultKind.KILL: self._begin_kill,
            FaultKind.PAUSE: self._begin_pause,
            FaultKind.HALVES: self._begin_partition,
            FaultKind.MINORITY: self._begin_partition,
            FaultKind.ASYMMETRIC: self._begin_asymmetric_partition,
            FaultKind.ROLLING: self._begin_rolling,
            FaultKind.ALL: self._begin_all,
            FaultKind.FLAPPING: self._begin_flapping,
            FaultKind.LOST_STORE: self._begin_lost_store,
            FaultKind.WALL_STEP: self._begin_wall_step,
            FaultKind.LEAVE: self._begin_leave,
            FaultKind.TARGETS: self._begin_targets,
        }
        for fault in faults:
            world.at(fault.at, self._begin, fault)

    # Each kind of fault

    def _begin(self, fault: Fault) -> None:
        self._begin_by_kind[FaultKind(fault.kind)](fault)
        self._schedule_availability_check()

    def _begin_kill(self, fault: Fault) -> None:
        self._kill(fault.who[0])
        self.world.at(self.world.now + fault.length, self._start, fault.who[0])

    def _begin_lost_store(self, fault: Fault) -> None:
        self._kill(fault.who[0])
        self.world.nodes[fault.who[0]].lose_store()
        self.world.at(self.world.now + fault.length, self._start, fault.who[0])

    def _begin_pause(self, fault: Fault) -> None:
        index = fault.who[0]
        self.world.nodes[index].paused = True
        self.deaths.append(NodeEvent(self.world.now, index))
        self._schedule_availability_check()
        self.world.at(self.world.now + fault.length, self._resume, index)

    def _begin_partition(self, fault: Fault) -> None:
        side = frozenset(fault.who)
        others = frozenset(range(len(self.world.nodes))) - side
        self.world.network.cuts[fault] = Cut(side, others)
        self.world.network.cuts[fault, "back"] = Cut(others, side)
        self.world.at(self.world.now + fault.length, self._heal, fault)

    def _begin_asymmetric_partition(self, fault: Fault) -> None:
        side = frozenset(fault.who)
        others = frozenset(range(len(self.world.nodes))) - side
        self.world.network.cuts[fault] = Cut(side, others)
        self.world.at(self.world.now + fault.length, self._heal, fault)

    def _begin_all(self, fault: Fault) -> None:
        over = self.world.now + fault.length
        for index in fault.who:
            self._kill(index)
            self.world.at(over + self.random.randrange(SECOND), self._start, index)

    def _begin_rolling(self, fault: Fault) -> None:
        step = fault.length // len(fault.who)
        for place, index in enumerate(fault.who):
            killed_at = self.world.now + place * step
            self.world.at(killed_at, self._kill, index)
            self.world.at(killed_at + step // 2, self._start, index)

    def _begin_flapping(self, fault: Fault) -> None:
        for offset in range(0, fault.length, FLAPPING_PERIOD):
            killed_at = self.world.now + offset
            self.world.at(killed_at, self._kill, fault.who[0])
            self.world.at(killed_at + FLAPPING_PERIOD // 2, self._start, fault.who[0])

    def _begin_wall_step(self, fault: Fault) -> None:
        self.world.wall_clock_step += WALL_CLOCK_STEP * self.random.choice((-1, 1))
        self._kill(fault.who[0])
        self.world.at(self.world.now + SECOND, self._start, fault.who[0])

    def _begin_leave(self, fault: Fault) -> None:
        index = fault.who[0]
        if self.world.nodes[index].instance:
            self.deaths.append(NodeEvent(self.world.now, index))
            self.world.nodes[index].handle([LeaveRequested()])
        self._schedule_availability_check()
        self.world.at(self.world.now + fault.length, self._start, index)

    def _begin_targets(self, fault: Fault) -> None:
        world = self.world
        count = max(1, len(world.targets) // REPLACED_DIVISOR)
        removed = self.random.sample(sorted(world.targets), count)
        first = max([*world.targets, *world.removed_at]) + 1
        world.replace_targets(removed, range(first, first + count))

    # Steps of faults

    def _kill(self, index: int) -> None:
        if self.world.nodes[index].instance:
            self.world.nodes[index].stop()
            self.deaths.append(NodeEvent(self.world.now, index))
        self._schedule_availability_check()

    def _start(self, index: int) -> None:
        if not self.world.nodes[index].instance:
            self.has_restarts = True
            self.world.restart(index)
        self.check_availability()

    def _resume(self, index: int) -> None:
        if self.world.nodes[index].instance:
            self.world.nodes[index].resume()
        self.check_availability()

    def _heal(self, fault: Fault) -> None:
        self.world.network.cuts.pop(fault)
        self.world.network.cuts.pop((fault, "back"), None)
        self.check_availability()

    # Outages

    def _schedule_availability_check(self) -> None:
        self.world.at(self.world.now + 1, self.check_availability, True)

    def check_availability(self, after_loss: bool = False) -> None:
        """Record whether the duties can be served, and after a loss how many neighbours are unreachable."""
        world = self.world
        running = {node.index for node in world.nodes if node.instance and not node.paused}
        sides = self._sides(running)
        is_available = bool(running)
        if world.has_leases:
            sides = self._with_quorum(sides)
            is_available = bool(sides)
        self._record_availability(is_available)
        run_lengths = [self._longest_unreachable_run(side) for side in sides if side]
        if after_loss and run_lengths:  # the duties are served by the side with the shortest run
            self.unreachable_neighbours = max(self.unreachable_neighbours, min(run_lengths))

    def _sides(self, running: set[int]) -> list[set[int]]:
        """Return the sets of running instances that can reach each other despite the present cuts."""
        sides = [running]
        for sources, destinations in self.world.network.cuts.values():
            sides = [part for side in sides for part in (side & sources, side & destinations) if part]
        return sides

    def _with_quorum(self, sides: Iterable[set[int]]) -> list[set[int]]:
        """Return the sides that include a majority of the voters."""
        voters = {int(name[1:]) for name in self.world.lease_settings.voters}
        return [side for side in sides if len(side & voters) * 2 > len(voters)]

    def _record_availability(self, is_available: bool) -> None:
        now = self.world.now
        if is_available and self.is_available is False:
            self.outages[-1] = self.outages[-1]._replace(end=now)
        elif not is_available and self.is_available is not False:
            self.outages.append(Outage(now, self.end))
        self.is_available = is_available

    def _longest_unreachable_run(self, side: set[int]) -> int:
        """Return the most consecutive instances on the ring that this side cannot reach."""
        run = 0
        longest = 0
        nodes = sorted((node.store.token, node.index in side) for node in self.world.nodes)
        for _, is_reachable in nodes + nodes:
            run = 0 if is_reachable else run + 1
            longest = max(longest, run)
        return min(longest, len(nodes))
