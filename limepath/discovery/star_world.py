"""A fleet in the star in virtual time: fronts with their membership, the list service, the network.

The logic is that of the real program; the same seed gives the same run.
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
        self.token: int = world.chance.getrandbits(63)
        self.starts: int = 0  # so far
        self.serial: int = 0  # of the current call to the service
        self.members: Members | None = None  # None while it does not run
        self.logic: DiscoveryEngine | StandaloneFront | None = None
        self.wake_at: int | None = None  # the timer that is set
        self.saved: bytes | None = None  # the packed list in its store
        self.paused: bool = False
        self.queue: list[Any] = []  # events that came while it was stopped
        self.front: int = 0  # the last event applied
        self.ready_at: int | None = None

    def start(self, seeds: list[tuple[str, int]]) -> None:
        """Start, or start again with the list that was saved."""
        world = self.world
        self.starts += 1
        me = MemberRecord(
            self.token, f"n{self.index}", str(self.index), PORT, self.starts << REFUTATION_BITS, world.now
        )
        self.members = Members(me, seeds, world.spans, world.chance.getrandbits(32))
        self.wake_at = None
        self.paused = False
        self.queue = []
        self.ready_at = None
        self.front = 0
        self.born = world.now
        terms = world.terms._replace(zone=self.zone)
        kind = StandaloneFront if world.alone else DiscoveryEngine
        self.logic = kind(
            self.token, terms, world.chance.getrandbits(32), lambda: self.members.ring, self.saved
        )
        self.execute(self.members.start(world.now))
        self.execute(self.logic.start(world.now))

    def stop(self) -> None:
        """Die at once."""
        self.members = None
        self.logic = None
        self.serial += 1
        self.world.service.streams.pop(self, None)

    def handle_events(self, events: Iterable[Any]) -> None:
        """Hand events to the discovery logic; a stopped process takes them in later."""
        if self.paused:
            self.queue += events
        elif self.logic:
            self.execute(self.logic.handle(self.world.now, events))

    def receive(self, event: MessageReceived) -> None:
        """A datagram of the membership has arrived."""
        if self.paused:
            self.queue.append(event)
        elif self.members:
            self.execute(self.members.handle(self.world.now, [event]))

    def resume(self) -> None:
        """Go on after a stop, with what was queued meanwhile."""
        self.paused = False
        events = self.queue[-2000:]
        self.queue = []
        for event in events:
            self.receive(event) if isinstance(event, MessageReceived) else self.handle_events([event])
        self.wake(self.wake_at)

    def execute(self, commands: Iterable[Any]) -> None:
        """Carry out the commands of both logics."""
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
                self.front = command.event["seq"]
                world.record_applied(self, command.event)
            elif isinstance(command, ListConfirmed):
                self.ready_at = world.now
            elif isinstance(command, SaveSnapshot):
                self.saved = command.data
        if not self.members:
            return
        if self.members.timers.commands:
            return self.execute(self.members.timers.take_commands())
        dues = [due for due in (self.members.next(), self.logic.next()) if due is not None]
        if dues and (self.wake_at is None or min(dues) < self.wake_at or self.wake_at <= world.now):
            self.wake_at = max(world.now + 1, min(dues))
            world.at(self.wake_at, self.wake, self.wake_at)

    def wake(self, due: int) -> None:
        """Do what is due."""
        if self.wake_at == due and self.members and not self.paused:
            self.wake_at = None
            self.execute(self.members.handle(self.world.now, ()))
            if self.logic:
                self.execute(self.logic.handle(self.world.now))


class StandaloneFront:
    """A front as it is without relays: it calls when it has no stream, after a pause that doubles."""

    def __init__(
        self,
        me: int,
        terms: DiscoverySettings,
        seed: int,
        live: Callable[[], Iterable[int]],
        saved: bytes | None,
    ) -> None:
        self.chance = Random(seed)
        self.now = 0
        self.due: int | None = None  # when the next call is due
        self.pauses: int = 0  # since the last event
        self.up = False
        self.number = 0

    def start(self, now: int) -> list[Any]:
        """Call the service at once."""
        return [OpenStream(0)]

    def handle(self, now: int, events: Iterable[Any] = ()) -> list[Any]:
        """Apply what is new; call again after a pause where the stream is lost."""
        commands = []
        for event in events:
            if isinstance(event, StreamEventReceived):
                body = json.loads(event.text)
                if body["seq"] > self.number:
                    commands += [ApplyEvent(body)] + (
                        [] if self.number else [ListConfirmed((0, body["seq"]), 0)]
                    )
                    self.number = body["seq"]
                    self.pauses = 0
            elif isinstance(event, (StreamClosed, ServiceMoved)):
                pause = min(600 * MS, 100 * MS << min(10, self.pauses))
                self.pauses = self.pauses + 1
                self.due = now + int(pause * (0.5 + self.chance.random()))
        if self.due is not None and now >= self.due:
            self.due = None
            commands.append(OpenStream(self.number))
        return commands

    def next(self) -> int | None:
        """When the next call is due."""
        return self.due


class World:
    """The fleet, the list service, the network between them, and the clock."""

    def __init__(
        self,
        fronts: int,
        zones: int,
        seed: int,
        terms: DiscoverySettings,
        loss: float,
        alone: bool,
        caches: int,
        spans: MembershipTimeouts,
    ) -> None:
        self.chance = Random(seed)
        self.now: int = 0  # microseconds
        self.order: int = 0  # of calls scheduled for one time
        self.schedule: list[tuple[int, int, Callable[..., object], tuple[Any, ...]]] = []
        self.zones = zones
        self.loss = loss
        self.alone = alone
        self.spans = spans
        self.epoch: int = 0  # grows as the service is restored
        self.messages: int = 0  # datagrams sent
        self.list_messages: int = 0  # those of the list
        self.terms = terms
        self.network = Network(Random(seed + 1), loss)
        self.service = Service(self, caches)
        self.lates: list[tuple[int, int, int]] = []  # (microseconds, number, front) of events
        self.wrong = 0
        self.nodes = [Node(self, index) for index in range(fronts)]

    def at(self, when: int, call: Callable[..., object], *arguments: Any) -> None:
        """Schedule a call."""
        self.order += 1
        heappush(self.schedule, (when, self.order, call, arguments))

    def run(self, until: int) -> None:
        """Go on until a time."""
        while self.schedule and self.schedule[0][0] <= until:
            self.now, _, call, arguments = heappop(self.schedule)
            call(*arguments)
        self.now = until

    def send(self, node: Node, command: Any) -> None:
        """Send a datagram of the membership over the network."""
        self.messages += 1
        self.list_messages += isinstance(command.message, MESSAGES)
        to = self.nodes[int(command.host)]
        for delay in self.network.delays(node.index, to.index):
            received = MessageReceived(node.members.me, command.to, command.message)
            self.at(self.now + delay, to.receive, received)

    def record_applied(self, node: Node, event: dict[str, Any]) -> None:
        """An event has reached a front that was ready before: how late."""
        number = event["seq"]
        if node.ready_at is not None and "complete" not in event.get("fleet", {}):
            self.lates.append(
                (self.now - self.service.added_at[self.epoch, number], number, node.index)
                if (self.epoch, number) in self.service.added_at
                else (0, number, node.index)
            )

    def seeds(self, index: int) -> list[tuple[str, int]]:
        """The addresses by which a front joins."""
        return [(str(seed), PORT) for seed in range(min(3, len(self.nodes))) if seed != index]

    def live(self) -> list[Node]:
        """The fronts that run and are not stopped."""
        return [node for node in self.nodes if node.logic and not node.paused]

    def relays(self, zone: str) -> list[Node]:
        """The fronts of a zone that hold a stream."""
        return [node for node in self.live() if node.zone == zone and node in self.service.streams]
