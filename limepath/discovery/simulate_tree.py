"""Events to a fleet in trees, in virtual time: how late they are and what each front sends, under faults.

The discovery logic is that of the real program. Who lives is not: all fronts see the same live view, from
which one that is killed or stopped goes DETECTED later, so that hundreds of fronts take seconds (the
membership has a run of its own, `limepath duties simulate`). A front's bytes are those of its datagrams as
they would be sealed. The same seed gives the same figures.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from limepath.configuration.sharing_settings import DiscoverySettings
from limepath.discovery.bounds import HELPERS_PER_RELAY, TreeBounds, tree_bounds
from limepath.discovery.simulate import most_in
from limepath.discovery.tree_service import SERVICE_REGION
from limepath.discovery.tree_world import MS, SECOND, Front, Plan, World
from limepath.report_table import CheckResult, at_most, seconds

DETECTED = 6 * SECOND  # until a front that is killed or stopped is in no live view
COLD = 20 * SECOND  # for a fleet that starts with nothing to have the list
SETTLE = 10 * SECOND  # of events, before anything is measured
FAULTS = ("inner-killed", "inner-stopped", "root-killed", "inner-slow", "region-cut", "site-killed")
BROKEN = ("fan-out", "window")


class Measured(NamedTuple):
    """What one run gives: the rows of its table, what happened when, and the world as it ended."""

    rows: list[CheckResult]
    log: list[str]
    world: World


class Fault(NamedTuple):
    """A fault that was caused: what it is called, the fronts that bear it, how to end it."""

    name: str
    bearers: list[Front]
    end: Callable[[], object]


class Lateness(NamedTuple):
    """How late events were, in microseconds and in order, and how many never came."""

    late: list[int]
    missing: int


def purge_every(world: World, interval: int, until: int) -> None:
    """Purges of objects at the plan's rate."""
    if world.now < until:
        target = f"{world.chance.getrandbits(64):016x}"
        world.service.add({"invalidate": {"object": target, "time": world.now // MS}})
        world.at(world.now + interval, purge_every, world, interval, until)


def is_inner(front: Front) -> bool:
    """Whether a front is no root and has a place in the trees."""
    return not front.older and not front.logic.tree.position.is_root


def cause(world: World, kind: str) -> Fault:
    """Cause one fault."""
    if kind == "region-cut":
        world.cuts.add((SERVICE_REGION, 1))
        return Fault(f"regions {SERVICE_REGION} and 1", [], world.cuts.clear)
    if kind == "site-killed":
        site = world.chance.choice(world.running()).site
        those = [front for front in world.running() if front.site == site]
        for front in those:
            front.kill()
            world.at(world.now + DETECTED, world.lose, front)
        return Fault(site, those, lambda: [front.restart() for front in those])
    one = world.busiest((lambda front: not is_inner(front)) if kind == "root-killed" else is_inner)
    if kind == "inner-slow":
        one.delay = 5 * SECOND
        return Fault(one.me.name, [], lambda: setattr(one, "delay", 0))
    if kind == "inner-stopped":
        one.paused = True
        world.at(world.now + DETECTED, world.lose, one)

        def wake():
            world.alive[one.token] = None
            one.resume()

        return Fault(one.me.name, [one], wake)
    one.kill()
    world.at(world.now + DETECTED, world.lose, one)
    return Fault(one.me.name, [one], one.restart)


def lateness(world: World, fronts: Sequence[Front], first: int, last: int) -> Lateness:
    """How late each event of a time was at each of these fronts, and how many never came."""
    late, missing = [], 0
    for number, added_at in world.service.added_at.items():
        if not first <= added_at < last:
            continue
        for front in fronts:
            if number in front.applied_at:
                late.append(front.applied_at[number] - added_at)
            else:
                missing += 1
    return Lateness(sorted(late), missing)


def run_tree(
    plan: Plan,
    seed: int = 1,
    terms: DiscoverySettings | None = None,
    prepare: Callable[[World], None] | None = None,
) -> Measured:
    """Start a fleet with nothing, let events flow, cause the faults one after another.

    `prepare(world)` changes the fleet before it starts.
    """
    world = World(plan, seed, terms)
    bound = tree_bounds(world.terms, plan.fronts, plan.zones, plan.sites)
    if plan.broken == "fan-out":
        world.terms = world.terms._replace(fan_out=plan.fronts)
    if prepare:
        prepare(world)
    _start(world)
    log: list[str] = []
    rows = [at_most("a fleet that starts with nothing has the list, s", seconds(world.now), 60.0)]
    interval = int(SECOND / plan.rate)
    world.at(world.now, purge_every, world, interval, world.now + 3600 * SECOND)
    world.run(world.now + SETTLE)
    calm(world, plan, bound, rows)
    for kind in plan.faults:
        failing(world, kind, bound, rows, log)
    rows += _load_rows(world, bound)
    return Measured(rows, log, world)


def _start(world: World) -> None:
    """Start all fronts and run until they have the list, for a limited time."""
    world.at(SECOND // 2, world.service.send_comments)
    for front in world.fronts:
        world.at(world.chance.randrange(200 * MS), front.start)
    world.run(COLD)
    for _ in range(400):
        if world.is_complete():
            break
        world.run(world.now + 100 * MS)


def _load_rows(world: World, bound: TreeBounds) -> list[CheckResult]:
    """What the busiest front and the service had to bear, against the bounds."""
    service, terms = world.service, world.terms
    children = max(front.most_children for front in world.fronts)
    calls = most_in(service.calls, SECOND)
    streams = max(service.most_streams.values())
    max_streams = terms.relays * (2 + HELPERS_PER_RELAY)
    return [
        at_most("most children of any front, ever", children, bound.children),
        at_most("most calls at the list service in a second", calls, int(terms.rate)),
        at_most("most streams of one zone", streams, max_streams),
    ]


def calm(world: World, plan: Plan, bound: TreeBounds, rows: list[CheckResult]) -> None:
    """Figures of the fleet while nothing but the loss of datagrams happens."""
    since = world.now
    for front in world.fronts:
        front.bytes = 0
        front.datagrams = 0
        front.most_bytes = 0
    world.run(since + plan.span)
    added_until = world.now
    sent = sorted(front.bytes * SECOND / plan.span for front in world.fronts)
    datagrams = max(front.datagrams for front in world.fronts) * SECOND / plan.span
    peak = max(front.most_bytes for front in world.fronts)
    world.run(world.now + bound.event + 8 * world.terms.beat)
    late, missing = lateness(world, world.running(), since, added_until)
    limit = bound.event if not plan.loss else bound.event + 8 * world.terms.beat
    rows += [
        CheckResult("fronts", plan.fronts),
        CheckResult(
            "hops from a root to a front, at the most", max(f.logic.tree.hops for f in world.running())
        ),
        CheckResult("an event at half of the fronts, s", seconds(late[len(late) // 2])),
        CheckResult("the same, 99%, s", seconds(late[len(late) * 99 // 100])),
        at_most("the same, all, s", seconds(late[-1]), seconds(limit)),
        at_most("events that a front never had", missing, 0),
        CheckResult("bytes a second sent by a front, median", round(sent[len(sent) // 2])),
        at_most("the same, the busiest", round(sent[-1]), bound.steady_state_bytes(plan.rate)),
        CheckResult("datagrams a second sent by the busiest", round(datagrams, 1)),
        at_most("bytes sent by any front in one second", peak, bound.max_bytes),
        CheckResult("events that came twice, of all", doubled(world)),
    ]


def doubled(world: World) -> float:
    """The share of events that came twice."""
    events = sum(len(front.applied_at) for front in world.fronts)
    return round(sum(front.logic.counts["doubled"] for front in world.running()) / max(1, events), 4)


def failing(world: World, kind: str, bound: TreeBounds, rows: list[CheckResult], log: list[str]) -> None:
    """Cause one fault, go on, end it; rows on how late events were meanwhile and when all was whole again."""
    plan, since = world.plan, world.now
    for front in world.fronts:
        front.most_bytes = 0
        front.stale.clear()
        front.fetched = front.logic.counts["fetched"]
    name, bearers, end = cause(world, kind)
    log.append(f"at {since / SECOND:.1f} s  {kind}  {name}")
    span = plan.cut if kind == "region-cut" else 15 * SECOND
    world.run(since + span)
    end()
    ended_at = world.now
    fronts = [front for front in world.running() if front not in bearers]
    newest = len(world.service.events)
    while world.now < ended_at + 120 * SECOND and any(front.front < newest for front in world.running()):
        world.run(world.now + 50 * MS)
    if kind == "region-cut":
        cut_off(world, kind, since, ended_at, bound, rows)
    else:
        late, missing = lateness(world, fronts, since, since + 10 * SECOND)
        limit = bound.inner_lost if kind != "root-killed" else bound.root_lost
        rows += [
            at_most(f"{kind}: an event told then, at the last front, s", seconds(late[-1]), seconds(limit)),
            at_most(f"{kind}: events that a front never had", missing, 0),
        ]
        rows.append(
            at_most(
                f"{kind}: until all have all again, s", seconds(world.now - ended_at), seconds(bound.rejoined)
            )
        )
    peak = max(front.most_bytes for front in world.fronts)
    rows.append(at_most(f"{kind}: bytes sent by any front in one second", peak, bound.max_bytes))
    world.run(world.now + 15 * SECOND)


def cut_off(
    world: World, kind: str, since: int, ended_at: int, bound: TreeBounds, rows: list[CheckResult]
) -> None:
    """The region that was cut off from the service: it knows, and it is whole again by events alone."""
    those = [front for front in world.running() if front.region == 1]
    knew = [next((at - since for at, late in front.stale if late), world.now) for front in those]
    fetched = sum(front.logic.counts["fetched"] - front.fetched for front in those)
    rows += [
        at_most(f"{kind}: until the last front there knows that it is late, s", seconds(max(knew)),
                seconds(bound.known_late)),
        at_most(f"{kind}: until all there are whole again, s", seconds(world.now - ended_at),
                seconds(bound.recovery_time(world.plan.rate, world.plan.cut))),
        at_most(f"{kind}: whole lists fetched there", fetched, 0),
        CheckResult(f"{kind}: fronts there", len(those)),
    ]  # fmt: skip
