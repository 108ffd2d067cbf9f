"""Simulation of many instances in virtual time: it runs the production logic, and a seed fixes its course.

It records the rounds that the targets receive and the instances that hold each lease. See `node` for a
simulated instance with its clock and store, and `network` for the network between instances.
"""

from collections.abc import Callable, Collection, Iterable, Sequence
from heapq import heappop, heappush
from random import Random
from typing import Any, NamedTuple

import msgspec

from limepath.configuration.sharing_settings import DutyMode, DutySettings, LeaseSettings, MembershipTimeouts
from limepath.duties.instance import Instance
from limepath.duties.interface import ProbeResult, ServeTarget, TargetServed, TargetsUpdated
from limepath.duties.network import Network
from limepath.duties.node import PORT, Node
from limepath.membership.guard import HEADER_BYTES, SEAL_BYTES
from limepath.membership.interface import (
    REFUTATION_BITS,
    LogEvent,
    MemberRecord,
    MessageReceived,
    SendMessage,
)

SAMPLE_EVERY = 64
"""One of this many messages is encoded, to measure its size."""
SEEDS = 3
"""The number of seed instances, by which the others join."""
SERVE_DURATION = 800
"""Microseconds that serving a target takes."""
LIST_DELAY = 200_000
"""Microseconds within which all instances receive a change of the endpoint list."""
REMOVAL_GRACE = 500_000
"""Microseconds after a target's removal within which rounds at it are not counted."""


class ServedRound(NamedTuple):
    """A round that a target has received."""

    at: int
    node: int


class LeaseConflict(NamedTuple):
    """The time at which two nodes held the same slot."""

    at: int
    duty_and_slot: tuple[int, int]
    node: int
    other: int


class NodeEvent(NamedTuple):
    """The time and the node of an event."""

    at: int
    node: int


class World:
    """Simulated instances, their targets and their network. Times are microseconds of virtual time."""

    def __init__(
        self,
        instances: int,
        targets: int,
        duties: Sequence[DutySettings],
        timeouts: MembershipTimeouts,
        lease_settings: LeaseSettings,
        seed: int,
        loss: float = 0.0,
        doubled: float = 0.0,
        late: float = 0.0,
        drift: float = 1e-4,
    ):
        self.random = Random(seed)
        self.now = 0
        self.duties = duties
        self.timeouts = timeouts
        self.lease_settings = lease_settings
        self.drift = drift
        """The largest deviation of a clock's rate from that of virtual time, as a fraction."""
        self.has_leases = any(duty.mode == DutyMode.ONE_OWNER for duty in duties)
        self.network = Network(Random(seed + 1), loss, doubled, late)
        self.wall_clock_step = 0
        """Microseconds by which the wall clocks have been stepped."""
        self.targets = dict.fromkeys(range(1, targets + 1), 0)
        """The targets on the endpoint list, and when each was added."""
        self.added_at = dict(self.targets)
        """When each target was added, including those that were removed."""
        self.removed_at: dict[int, int] = {}
        self.nodes = [Node(self, index) for index in range(instances)]
        self._scheduled = 0
        self._heap: list[tuple[int, int, Callable[..., object], tuple[Any, ...]]] = []
        self._start_records()

    def _start_records(self) -> None:
        self.rounds: dict[tuple[int, int], list[ServedRound]] = {}
        """The rounds by duty and target."""
        self.highest_epochs: dict[tuple[int, int], int] = {}
        """The highest epoch that each target has received, by duty and target."""
        self.rejected_rounds = 0
        """The number of rounds that targets rejected because of an older epoch."""
        self.rounds_after_removal = 0
        self.lease_holders: dict[tuple[int, int], dict[int, int]] = {}
        """By duty and slot, when the lease of each node expires."""
        self.lease_conflicts: list[LeaseConflict] = []
        self.yielded: list[NodeEvent] = []
        self.false_deaths: list[NodeEvent] = []
        self.messages = 0
        self.sampled_messages = 0
        self.sampled_bytes = 0
        self._encoder = msgspec.msgpack.Encoder()

    # Time

    def at(self, when: int, callback: Callable[..., object], *arguments: Any) -> None:
        """Call `callback(*arguments)` at the time `when`."""
        self._scheduled += 1
        heappush(self._heap, (when, self._scheduled, callback, arguments))

    def run(self, until: int) -> None:
        """Advance virtual time to `until`, and call what is due."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback, arguments = heappop(self._heap)
            callback(*arguments)
        self.now = until

    # Instances

    def start(self, members_known: bool) -> None:
        """Start all instances; with `members_known`, each knows all others from the start."""
        seeds = [(str(index), PORT) for index in range(min(SEEDS, len(self.nodes)))]
        records = [node.start(seeds) for node in self.nodes]
        if members_known:
            for node in self.nodes:
                node.instance.preload_members([record for record in records if record.name != node.name])
        for node in self.nodes:
            node.begin()

    def restart(self, index: int) -> None:
        """Start an instance that is not running."""
        node = self.nodes[index]
        seeds = [(str(seed), PORT) for seed in range(min(SEEDS, len(self.nodes))) if seed != index]
        node.start(seeds or [("0", PORT)])
        node.begin()

    def views_agree(self) -> bool:
        """Return whether the view of each running instance consists of all running instances."""
        running = [node for node in self.nodes if node.instance and not node.paused]
        tokens = {node.store.token for node in running}
        return all(set(node.instance.members.ring) | {node.store.token} == tokens for node in running)

    def record_yield(self, node: Node, why: str) -> None:
        """Record that an instance has yielded its identity."""
        self.yielded.append(NodeEvent(self.now, node.index))

    def record_leases(
        self, index: int, former: Collection[tuple[int, int]], leases: dict[tuple[int, int], int]
    ) -> None:
        """Record a node's present leases and their expiry; find those that another node holds as well."""
        for key, until in leases.items():
            holders = self.lease_holders.setdefault(key, {})
            for other, other_until in holders.items():
                if other != index and other_until > self.now:
                    self.lease_conflicts.append(LeaseConflict(self.now, key, index, other))
            holders[index] = until
        for key in former:
            if key not in leases:
                self.lease_holders[key].pop(index, None)

    def handle_log_event(self, event: LogEvent) -> None:
        """Record that a running instance was declared dead in its present incarnation."""
        if event.event != "peer-dead":
            return
        node = self.nodes[int(event.fields["peer"][1:])]
        is_same = node.store.incarnation == event.fields["incarnation"] >> REFUTATION_BITS
        if node.instance and not node.paused and is_same and not self.network.cuts:
            self.false_deaths.append(NodeEvent(self.now, node.index))

    # Messages

    def send(self, node: Node, me: MemberRecord, command: SendMessage) -> None:
        """Send a node's message over the network."""
        self.messages += 1
        destination = int(command.host)
        if self.messages % SAMPLE_EVERY == 0:
            datagram = self._encoder.encode((me, command.to, self.messages, command.message))
            self.sampled_messages += 1
            self.sampled_bytes += len(datagram) + HEADER_BYTES + SEAL_BYTES
        event = MessageReceived(me, command.to, command.message)
        for delay in self.network.delays(node.index, destination):
            self.at(self.now + delay, self._deliver, destination, event)

    def _deliver(self, destination: int, event: MessageReceived) -> None:
        if self.nodes[destination].instance:
            self.nodes[destination].handle([event])

    # Targets

    def serve(self, node: Node, command: ServeTarget) -> None:
        """Deliver a round to its target, which rejects one with an older epoch."""
        key = command.duty, command.target
        if command.target not in self.targets:
            removed_for = self.now - self.removed_at[command.target]
            self.rounds_after_removal += removed_for > REMOVAL_GRACE
            return
        if command.epoch:
            if command.epoch < self.highest_epochs.get(key, 0):
                self.rejected_rounds += 1
                return
            self.highest_epochs[key] = command.epoch
        self.rounds.setdefault(key, []).append(ServedRound(self.now, node.index))
        self.at(self.now + SERVE_DURATION, self._answer, node, node.instance, command)

    def _answer(self, node: Node, instance: Instance, command: ServeTarget) -> None:
        if node.instance is instance:
            node.handle([TargetServed(command.duty, command.target, 0, SERVE_DURATION, {"util": 0.5})])

    def handle_result_shared(self, node: Node, result: ProbeResult) -> None:
        """Do nothing with another instance's result; a simulation with fronts reports it to the front."""

    def replace_targets(self, removed: Iterable[int], added: Iterable[int]) -> None:
        """Change the endpoint list; each instance receives the change within LIST_DELAY."""
        for target in removed:
            self.removed_at[target] = self.now
            del self.targets[target]
        for target in added:
            self.targets[target] = self.now
            self.added_at[target] = self.now
        targets = tuple(self.targets)
        for node in self.nodes:
            delay = int(self.random.random() * LIST_DELAY)
            events = [TargetsUpdated(duty, targets) for duty in range(len(self.duties))]
            self.at(self.now + delay, node.handle, events)
