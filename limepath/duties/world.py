"""Many instances in virtual time: one seed, one history. The logic is that of the real program, the network
is not.

Each instance has a clock of its own (offset, drift) and a store that outlives it. The network delays, loses,
doubles and reorders by chance, and is cut by faults. What is counted is what the targets see and who holds
which lease.
"""

from heapq import heappop, heappush
from random import Random

import msgspec

from limepath.configuration.sharing_settings import DutyMode
from limepath.duties.instance import Instance
from limepath.duties.interface import (
    PersistEpochCeiling,
    ResultShared,
    ServeTarget,
    TargetServed,
    TargetsUpdated,
)
from limepath.membership.guard import HEADER_BYTES, SEAL_BYTES
from limepath.membership.interface import (
    REFUTATION_BITS,
    LeaveCompleted,
    LogEvent,
    MemberRecord,
    MessageReceived,
    SendMessage,
    YieldIdentity,
)

SAMPLED = 64  # one message in so many is encoded, for the bytes
PORT = 7946


class Network:
    """Loss, doubling and late ones are shares of one; `cuts` are pairs (from, to) of sets that don't get
    through.
    """

    def __init__(self, chance, loss=0.0, doubled=0.0, late=0.0):
        self.chance, self.loss, self.doubled, self.late, self.cuts = chance, loss, doubled, late, {}

    def ways(self, source, to):
        """The delays, in microseconds, after which copies of a message arrive."""
        for one, other in self.cuts.values():
            if source in one and to in other:
                return ()
        draw = self.chance.random
        if self.loss and draw() < self.loss:
            return ()
        delay = 300 + int(draw() * 1500)
        if self.late and draw() < self.late:
            delay += int(draw() * 400_000)
        if self.doubled and draw() < self.doubled:
            return delay, delay + int(draw() * 300_000)
        return (delay,)


class Node:
    """One instance, its clock and its store."""

    def __init__(self, world, index):
        self.world, self.index, self.name = world, index, f"n{index}"
        self.offset, self.rate = world.chance.randrange(10**12), 1 + world.chance.uniform(-1, 1) * world.drift
        self.store = {"token": world.chance.getrandbits(63), "life": 0, "ceiling": 0, "sure": False}
        self.instance, self.paused, self.queue, self.wake_at, self.gave_way = None, False, [], None, None
        self.holding = {}

    def clock(self):
        return self.offset + int(self.world.now * self.rate)

    def world_time(self, own):
        return int((own - self.offset) / self.rate) + 1

    def start(self, seeds):
        world = self.world
        self.store["life"] += 1
        me = MemberRecord(
            self.store["token"],
            self.name,
            str(self.index),
            PORT,
            self.store["life"] << REFUTATION_BITS,
            world.now + world.wall_step,
        )
        self.instance = Instance(
            me,
            seeds,
            world.spans,
            world.plans,
            world.leasing,
            world.chance.getrandbits(32),
            self.store["ceiling"],
            self.store["sure"],
        )
        self.queue, self.paused, self.wake_at = [], False, None
        return me

    def begin(self):
        self.carry(self.instance.start(self.clock()))
        self.hear([TargetsUpdated(duty, tuple(self.world.targets)) for duty in range(len(self.world.plans))])

    def stop(self):
        self.instance, self.queue, self.wake_at = None, [], None
        self.note_leases({})

    def lose_store(self):
        self.store = {"token": self.world.chance.getrandbits(63), "life": 0, "ceiling": 0, "sure": False}

    def hear(self, notes):
        if self.paused:
            self.queue += notes
        elif self.instance:
            self.carry(self.instance.handle(self.clock(), notes))

    def resume(self):
        self.paused = False
        notes, self.queue = self.queue[-2000:], []  # what a socket's buffer holds
        self.hear(notes)

    def carry(self, orders):
        world, me = self.world, self.instance.members.me
        for order in orders:
            if isinstance(order, SendMessage):
                world.send(self, me, order)
            elif isinstance(order, ServeTarget):
                world.serve(self, order)
            elif isinstance(order, PersistEpochCeiling):
                self.store |= {"ceiling": order.ceiling, "sure": True}
            elif isinstance(order, ResultShared):
                world.shared(self, order.result)
            elif isinstance(order, LogEvent):
                world.said(order)
            elif isinstance(order, YieldIdentity):
                self.gave_way = order.why
                world.gave_way.append((world.now, self.index, order.why))
                return self.stop()
            elif isinstance(order, LeaveCompleted):
                return self.stop()
        if world.leased:
            self.note_leases(
                {
                    key: self.world_time(lease.until)
                    for key, lease in self.instance.leases.held.items()
                    if lease.until > self.clock()
                }
            )
        if (due := self.instance.next()) is not None:
            due = max(world.now + 1, self.world_time(due))
            if self.wake_at is None or due < self.wake_at or self.wake_at <= world.now:
                self.wake_at = due
                world.at(due, self.wake, due)

    def wake(self, due):
        if self.wake_at == due and self.instance and not self.paused:
            self.wake_at = None
            self.carry(self.instance.handle(self.clock(), ()))

    def note_leases(self, holding):
        world = self.world
        for key, until in holding.items():
            for other, theirs in world.holders.get(key, {}).items():
                if other != self.index and theirs > world.now:
                    world.both_held.append((world.now, key, self.index, other))
            world.holders.setdefault(key, {})[self.index] = until
        for key in self.holding:
            if key not in holding:
                world.holders[key].pop(self.index, None)
        self.holding = holding


class World:
    def __init__(
        self, instances, targets, plans, spans, leasing, seed, loss=0.0, doubled=0.0, late=0.0, drift=1e-4
    ):
        self.chance, self.now, self.serial, self.calendar = Random(seed), 0, 0, []
        self.plans, self.spans, self.leasing, self.drift = plans, spans, leasing, drift
        self.leased = any(plan.mode == DutyMode.ONE_OWNER for plan in plans)
        self.network = Network(Random(seed + 1), loss, doubled, late)
        self.wall_step = 0
        self.targets, self.gone = {target: 0 for target in range(1, targets + 1)}, {}
        self.born, self.false_deaths = dict(self.targets), []
        self.nodes = [Node(self, index) for index in range(instances)]
        self.serves, self.holders, self.both_held, self.turned_away = {}, {}, [], 0
        self.gave_way, self.messages, self.bytes, self.sampled, self.after_gone = [], 0, 0, 0, 0
        self.encoder = msgspec.msgpack.Encoder()
        self.epochs = {}

    def at(self, when, call, *said):
        self.serial += 1
        heappush(self.calendar, (when, self.serial, call, said))

    def run(self, until):
        while self.calendar and self.calendar[0][0] <= until:
            self.now, _, call, said = heappop(self.calendar)
            call(*said)
        self.now = until

    def open(self, preset):
        """Start all; `preset`: each knows all others, as after a quiet time."""
        seeds = [(str(index), PORT) for index in range(min(3, len(self.nodes)))]
        known = [node.start(seeds) for node in self.nodes]
        if preset:
            for node in self.nodes:
                node.instance.set_out([news for news in known if news.name != node.name])
        for node in self.nodes:
            node.begin()

    def restart(self, index):
        node = self.nodes[index]
        node.start(
            [(str(seed), PORT) for seed in range(min(3, len(self.nodes))) if seed != index] or [("0", PORT)]
        )
        node.begin()

    def said(self, order):
        """A death is false where that instance runs, in that very life."""
        if order.event == "peer-dead":
            node = self.nodes[int(order.fields["peer"][1:])]
            if (
                node.instance
                and not node.paused
                and node.store["life"] == order.fields["incarnation"] >> REFUTATION_BITS
                and (not self.network.cuts)
            ):
                self.false_deaths.append((self.now, node.index))

    def send(self, node, me, order):
        self.messages += 1
        to = int(order.host)
        if self.messages % SAMPLED == 0:
            self.sampled += 1
            self.bytes += (
                len(self.encoder.encode((me, order.to, self.messages, order.message)))
                + HEADER_BYTES
                + SEAL_BYTES
            )
        for delay in self.network.ways(node.index, to):
            self.at(self.now + delay, self.arrive, to, MessageReceived(me, order.to, order.message))

    def arrive(self, to, note):
        if self.nodes[to].instance:
            self.nodes[to].hear([note])

    def serve(self, node, order):
        """What the target sees; it turns an older epoch away."""
        key = order.duty, order.target
        if order.target not in self.targets:
            self.after_gone += self.now - self.gone[order.target] > 500_000
            return
        if order.epoch:
            if order.epoch < self.epochs.get(key, 0):
                self.turned_away += 1
                return
            self.epochs[key] = order.epoch
        self.serves.setdefault(key, []).append((self.now, node.index))
        self.at(self.now + 800, self.answered, node, node.instance, order)

    def shared(self, node, result):
        """Another's result has come to this node; worlds with fronts hand it on."""

    def answered(self, node, instance, order):
        if node.instance is instance:
            node.hear([TargetServed(order.duty, order.target, 0, 800, {"util": 0.5})])

    def replace_targets(self, gone, come):
        """The list changes; each instance learns of it within 200 ms."""
        for target in gone:
            self.gone[target] = self.now
            del self.targets[target]
        for target in come:
            self.targets[target] = self.born[target] = self.now
        now_all = tuple(self.targets)
        for node in self.nodes:
            self.at(
                self.now + int(self.chance.random() * 200_000),
                node.hear,
                [TargetsUpdated(duty, now_all) for duty in range(len(self.plans))],
            )

    def views_agree(self):
        """Whether all that live see exactly those that live."""
        live = {node.store["token"] for node in self.nodes if node.instance and not node.paused}
        return all(
            set(node.instance.members.ring) | {node.store["token"]} == live
            for node in self.nodes
            if node.instance and not node.paused
        )
