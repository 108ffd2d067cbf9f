"""Events to a fleet in trees, in virtual time: regions, zones and sites, events of the service at one rate,
faults while they flow, what each front sent.

The listing logic is that of the real program. Who lives is not: all fronts see the same live view, from which
one that is killed or stopped goes DETECTED later, so that hundreds of fronts take seconds (the membership has
a run of its own, `limepath duties simulate`). A front's bytes are those of its datagrams as they would be
sealed. The same seed gives the same figures.
"""

import json
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

import msgspec

from limepath.configuration.sharing_settings import DiscoverySettings
from limepath.discovery.bounds import HELPERS_PER_RELAY, tree_bounds
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
    StreamActive,
    StreamClosed,
    StreamEventReceived,
    StreamOpened,
    Subscribe,
)
from limepath.discovery.simulate import member, most_in
from limepath.duties.world import Network
from limepath.membership.guard import HEAD, SEAL
from limepath.membership.interface import REFUTATION_BITS, MemberRecord
from limepath.report_table import Row, at_most, seconds

SECOND, MS = 1_000_000, 1000
DETECTED = 6 * SECOND  # until a front that is killed or stopped is in no live view
COMMENT = SECOND  # between the service's signs of life
COLD = 20 * SECOND  # for a fleet that starts with nothing to be whole
SETTLE = 10 * SECOND  # of events, before anything is measured
SERVICE_REGION = 0
ENVELOPE = HEAD + SEAL
SAMPLED = 16  # one message in so many of a kind is coded, for its bytes; events are always
PORT = 7946
FAULTS = ("inner-killed", "inner-stopped", "root-killed", "inner-slow", "region-cut", "site-killed")
BROKEN = ("fan-out", "window")


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


def as_older(message):
    """What an older program sends or reads of a message; None for one that it drops."""
    if isinstance(message, NEWER):
        return None
    fields = OLDER_FIELDS.get(type(message))
    return message if fields is None else type(message)(*msgspec.structs.astuple(message)[:fields])


class Front:
    """One front: its logic, its stream, what it sent."""

    def __init__(self, world, index):
        plan = world.plan
        self.world = world
        self.index = index
        self.token = world.chance.getrandbits(63)
        site = index % plan.sites
        self.zone = f"z{site % plan.zones}"
        self.site = f"site{site}"
        self.region = site % plan.zones % plan.regions
        self.me = MemberRecord(self.token, f"n{index}", "127.0.0.1", PORT, 1 << REFUTATION_BITS, 0)
        self.logic = None
        self.paused = False
        self.queue = []
        self.wake_at = None
        self.serial = 0
        self.older = False
        self.delay = 0
        self.front = 0
        self.got = {}
        self.stale = []
        self.fetched = 0
        self.bytes = 0
        self.datagrams = 0
        self.most_bytes = 0
        self.second = 0
        self.second_bytes = 0
        self.readers_seen = 0

    def start(self):
        world = self.world
        site = "" if self.older else self.site
        terms = world.terms._replace(zone=self.zone, site=site, region=f"r{self.region}")
        self.logic = DiscoveryEngine(
            self.token, terms, world.chance.getrandbits(32), lambda: world.seen_by(self)
        )
        self.carry(self.logic.start(world.now))

    def kill(self):
        self.logic = None
        self.serial = self.serial + 1
        self.world.service.streams.pop(self, None)

    def restart(self):
        """Start again with nothing."""
        self.world.alive[self.token] = None
        self.front = 0
        self.wake_at = None
        self.queue = []
        self.start()

    def resume(self):
        self.paused = False
        notes = self.queue[-2000:]
        self.queue = []
        self.hear(notes)

    def hear(self, notes):
        if self.paused:
            self.queue += notes
        elif self.logic:
            self.carry(self.logic.handle(self.world.now, notes))

    def carry(self, orders):
        world = self.world
        for order in orders:
            if isinstance(order, SendToMember):
                world.send(self, order)
            elif isinstance(order, OpenStream):
                self.serial += 1
                world.service.call(self, order.after)
            elif isinstance(order, CloseStream):
                self.serial += 1
                world.service.streams.pop(self, None)
            elif isinstance(order, ApplyEvent):
                self.took(order.event)
            elif isinstance(order, ListFreshnessChanged):
                self.stale.append((world.now, order.stale))
        self.readers_seen = max(self.readers_seen, self.count_children())
        due = self.logic.next()
        if due is not None and (self.wake_at is None or due < self.wake_at or self.wake_at <= world.now):
            self.wake_at = max(world.now + 1, due)
            world.at(self.wake_at, self.wake, self.wake_at)

    def count_children(self):
        """How many subscribers it sends events to."""
        return len(self.logic.tree_subscribers.event_subscribers())

    def wake(self, due):
        if self.wake_at == due and self.logic and not self.paused:
            self.wake_at = None
            self.carry(self.logic.handle(self.world.now))

    def took(self, told):
        self.front = told["seq"]
        if "complete" not in told.get("fleet", {}):
            self.got.setdefault(told["seq"], self.world.now)

    def sent(self, size):
        second = self.world.now // SECOND
        if second != self.second:
            self.second = second
            self.second_bytes = 0
        self.second_bytes += size
        self.most_bytes = max(self.most_bytes, self.second_bytes)
        self.bytes += size
        self.datagrams += 1


class Service:
    """The list service; a stream of a region that is cut off from it stands still."""

    def __init__(self, world, caches):
        self.world = world
        self.streams = {}
        self.events = []
        self.told_at = {}
        self.calls = []
        self.most_streams = {}  # when; the most streams of a zone at once
        members = [member(f"s-{index}") for index in range(caches)]
        self.add({"fleet": {"complete": True, "revision": 1, "members": members}})

    def add(self, told):
        number = len(self.events) + 1
        self.events.append(json.dumps({"seq": number} | told))
        self.told_at[number] = self.world.now
        for front, serial in list(self.streams.items()):
            self.say(front, serial, StreamEventReceived(self.events[-1], str(number)))
        return number

    def say(self, front, serial, *notes):
        if not self.world.cut(front.region, SERVICE_REGION):
            self.world.at(self.world.now + 500, self.arrive, front, serial, notes)

    def arrive(self, front, serial, notes):
        if front.serial == serial:
            front.hear(notes)

    def call(self, front, after):
        self.calls.append(self.world.now)
        if self.world.cut(front.region, SERVICE_REGION):
            return self.world.at(
                self.world.now + 500 * MS, self.arrive, front, front.serial, (StreamClosed("no answer"),)
            )
        self.streams[front] = front.serial
        count = sum(one.zone == front.zone for one in self.streams)
        self.most_streams[front.zone] = max(count, self.most_streams.get(front.zone, 0))
        self.say(front, front.serial, StreamOpened())
        for number in range(after, len(self.events)):
            self.say(front, front.serial, StreamEventReceived(self.events[number], str(number + 1)))
        self.say(front, front.serial, StreamActive())

    def comment(self):
        for front, serial in self.streams.items():
            self.say(front, serial, StreamActive())
        self.world.at(self.world.now + COMMENT, self.comment)


class World:
    """The fleet, its network and its clock."""

    def __init__(self, plan, seed, terms=None):
        self.plan = plan
        self.chance = Random(seed)
        self.now = 0
        self.order = 0
        self.timers = []
        self.terms = (terms or DiscoverySettings())._replace(fronts=plan.fronts)
        if plan.broken == "window":
            self.terms = self.terms._replace(window=10 * SECOND, window_bytes=10_000)
        self.network = Network(Random(seed + 1), plan.loss)
        self.cuts = set()
        self.service = Service(self, plan.caches)
        self.gone = {}
        self.fronts = [Front(self, index) for index in range(plan.fronts)]
        self.by_token = {front.token: front for front in self.fronts}
        self.alive = {front.token: None for front in self.fronts}
        self.hidden = {}
        self.encoder = msgspec.msgpack.Encoder()
        self.sizes = {}
        self.counted = {}

    def at(self, when, call, *said):
        self.order += 1
        heappush(self.timers, (when, self.order, call, said))

    def run(self, until):
        while self.timers and self.timers[0][0] <= until:
            self.now, _, call, said = heappop(self.timers)
            call(*said)
        self.now = until

    def cut(self, one, other):
        return (one, other) in self.cuts or (other, one) in self.cuts

    def seen_by(self, front):
        """The others that this front takes for alive; `hidden` names those that it lacks."""
        hidden = self.hidden.get(front.index, ())
        return [token for token in self.alive if token != front.token and token not in hidden]

    def lose(self, front):
        """It is gone from all views."""
        if not front.logic or front.paused:
            self.alive.pop(front.token, None)

    def send(self, front, order):
        to, message = self.by_token[order.token], order.message
        if front.older or to.older:
            message = as_older(message)
        front.sent(self.size(front, order.message))
        if self.cut(front.region, to.region) or message is None:
            return
        for delay in self.network.ways(front.index, to.index):
            note = PeerMessage(front.token, message)
            self.at(self.now + delay + front.delay, to.hear, (note,))

    def size(self, front, message):
        kind = type(message)
        self.counted[kind] = self.counted.get(kind, 0) + 1
        if kind is EventBatch or kind not in self.sizes or self.counted[kind] % SAMPLED == 0:
            self.sizes[kind] = len(self.encoder.encode((front.me, 1, self.order, message))) + ENVELOPE
        return self.sizes[kind]

    def running(self):
        return [front for front in self.fronts if front.logic and not front.paused]

    def whole(self):
        """Whether all that run have the service's last event."""
        newest = len(self.service.events)
        return all(front.front == newest for front in self.running())

    def busiest(self, wanted=lambda front: True):
        """The front with the most children, among those wanted."""
        those = [front for front in self.running() if wanted(front)]
        return max(
            those, key=lambda front: (len(front.logic.tree_subscribers.event_subscribers()), -front.index)
        )


class Measured(NamedTuple):
    """What one run gives."""

    rows: list
    said: list
    world: World


def purge_every(world, interval, until):
    """Purges of objects at the plan's rate."""
    if world.now < until:
        target = f"{world.chance.getrandbits(64):016x}"
        world.service.add({"invalidate": {"object": target, "time": world.now // MS}})
        world.at(world.now + interval, purge_every, world, interval, until)


def is_inner(front):
    return not front.older and not front.logic.tree.position.is_root


def cause(world, kind):
    """Cause one fault; give (what it is called, who bears it, how to end it)."""
    if kind == "region-cut":
        world.cuts.add((SERVICE_REGION, 1))
        return f"regions {SERVICE_REGION} and 1", [], lambda: world.cuts.clear()
    if kind == "site-killed":
        site = world.chance.choice(world.running()).site
        those = [front for front in world.running() if front.site == site]
        for front in those:
            front.kill()
            world.at(world.now + DETECTED, world.lose, front)
        return site, those, lambda: [front.restart() for front in those]
    one = world.busiest((lambda front: not is_inner(front)) if kind == "root-killed" else is_inner)
    if kind == "inner-slow":
        one.delay = 5 * SECOND
        return one.me.name, [], lambda: setattr(one, "delay", 0)
    if kind == "inner-stopped":
        one.paused = True
        world.at(world.now + DETECTED, world.lose, one)

        def wake():
            world.alive[one.token] = None
            one.resume()

        return one.me.name, [one], wake
    one.kill()
    world.at(world.now + DETECTED, world.lose, one)
    return one.me.name, [one], one.restart


def lateness(world, fronts, first, last):
    """For each event told in a time, how late it was at each of these fronts; None where it is missing."""
    late, missing = [], 0
    for number, told in world.service.told_at.items():
        if not first <= told < last:
            continue
        for front in fronts:
            if number in front.got:
                late.append(front.got[number] - told)
            else:
                missing += 1
    return sorted(late), missing


def run_tree(plan, seed=1, terms=None, prepare=None):
    """Start a fleet with nothing, let events flow, cause the faults one after another; give Measured.
    `prepare(world)` changes the fleet before it starts.
    """
    world = World(plan, seed, terms)
    bound = tree_bounds(world.terms, plan.fronts, plan.zones, plan.sites)
    interval = int(SECOND / plan.rate)
    if plan.broken == "fan-out":
        world.terms = world.terms._replace(fan_out=plan.fronts)
    if prepare:
        prepare(world)
    world.at(SECOND // 2, world.service.comment)
    for front in world.fronts:
        world.at(world.chance.randrange(200 * MS), front.start)
    world.run(COLD)
    for _ in range(400):
        if world.whole():
            break
        world.run(world.now + 100 * MS)
    rows, said = [], []
    rows.append(at_most("a fleet that starts with nothing has the list, s", seconds(world.now), 60.0))
    ends = world.now + 3600 * SECOND
    world.at(world.now, purge_every, world, interval, ends)
    world.run(world.now + SETTLE)
    calm(world, plan, bound, rows)
    for kind in plan.faults:
        failing(world, kind, bound, rows, said)
    most = max(front.readers_seen for front in world.fronts)
    service = world.service
    rows += [
        at_most("most children of any front, ever", most, bound.children),
        at_most("most calls at the list service in a second", most_in(service.calls, SECOND),
                int(world.terms.rate)),
        at_most("most streams of one zone", max(service.most_streams.values()),
                world.terms.relays * (2 + HELPERS_PER_RELAY)),
    ]  # fmt: skip
    return Measured(rows, said, world)


def calm(world, plan, bound, rows):
    """Figures of the fleet while nothing but the loss of datagrams happens."""
    since = world.now
    for front in world.fronts:
        front.bytes = 0
        front.datagrams = 0
        front.most_bytes = 0
    world.run(since + plan.span)
    told_until = world.now
    sent = sorted(front.bytes * SECOND / plan.span for front in world.fronts)
    datagrams = max(front.datagrams for front in world.fronts) * SECOND / plan.span
    peak = max(front.most_bytes for front in world.fronts)
    world.run(world.now + bound.event + 8 * world.terms.beat)
    late, missing = lateness(world, world.running(), since, told_until)
    limit = bound.event if not plan.loss else bound.event + 8 * world.terms.beat
    rows += [
        Row("fronts", plan.fronts),
        Row("hops from a root to a front, at the most", max(f.logic.tree.hops for f in world.running())),
        Row("an event at half of the fronts, s", seconds(late[len(late) // 2])),
        Row("the same, 99%, s", seconds(late[len(late) * 99 // 100])),
        at_most("the same, all, s", seconds(late[-1]), seconds(limit)),
        at_most("events that a front never had", missing, 0),
        Row("bytes a second sent by a front, median", round(sent[len(sent) // 2])),
        at_most("the same, the busiest", round(sent[-1]), bound.calm_bytes(plan.rate)),
        Row("datagrams a second sent by the busiest", round(datagrams, 1)),
        at_most("bytes sent by any front in one second", peak, bound.max_bytes),
        Row("events that came twice, of all", doubled(world)),
    ]


def doubled(world):
    events = sum(len(front.got) for front in world.fronts)
    return round(sum(front.logic.counts["doubled"] for front in world.running()) / max(1, events), 4)


def failing(world, kind, bound, rows, said):
    """Cause one fault, go on, end it; rows on how late events were meanwhile and when all was whole again."""
    plan, since = world.plan, world.now
    for front in world.fronts:
        front.most_bytes = 0
        front.stale.clear()
        front.fetched = front.logic.counts["fetched"]
    name, bearers, end = cause(world, kind)
    said.append(f"at {since / SECOND:.1f} s  {kind}  {name}")
    span = plan.cut if kind == "region-cut" else 15 * SECOND
    world.run(since + span)
    end()
    whole = world.now
    fronts = [front for front in world.running() if front not in bearers]
    newest = len(world.service.events)
    while world.now < whole + 120 * SECOND and any(front.front < newest for front in world.running()):
        world.run(world.now + 50 * MS)
    if kind == "region-cut":
        cut_off(world, kind, since, whole, bound, rows)
    else:
        late, missing = lateness(world, fronts, since, since + 10 * SECOND)
        limit = bound.inner_lost if kind != "root-killed" else bound.root_lost
        rows += [
            at_most(f"{kind}: an event told then, at the last front, s", seconds(late[-1]), seconds(limit)),
            at_most(f"{kind}: events that a front never had", missing, 0),
        ]
        rows.append(
            at_most(
                f"{kind}: until all have all again, s", seconds(world.now - whole), seconds(bound.rejoined)
            )
        )
    peak = max(front.most_bytes for front in world.fronts)
    rows.append(at_most(f"{kind}: bytes sent by any front in one second", peak, bound.max_bytes))
    world.run(world.now + 15 * SECOND)


def cut_off(world, kind, since, whole, bound, rows):
    """The region that was cut off from the service: it knows, and it is whole again by events alone."""
    those = [front for front in world.running() if front.region == 1]
    knew = [next((at - since for at, late in front.stale if late), world.now) for front in those]
    fetched = sum(front.logic.counts["fetched"] - front.fetched for front in those)
    rows += [
        at_most(f"{kind}: until the last front there knows that it is late, s", seconds(max(knew)),
                seconds(bound.known_late)),
        at_most(f"{kind}: until all there are whole again, s", seconds(world.now - whole),
                seconds(bound.recovery_time(world.plan.rate, world.plan.cut))),
        at_most(f"{kind}: whole lists fetched there", fetched, 0),
        Row(f"{kind}: fronts there", len(those)),
    ]  # fmt: skip
