"""A fleet in trees in virtual time: fronts in regions, zones and sites, the list service, the network.

Who lives is not computed: all fronts see the same live view, from which one that is killed or stopped goes
DETECTED later. A front's bytes are those of its datagrams as they would be sealed.
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
ENVELOPE = HEADER_BYTES + SEAL_BYTES
SAMPLED = 16  # one message in so many of a kind is coded, for its bytes; events are always
PORT = 7946


class Plan(NamedTuple):
    """The fleet, and what happens to it. `cut` is for how long two regions lose each other."""

    fronts: int = 100
    regions: int = 2
    zones: int = 4
    sites: int = 16
    rate: float = 36.0
    span: int = 20 * SECOND
    loss: float = 0.0
    faults: tuple = ()
    cut: int = 180 * SECOND
    broken: str = ""
    caches: int = 40


OLDER_FIELDS = {
    ScopeAnnouncement: 2,
    Subscribe: 3,
    Heartbeat: 7,
}  # of messages that an older program knows, where fewer
NEWER = (EventBatch, ScopeQuery, ScopeReport, PageChunkRequest, PageChunk)  # that it does not know


def as_older(message: msgspec.Struct) -> msgspec.Struct | None:
    """What an older program sends or reads of a message; None for one that it drops."""
    if isinstance(message, NEWER):
        return None
    fields = OLDER_FIELDS.get(type(message))
    return message if fields is None else type(message)(*msgspec.structs.astuple(message)[:fields])


class Front:
    """One front: its logic, its stream, what it sent."""

    def __init__(self, world: World, index: int) -> None:
        plan = world.plan
        self.world = world
        self.index = index
        self.token = world.chance.getrandbits(63)
        site = index % plan.sites
        self.zone = f"z{site % plan.zones}"
        self.site = f"site{site}"
        self.region = site % plan.zones % plan.regions
        self.me = MemberRecord(self.token, f"n{index}", "127.0.0.1", PORT, 1 << REFUTATION_BITS, 0)
        self.logic: DiscoveryEngine | None = None  # None while it does not run
        self.paused: bool = False
        self.queue: list[Any] = []  # events that came while it was stopped
        self.wake_at: int | None = None  # the timer that is set
        self.serial: int = 0  # of the current call to the service
        self.older: bool = False  # it runs an older program
        self.delay: int = 0  # added to what it sends, in microseconds
        self.front: int = 0  # the last event applied
        self.applied_at: dict[int, int] = {}  # when, by number
        self.stale: list[tuple[int, bool]] = []  # when its list became stale or fresh
        self.fetched: int = 0  # whole lists before the current fault
        self.bytes: int = 0  # sent
        self.datagrams: int = 0  # sent
        self.most_bytes: int = 0  # sent in one second
        self.second = 0
        self.second_bytes = 0
        self.most_children = 0

    def start(self) -> None:
        """Start with nothing."""
        world = self.world
        site = "" if self.older else self.site
        terms = world.terms._replace(zone=self.zone, site=site, region=f"r{self.region}")
        self.logic = DiscoveryEngine(
            self.token, terms, world.chance.getrandbits(32), lambda: world.seen_by(self)
        )
        self.execute(self.logic.start(world.now))

    def kill(self) -> None:
        """Die at once."""
        self.logic = None
        self.serial = self.serial + 1
        self.world.service.streams.pop(self, None)

    def restart(self) -> None:
        """Start again with nothing."""
        self.world.alive[self.token] = None
        self.front = 0
        self.wake_at = None
        self.queue = []
        self.start()

    def resume(self) -> None:
        """Go on after a stop, with what was queued meanwhile."""
        self.paused = False
        events = self.queue[-2000:]
        self.queue = []
        self.handle_events(events)

    def handle_events(self, events: Iterable[Any]) -> None:
        """Hand events to the logic; a stopped process takes them in later."""
        if self.paused:
            self.queue += events
        elif self.logic:
            self.execute(self.logic.handle(self.world.now, events))

    def execute(self, commands: Iterable[Any]) -> None:
        """Carry out the commands of the logic."""
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
        """How many subscribers it sends events to."""
        return len(self.logic.tree_subscribers.event_subscribers())

    def wake(self, due: int) -> None:
        """Do what is due."""
        if self.wake_at == due and self.logic and not self.paused:
            self.wake_at = None
            self.execute(self.logic.handle(self.world.now))

    def record_applied(self, event: dict[str, Any]) -> None:
        """An event was applied to the front."""
        self.front = event["seq"]
        if "complete" not in event.get("fleet", {}):
            self.applied_at.setdefault(event["seq"], self.world.now)

    def sent(self, size: int) -> None:
        """Count a datagram that was sent."""
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

    def __init__(self, plan: Plan, seed: int, terms: DiscoverySettings | None = None) -> None:
        self.plan = plan
        self.chance = Random(seed)
        self.now: int = 0  # microseconds
        self.order: int = 0  # of calls scheduled for one time
        self.schedule: list[tuple[int, int, Callable[..., object], tuple[Any, ...]]] = []
        self.terms = (terms or DiscoverySettings())._replace(fronts=plan.fronts)
        if plan.broken == "window":
            self.terms = self.terms._replace(window=10 * SECOND, window_bytes=10_000)
        self.network = Network(Random(seed + 1), plan.loss)
        self.cuts: set[tuple[int, int]] = set()  # pairs of regions
        self.service = Service(self, plan.caches)
        self.fronts = [Front(self, index) for index in range(plan.fronts)]
        self.by_token = {front.token: front for front in self.fronts}
        self.alive = {front.token: None for front in self.fronts}
        self.hidden: dict[int, set[int]] = {}  # tokens that a front takes for dead, by its index
        self.encoder = msgspec.msgpack.Encoder()
        self.sizes: dict[type, int] = {}  # the last size of a kind of message
        self.counted: dict[type, int] = {}  # messages of a kind

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

    def is_cut(self, one: int, other: int) -> bool:
        """Whether two regions are cut off from each other."""
        return (one, other) in self.cuts or (other, one) in self.cuts

    def seen_by(self, front: Front) -> list[int]:
        """The others that this front takes for alive; `hidden` names those that it lacks."""
        hidden = self.hidden.get(front.index, ())
        return [token for token in self.alive if token != front.token and token not in hidden]

    def lose(self, front: Front) -> None:
        """It is gone from all views."""
        if not front.logic or front.paused:
            self.alive.pop(front.token, None)

    def send(self, front: Front, command: Any) -> None:
        """Send a message over the network."""
        to, message = self.by_token[command.token], command.message
        if front.older or to.older:
            message = as_older(message)
        front.sent(self.size(front, command.message))
        if self.is_cut(front.region, to.region) or message is None:
            return
        for delay in self.network.delays(front.index, to.index):
            event = PeerMessage(front.token, message)
            self.at(self.now + delay + front.delay, to.handle_events, (event,))

    def size(self, front: Front, message: msgspec.Struct) -> int:
        """The bytes of a message as it would be sealed."""
        kind = type(message)
        self.counted[kind] = self.counted.get(kind, 0) + 1
        if kind is EventBatch or kind not in self.sizes or self.counted[kind] % SAMPLED == 0:
            self.sizes[kind] = len(self.encoder.encode((front.me, 1, self.order, message))) + ENVELOPE
        return self.sizes[kind]

    def running(self) -> list[Front]:
        """The fronts that run and are not stopped."""
        return [front for front in self.fronts if front.logic and not front.paused]

    def is_complete(self) -> bool:
        """Whether all that run have the service's last event."""
        newest = len(self.service.events)
        return all(front.front == newest for front in self.running())

    def busiest(self, wanted: Callable[[Front], bool] = lambda front: True) -> Front:
        """The front with the most children, among those wanted."""
        those = [front for front in self.running() if wanted(front)]
        return max(
            those, key=lambda front: (len(front.logic.tree_subscribers.event_subscribers()), -front.index)
        )
