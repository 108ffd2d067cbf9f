"""Measures events at the fronts of one zone, in virtual time with the real list and membership logic.

Every datagram is sealed as on the socket (`Guard.seal`), so that bytes are those sent, without IP and UDP
headers (28 bytes per datagram). A front's processor time is that of its list logic and of sealing the list's
datagrams; the cost of the socket is measured separately, with datagrams sent on loopback.
"""

import gc
import os
import socket
import time
from collections import Counter
from importlib import import_module
from importlib.util import find_spec
from typing import NamedTuple

from limepath.configuration.sharing_settings import DiscoverySettings, MembershipTimeouts
from limepath.discovery.interface import MESSAGES as LIST_MESSAGES
from limepath.discovery.star_world import World
from limepath.duties.interface import MESSAGES as DUTY_MESSAGES
from limepath.membership.guard import Guard, Key
from limepath.membership.interface import MESSAGES
from limepath.scale.measured import Fact, RoleResult, Series
from limepath.scale.roles_listing import purge

FRONTS = (10, 20, 40, 80, 160, 260)  # in one zone; 260 is the zone's size with 5,200 fronts in 20 zones
CACHES = 40
EVENTS_PER_S = 36  # purges per second
SECOND_US = 1_000_000
TREE_MODULE, TREE_ROLE_MODULE = "limepath.discovery.simulate_tree", "limepath.scale.roles_tree"  # for sites
SETTLE_US, MEASURE_US, WARM_UP_US, ARRIVAL_LIMIT_US = 5 * SECOND_US, 5 * SECOND_US, 2 * SECOND_US, 7_300_000
START_LIMIT_US = 120 * SECOND_US
SEND_ROUNDS, DATAGRAMS_PER_ROUND, DATAGRAM_BYTES = 400, 50, 200  # for `datagram_cost`


class Traffic:
    """List traffic by front index: bytes and datagrams sent, bytes received, processor time in ns."""

    def __init__(self):
        self.bytes, self.datagrams, self.cpu, self.received = Counter(), Counter(), Counter(), Counter()

    def count_datagram(self, sender, to, size):
        self.bytes[sender] += size
        self.datagrams[sender] += 1
        self.received[to] += size

    def time_logic(self, index, logic):
        """Measure the processor time of a front's list logic from now on."""
        handle = logic.handle

        def timed_handle(now, notes=()):
            start = time.thread_time_ns()
            orders = handle(now, notes)
            self.cpu[index] += time.thread_time_ns() - start
            return orders

        logic.handle = timed_handle


class EventRun(NamedTuple):
    """The result of MEASURE_US of events.

    `latencies_us` holds, sorted, the microseconds until each event arrived at each front. `lost` counts the
    events that had not arrived at a front ARRIVAL_LIMIT_US after the last event. `settling` is the longest
    latency of the events sent just after the fleet had received the list; None where it was not measured.
    """

    fronts: int
    traffic: Traffic
    latencies_us: list
    lost: int
    settling: int | None = None

    def busiest_rate(self, kind):
        """Return the highest rate of one kind of traffic at any front, per second."""
        return max(getattr(self.traffic, kind).values()) / (MEASURE_US / SECOND_US)

    def median_bytes_rate(self):
        """Return the bytes per second that the median front sent."""
        sent = sorted(self.traffic.bytes[index] for index in range(self.fronts))
        return sent[len(sent) // 2] / (MEASURE_US / SECOND_US)


class Zone(World):
    """The fronts of one zone, without sites, with their membership."""

    def __init__(self, fronts):
        super().__init__(
            fronts, 1, 1, DiscoverySettings(fronts=fronts), 0.0, False, CACHES, MembershipTimeouts()
        )
        types = (*MESSAGES, *LIST_MESSAGES, *DUTY_MESSAGES)
        keys = (Key(b"abcd", os.urandom(32)),)
        self.guards = [Guard(keys, types) for _ in self.nodes]
        self.traffic = Traffic()

    def send(self, node, order):
        if isinstance(order.message, LIST_MESSAGES):
            start = time.thread_time_ns()
            sealed = self.guards[node.index].seal(node.members.me, order.to, order.message)
            self.traffic.cpu[node.index] += time.thread_time_ns() - start
            self.traffic.count_datagram(node.index, int(order.host), len(sealed))
        super().send(node, order)


def measure_events(fronts):
    """Run a zone with EVENTS_PER_S purges per second; return the EventRun of MEASURE_US."""
    zone = Zone(fronts)
    zone.at(SECOND_US // 2, zone.service.send_comments)
    for node in zone.nodes:
        zone.at(zone.random.randrange(SECOND_US), node.start, zone.seeds(node.index))
    while any(node.ready_at is None for node in zone.nodes) and zone.now < START_LIMIT_US:
        zone.run(zone.now + SECOND_US)
    zone.run(zone.now + SETTLE_US)
    for number in range(EVENTS_PER_S * (WARM_UP_US + MEASURE_US) // SECOND_US):
        zone.at(zone.now + number * SECOND_US // EVENTS_PER_S, zone.service.add, purge(number))
    zone.run(zone.now + WARM_UP_US)
    zone.traffic = Traffic()
    zone.delays.clear()
    for node in zone.nodes:
        zone.traffic.time_logic(node.index, node.logic)
    since = zone.now
    zone.run(since + MEASURE_US)
    traffic, zone.traffic = zone.traffic, Traffic()
    zone.run(zone.now + ARRIVAL_LIMIT_US)
    measured_numbers = {
        number for (_, number), at in zone.service.added_at.items() if since <= at < since + MEASURE_US
    }
    late = sorted(late for late, number, _ in zone.delays if number in measured_numbers)
    return EventRun(fronts, traffic, late, fronts * len(measured_numbers) - len(late))


def datagram_cost():
    """Return the processor time of sending a datagram to a local socket with free buffer, in microseconds."""
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as to,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as out,
    ):
        to.bind(("127.0.0.1", 0))
        to.setblocking(False)
        address, data, cpu_ns = to.getsockname(), bytes(DATAGRAM_BYTES), 0
        for _ in range(SEND_ROUNDS):
            start = time.thread_time_ns()
            for _ in range(DATAGRAMS_PER_ROUND):
                out.sendto(data, address)
            cpu_ns += time.thread_time_ns() - start
            for _ in range(DATAGRAMS_PER_ROUND):
                to.recv(DATAGRAM_BYTES)
        return cpu_ns / SEND_ROUNDS / DATAGRAMS_PER_ROUND / 1000


def settling(one):
    """Yield a Fact: the latency, at the last front, of an event sent just after all received the list."""
    if one.settling is not None:
        what = f"an event at the last front of {one.fronts}, told just after all started"
        yield Fact("settling", what, "s", one.settling / 1e6)


def window():
    """Yield Facts: the events and purges that a front keeps for late fronts, as counts or spans."""
    from limepath.discovery import endpoint_list, engine

    if span := getattr(DiscoverySettings(), "window", None):
        yield Fact("window", "span of events kept for those behind", "s", span / 1e6)
    elif kept := getattr(engine, "KEPT", None):
        yield Fact("events kept", "events kept for those behind", "events", kept)
    if kept := getattr(endpoint_list, "KEPT_PURGES", None):
        yield Fact("purges kept", "purges kept in the list", "purges", kept)
    elif span := getattr(endpoint_list, "PURGE_RETENTION_US", None):
        yield Fact("purge span", "span of purges kept in the list", "s", span / 1e6)


def measure():
    """Return the RoleResult of events in a zone."""
    names = ("bytes", "datagrams", "cpu", "received", "median bytes")
    rows, facts = {name: [] for name in names}, []
    measure_zone = (
        import_module(TREE_ROLE_MODULE).measure_events if find_spec(TREE_MODULE) else measure_events
    )
    collecting = gc.isenabled()
    gc.disable()
    try:
        for fronts in FRONTS:
            one = measure_zone(fronts)
            rows["bytes"].append((fronts, round(one.busiest_rate("bytes") / 1000, 3)))
            rows["median bytes"].append((fronts, round(one.median_bytes_rate() / 1000, 3)))
            rows["datagrams"].append((fronts, round(one.busiest_rate("datagrams"), 1)))
            rows["cpu"].append((fronts, round(one.busiest_rate("cpu") / 1e7, 3)))
            rows["received"].append((fronts, round(one.busiest_rate("received") / 1000, 3)))
    finally:
        if collecting:
            gc.enable()
    late = one.latencies_us
    facts += [
        Fact("reach median", f"an event at a front of {FRONTS[-1]}, median", "s", late[len(late) // 2] / 1e6),
        Fact(
            "reach worst",
            f"the same, at the last front, worst of {MEASURE_US // SECOND_US} s",
            "s",
            late[-1] / 1e6,
        ),
        Fact(
            "datagram",
            f"a datagram of {DATAGRAM_BYTES} bytes sent on loopback",
            "us of CPU",
            round(datagram_cost(), 2),
        ),
        Fact("lost", f"events of {MEASURE_US // SECOND_US} s not at a front after 7.3 s", "events", one.lost),
        *settling(one),
        *window(),
    ]
    texts = {
        "bytes": ("list traffic sent by the busiest front", "KB/s"),
        "datagrams": ("the same, datagrams", "a second"),
        "cpu": ("the same, list logic and sealing, without the socket", "% of a core"),
        "received": ("list traffic received by the front that receives most", "KB/s"),
        "median bytes": ("list traffic sent by the median front", "KB/s"),
    }
    form = "trees below its roots" if find_spec(TREE_MODULE) else "a star below each relay"
    return RoleResult(
        tuple(
            Series(name, *texts[name], "fronts of a zone", tuple(rows[name]), "virtual time")
            for name in names
        ),
        tuple(facts),
        (
            f"{form}; {EVENTS_PER_S} purges a second for {MEASURE_US // SECOND_US} s, no loss; "
            "no IP and UDP headers",
        ),
    )
