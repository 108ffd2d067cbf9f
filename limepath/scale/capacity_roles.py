"""The capacity of all roles beside a plain front's, in a calm hour. Free of I/O."""

from limepath.configuration.process_limits import Limits
from limepath.configuration.sharing_settings import DiscoverySettings
from limepath.discovery.bounds import bounds
from limepath.scale.capacity_lines import Kind, Lines
from limepath.scale.capacity_size import BUDGET, SIZE
from limepath.scale.estimates import assumed, missing, total

RELAYS = DiscoverySettings().relays
STREAMS = RELAYS * SIZE.zones
INTERVAL = 5.0  # seconds between checks of a target: the shipped default
SLOTS, RENEWAL = 32, 0.75  # of a duty with one owner; seconds between renewals (a quarter of 3 s)
PUSHES = "pushes to followers, discovery/"
BY_CODE = "computed by discovery/bounds.py from the default settings"


def relay(figures):
    """The lines of the front of a zone that sends most of the list."""
    lines = Lines("a relay or inner node")

    def at(name):
        return figures.at("relay", name, SIZE.zone_fronts)

    socket, datagrams, logic = figures.fact("relay", "datagram"), at("datagrams"), at("cpu")
    system = missing("not measured")
    if None not in (datagrams.value, socket.value):
        system = datagrams._replace(value=datagrams.value * socket.value / 1e4, unit="% of a core")
    add = lines.add
    what = f"events of the list sent by the busiest of {SIZE.zone_fronts}"
    add(Kind.MESSAGES, what, at("bytes"), PUSHES, BUDGET.bytes)
    add(Kind.MESSAGES, "the same, datagrams", datagrams, PUSHES)
    what = "list traffic received by the one that receives most"
    add(Kind.MESSAGES, what, at("received"), "subscriptions, discovery/", BUDGET.bytes)
    add(Kind.PROCESSOR, "list logic and sealing", logic, PUSHES, BUDGET.cpu)
    add(Kind.PROCESSOR, "the system's work for datagrams", system, "membership/host.py", BUDGET.cpu)
    add(Kind.PROCESSOR, "these together", total([logic, system], "% of a core"), "", BUDGET.cpu)
    what = f"until an event is at the last of {SIZE.zone_fronts}, calm"
    add(Kind.STATE, what, figures.fact("relay", "reach worst"), PUSHES, SIZE.everywhere)
    settling = figures.fact("relay", "settling")
    if settling.value is not None:
        add(Kind.STATE, "the same, told just after all started", settling, PUSHES, SIZE.everywhere)
    add(Kind.STATE, "span of the events kept for those behind", window(figures), "discovery/")
    add(Kind.STATE, "span of the purges kept in a list", purge_span(figures), "discovery/endpoint_list.py")
    return lines.lines


def window(figures):
    """Seconds of events that are kept for those behind, at the rate that is coming."""
    span, kept = figures.fact("relay", "window"), figures.fact("relay", "events kept")
    if span.value is not None or kept.value is None:
        return span
    return kept.times(1 / SIZE.purges, "s", f"{kept.value:,g} events")


def purge_span(figures):
    """Seconds of purges that a list keeps, at the rate that is coming."""
    span, kept = figures.fact("relay", "purge span"), figures.fact("relay", "purges kept")
    if span.value is not None or kept.value is None:
        return span
    return kept.times(1 / SIZE.purges, "s", f"{kept.value:,g} purges")


def list_service(figures):
    """The lines of the list service, which is not ours: what we ask of it."""
    lines = Lines("the list service")
    event = figures.fact("listing", "event")
    if event.value is not None:
        event = event.times(SIZE.purges * STREAMS / 1e3, "KB/s", f"{STREAMS} streams")
    promised = bounds(DiscoverySettings(fronts=SIZE.fronts), SIZE.fronts, SIZE.zones)
    streams = assumed(float(STREAMS), "streams", f"{RELAYS} relays a zone")
    lines.add(Kind.STATE, "streams held", streams, "discovery/")
    lines.add(Kind.MESSAGES, "purges told, text alone", event, "the service is not ours")
    calls = assumed(promised.calls, "a second", BY_CODE)
    lines.add(Kind.MESSAGES, "calls of the whole fleet, at most", calls, "discovery/call_budget.py")
    for kind in (Kind.PROCESSOR, Kind.MEMORY):
        lines.add(kind, "of the service itself", missing("not ours, a stand-in in our runs"), "not ours")
    return lines.lines


def voter(figures):
    """The lines of a voter on leases."""
    lines = Lines("a voter")
    reason = f"at most {SLOTS} owners by duty, each renews every {RENEWAL} s"
    claims = assumed(SLOTS / RENEWAL, "a second by duty", reason)
    lines.add(Kind.MESSAGES, "claims answered", claims, "duties/voter.py")
    each = figures.at("voter", "claim", 1)
    if each.value is not None:
        each = each.times(claims.value / 1e4, "% of a core by duty", f"{claims.value:.1f} claims a second")
    lines.add(Kind.PROCESSOR, "claims answered", each, "duties/voter.py", BUDGET.cpu)
    fixed = missing("a fixed list of names; a change wants a restart of every front")
    lines.add(Kind.STATE, "a voter's machine replaced", fixed, "configuration/peers.py")
    return lines.lines


def cache(figures):
    """The lines of a cache as seen by us."""
    lines = Lines("a cache, as seen by us")
    each = Limits._field_defaults["cache_connections"]
    by_front = f"{each} by front"
    requests = assumed(SIZE.requests / SIZE.caches, "a second", "shared evenly among all")
    lines.add(Kind.MESSAGES, "requests", requests, "hash order, decisions/")
    checks = assumed(1 / INTERVAL, "a second", "duties shared by the whole fleet")
    lines.add(Kind.MESSAGES, "checks", checks, "duties/schedule.py")
    for what, fronts in (("its site", SIZE.site_fronts), ("its zone", SIZE.zone_fronts)):
        figure = assumed(fronts * each, "at most", by_front)
        lines.add(Kind.STATE, f"connections of the fronts of {what}", figure, "front/caches.py")
    return lines.lines


def machines(figures):
    """The lines of the machines set aside for control."""
    lines = Lines(f"the {SIZE.machines} control machines")
    streams = assumed(STREAMS / SIZE.machines, "streams", "the list service on all of them")
    lines.add(Kind.STATE, "streams of the list by machine", streams, "the service is not ours")
    told = missing("no program of ours runs there")
    lines.add(Kind.MESSAGES, "changes of configuration told to all", told, "none")
    gathered = missing("nobody gathers it")
    lines.add(Kind.STATE, "what all fronts spend and hold", gathered, "none")
    return lines.lines


def console(figures):
    """The lines of an operator's console."""
    lines = Lines("an operator's console")
    text, cpu = figures.at("console", "shown", SIZE.fronts), figures.at("console", "cpu", SIZE.fronts)
    shown = "cli/membership.py, membership/control.py"
    lines.add(Kind.MESSAGES, "one front's view shown", text, shown)
    lines.add(Kind.PROCESSOR, "the same, at the front, which stands meanwhile", cpu, shown)
    if text.value is not None:
        whole = text.times(SIZE.fronts / 1e6, "GB", f"{SIZE.fronts:,} fronts asked one by one")
        lines.add(Kind.MESSAGES, "all fronts' views shown", whole, shown)
    lines.add(Kind.STATE, "all fronts, or where they differ", missing("one front at a time"), "none")
    return lines.lines
