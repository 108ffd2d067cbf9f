"""Simulates a fleet in the star topology in virtual time: fronts with membership, list service and network.

The fronts run the logic of the real program. Runs with the same seed are identical.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from random import Random
from typing import Any

from limepath.configuration.sharing_settings import DiscoverySettings, MembershipTimeouts
from limepath.discovery.engine import DiscoveryEngine
from limepath.discovery.interface import (
    MESSAGES,
    ApplyEvent,
    CloseStream,
    ListConfirmed,
    OpenStream,
    PeerMessage,
    SaveSnapshot,
    SendToMember,
    ServiceMoved,
    StreamClosed,
    StreamEventReceived,
)
from limepath.discovery.star_service import Service
from limepath.duties.world import Network
from limepath.membership.interface import (
    REFUTATION_BITS,
    MemberRecord,
    MessageReceived,
    MessageRelayed,
    SendMessage,
)
from limepath.membership.members import Members

SECOND, MS = 1_000_000, 1000
PORT = 7946


class Node:
    """One front: its membership, its discovery logic, and the list that was applied to it."""

    def __init__(self, world: World, index: int) -> None:
        self.world = world
        self.index = index
        self.zone = f"z{index % world.zones}"
        self.token: int = world.random.getrandbits(63)
        self.starts: int = 0  # number of starts
        self.serial: int = 0  # number of the current call to the service
        self.members: Members | None = None  # None while the front does not run
        self.logic: DiscoveryEngine | StandaloneFront | None = None
        self.wake_at: int | None = None  # time of the scheduled timer
        self.saved: bytes | None = None  # the saved list, packed
        self.paused: bool = False
        self.queue: list[Any] = []  # events received while paused
        self.last_applied: int = 0  # number of the last event applied
        self.ready_at: int | None = None  # time when the list was confirmed

    def start(self, seeds: list[tuple[str, int]]) -> None:
        """Start, or restart with the saved list."""
        world = self.world
        self.starts += 1
        me = MemberRecord(
            self.token, f"n{self.index}", str(self.index), PORT, self.starts << REFUTATION_BITS, world.now
        )
        self.members = Members(me, seeds, world.timeouts, world.random.getrandbits(32))
        self.wake_at = None
        self.paused = False
        self.queue = []
        self.ready_at = None
        self.last_applied = 0
        self.born = world.now
        settings = world.settings._replace(zone=self.zone)
        kind = StandaloneFront if world.alone else DiscoveryEngine
        self.logic = kind(
            self.token, settings, world.random.getrandbits(32), lambda: self.members.ring, self.saved
        )
        self.execute(self.members.start(world.now))
        self.execute(self.logic.start(world.now))

    def stop(self) -> None:
        """Stop as if the process were killed."""
        self.members = None
        self.logic = None
        self.serial += 1
        self.world.service.streams.pop(self, None)

    def handle_events(self, events: Iterable[Any]) -> None:
        """Pass events to the discovery logic, or queue them while paused."""
        if self.paused:
            self.queue += events
        elif self.logic:
            self.execute(self.logic.handle(self.world.now, events))

    def receive(self, event: MessageReceived) -> None:
        """Pass a received datagram to the membership, or queue it while paused."""
        if self.paused:
            self.queue.append(event)
        elif self.members:
            self.execute(self.members.handle(self.world.now, [event]))

    def resume(self) -> None:
        """Continue after a pause with the last 2,000 queued events."""
        self.paused = False
        events = self.queue[-2000:]
        self.queue = []
        for event in events:
            self.receive(event) if isinstance(event, MessageReceived) else self.handle_events([event])
        self.wake(self.wake_at)

    def execute(self, commands: Iterable[Any]) -> None:
        """Execute the commands of the membership and discovery logic."""
        world = self.world
        for command in commands:
            if isinstance(command, SendMessage):
                world.send(self, command)
            elif isinstance(command, MessageRelayed):
                self.handle_events([PeerMessage(command.sender.token, command.message)])
            elif isinstance(command, SendToMember):
                self.members.send_to_member(command.token, command.message)
            elif isinstance(command, OpenStream):
                self.serial += 1
                world.service.call(self, command.after)
            elif isinstance(command, CloseStream):
                self.serial += 1
                world.service.streams.pop(self, None)
            elif isinstance(command, ApplyEvent):
                self.last_applied = command.event["seq"]
                world.record_applied(self, command.event)
            elif isinstance(command, ListConfirmed):
                self.ready_at = world.now
            elif isinstance(command, SaveSnapshot):
                self.saved = command.data
        if not self.members:
            return
        if self.members.timers.commands:
            return self.execute(self.members.timers.take_commands())
        deadlines = [due for due in (self.members.next(), self.logic.next()) if due is not None]
        if deadlines and (self.wake_at is None or min(deadlines) < self.wake_at or self.wake_at <= world.now):
            self.wake_at = max(world.now + 1, min(deadlines))
            world.at(self.wake_at, self.wake, self.wake_at)

    def wake(self, due: int) -> None:
        """Run the logic at time `due`, unless the timer has been rescheduled."""
        if self.wake_at == due and self.members and not self.paused:
            self.wake_at = None
            self.execute(self.members.handle(self.world.now, ()))
            if self.logic:
                self.execute(self.logic.handle(self.world.now))


class StandaloneFront:
    """A front without relays: it calls the service while it has no stream, with a delay that doubles."""

    def __init__(
        self,
        me: int,
        settings: DiscoverySettings,
        seed: int,
        live: Callable[[], Iterable[int]],
        saved: bytes | None,
    ) -> None:
        self.random = Random(seed)
        self.now = 0
        self.due: int | None = None  # time of the next call
        self.retries: int = 0  # since the last event
        self.up = False
        self.number = 0

    def start(self, now: int) -> list[Any]:
        """Call the service immediately."""
        return [OpenStream(0)]

    def handle(self, now: int, events: Iterable[Any] = ()) -> list[Any]:
        """Apply new events; call the service again after a delay if the stream is lost."""
        commands = []
        for event in events:
            if isinstance(event, StreamEventReceived):
                body = json.loads(event.text)
                if body["seq"] > self.number:
                    commands += [ApplyEvent(body)] + (
                        [] if self.number else [ListConfirmed((0, body["seq"]), 0)]
                    )
                    self.number = body["seq"]
                    self.retries = 0
            elif isinstance(event, (StreamClosed, ServiceMoved)):
                delay = min(600 * MS, 100 * MS << min(10, self.retries))
                self.retries = self.retries + 1
                self.due = now + int(delay * (0.5 + self.random.random()))
        if self.due is not None and now >= self.due:
            self.due = None
            commands.append(OpenStream(self.number))
        return commands

    def next(self) -> int | None:
        """Return the time of the next call."""
        return self.due


class World:
    """The fleet, the list service, the network between them, and the clock."""

    def __init__(
        self,
        fronts: int,
        zones: int,
        seed: int,
        settings: DiscoverySettings,
        loss: float,
        alone: bool,
        caches: int,
        timeouts: MembershipTimeouts,
    ) -> None:
        self.random = Random(seed)
        self.now: int = 0  # in microseconds
        self.order: int = 0  # sequence number of scheduled calls, which orders those for the same time
        self.schedule: list[tuple[int, int, Callable[..., object], tuple[Any, ...]]] = []
        self.zones = zones
        self.loss = loss
        self.alone = alone
        self.timeouts = timeouts
        self.epoch: int = 0  # increases when the service is restored
        self.messages: int = 0  # datagrams sent
        self.list_messages: int = 0  # datagrams sent by the discovery logic
        self.settings = settings
        self.network = Network(Random(seed + 1), loss)
        self.service = Service(self, caches)
        self.delays: list[tuple[int, int, int]] = []  # (microseconds, number, front) of each event applied
        self.wrong = 0
        self.nodes = [Node(self, index) for index in range(fronts)]

    def at(self, when: int, call: Callable[..., object], *arguments: Any) -> None:
        """Schedule a call at time `when`."""
        self.order += 1
        heappush(self.schedule, (when, self.order, call, arguments))

    def run(self, until: int) -> None:
        """Run until a time."""
        while self.schedule and self.schedule[0][0] <= until:
            self.now, _, call, arguments = heappop(self.schedule)
            call(*arguments)
        self.now = until

    def send(self, node: Node, command: Any) -> None:
        """Send a datagram over the network."""
        self.messages += 1
        self.list_messages += isinstance(command.message, MESSAGES)
        to = self.nodes[int(command.host)]
        for delay in self.network.delays(node.index, to.index):
            received = MessageReceived(node.members.me, command.to, command.message)
            self.at(self.now + delay, to.receive, received)

    def record_applied(self, node: Node, event: dict[str, Any]) -> None:
        """Record the delay of an event that was applied to a front that was ready before."""
        number = event["seq"]
        if node.ready_at is not None and "complete" not in event.get("fleet", {}):
            self.delays.append(
                (self.now - self.service.added_at[self.epoch, number], number, node.index)
                if (self.epoch, number) in self.service.added_at
                else (0, number, node.index)
            )

    def seeds(self, index: int) -> list[tuple[str, int]]:
        """Return the addresses that a front joins the fleet by."""
        return [(str(seed), PORT) for seed in range(min(3, len(self.nodes))) if seed != index]

    def live(self) -> list[Node]:
        """Return the fronts that run and are not paused."""
        return [node for node in self.nodes if node.logic and not node.paused]

    def relays(self, zone: str) -> list[Node]:
        """Return the fronts of a zone that have a stream."""
        return [node for node in self.live() if node.zone == zone and node in self.service.streams]
