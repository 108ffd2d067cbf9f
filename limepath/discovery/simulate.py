"""A cold start and a day of the list in virtual time: hundreds of fronts, one list service, the logic of the
real program.

The same seed gives the same table. `alone`: each front calls as the program without relays does (pauses that
double from 0.1 to 0.6 s), for comparison.
"""

import gc
import json
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from limepath.configuration.sharing_settings import DiscoverySettings, MembershipTimeouts
from limepath.discovery.bounds import bounds
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
    StreamActive,
    StreamClosed,
    StreamEventReceived,
    StreamOpened,
)
from limepath.duties.world import Network
from limepath.membership.interface import (
    REFUTATION_BITS,
    MemberRecord,
    MessageReceived,
    MessageRelayed,
    SendMessage,
)
from limepath.membership.members import Members
from limepath.report_table import Row, at_most, seconds

SECOND, MS = 1_000_000, 1000
PORT = 7946
KINDS = ("relays-killed", "relays-stopped", "service-still", "service-down", "restored", "cut-off")


def member(name, phase="in_service"):
    return {
        "id": name,
        "host_port": "127.0.0.1:9001",
        "locality": "z0",
        "flavor": "box",
        "phase": phase,
        "up_since_ms": 0,
        "cell": 0,
        "size": 6,
    }


class Service:
    """The list service: `mode` is up, down (refuses), silent (accepts and says nothing) or still (says
    nothing more).
    """

    def __init__(self, world, caches):
        self.world = world
        self.mode = "up"
        self.events = []
        self.streams = {}
        self.calls = []
        self.most_streams = {}
        self.told_at = {}
        self.add(
            {"fleet": {"complete": True, "revision": 1, "members": [member(f"s-{i}") for i in range(caches)]}}
        )

    def add(self, told):
        number = len(self.events) + 1
        self.events.append(json.dumps({"seq": number} | told))
        self.told_at[self.world.epoch, number] = self.world.now
        if self.mode == "up":
            for node, serial in list(self.streams.items()):
                self.say(node, serial, StreamEventReceived(self.events[-1], str(number)))

    def say(self, node, serial, *notes):
        self.world.at(self.world.now + 500, self.arrive, node, serial, notes)

    def arrive(self, node, serial, notes):
        if node.serial == serial:
            node.hear(notes)

    def call(self, node, after):
        self.calls.append(self.world.now)
        if self.mode == "down":
            return self.say(node, node.serial, StreamClosed("refused"))
        self.streams[node] = node.serial
        zone = node.zone
        self.most_streams[zone] = max(
            self.most_streams.get(zone, 0), sum(one.zone == zone for one in self.streams)
        )
        if self.mode == "up":
            self.greet(node, after)

    def greet(self, node, after):
        self.say(node, node.serial, StreamOpened())
        for number in range(after, len(self.events)):
            self.say(node, node.serial, StreamEventReceived(self.events[number], str(number + 1)))
        self.say(node, node.serial, StreamActive())

    def comment(self):
        if self.mode == "up":
            for node, serial in self.streams.items():
                self.say(node, serial, StreamActive())
        self.world.at(self.world.now + SECOND, self.comment)

    def turn(self, mode):
        self.mode = mode
        if mode == "down":
            for node, serial in list(self.streams.items()):
                self.say(node, serial, StreamClosed("ended"))
            self.streams = {}

    def restored(self, number):
        """An older state: numbers run backwards, its streams end."""
        self.turn("down")
        self.world.epoch += 1
        del self.events[number:]
        self.mode = "up"


class Node:
    def __init__(self, world, index):
        self.world = world
        self.index = index
        self.zone = f"z{index % world.zones}"
        self.token = world.chance.getrandbits(63)
        self.life = 0
        self.serial = 0
        self.members = None
        self.logic = None
        self.wake_at = None
        self.saved = None
        self.paused = False
        self.queue = []
        self.front = 0
        self.ready_at = None

    def start(self, seeds):
        world = self.world
        self.life += 1
        me = MemberRecord(
            self.token, f"n{self.index}", str(self.index), PORT, self.life << REFUTATION_BITS, world.now
        )
        self.members = Members(me, seeds, world.spans, world.chance.getrandbits(32))
        self.wake_at = None
        self.paused = False
        self.queue = []
        self.ready_at = None
        self.front = 0
        self.born = world.now
        terms = world.terms._replace(zone=self.zone)
        kind = Lone if world.alone else DiscoveryEngine
        self.logic = kind(
            self.token, terms, world.chance.getrandbits(32), lambda: self.members.ring, self.saved
        )
        self.carry(self.members.start(world.now))
        self.carry(self.logic.start(world.now))

    def stop(self):
        self.members = None
        self.logic = None
        self.serial += 1
        self.world.service.streams.pop(self, None)

    def hear(self, notes):
        if self.paused:
            self.queue += notes
        elif self.logic:
            self.carry(self.logic.handle(self.world.now, notes))

    def heard(self, note):
        if self.paused:
            self.queue.append(note)
        elif self.members:
            self.carry(self.members.handle(self.world.now, [note]))

    def resume(self):
        self.paused = False
        notes = self.queue[-2000:]
        self.queue = []
        for note in notes:
            self.heard(note) if isinstance(note, MessageReceived) else self.hear([note])
        self.wake(self.wake_at)

    def carry(self, orders):
        world = self.world
        for order in orders:
            if isinstance(order, SendMessage):
                world.send(self, order)
            elif isinstance(order, MessageRelayed):
                self.hear([PeerMessage(order.sender.token, order.message)])
            elif isinstance(order, SendToMember):
                self.members.reach(order.token, order.message)
            elif isinstance(order, OpenStream):
                self.serial += 1
                world.service.call(self, order.after)
            elif isinstance(order, CloseStream):
                self.serial += 1
                world.service.streams.pop(self, None)
            elif isinstance(order, ApplyEvent):
                self.front = order.event["seq"]
                world.took(self, order.event)
            elif isinstance(order, ListConfirmed):
                self.ready_at = world.now
            elif isinstance(order, SaveSnapshot):
                self.saved = order.data
        if not self.members:
            return
        if self.members.timers.commands:
            return self.carry(self.members.timers.take_commands())
        dues = [due for due in (self.members.next(), self.logic.next()) if due is not None]
        if dues and (self.wake_at is None or min(dues) < self.wake_at or self.wake_at <= world.now):
            self.wake_at = max(world.now + 1, min(dues))
            world.at(self.wake_at, self.wake, self.wake_at)

    def wake(self, due):
        if self.wake_at == due and self.members and not self.paused:
            self.wake_at = None
            self.carry(self.members.handle(self.world.now, ()))
            if self.logic:
                self.carry(self.logic.handle(self.world.now))


class Lone:
    """A front as it is without relays: it calls when it has no stream, after a pause that doubles."""

    def __init__(self, me, terms, seed, live, saved):
        self.chance = Random(seed)
        self.now = 0
        self.due = None
        self.pauses = 0
        self.up = False
        self.number = 0

    def start(self, now):
        return [OpenStream(0)]

    def handle(self, now, notes=()):
        orders = []
        for note in notes:
            if isinstance(note, StreamEventReceived):
                told = json.loads(note.text)
                if told["seq"] > self.number:
                    orders += [ApplyEvent(told)] + (
                        [] if self.number else [ListConfirmed((0, told["seq"]), 0)]
                    )
                    self.number = told["seq"]
                    self.pauses = 0
            elif isinstance(note, (StreamClosed, ServiceMoved)):
                pause = min(600 * MS, 100 * MS << min(10, self.pauses))
                self.pauses = self.pauses + 1
                self.due = now + int(pause * (0.5 + self.chance.random()))
        if self.due is not None and now >= self.due:
            self.due = None
            orders.append(OpenStream(self.number))
        return orders

    def next(self):
        return self.due


class World:
    def __init__(self, fronts, zones, seed, terms, loss, alone, caches, spans):
        self.chance = Random(seed)
        self.now = 0
        self.order = 0
        self.calendar = []
        self.zones = zones
        self.alone = alone
        self.spans = spans
        self.epoch = 0
        self.messages = 0
        self.list_messages = 0
        self.terms = terms
        self.network = Network(Random(seed + 1), loss)
        self.service = Service(self, caches)
        self.lates = []
        self.wrong = 0
        self.nodes = [Node(self, index) for index in range(fronts)]

    def at(self, when, call, *said):
        self.order += 1
        heappush(self.calendar, (when, self.order, call, said))

    def run(self, until):
        while self.calendar and self.calendar[0][0] <= until:
            self.now, _, call, said = heappop(self.calendar)
            call(*said)
        self.now = until

    def send(self, node, order):
        self.messages += 1
        self.list_messages += isinstance(order.message, MESSAGES)
        to = self.nodes[int(order.host)]
        for delay in self.network.ways(node.index, to.index):
            self.at(self.now + delay, to.heard, MessageReceived(node.members.me, order.to, order.message))

    def took(self, node, told):
        """An event has reached a front that was ready before: how late."""
        number = told["seq"]
        if node.ready_at is not None and "complete" not in told.get("fleet", {}):
            self.lates.append(
                (self.now - self.service.told_at[self.epoch, number], number, node.index)
                if (self.epoch, number) in self.service.told_at
                else (0, number, node.index)
            )

    def seeds(self, index):
        return [(str(seed), PORT) for seed in range(min(3, len(self.nodes))) if seed != index]

    def live(self):
        return [node for node in self.nodes if node.logic and not node.paused]

    def relays(self, zone):
        return [node for node in self.live() if node.zone == zone and node in self.service.streams]


class Found(NamedTuple):
    rows: list
    said: list
    world: World


def most_in(times, span):
    """The most of sorted times that fall into any one span.

    >>> most_in([0, 5, 9, 10, 30], 10)
    4
    """
    most, at = 0, 0
    for index, time in enumerate(times):
        while times[at] < time - span:
            at += 1
        most = max(most, index - at + 1)
    return most


def simulated(
    fronts=200,
    zones=2,
    seed=1,
    down=12 * SECOND,
    loss=0.0,
    alone=False,
    kinds=(),
    caches=40,
    terms=None,
    spans=MembershipTimeouts(),
    saved=0.0,
):
    """All start at once with the list service refusing for `down`; then faults one after another. `saved`:
    the share of fronts that hold a saved list. Give its Found.
    """
    terms = terms or DiscoverySettings(fronts=fronts)
    world = World(fronts, zones, seed, terms, loss, alone, caches, spans)
    bound, service, said = bounds(terms, fronts, zones), world.service, []
    world.at(SECOND // 2, service.comment)
    if saved:
        _save_lists(world, saved)
    service.turn("down")
    for node in world.nodes:
        world.at(world.chance.randrange(200 * MS), node.start, world.seeds(node.index))
    world.at(down, service.turn, "up")
    collecting = gc.isenabled()
    gc.disable()
    try:
        world.run(down)
        while world.now < down + 60 * SECOND and any(node.ready_at is None for node in world.nodes):
            world.run(world.now + 100 * MS)
        ready = sorted((node.ready_at or world.now) - down for node in world.nodes)
        world.run(world.now + 2 * terms.beat)  # each follows its relays by then
        tell(world, 5)
        world.run(world.now + 5 * SECOND)
        worst = [late for late, _, _ in world.lates]
        rows = [
            Row("fronts", fronts),
            Row("zones", zones),
            Row("ready after the service's return, median, s", seconds(ready[len(ready) // 2])),
            Row("the same, 95%, s", seconds(ready[len(ready) * 95 // 100])),
            at_most("the same, all, s", seconds(ready[-1]), seconds(bound.ready)),
            at_most(
                "an event at the last front, nothing failing, s",
                seconds(max(worst, default=0)),
                seconds(bound.event if not loss else bound.repaired + 8 * terms.beat),
            ),
        ]
        for kind in kinds:
            rows.append(failing(world, kind, bound, said))
        behind = [node.index for node in world.live() if node.front != len(service.events)]
    finally:
        if collecting:
            gc.enable()
    calls, most = sorted(service.calls), max(service.most_streams.values(), default=0)
    rows += [
        at_most("most calls at the list service in a second", most_in(calls, SECOND), int(terms.rate)),
        at_most("most calls in 100 ms", most_in(calls, SECOND // 10), int(terms.rate) // 2),
        Row("most streams of one zone", most, bound.streams, most <= bound.streams)
        if not loss
        else Row("most streams of one zone (fronts that heard of nobody among them)", most),
        at_most("fronts without the newest event at the end", len(behind), 0),
        Row(
            "messages of the list per front and second",
            round(world.list_messages / fronts / world.now * 1e6, 2),
        ),
        Row("all messages per front and second", round(world.messages / fronts / world.now * 1e6, 2)),
    ]
    return Found(rows, said, world)


def _save_lists(world, share):
    """Some fronts hold lists of another day, at different numbers."""
    from limepath.discovery.endpoint_list import EndpointList
    from limepath.discovery.event_checks import parse_event

    for _ in range(8):
        world.service.add({"fleet": {"revision": 2, "members": [member(f"s-{world.chance.randrange(40)}")]}})
    for node in world.nodes:
        if world.chance.random() < share:
            held = EndpointList()
            for text in world.service.events[: world.chance.randrange(1, 9)]:
                held.apply(parse_event(text))
            node.saved = held.pack()


def tell(world, count):
    """So many events, 200 ms apart: drains and purges."""
    for step in range(count):
        name = f"s-{world.chance.randrange(40)}"
        told = (
            {"invalidate": {"bucket": step, "time": 0}}
            if step % 2
            else {"fleet": {"revision": 3, "members": [member(name, "terminating")]}}
        )
        world.at(world.now + step * 200 * MS, world.service.add, told)


def failing(world, kind, bound, said):
    """Cause one fault, tell an event in that very moment, and give the row on how late it came."""
    service, since = world.service, world.now
    zone = world.chance.choice(sorted({node.zone for node in world.nodes}))
    relays = world.relays(zone)
    count = len(service.events)
    world.lates = []
    limit, back = bound.relays_lost, None
    if kind == "relays-killed":
        for node in relays:
            node.stop()
            world.at(since + 20 * SECOND, node.start, world.seeds(node.index))
    elif kind == "relays-stopped":
        for node in relays:
            node.paused = True
            world.at(since + 20 * SECOND, node.resume)
    elif kind in ("service-still", "service-down"):
        service.turn("still" if kind == "service-still" else "down")
        back = since + 6 * SECOND
        world.at(back, _again, service)
        limit = 6 * SECOND + bound.stream_still
    elif kind == "restored":
        service.restored(max(1, count - 2))
        limit = bound.restored
    elif kind == "cut-off":  # one that follows is cut off from all others, not from the service
        node = world.chance.choice(
            [node for node in world.live() if node not in relays and node.zone == zone]
        )
        alone, others = frozenset((node.index,)), frozenset(range(len(world.nodes))) - {node.index}
        world.network.cuts[kind] = alone, others
        world.network.cuts[kind, 1] = others, alone
        world.at(since + 40 * SECOND, world.network.cuts.clear)
        limit = bound.alone
    service.add({"invalidate": {"bucket": 900 + len(said), "time": 0}})
    wanted = len(service.events)
    last = None
    while world.now < since + limit + 30 * SECOND:
        world.run(world.now + 50 * MS)
        if all(node.front == wanted and node.ready_at for node in world.live()):
            last = world.now
            break
    world.run(max(world.now, since + 45 * SECOND))
    said.append(f"at {since / 1e6:.1f} s  {kind} in {zone}, {len(relays)} streams there")
    late = (last or world.now) - since
    return at_most(f"{kind}: an event told then, at the last living front, s", seconds(late), seconds(limit))


def _again(service):
    streams = service.streams
    service.streams = {}
    service.turn("up")
    for node, serial in streams.items():  # what stood still is of no use any more
        service.say(node, serial, StreamClosed("ended"))
