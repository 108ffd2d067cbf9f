"""Simulates a cold start and faults of a fleet in the star topology, in virtual time.

Hundreds of fronts run the logic of the real program with one list service. Runs with the same seed give the
same table. For comparison, `alone` lets each front call the service itself, as without relays, with delays
that double from 0.1 s to at most 0.6 s.
"""

import gc
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from typing import NamedTuple

from limepath.configuration.sharing_settings import DiscoverySettings, MembershipTimeouts
from limepath.discovery.bounds import Bounds, bounds
from limepath.discovery.endpoint_list import EndpointList
from limepath.discovery.event_checks import parse_event
from limepath.discovery.interface import StreamClosed
from limepath.discovery.star_service import Service, member
from limepath.discovery.star_world import MS, SECOND, Node, World
from limepath.report_table import CheckResult, at_most, seconds

KINDS = ("relays-killed", "relays-stopped", "service-still", "service-down", "restored", "cut-off")


class StarRun(NamedTuple):
    """The result of a run: the rows of its table, a log of its faults, and the final state of the world."""

    rows: list[CheckResult]
    log: list[str]
    world: World


def most_in(times: Sequence[int], span: int) -> int:
    """Return the largest number of sorted times that lie within any one span.

    >>> most_in([0, 5, 9, 10, 30], 10)
    4
    """
    most, at = 0, 0
    for index, time in enumerate(times):
        while times[at] < time - span:
            at += 1
        most = max(most, index - at + 1)
    return most


class Baseline(NamedTuple):
    """Durations in microseconds that were measured before the first fault."""

    ready: list[int]  # from the service's return until a front was ready, sorted
    delays: list[int]  # until an event was applied to a front


def simulate_star(
    fronts: int = 200,
    zones: int = 2,
    seed: int = 1,
    down: int = 12 * SECOND,
    loss: float = 0.0,
    alone: bool = False,
    kinds: Sequence[str] = (),
    caches: int = 40,
    settings: DiscoverySettings | None = None,
    timeouts: MembershipTimeouts = MembershipTimeouts(),
    saved: float = 0.0,
) -> StarRun:
    """Start all fronts while the list service refuses calls for `down` microseconds, then inject the faults.

    With `alone`, each front calls the service itself, as without relays. `saved` is the share of fronts that
    have a saved list.
    """
    settings = settings or DiscoverySettings(fronts=fronts)
    world = World(fronts, zones, seed, settings, loss, alone, caches, timeouts)
    bound = bounds(settings, fronts, zones)
    log: list[str] = []
    if saved:
        _save_lists(world, saved)
    _schedule_start(world, down)
    with _garbage_collection_disabled():
        baseline = _run_baseline(world, down)
        rows = _baseline_rows(world, bound, baseline)
        rows += [run_fault(world, kind, bound, log) for kind in kinds]
        behind = [node.index for node in world.live() if node.last_applied != len(world.service.events)]
    rows += _load_rows(world, bound, len(behind))
    return StarRun(rows, log, world)


@contextmanager
def _garbage_collection_disabled() -> Iterator[None]:
    """Disable the garbage collector, which takes long and finds no garbage in a simulation."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


def _schedule_start(world: World, down: int) -> None:
    """Schedule the start of all fronts and the return of the service."""
    service = world.service
    world.at(SECOND // 2, service.send_comments)
    service.set_mode("down")
    for node in world.nodes:
        world.at(world.random.randrange(200 * MS), node.start, world.seeds(node.index))
    world.at(down, service.set_mode, "up")


def _run_baseline(world: World, down: int) -> Baseline:
    """Run until all fronts are ready and some events have been sent."""
    world.run(down)
    while world.now < down + 60 * SECOND and any(node.ready_at is None for node in world.nodes):
        world.run(world.now + 100 * MS)
    ready = sorted((node.ready_at or world.now) - down for node in world.nodes)
    world.run(world.now + 2 * world.settings.beat)  # until each front has subscribed to its relays
    add_events(world, 5)
    world.run(world.now + 5 * SECOND)
    return Baseline(ready, [delay for delay, _, _ in world.delays])


def _baseline_rows(world: World, bound: Bounds, baseline: Baseline) -> list[CheckResult]:
    """Compare the times until fronts were ready and the delays of events with their bounds."""
    ready = baseline.ready
    event_limit = bound.repaired + 8 * world.settings.beat if world.loss else bound.event
    return [
        CheckResult("fronts", len(world.nodes)),
        CheckResult("zones", world.zones),
        CheckResult("ready after the service's return, median, s", seconds(ready[len(ready) // 2])),
        CheckResult("the same, 95%, s", seconds(ready[len(ready) * 95 // 100])),
        at_most("the same, all, s", seconds(ready[-1]), seconds(bound.ready)),
        at_most(
            "delay of an event to the last front, without faults, s",
            seconds(max(baseline.delays, default=0)),
            seconds(event_limit),
        ),
    ]


def _load_rows(world: World, bound: Bounds, behind: int) -> list[CheckResult]:
    """Compare the load of the service and the fronts with its bounds; `behind` fronts lack events."""
    calls = sorted(world.service.calls)
    rate = int(world.settings.rate)
    most = max(world.service.most_streams.values(), default=0)
    if world.loss:
        streams = CheckResult("most streams of one zone (including those of isolated fronts)", most)
    else:
        streams = CheckResult("most streams of one zone", most, bound.streams, most <= bound.streams)
    fronts = len(world.nodes)
    list_messages = round(world.list_messages / fronts / world.now * 1e6, 2)
    all_messages = round(world.messages / fronts / world.now * 1e6, 2)
    return [
        at_most("most calls at the list service in a second", most_in(calls, SECOND), rate),
        at_most("most calls in 100 ms", most_in(calls, SECOND // 10), rate // 2),
        streams,
        at_most("fronts without the newest event at the end", behind, 0),
        CheckResult("discovery messages per front and second", list_messages),
        CheckResult("all messages per front and second", all_messages),
    ]


def _save_lists(world: World, share: float) -> None:
    """Give a share of the fronts saved lists of different earlier revisions."""
    for _ in range(8):
        world.service.add({"fleet": {"revision": 2, "members": [member(f"s-{world.random.randrange(40)}")]}})
    for node in world.nodes:
        if world.random.random() < share:
            saved_list = EndpointList()
            for text in world.service.events[: world.random.randrange(1, 9)]:
                saved_list.apply(parse_event(text))
            node.saved = saved_list.pack()


def add_events(world: World, count: int) -> None:
    """Schedule `count` events at intervals of 200 ms, alternately drains and purges."""
    for step in range(count):
        name = f"s-{world.random.randrange(40)}"
        event = (
            {"invalidate": {"bucket": step, "time": 0}}
            if step % 2
            else {"fleet": {"revision": 3, "members": [member(name, "terminating")]}}
        )
        world.at(world.now + step * 200 * MS, world.service.add, event)


class StarFault(NamedTuple):
    """The zone of a fault, and the bound of the delay of an event during it."""

    zone: str
    streams: int  # of the zone when the fault began
    limit: int  # in microseconds


def run_fault(world: World, kind: str, bound: Bounds, log: list[str]) -> CheckResult:
    """Inject one fault, add an event at the same time, and return the row of the event's delay."""
    since = world.now
    world.delays = []
    fault = _inject_fault(world, kind, bound)
    world.service.add({"invalidate": {"bucket": 900 + len(log), "time": 0}})
    newest = len(world.service.events)
    delivered_at = None
    while world.now < since + fault.limit + 30 * SECOND:
        world.run(world.now + 50 * MS)
        if all(node.last_applied == newest and node.ready_at for node in world.live()):
            delivered_at = world.now
            break
    world.run(max(world.now, since + 45 * SECOND))
    log.append(f"at {since / 1e6:.1f} s  {kind} in zone {fault.zone}, which had {fault.streams} streams")
    delay = (delivered_at or world.now) - since
    what = f"{kind}: delay of an event to the last live front, s"
    return at_most(what, seconds(delay), seconds(fault.limit))


def _inject_fault(world: World, kind: str, bound: Bounds) -> StarFault:
    """Inject one fault in a random zone."""
    service, now = world.service, world.now
    zone = world.random.choice(sorted({node.zone for node in world.nodes}))
    relays = world.relays(zone)
    limit = bound.relays_lost
    if kind == "relays-killed":
        for node in relays:
            node.stop()
            world.at(now + 20 * SECOND, node.start, world.seeds(node.index))
    elif kind == "relays-stopped":
        for node in relays:
            node.paused = True
            world.at(now + 20 * SECOND, node.resume)
    elif kind in ("service-still", "service-down"):
        service.set_mode("still" if kind == "service-still" else "down")
        world.at(now + 6 * SECOND, _end_outage, service)
        limit = 6 * SECOND + bound.stream_still
    elif kind == "restored":
        service.restore(max(1, len(service.events) - 2))
        limit = bound.restored
    elif kind == "cut-off":
        _cut_off(world, zone, relays)
        limit = bound.alone
    return StarFault(zone, len(relays), limit)


def _cut_off(world: World, zone: str, relays: Sequence[Node]) -> None:
    """Cut off a front that is not a relay from all other fronts, but not from the service."""
    node = world.random.choice([node for node in world.live() if node not in relays and node.zone == zone])
    alone = frozenset((node.index,))
    others = frozenset(range(len(world.nodes))) - alone
    cuts = world.network.cuts
    cuts["cut-off"] = alone, others
    cuts["cut-off", 1] = others, alone
    world.at(world.now + 40 * SECOND, cuts.clear)


def _end_outage(service: Service) -> None:
    """Return the service to normal and close the streams that were stalled."""
    streams = service.streams
    service.streams = {}
    service.set_mode("up")
    for node, serial in streams.items():  # a stalled stream has missed events
        service.send(node, serial, StreamClosed("ended"))
