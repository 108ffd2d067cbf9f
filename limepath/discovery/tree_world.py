"""Simulates a fleet in the tree topology in virtual time: fronts at sites, the list service and the network.

Membership is not simulated: all fronts have the same live view, from which a front that is killed or stopped
is removed after `simulate_tree.DETECTION_DELAY`. The bytes of a front are those of its datagrams, including
envelope and seal.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from random import Random
from typing import Any, NamedTuple

import msgspec

from limepath.configuration.sharing_settings import DiscoverySettings
from limepath.discovery.engine import DiscoveryEngine
from limepath.discovery.interface import (
    ApplyEvent,
    CloseStream,
    EventBatch,
    Heartbeat,
    ListFreshnessChanged,
    OpenStream,
    PageChunk,
    PageChunkRequest,
    PeerMessage,
    ScopeAnnouncement,
    ScopeQuery,
    ScopeReport,
    SendToMember,
    Subscribe,
)
from limepath.discovery.tree_service import Service
from limepath.duties.world import Network
from limepath.membership.guard import HEADER_BYTES, SEAL_BYTES
from limepath.membership.interface import REFUTATION_BITS, MemberRecord

SECOND, MS = 1_000_000, 1000
SEAL_OVERHEAD_BYTES = HEADER_BYTES + SEAL_BYTES  # per datagram
SIZE_SAMPLE_INTERVAL = 16  # messages of a type per one that is encoded for its size; batches always are
PORT = 7946


class Plan(NamedTuple):
    """The parameters of a run: the size of the fleet and the faults."""

    fronts: int = 100
    regions: int = 2
    zones: int = 4
    sites: int = 16
    rate: float = 36.0  # purges per second
    span: int = 20 * SECOND  # of the measurement without faults
    loss: float = 0.0  # share of datagrams that are lost
    faults: tuple = ()  # kinds, in the order in which they are injected
    cut: int = 180 * SECOND  # duration of a partition between two regions
    broken: str = ""  # the limit that is broken on purpose, if any
    caches: int = 40


OLDER_FIELDS = {
    ScopeAnnouncement: 2,
    Subscribe: 3,
    Heartbeat: 7,
}  # number of the fields that an older version of the program knows, by type of message
NEWER_MESSAGES = (EventBatch, ScopeQuery, ScopeReport, PageChunkRequest, PageChunk)  # unknown to it


def as_older(message: msgspec.Struct) -> msgspec.Struct | None:
    """Reduce a message to the fields that an older version knows; None if it does not know the message."""
    if isinstance(message, NEWER_MESSAGES):
        return None
    fields = OLDER_FIELDS.get(type(message))
    return message if fields is None else type(message)(*msgspec.structs.astuple(message)[:fields])


class Front:
    """One front: its logic, its stream, and statistics of its traffic."""

    def __init__(self, world: World, index: int) -> None:
        plan = world.plan
        self.world = world
        self.index = index
        self.token = world.random.getrandbits(63)
        site = index % plan.sites
        self.zone = f"z{site % plan.zones}"
        self.site = f"site{site}"
        self.region = site % plan.zones % plan.regions
        self.me = MemberRecord(self.token, f"n{index}", "127.0.0.1", PORT, 1 << REFUTATION_BITS, 0)
        self.logic: DiscoveryEngine | None = None  # None while the front does not run
        self.paused: bool = False
        self.queue: list[Any] = []  # events received while paused
        self.wake_at: int | None = None  # time of the scheduled timer
        self.serial: int = 0  # number of the current call to the service
        self.older: bool = False  # whether the front runs an older version of the program
        self.delay: int = 0  # added to the delay of sent datagrams, in microseconds
        self.last_applied: int = 0  # number of the last event applied
        self.applied_at: dict[int, int] = {}  # the time when an event was applied, by number
        self.stale: list[tuple[int, bool]] = []  # times at which the list became stale (True) or fresh
        self.fetched: int = 0  # complete lists downloaded before the current fault
        self.bytes: int = 0  # sent
        self.datagrams: int = 0  # sent
        self.most_bytes: int = 0  # maximum sent in one second
        self.second = 0  # the current second
        self.second_bytes = 0  # sent in the current second
        self.most_children = 0

    def start(self) -> None:
        """Start without a saved list."""
        world = self.world
        site = "" if self.older else self.site
        settings = world.settings._replace(zone=self.zone, site=site, region=f"r{self.region}")
        self.logic = DiscoveryEngine(
            self.token, settings, world.random.getrandbits(32), lambda: world.seen_by(self)
        )
        self.execute(self.logic.start(world.now))

    def kill(self) -> None:
        """Stop as if the process were killed."""
        self.logic = None
        self.serial = self.serial + 1
        self.world.service.streams.pop(self, None)

    def restart(self) -> None:
        """Restart without a saved list."""
        self.world.alive[self.token] = None
        self.last_applied = 0
        self.wake_at = None
        self.queue = []
        self.start()

    def resume(self) -> None:
        """Continue after a pause with the last 2,000 queued events."""
        self.paused = False
        events = self.queue[-2000:]
        self.queue = []
        self.handle_events(events)

    def handle_events(self, events: Iterable[Any]) -> None:
        """Pass events to the logic, or queue them while paused."""
        if self.paused:
            self.queue += events
        elif self.logic:
            self.execute(self.logic.handle(self.world.now, events))

    def execute(self, commands: Iterable[Any]) -> None:
        """Execute the commands of the logic."""
        world = self.world
        for command in commands:
            if isinstance(command, SendToMember):
                world.send(self, command)
            elif isinstance(command, OpenStream):
                self.serial += 1
                world.service.call(self, command.after)
            elif isinstance(command, CloseStream):
                self.serial += 1
                world.service.streams.pop(self, None)
            elif isinstance(command, ApplyEvent):
                self.record_applied(command.event)
            elif isinstance(command, ListFreshnessChanged):
                self.stale.append((world.now, command.stale))
        self.most_children = max(self.most_children, self.count_children())
        due = self.logic.next()
        if due is not None and (self.wake_at is None or due < self.wake_at or self.wake_at <= world.now):
            self.wake_at = max(world.now + 1, due)
            world.at(self.wake_at, self.wake, self.wake_at)

    def count_children(self) -> int:
        """Return the number of subscribers that the front sends events to."""
        return len(self.logic.tree_subscribers.event_subscribers())

    def wake(self, due: int) -> None:
        """Run the logic at time `due`, unless the timer has been rescheduled."""
        if self.wake_at == due and self.logic and not self.paused:
            self.wake_at = None
            self.execute(self.logic.handle(self.world.now))

    def record_applied(self, event: dict[str, Any]) -> None:
        """Record that an event was applied to the front."""
        self.last_applied = event["seq"]
        if "complete" not in event.get("fleet", {}):
            self.applied_at.setdefault(event["seq"], self.world.now)

    def count_sent(self, size: int) -> None:
        """Count a sent datagram of `size` bytes."""
        second = self.world.now // SECOND
        if second != self.second:
            self.second = second
            self.second_bytes = 0
        self.second_bytes += size
        self.most_bytes = max(self.most_bytes, self.second_bytes)
        self.bytes += size
        self.datagrams += 1


class World:
    """The fleet, its network and its clock."""

    def __init__(self, plan: Plan, seed: int, settings: DiscoverySettings | None = None) -> None:
        self.plan = plan
        self.random = Random(seed)
        self.now: int = 0  # in microseconds
        self.order: int = 0  # sequence number of scheduled calls, which orders those for the same time
        self.schedule: list[tuple[int, int, Callable[..., object], tuple[Any, ...]]] = []
        self.settings = (settings or DiscoverySettings())._replace(fronts=plan.fronts)
        if plan.broken == "window":
            self.settings = self.settings._replace(window=10 * SECOND, window_bytes=10_000)
        self.network = Network(Random(seed + 1), plan.loss)
        self.cuts: set[tuple[int, int]] = set()  # pairs of regions that are cut off from each other
        self.service = Service(self, plan.caches)
        self.fronts = [Front(self, index) for index in range(plan.fronts)]
        self.by_token = {front.token: front for front in self.fronts}
        self.alive = {front.token: None for front in self.fronts}
        self.hidden: dict[int, set[int]] = {}  # tokens that are missing in a front's view, by its index
        self.encoder = msgspec.msgpack.Encoder()
        self.sizes: dict[type, int] = {}  # the last measured size of a type of message
        self.counted: dict[type, int] = {}  # number of messages of a type

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

    def is_cut(self, one: int, other: int) -> bool:
        """Return whether two regions are cut off from each other."""
        return (one, other) in self.cuts or (other, one) in self.cuts

    def seen_by(self, front: Front) -> list[int]:
        """Return the live view of a front, without the fronts that are `hidden` from it."""
        hidden = self.hidden.get(front.index, ())
        return [token for token in self.alive if token != front.token and token not in hidden]

    def remove_from_views(self, front: Front) -> None:
        """Remove a front that does not run from all live views."""
        if not front.logic or front.paused:
            self.alive.pop(front.token, None)

    def send(self, front: Front, command: Any) -> None:
        """Send a message over the network."""
        to, message = self.by_token[command.token], command.message
        if front.older or to.older:
            message = as_older(message)
        front.count_sent(self.size(front, command.message))
        if self.is_cut(front.region, to.region) or message is None:
            return
        for delay in self.network.delays(front.index, to.index):
            event = PeerMessage(front.token, message)
            self.at(self.now + delay + front.delay, to.handle_events, (event,))

    def size(self, front: Front, message: msgspec.Struct) -> int:
        """Return the size of a message with envelope and seal, which is estimated for most messages."""
        kind = type(message)
        self.counted[kind] = self.counted.get(kind, 0) + 1
        if kind is EventBatch or kind not in self.sizes or self.counted[kind] % SIZE_SAMPLE_INTERVAL == 0:
            self.sizes[kind] = (
                len(self.encoder.encode((front.me, 1, self.order, message))) + SEAL_OVERHEAD_BYTES
            )
        return self.sizes[kind]

    def running(self) -> list[Front]:
        """Return the fronts that run and are not paused."""
        return [front for front in self.fronts if front.logic and not front.paused]

    def is_complete(self) -> bool:
        """Return whether all running fronts have applied the service's last event."""
        newest = len(self.service.events)
        return all(front.last_applied == newest for front in self.running())

    def busiest(self, wanted: Callable[[Front], bool] = lambda front: True) -> Front:
        """Return the running front with the most children, among those that `wanted` selects."""
        candidates = [front for front in self.running() if wanted(front)]
        return max(
            candidates,
            key=lambda front: (len(front.logic.tree_subscribers.event_subscribers()), -front.index),
        )
