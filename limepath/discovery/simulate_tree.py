"""Simulates a fleet in the tree topology in virtual time: delays of events and traffic under faults.

The discovery logic is that of the real program. Membership is not simulated, so that a run of hundreds of
fronts takes seconds: all fronts have the same live view, from which a front that is killed or stopped is
removed DETECTION_DELAY later (`limepath duties simulate` simulates the membership). The bytes of a front are
those of its datagrams with envelope and seal. Runs with the same seed give the same figures.
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

DETECTION_DELAY = 6 * SECOND  # after which a front that is killed or stopped is in no live view
COLD_START_DURATION = 20 * SECOND  # in which fronts without saved lists get the list
WARMUP_DURATION = 10 * SECOND  # with events, before the measurements
FAULTS = ("inner-killed", "inner-stopped", "root-killed", "inner-slow", "region-cut", "site-killed")
BROKEN = ("fan-out", "window")


class TreeRun(NamedTuple):
    """The result of a run: the rows of its table, a log of its faults, and the final state of the world."""

    rows: list[CheckResult]
    log: list[str]
    world: World


class Fault(NamedTuple):
    """An injected fault: where it is, the fronts that it stops, and a function that ends it."""

    name: str
    stopped: list[Front]
    end: Callable[[], object]


class Lateness(NamedTuple):
    """The sorted delays of events in microseconds, and the number of events that were not delivered."""

    late: list[int]
    missing: int


def purge_every(world: World, interval: int, until: int) -> None:
    """Purge a random object every `interval` microseconds."""
    if world.now < until:
        target = f"{world.random.getrandbits(64):016x}"
        world.service.add({"invalidate": {"object": target, "time": world.now // MS}})
        world.at(world.now + interval, purge_every, world, interval, until)


def is_inner(front: Front) -> bool:
    """Return whether a front has a position in the trees and is not a root."""
    return not front.older and not front.logic.tree.position.is_root


def inject_fault(world: World, kind: str) -> Fault:
    """Inject one fault."""
    if kind == "region-cut":
        world.cuts.add((SERVICE_REGION, 1))
        return Fault(f"regions {SERVICE_REGION} and 1", [], world.cuts.clear)
    if kind == "site-killed":
        site = world.random.choice(world.running()).site
        killed = [front for front in world.running() if front.site == site]
        for front in killed:
            front.kill()
            world.at(world.now + DETECTION_DELAY, world.remove_from_views, front)
        return Fault(site, killed, lambda: [front.restart() for front in killed])
    target = world.busiest((lambda front: not is_inner(front)) if kind == "root-killed" else is_inner)
    if kind == "inner-slow":
        target.delay = 5 * SECOND
        return Fault(target.me.name, [], lambda: setattr(target, "delay", 0))
    if kind == "inner-stopped":
        target.paused = True
        world.at(world.now + DETECTION_DELAY, world.remove_from_views, target)

        def resume():
            world.alive[target.token] = None
            target.resume()

        return Fault(target.me.name, [target], resume)
    target.kill()
    world.at(world.now + DETECTION_DELAY, world.remove_from_views, target)
    return Fault(target.me.name, [target], target.restart)


def lateness(world: World, fronts: Sequence[Front], first: int, last: int) -> Lateness:
    """Return the delays, at the given fronts, of the events added from time `first` until before `last`."""
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
    settings: DiscoverySettings | None = None,
    prepare: Callable[[World], None] | None = None,
) -> TreeRun:
    """Start a fleet without saved lists, send events, and inject the faults one after another.

    `prepare(world)` changes the fleet before it starts.
    """
    world = World(plan, seed, settings)
    bound = tree_bounds(world.settings, plan.fronts, plan.zones, plan.sites)
    if plan.broken == "fan-out":
        world.settings = world.settings._replace(fan_out=plan.fronts)
    if prepare:
        prepare(world)
    _start(world)
    log: list[str] = []
    rows = [at_most("until a fleet without saved lists has the list, s", seconds(world.now), 60.0)]
    interval = int(SECOND / plan.rate)
    world.at(world.now, purge_every, world, interval, world.now + 3600 * SECOND)
    world.run(world.now + WARMUP_DURATION)
    measure_baseline(world, plan, bound, rows)
    for kind in plan.faults:
        measure_fault(world, kind, bound, rows, log)
    rows += _load_rows(world, bound)
    return TreeRun(rows, log, world)


def _start(world: World) -> None:
    """Start all fronts and run until they have the list, but for a limited time."""
    world.at(SECOND // 2, world.service.send_comments)
    for front in world.fronts:
        world.at(world.random.randrange(200 * MS), front.start)
    world.run(COLD_START_DURATION)
    for _ in range(400):
        if world.is_complete():
            break
        world.run(world.now + 100 * MS)


def _load_rows(world: World, bound: TreeBounds) -> list[CheckResult]:
    """Compare the load of the busiest front and of the service with its bounds."""
    service, settings = world.service, world.settings
    children = max(front.most_children for front in world.fronts)
    calls = most_in(service.calls, SECOND)
    streams = max(service.most_streams.values())
    max_streams = settings.relays * (2 + HELPERS_PER_RELAY)
    return [
        at_most("most children of any front, ever", children, bound.children),
        at_most("most calls at the list service in a second", calls, int(settings.rate)),
        at_most("most streams of one zone", streams, max_streams),
    ]


def measure_baseline(world: World, plan: Plan, bound: TreeBounds, rows: list[CheckResult]) -> None:
    """Measure the fleet without faults other than the loss of datagrams."""
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
    world.run(world.now + bound.event + 8 * world.settings.beat)
    late, missing = lateness(world, world.running(), since, added_until)
    limit = bound.event if not plan.loss else bound.event + 8 * world.settings.beat
    rows += [
        CheckResult("fronts", plan.fronts),
        CheckResult("most hops from a root to a front", max(f.logic.tree.hops for f in world.running())),
        CheckResult("delay of an event to a front, median, s", seconds(late[len(late) // 2])),
        CheckResult("the same, 99%, s", seconds(late[len(late) * 99 // 100])),
        at_most("the same, all, s", seconds(late[-1]), seconds(limit)),
        at_most("events that a front never had", missing, 0),
        CheckResult("bytes sent by a front per second, median", round(sent[len(sent) // 2])),
        at_most("the same, busiest front", round(sent[-1]), bound.steady_state_bytes(plan.rate)),
        CheckResult("datagrams sent by the busiest front per second", round(datagrams, 1)),
        at_most("most bytes sent by any front in one second", peak, bound.max_bytes),
        CheckResult("share of events received twice", duplicate_share(world)),
    ]


def duplicate_share(world: World) -> float:
    """Return the share of events that fronts received twice."""
    events = sum(len(front.applied_at) for front in world.fronts)
    return round(sum(front.logic.counts["doubled"] for front in world.running()) / max(1, events), 4)


def measure_fault(
    world: World, kind: str, bound: TreeBounds, rows: list[CheckResult], log: list[str]
) -> None:
    """Inject one fault, end it after a while, and add rows of the delays of events and of the recovery."""
    plan, since = world.plan, world.now
    for front in world.fronts:
        front.most_bytes = 0
        front.stale.clear()
        front.fetched = front.logic.counts["fetched"]
    name, stopped, end = inject_fault(world, kind)
    log.append(f"at {since / SECOND:.1f} s  {kind}  {name}")
    span = plan.cut if kind == "region-cut" else 15 * SECOND
    world.run(since + span)
    end()
    ended_at = world.now
    fronts = [front for front in world.running() if front not in stopped]
    newest = len(world.service.events)
    while world.now < ended_at + 120 * SECOND and any(
        front.last_applied < newest for front in world.running()
    ):
        world.run(world.now + 50 * MS)
    if kind == "region-cut":
        add_region_cut_rows(world, kind, since, ended_at, bound, rows)
    else:
        late, missing = lateness(world, fronts, since, since + 10 * SECOND)
        limit = bound.inner_lost if kind != "root-killed" else bound.root_lost
        rows += [
            at_most(f"{kind}: delay of an event to the last front, s", seconds(late[-1]), seconds(limit)),
            at_most(f"{kind}: events that a front never had", missing, 0),
        ]
        rows.append(
            at_most(
                f"{kind}: until all fronts have all events again, s",
                seconds(world.now - ended_at),
                seconds(bound.rejoined),
            )
        )
    peak = max(front.most_bytes for front in world.fronts)
    rows.append(at_most(f"{kind}: most bytes sent by any front in one second", peak, bound.max_bytes))
    world.run(world.now + 15 * SECOND)


def add_region_cut_rows(
    world: World, kind: str, since: int, ended_at: int, bound: TreeBounds, rows: list[CheckResult]
) -> None:
    """Add rows of the fronts that were cut off from the service.

    They must have detected that their lists are stale, and catch up by events without downloading lists.
    """
    cut_off = [front for front in world.running() if front.region == 1]
    detected = [next((at - since for at, late in front.stale if late), world.now) for front in cut_off]
    fetched = sum(front.logic.counts["fetched"] - front.fetched for front in cut_off)
    rows += [
        at_most(f"{kind}: until all fronts there detect a stale list, s", seconds(max(detected)),
                seconds(bound.known_late)),
        at_most(f"{kind}: until all fronts there are up to date again, s", seconds(world.now - ended_at),
                seconds(bound.recovery_time(world.plan.rate, world.plan.cut))),
        at_most(f"{kind}: complete lists fetched there", fetched, 0),
        CheckResult(f"{kind}: fronts there", len(cut_off)),
    ]  # fmt: skip
