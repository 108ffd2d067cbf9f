"""Model checking of the lease logic: every order of delivery, loss, doubling, pause, expiry and crash, to a
depth.

The logic is the program's own (`leases`), two or three instances that all want one slot, all of them voters,
their clocks apart by the drift that the settings allow. Time goes on only as far as what is done next wants
it: an instance whose due time passes without a turn is a paused one. It begins where one instance holds the
slot. Breadth first, so that a trace that breaks the rule is a shortest one. The rule: at no moment do two
instances hold the slot, each by its own clock.
"""

import pickle
import time
from typing import NamedTuple

from limepath.configuration.sharing_settings import LeaseSettings
from limepath.duties.interface import PersistEpochCeiling
from limepath.duties.leases import Leases, Voter
from limepath.report_table import CheckResult, at_most
from limepath.timer_queue import TimerQueue

SPAN, DRIFT = 1_000_000, 0.01
DOUBLED, CRASHED = 1, 1  # how often in one history
SLOT = (0, 0)


class Even(TimerQueue):
    """Chance is of no interest here: half, always."""

    def random_fraction(self):
        return 0.5


class Careless(Voter):
    """The rule broken on purpose: what another holds is granted all the same."""

    def stands(self, grant):
        return False


class One:
    """One instance: its leases, its clock's rate, what it has to send."""

    def __init__(self, index, names, broken):
        self.index, self.names, self.broken, self.life = index, names, broken, 0
        self.rate = 1 - DRIFT * (index % 2)
        self.ceiling, self.out = 0, []
        self.begin(0, False)

    def begin(self, now, restarted):
        self.life += 1
        self.timers = Even(0)
        self.timers.now = self.clock(now)
        self.leases = Leases(
            self.timers,
            self.names[self.index],
            self.index * 100 + self.life,
            LeaseSettings(tuple(self.names), SPAN, DRIFT, 1),
            (0,),
            self.wanted,
            self.changed,
            self.reach,
            self.ceiling,
            True,
        )
        if self.broken:
            self.leases.voter.__class__ = Careless
        self.leases.start()
        if not restarted:  # as after a quiet time
            self.leases.voter.mute_until = 0
        self.settle()

    def clock(self, now):
        return int(now * self.rate)

    def wanted(self, duty):
        return {0}

    def changed(self, duty):
        pass

    def reach(self, name, message):
        self.out.append((self.index, self.names.index(name), self.leases.door, message))

    def settle(self):
        """Messages to itself arrive at once; give what goes to others."""
        while own := [one for one in self.out if one[1] == self.index]:
            self.out = [one for one in self.out if one[1] != self.index]
            for _, _, door, message in own:
                self.leases.heard(self.names[self.index], door, message)
        for order in self.timers.take_commands():
            if isinstance(order, PersistEpochCeiling):
                self.ceiling = order.ceiling
        sent, self.out = self.out, []
        return sent

    def due(self):
        """When it has something to do next, in the time that all share."""
        return int(self.timers.next_due() / self.rate) + 1

    def turn(self, now):
        self.timers.run_due(self.clock(now))
        return self.settle()

    def hear(self, now, source, door, message):
        self.timers.now = self.clock(now)
        self.leases.heard(self.names[source], door, message)
        return self.settle()

    def holds(self, now):
        self.timers.now = self.clock(now)
        return self.leases.may(*SLOT) is not None

    def mark(self, now):
        """What its future depends on, times as spans from now, rounds as steps back."""
        here, leases = self.clock(now), self.leases
        voter, number = leases.voter, leases.round
        return (
            self.life,
            self.ceiling,
            tuple(sorted((lease.epoch, max(-1, lease.until - here)) for lease in leases.held.values())),
            tuple(
                (
                    number - of,
                    one.sent - here,
                    tuple(one.slots.items()),
                    tuple(sorted(map(tuple, map(sorted, one.votes.values())))),
                )
                for of, one in sorted(leases.claims.items())
            ),
            tuple(leases.seen.items()),
            tuple(max(0, until - here) for until in leases.blocked.values()),
            tuple(
                (grant.holder, grant.epoch, max(-1, grant.until - here)) for grant in voter.grants.values()
            ),
            max(0, voter.mute_until - here),
            voter.floor,
            tuple(
                sorted(
                    (
                        when - here,
                        call.__name__,
                        str([number - one if isinstance(one, int) else 0 for one in said]),
                    )
                    for when, call, said in self.timers.pending()
                )
            ),
        )


class Moment(NamedTuple):
    now: int
    all: tuple
    way: tuple  # messages that are out
    doubled: int
    crashed: int

    def mark(self):
        rounds = [one.leases.round for one in self.all]
        way = tuple(
            sorted(
                (
                    source,
                    to,
                    door,
                    type(message).__name__,
                    str(
                        (
                            rounds[source if type(message).__name__ == "LeaseRequest" else to]
                            - getattr(message, "round", 0),
                            *list(
                                getattr(message, name)
                                for name in message.__struct_fields__
                                if name != "round"
                            ),
                        )
                    ),
                )
                for source, to, door, message in self.way
            )
        )
        return hash((tuple(one.mark(self.now) for one in self.all), way, self.doubled, self.crashed))


def told(verb, one, names):
    source, to, _, message = one
    fields = ", ".join(
        f"{name}={getattr(message, name)}" for name in message.__struct_fields__ if name != "duty"
    )
    return f"{verb} {type(message).__name__}({fields}) from {names[source]} to {names[to]}"


def steps(frozen):
    """All that may happen next: (what is said of it, the Moment after it)."""
    moment = pickle.loads(frozen)
    names = moment.all[0].names
    seen = set()
    for at, one in enumerate(moment.way):
        key = pickle.dumps(one)
        if key in seen:
            continue
        seen.add(key)
        rest = moment.way[:at] + moment.way[at + 1 :]
        yield told("lose", one, names), moment._replace(way=rest)
        for kept in (False, True) if moment.doubled < DOUBLED else (False,):
            after = pickle.loads(frozen)
            source, to, door, message = after.way[at]
            sent = after.all[to].hear(after.now, source, door, message)
            way = (after.way if kept else after.way[:at] + after.way[at + 1 :]) + tuple(sent)
            yield (
                told("deliver twice, first" if kept else "deliver", one, names),
                after._replace(way=way, doubled=after.doubled + kept),
            )
    for index in range(len(names)):
        after = pickle.loads(frozen)
        now = max(after.now, after.all[index].due())
        sent = after.all[index].turn(now)
        yield (
            f"{names[index]} takes its turn at {now / 1e6:.3f} s",
            after._replace(now=now, way=after.way + tuple(sent)),
        )
        if moment.crashed < CRASHED:
            after = pickle.loads(frozen)
            after.all[index].begin(after.now, True)
            yield f"{names[index]} crashes and starts anew", after._replace(crashed=after.crashed + 1)


def both_hold(moment):
    return [one.names[one.index] for one in moment.all if one.holds(moment.now)]


def opening(instances, broken):
    """The Moment from which to explore: the last instance holds the slot, all messages of that have
    arrived.
    """
    names = [f"n{index}" for index in range(instances)]
    moment = Moment(0, tuple(One(index, names, broken) for index in range(instances)), (), 0, 0)
    holder = moment.all[-1]
    now = holder.due()
    way = list(holder.turn(now))
    while way:
        source, to, door, message = way.pop(0)
        way += moment.all[to].hear(now, source, door, message)
    return moment._replace(now=now)


class Explored(NamedTuple):
    rows: list
    trace: list


def explored(instances, depth, most, broken=False):
    """Explore up to `depth` events and `most` states; give the rows and, where the rule breaks, a shortest
    trace.
    """
    began, first = time.monotonic(), opening(instances, broken)
    layer, seen, came = [(pickle.dumps(first, 5), None)], {first.mark()}, []
    edges, reached, held, whole = 0, 0, 0, True
    trace = []
    while layer and reached < depth and not trace and whole:
        after = []
        for at, (frozen, _) in enumerate(layer):
            for said, moment in steps(frozen):
                edges += 1
                holders = both_hold(moment)
                if len(holders) > 1:
                    trace = [said, f"now {' and '.join(holders)} both hold the slot"]
                    back, level = at, len(came)
                    line = layer[at][1]
                    while line is not None:
                        level -= 1
                        back, said = line
                        trace.insert(0, said)
                        line = came[level][back]
                    break
                mark = moment.mark()
                if mark not in seen:
                    seen.add(mark)
                    held += len(holders) == 1
                    after.append((pickle.dumps(moment, 5), (at, said)))
            if trace or len(seen) >= most:
                whole = bool(trace)
                break
        came.append([line for _, line in layer])
        layer = after
        reached += 1 if whole and not trace else 0
    trace = [f"{first.all[-1].names[-1]} holds the slot at {first.now / 1e6:.3f} s", *trace] if trace else []
    rows = [
        CheckResult("instances", instances),
        CheckResult("states seen", len(seen)),
        CheckResult("steps tried", edges),
        CheckResult("states in which one holds the slot", held),
        CheckResult("events in a row, all orders of them", reached),
        CheckResult("seconds", round(time.monotonic() - began, 1)),
        at_most("states in which two hold it", int(bool(trace)), 0),
    ]
    return Explored(rows, [f"{number}. {said}" for number, said in enumerate(trace, 1)])
