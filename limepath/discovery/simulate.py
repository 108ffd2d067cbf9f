"""A cold start and a day of the list in virtual time: hundreds of fronts, one list service, the logic of the
real program.

The same seed gives the same table. `alone`: each front calls as the program without relays does (pauses that
double from 0.1 to 0.6 s), for comparison.
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


class Found(NamedTuple):
    """What a run gave: the rows of its table, what happened when, and the world as it ended."""

    rows: list[CheckResult]
    log: list[str]
    world: World


def most_in(times: Sequence[int], span: int) -> int:
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


class Calm(NamedTuple):
    """What was measured before the first fault, in microseconds and in order."""

    ready: list[int]  # from the service's return until a front was ready
    late: list[int]  # how late an event was at a front


def simulated(
    fronts: int = 200,
    zones: int = 2,
    seed: int = 1,
    down: int = 12 * SECOND,
    loss: float = 0.0,
    alone: bool = False,
    kinds: Sequence[str] = (),
    caches: int = 40,
    terms: DiscoverySettings | None = None,
    spans: MembershipTimeouts = MembershipTimeouts(),
    saved: float = 0.0,
) -> Found:
    """Start all fronts at once with the list service refusing for `down`; then cause faults in turn.

    `alone`: each front calls as the program without relays does. `saved` is the share of fronts that hold a
    saved list.
    """
    terms = terms or DiscoverySettings(fronts=fronts)
    world = World(fronts, zones, seed, terms, loss, alone, caches, spans)
    bound = bounds(terms, fronts, zones)
    log: list[str] = []
    if saved:
        _save_lists(world, saved)
    _schedule_start(world, down)
    with _collection_paused():
        calm = _run_calm(world, down)
        rows = _calm_rows(world, bound, calm)
        rows += [failing(world, kind, bound, log) for kind in kinds]
        behind = [node.index for node in world.live() if node.front != len(world.service.events)]
    rows += _load_rows(world, bound, len(behind))
    return Found(rows, log, world)


@contextmanager
def _collection_paused() -> Iterator[None]:
    """Without the garbage collector, which finds nothing here and takes long."""
    collecting = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if collecting:
            gc.enable()


def _schedule_start(world: World, down: int) -> None:
    """Schedule the start of all fronts and the service's return."""
    service = world.service
    world.at(SECOND // 2, service.send_comments)
    service.set_mode("down")
    for node in world.nodes:
        world.at(world.chance.randrange(200 * MS), node.start, world.seeds(node.index))
    world.at(down, service.set_mode, "up")


def _run_calm(world: World, down: int) -> Calm:
    """Run until all fronts are ready and some events have come."""
    world.run(down)
    while world.now < down + 60 * SECOND and any(node.ready_at is None for node in world.nodes):
        world.run(world.now + 100 * MS)
    ready = sorted((node.ready_at or world.now) - down for node in world.nodes)
    world.run(world.now + 2 * world.terms.beat)  # each subscribes to its relays by then
    add_events(world, 5)
    world.run(world.now + 5 * SECOND)
    return Calm(ready, [late for late, _, _ in world.lates])


def _calm_rows(world: World, bound: Bounds, calm: Calm) -> list[CheckResult]:
    """How soon fronts were ready, and how late events were, against the bounds."""
    ready = calm.ready
    event_limit = bound.repaired + 8 * world.terms.beat if world.loss else bound.event
    return [
        CheckResult("fronts", len(world.nodes)),
        CheckResult("zones", world.zones),
        CheckResult("ready after the service's return, median, s", seconds(ready[len(ready) // 2])),
        CheckResult("the same, 95%, s", seconds(ready[len(ready) * 95 // 100])),
        at_most("the same, all, s", seconds(ready[-1]), seconds(bound.ready)),
        at_most(
            "an event at the last front, nothing failing, s",
            seconds(max(calm.late, default=0)),
            seconds(event_limit),
        ),
    ]


def _load_rows(world: World, bound: Bounds, behind: int) -> list[CheckResult]:
    """What the service and the fronts had to bear, against the bounds; `behind` fronts lack events."""
    calls = sorted(world.service.calls)
    rate = int(world.terms.rate)
    most = max(world.service.most_streams.values(), default=0)
    if world.loss:
        streams = CheckResult("most streams of one zone (fronts that heard of nobody among them)", most)
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
        CheckResult("messages of the list per front and second", list_messages),
        CheckResult("all messages per front and second", all_messages),
    ]


def _save_lists(world: World, share: float) -> None:
    """Some fronts hold lists of another day, at different numbers."""
    for _ in range(8):
        world.service.add({"fleet": {"revision": 2, "members": [member(f"s-{world.chance.randrange(40)}")]}})
    for node in world.nodes:
        if world.chance.random() < share:
            held = EndpointList()
            for text in world.service.events[: world.chance.randrange(1, 9)]:
                held.apply(parse_event(text))
            node.saved = held.pack()


def add_events(world: World, count: int) -> None:
    """So many events, 200 ms apart: drains and purges."""
    for step in range(count):
        name = f"s-{world.chance.randrange(40)}"
        event = (
            {"invalidate": {"bucket": step, "time": 0}}
            if step % 2
            else {"fleet": {"revision": 3, "members": [member(name, "terminating")]}}
        )
        world.at(world.now + step * 200 * MS, world.service.add, event)


class StarFault(NamedTuple):
    """Where a fault was caused, and how late an event may be at any front then, in microseconds."""

    zone: str
    streams: int  # of the zone, as the fault began
    limit: int


def failing(world: World, kind: str, bound: Bounds, log: list[str]) -> CheckResult:
    """Cause one fault, add an event in that very moment, and return the row on how late it came."""
    since = world.now
    world.lates = []
    fault = _cause(world, kind, bound)
    world.service.add({"invalidate": {"bucket": 900 + len(log), "time": 0}})
    newest = len(world.service.events)
    last = None
    while world.now < since + fault.limit + 30 * SECOND:
        world.run(world.now + 50 * MS)
        if all(node.front == newest and node.ready_at for node in world.live()):
            last = world.now
            break
    world.run(max(world.now, since + 45 * SECOND))
    log.append(f"at {since / 1e6:.1f} s  {kind} in {fault.zone}, {fault.streams} streams there")
    late = (last or world.now) - since
    what = f"{kind}: an event told then, at the last living front, s"
    return at_most(what, seconds(late), seconds(fault.limit))


def _cause(world: World, kind: str, bound: Bounds) -> StarFault:
    """Cause one fault in a zone drawn at random."""
    service, now = world.service, world.now
    zone = world.chance.choice(sorted({node.zone for node in world.nodes}))
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
        world.at(now + 6 * SECOND, _again, service)
        limit = 6 * SECOND + bound.stream_still
    elif kind == "restored":
        service.restore(max(1, len(service.events) - 2))
        limit = bound.restored
    elif kind == "cut-off":
        _cut_off(world, zone, relays)
        limit = bound.alone
    return StarFault(zone, len(relays), limit)


def _cut_off(world: World, zone: str, relays: Sequence[Node]) -> None:
    """Cut one that follows off from all other fronts, not from the service."""
    node = world.chance.choice([node for node in world.live() if node not in relays and node.zone == zone])
    alone = frozenset((node.index,))
    others = frozenset(range(len(world.nodes))) - alone
    cuts = world.network.cuts
    cuts["cut-off"] = alone, others
    cuts["cut-off", 1] = others, alone
    world.at(world.now + 40 * SECOND, cuts.clear)


def _again(service: Service) -> None:
    """The service is up again; streams that stood still end."""
    streams = service.streams
    service.streams = {}
    service.set_mode("up")
    for node, serial in streams.items():  # what stood still is of no use any more
        service.send(node, serial, StreamClosed("ended"))
