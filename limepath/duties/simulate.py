"""Days in virtual time: faults drawn by seed, the same table and verdict for the same seed."""

import gc
from bisect import bisect_left
from itertools import pairwise
from random import Random
from statistics import median
from typing import NamedTuple

from limepath.configuration.sharing_settings import DutyMode, DutySettings, LeaseSettings, MembershipTimeouts
from limepath.duties.bounds import bounds, doubles
from limepath.duties.world import World
from limepath.membership.interface import LeaveRequested
from limepath.membership.members import spread
from limepath.report_table import CheckResult, at_most, seconds

SECOND = 1_000_000
KINDS = (
    "kill",
    "pause",
    "halves",
    "minority",
    "one-way",
    "rolling",
    "all",
    "flapping",
    "lost-store",
    "wall-step",
    "leave",
    "targets",
)


MANY, VAST = 50, 400  # instances beyond which a day has two kinds of fault, or one


class Fault(NamedTuple):
    """Virtual microseconds; `who` are instances' indices, or the share of targets in thousandths."""

    at: int
    kind: str
    who: tuple
    length: int


class Findings(NamedTuple):
    rows: list
    faults: list
    world: World


def schedule(kinds, instances, first, end, settle, seed):
    """Faults one after another, each with time to settle behind it, until `end`."""
    chance, at, faults = Random(seed ^ 0xFA17), first, []
    left = []
    while True:
        if not left:
            left = list(kinds)
            chance.shuffle(left)
        kind, length = left.pop(), chance.randrange(8, 30) * SECOND
        one = chance.randrange(instances)
        some = tuple(chance.sample(range(instances), max(1, instances // (2 if kind == "halves" else 3))))
        who = (
            some
            if kind in ("halves", "minority", "one-way")
            else tuple(range(instances))
            if kind in ("all", "rolling")
            else (one,)
        )
        if kind == "all":
            length = SECOND
        if kind == "rolling":
            length = min(60 * SECOND, 3 * SECOND * instances)
        if kind in ("wall-step", "targets"):
            length = 0
        if at + length + settle > end:
            return faults
        faults.append(Fault(at, kind, who, length))
        at += length + settle * chance.randrange(50, 150) // 100


class Day:
    """A world, its faults and what is to be said of them."""

    def __init__(self, world, faults, end):
        self.world, self.faults, self.end = world, faults, end
        self.deaths, self.unable, self.able, self.together, self.restarted = [], [], None, 1, False
        self.chance = Random(len(faults))
        for fault in faults:
            world.at(fault.at, self.begin, fault)

    def begin(self, fault):
        world, who = self.world, fault.who
        over = world.now + fault.length
        if fault.kind in ("kill", "lost-store"):
            self.kill(who[0])
            if fault.kind == "lost-store":
                world.nodes[who[0]].lose_store()
            world.at(over, self.start, who[0])
        elif fault.kind == "pause":
            self.pause(who[0])
            world.at(over, self.resume, who[0])
        elif fault.kind in ("halves", "minority"):
            others = frozenset(range(len(world.nodes))) - set(who)
            world.network.cuts[fault] = frozenset(who), others
            world.network.cuts[fault, 1] = others, frozenset(who)
            world.at(over, self.heal, fault)
        elif fault.kind == "one-way":
            world.network.cuts[fault] = frozenset(who), frozenset(range(len(world.nodes))) - set(who)
            world.at(over, self.heal, fault)
        elif fault.kind == "all":
            for index in who:
                self.kill(index)
                world.at(over + self.chance.randrange(SECOND), self.start, index)
        elif fault.kind == "rolling":
            step = fault.length // len(who)
            for place, index in enumerate(who):
                world.at(world.now + place * step, self.kill, index)
                world.at(world.now + place * step + step // 2, self.start, index)
        elif fault.kind == "flapping":
            for at in range(0, fault.length, 4 * SECOND):
                world.at(world.now + at, self.kill, who[0])
                world.at(world.now + at + 2 * SECOND, self.start, who[0])
        elif fault.kind == "wall-step":
            world.wall_step += 3600 * SECOND * self.chance.choice((-1, 1))
            self.kill(who[0])
            world.at(world.now + SECOND, self.start, who[0])
        elif fault.kind == "leave":
            self.leave(who[0])
            world.at(over, self.start, who[0])
        elif fault.kind == "targets":
            gone = self.chance.sample(sorted(world.targets), max(1, len(world.targets) // 5))
            first = max([*world.targets, *world.gone]) + 1
            world.replace_targets(gone, range(first, first + len(gone)))
        self.world.at(self.world.now + 1, self.look, True)

    def kill(self, index):
        if self.world.nodes[index].instance:
            self.world.nodes[index].stop()
            self.deaths.append((self.world.now, index))
        self.world.at(self.world.now + 1, self.look, True)

    def leave(self, index):
        if self.world.nodes[index].instance:
            self.deaths.append((self.world.now, index))
            self.world.nodes[index].hear([LeaveRequested()])
        self.world.at(self.world.now + 1, self.look, True)

    def start(self, index):
        if not self.world.nodes[index].instance:
            self.restarted = True
            self.world.restart(index)
        self.look()

    def pause(self, index):
        self.world.nodes[index].paused = True
        self.deaths.append((self.world.now, index))
        self.world.at(self.world.now + 1, self.look, True)

    def resume(self, index):
        if self.world.nodes[index].instance:
            self.world.nodes[index].resume()
        self.look()

    def heal(self, fault):
        self.world.network.cuts.pop(fault)
        self.world.network.cuts.pop((fault, 1), None)
        self.look()

    def look(self, lost=False):
        """Note whether the duties can be done at all now, and, where some were lost, how many ring neighbours
        at once.
        """
        world = self.world
        runs = {node.index for node in world.nodes if node.instance and not node.paused}
        able = bool(runs)
        sides = [runs]
        for one, other in world.network.cuts.values():
            sides = [part for side in sides for part in (side & one, side & other) if part]
        if world.leased:
            voters = {int(name[1:]) for name in world.leasing.voters}
            able = any(len(side & voters) * 2 > len(voters) for side in sides)
        if able and self.able is False:
            self.unable[-1][1] = world.now
        elif not able and self.able is not False:
            self.unable.append([world.now, self.end])
        self.able = able
        if world.leased:
            sides = [side for side in sides if len(side & voters) * 2 > len(voters)]
        if lost and (runs := [self.longest_run(side) for side in sides if side]):
            self.together = max(self.together, min(runs))  # the best side is the one that serves

    def longest_run(self, side):
        """How many neighbours on the ring are away at once, as this side sees it."""
        run = longest = 0
        tokens = sorted((node.store["token"], node.index in side) for node in self.world.nodes)
        for _, here in tokens + tokens:
            run = 0 if here else run + 1
            longest = max(longest, run)
        return min(longest, len(tokens))


def covered(spans, since, until):
    return sum(max(0, min(until, end) - max(since, begin)) for begin, end in spans)


def findings(day, plan, since=0):
    """The rows of one day, of virtual time or a drill; `since` is when it began."""
    world, rows = day.world, []
    live = len(world.nodes)
    bound = bounds(world.spans, plan, world.leasing, live, day.together)
    gap_bound = bound.restart if day.restarted else bound.gap
    calm = spread(world.spans, live) + plan.interval  # the start
    longest, most = 0, 0
    disturbed = [(fault.at, fault.at + fault.length + bound.disagreement) for fault in day.faults]
    disturbed += [(at - bound.disagreement, at + bound.disagreement) for at, _ in world.false_deaths]
    disturbed.append((since, since + calm))
    changes = [fault.length for fault in day.faults] + [0 for _ in world.false_deaths]
    undisturbed_doubles, serves = 0, 0
    for target in [*world.targets, *world.gone]:
        born, gone = world.born[target], world.gone.get(target, day.end)
        times = [at for at, _ in world.serves.get((0, target), ())]
        serves += len(times)
        marks = [born, *times, gone]
        for since_last, until in pairwise(marks):
            longest = max(longest, until - since_last - covered(day.unable, since_last, until))
        twice = [until for before, until in pairwise(times) if until - before < plan.interval // 2]
        most = max(most, len(twice))
        undisturbed_doubles += sum(not any(a <= at <= b for a, b in disturbed) for at in twice)
    took = taken_over(day, bound)
    span = (day.end - since) / SECOND
    rows += [
        CheckResult("instances", live),
        CheckResult("targets", len(world.targets)),
        CheckResult("interval, s", seconds(plan.interval)),
        CheckResult("time, s", round(span, 1)),
        CheckResult("faults", len(day.faults)),
        CheckResult("ring neighbours away at once, most", day.together),
        CheckResult("rounds served", serves),
        at_most("longest gap, s", seconds(longest), seconds(gap_bound)),
        at_most("most doubles of one target", most, doubles(plan, bound, changes)),
        at_most("doubles while nothing had changed", undisturbed_doubles, 0),
        at_most("rounds at targets gone, after the grace", world.after_gone, 0),
    ]
    if plan.mode == DutyMode.ONE_OWNER:
        rows += [
            at_most("moments at which two held one slot", len(world.both_held), 0),
            CheckResult("rounds turned away for an older epoch", world.turned_away),
        ]
    rows += [
        CheckResult("take-over, median, s", seconds(int(median(took))) if took else None),
        at_most(
            "take-over, worst, s",
            seconds(max(took, default=0)),
            seconds(bound.take_over + (gap_bound - bound.gap)),
        ),
        CheckResult("declared dead though alive", len(world.false_deaths)),
        CheckResult("messages per instance and second", round(world.messages / live / span, 2)),
        CheckResult(
            "bytes per instance and second",
            round(world.bytes / max(1, world.sampled) * world.messages / live / span),
        ),
        CheckResult("gave way", len(world.gave_way)),
        CheckResult("views agree at the end", world.views_agree(), True, world.views_agree()),
    ]
    return rows


def taken_over(day, bound):
    """For each death, the time until a target that was the dead one's is served again."""
    world, took = day.world, []
    for target, served in ((key[1], served) for key, served in world.serves.items() if key[0] == 0):
        times = [at for at, _ in served]
        for death, index in day.deaths:
            at = bisect_left(times, death)
            if 0 < at < len(served) and served[at - 1][1] == index and target not in world.gone:
                took.append(times[at] - death - covered(day.unable, death, times[at]))
    return took


def simulated(
    instances=5,
    targets=100,
    mode=DutyMode.AT_LEAST_ONCE,
    interval=5 * SECOND,
    length=None,
    seed=1,
    loss=0.0,
    doubled=0.0,
    late=0.0,
    kinds=None,
    voters=5,
    spans=MembershipTimeouts(),
    leasing=LeaseSettings(),
    cold=False,
):
    """Run a day; give its Findings. `cold` starts with instances that do not know each other yet.

    `kinds` None: every kind; beyond MANY instances two of them, beyond VAST one, drawn by the seed.
    """
    if kinds is None:
        kinds = (
            KINDS if instances <= MANY else tuple(Random(seed).sample(KINDS, 1 if instances > VAST else 2))
        )
    leasing = leasing._replace(voters=tuple(f"n{index}" for index in range(min(instances, voters))))
    plan = DutySettings("probe", mode, interval)
    settle = bounds(spans, plan, leasing, instances).disagreement
    first = 2 * interval + (settle if cold else 0)
    length = length or first + len(kinds) * (30 * SECOND + settle)
    end = length + interval
    world = World(instances, targets, (plan,), spans, leasing, seed, loss, doubled, late)
    faults = schedule(kinds, instances, first, length, settle, seed) if kinds else []
    day = Day(world, faults, end)
    world.open(not cold)
    day.look()
    collecting = gc.isenabled()
    gc.disable()  # a large fleet's objects would be scanned over and over; there are next to no cycles
    try:
        world.run(end)
    finally:
        if collecting:
            gc.enable()
    return Findings(findings(day, plan), faults, world)
