"""Events at the fronts of one zone, in virtual time through the real logic of the list and of membership.

Every datagram is sealed as on the socket (`Guard.seal`), so that bytes are those sent, without the system's
headers (28 a datagram). Processor time of a front is that of its list logic and of sealing what the list
sends; the socket's share is measured apart, by datagrams sent on loopback.
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

FRONTS = (10, 20, 40, 80, 160, 260)  # of one zone; 260 is the zone's size at 5,200 fronts and 20 zones
CACHES = 40
EVENTS = 36  # a second
SECOND = 1_000_000
TREE, TREE_ROLE = "limepath.discovery.simulate_tree", "limepath.scale.roles_tree"  # where fronts have sites
SETTLED, SPAN, REACH, ARRIVE = 5 * SECOND, 5 * SECOND, 2 * SECOND, 7_300_000
LIMIT = 120 * SECOND
ROUNDS, ROUND, DATAGRAM = 400, 50, 200  # datagrams and their bytes, for the socket's cost


class Traffic:
    """Of the list, by front's index: what each sent and received, and the processor time that it took."""

    def __init__(self):
        self.bytes, self.datagrams, self.cpu, self.received = Counter(), Counter(), Counter(), Counter()

    def counted(self, sender, to, size):
        self.bytes[sender] += size
        self.datagrams[sender] += 1
        self.received[to] += size

    def timed(self, index, logic):
        """Let a front's list logic be timed from now on."""
        handle = logic.handle

        def handled(now, notes=()):
            began = time.thread_time_ns()
            orders = handle(now, notes)
            self.cpu[index] += time.thread_time_ns() - began
            return orders

        logic.handle = handled


class Played(NamedTuple):
    """What SPAN of events gave; `late` are microseconds until an event was at a front, in order.

    `lost` counts what was not at a front ARRIVE after the last event; `settling` is the worst of an event
    told while the fleet had just got the list, None where it was not looked at.
    """

    fronts: int
    traffic: Traffic
    late: list
    lost: int
    settling: int | None = None

    def busiest(self, kind):
        """The most of one kind at any front, a second."""
        return max(getattr(self.traffic, kind).values()) / (SPAN / SECOND)

    def median_bytes(self):
        """Of bytes sent, a second."""
        sent = sorted(self.traffic.bytes[index] for index in range(self.fronts))
        return sent[len(sent) // 2] / (SPAN / SECOND)


class Zone(World):
    """One zone's fronts without sites, with their membership."""

    def __init__(self, fronts):
        super().__init__(
            fronts, 1, 1, DiscoverySettings(fronts=fronts), 0.0, False, CACHES, MembershipTimeouts()
        )
        types = (*MESSAGES, *LIST_MESSAGES, *DUTY_MESSAGES)
        secret = (Key(b"abcd", os.urandom(32)),)
        self.guards = [Guard(secret, types) for _ in self.nodes]
        self.traffic = Traffic()

    def send(self, node, order):
        if isinstance(order.message, LIST_MESSAGES):
            began = time.thread_time_ns()
            sealed = self.guards[node.index].seal(node.members.me, order.to, order.message)
            self.traffic.cpu[node.index] += time.thread_time_ns() - began
            self.traffic.counted(node.index, int(order.host), len(sealed))
        super().send(node, order)


def played(fronts):
    """A zone with EVENTS purges a second; give what was Played in SPAN of them."""
    zone = Zone(fronts)
    zone.at(SECOND // 2, zone.service.comment)
    for node in zone.nodes:
        zone.at(zone.chance.randrange(SECOND), node.start, zone.seeds(node.index))
    while any(node.ready_at is None for node in zone.nodes) and zone.now < LIMIT:
        zone.run(zone.now + SECOND)
    zone.run(zone.now + SETTLED)
    for number in range(EVENTS * (REACH + SPAN) // SECOND):
        zone.at(zone.now + number * SECOND // EVENTS, zone.service.add, purge(number))
    zone.run(zone.now + REACH)
    zone.traffic = Traffic()
    zone.lates.clear()
    for node in zone.nodes:
        zone.traffic.timed(node.index, node.logic)
    since = zone.now
    zone.run(since + SPAN)
    traffic, zone.traffic = zone.traffic, Traffic()
    zone.run(zone.now + ARRIVE)
    told = {number for (_, number), at in zone.service.added_at.items() if since <= at < since + SPAN}
    late = sorted(late for late, number, _ in zone.lates if number in told)
    return Played(fronts, traffic, late, fronts * len(told) - len(late))


def datagram_cost():
    """Microseconds of processor time for a datagram sent to a socket of this machine that has room for it."""
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as to,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as out,
    ):
        to.bind(("127.0.0.1", 0))
        to.setblocking(False)
        where, data, spent = to.getsockname(), bytes(DATAGRAM), 0
        for _ in range(ROUNDS):
            began = time.thread_time_ns()
            for _ in range(ROUND):
                out.sendto(data, where)
            spent += time.thread_time_ns() - began
            for _ in range(ROUND):
                to.recv(DATAGRAM)
        return spent / ROUNDS / ROUND / 1000


def settling(one):
    """How late an event was at the last front, told just after all had got the list."""
    if one.settling is not None:
        what = f"an event at the last front of {one.fronts}, told just after all started"
        yield Fact("settling", what, "s", one.settling / 1e6)


def window():
    """Events that a front keeps for those behind, and how: a count, or a span in seconds."""
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
    way = import_module(TREE_ROLE).played if find_spec(TREE) else played
    collecting = gc.isenabled()
    gc.disable()
    try:
        for fronts in FRONTS:
            one = way(fronts)
            rows["bytes"].append((fronts, round(one.busiest("bytes") / 1000, 3)))
            rows["median bytes"].append((fronts, round(one.median_bytes() / 1000, 3)))
            rows["datagrams"].append((fronts, round(one.busiest("datagrams"), 1)))
            rows["cpu"].append((fronts, round(one.busiest("cpu") / 1e7, 3)))
            rows["received"].append((fronts, round(one.busiest("received") / 1000, 3)))
    finally:
        if collecting:
            gc.enable()
    late = one.late
    facts += [
        Fact("reach median", f"an event at a front of {FRONTS[-1]}, median", "s", late[len(late) // 2] / 1e6),
        Fact("reach worst", f"the same, at the last front, worst of {SPAN // SECOND} s", "s", late[-1] / 1e6),
        Fact(
            "datagram",
            f"a datagram of {DATAGRAM} bytes sent on loopback",
            "us of CPU",
            round(datagram_cost(), 2),
        ),
        Fact("lost", f"events of {SPAN // SECOND} s not at a front after 7.3 s", "events", one.lost),
        *settling(one),
        *window(),
    ]
    told = {
        "bytes": ("list traffic sent by the busiest front", "KB/s"),
        "datagrams": ("the same, datagrams", "a second"),
        "cpu": ("the same, list logic and sealing, without the socket", "% of a core"),
        "received": ("list traffic received by the front that receives most", "KB/s"),
        "median bytes": ("list traffic sent by the median front", "KB/s"),
    }
    form = "trees below its roots" if find_spec(TREE) else "a star below each relay"
    return RoleResult(
        tuple(
            Series(name, *told[name], "fronts of a zone", tuple(rows[name]), "virtual time") for name in names
        ),
        tuple(facts),
        (f"{form}; {EVENTS} purges a second for {SPAN // SECOND} s, no loss; no IP and UDP headers",),
    )
