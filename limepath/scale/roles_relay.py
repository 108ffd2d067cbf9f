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

from limepath.duties.interface import MESSAGES as DUTY_MESSAGES
from limepath.listing.interface import MESSAGES as LIST_MESSAGES
from limepath.listing.interface import Terms
from limepath.listing.simulate import World
from limepath.peers.guard import Guard, Key
from limepath.peers.interface import MESSAGES, Spans
from limepath.scale.measured import Fact, Found, Series
from limepath.scale.roles_listing import purge

FRONTS = (10, 20, 40, 80, 160, 260)  # of one zone; 260 is the zone's size at 5,200 fronts and 20 zones
CACHES = 40
EVENTS = 36  # a second
SECOND = 1_000_000
SETTLED, SPAN, REACH = 5 * SECOND, 5 * SECOND, 2 * SECOND
LIMIT = 120 * SECOND
ROUNDS, ROUND, DATAGRAM = 400, 50, 200  # datagrams and their bytes, for the socket's cost


class Zone(World):
    """One zone's fronts; counts what each sends of the list, and the processor time that it takes."""

    def __init__(self, fronts):
        super().__init__(fronts, 1, 1, Terms(fronts=fronts), 0.0, False, CACHES, Spans())
        types = (*MESSAGES, *LIST_MESSAGES, *DUTY_MESSAGES)
        secret = (Key(b"abcd", os.urandom(32)),)
        self.guards = [Guard(secret, types) for _ in self.nodes]
        self.clear()

    def clear(self):
        self.datagrams, self.bytes, self.cpu, self.received, self.taken = (Counter() for _ in range(5))

    def send(self, node, order):
        if isinstance(order.message, LIST_MESSAGES):
            began = time.thread_time_ns()
            sealed = self.guards[node.index].seal(node.members.me, order.to, order.message)
            self.cpu[node.index] += time.thread_time_ns() - began
            self.datagrams[node.index] += 1
            self.bytes[node.index] += len(sealed)
            self.received[int(order.host)] += len(sealed)
            self.taken[int(order.host)] += 1
        super().send(node, order)

    def timed(self, node):
        """Let the node's list logic be timed from now on."""
        handle = node.logic.handle

        def handled(now, notes=()):
            began = time.thread_time_ns()
            orders = handle(now, notes)
            self.cpu[node.index] += time.thread_time_ns() - began
            return orders

        node.logic.handle = handled


def played(fronts):
    """A zone with EVENTS purges a second; give the Zone after SPAN of them."""
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
    zone.clear()
    zone.lates.clear()
    for node in zone.nodes:
        zone.timed(node)
    zone.run(zone.now + SPAN)
    return zone


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


def window():
    """Events that a front keeps for those behind, and how: a count, or a span in seconds."""
    from limepath.listing import relay, state

    if kept := getattr(relay, "KEPT", None):
        yield Fact("events kept", "events kept for those behind", "events", kept)
    elif span := getattr(Terms(), "window", None):
        yield Fact("window", "span of events kept for those behind", "s", span / 1e6)
    if kept := getattr(state, "KEPT_PURGES", None):
        yield Fact("purges kept", "purges kept in the list", "purges", kept)


def measure():
    """Give the Found of events in a zone."""
    names = ("bytes", "datagrams", "cpu", "received", "median bytes")
    rows, facts = {name: [] for name in names}, []
    collecting = gc.isenabled()
    gc.disable()
    try:
        for fronts in FRONTS:
            zone = played(fronts)
            seconds = SPAN / SECOND
            sent = sorted(zone.bytes[node.index] for node in zone.nodes)
            rows["bytes"].append((fronts, round(max(sent) / seconds / 1000, 3)))
            rows["median bytes"].append((fronts, round(sent[len(sent) // 2] / seconds / 1000, 3)))
            rows["datagrams"].append((fronts, round(max(zone.datagrams.values()) / seconds, 1)))
            rows["cpu"].append((fronts, round(max(zone.cpu.values()) / SPAN / 10, 3)))
            rows["received"].append((fronts, round(max(zone.received.values()) / seconds / 1000, 3)))
            lates = sorted(late for late, _, _ in zone.lates)
    finally:
        if collecting:
            gc.enable()
    facts += [
        Fact(
            "reach median", f"an event at a front of {FRONTS[-1]}, median", "s", lates[len(lates) // 2] / 1e6
        ),
        Fact(
            "reach worst", f"the same, at the last front, worst of {SPAN // SECOND} s", "s", lates[-1] / 1e6
        ),
        Fact(
            "datagram",
            f"a datagram of {DATAGRAM} bytes sent on loopback",
            "us of CPU",
            round(datagram_cost(), 2),
        ),
        *window(),
    ]
    told = {
        "bytes": ("list traffic sent by the busiest front", "KB/s"),
        "datagrams": ("the same, datagrams", "a second"),
        "cpu": ("the same, list logic and sealing, without the socket", "% of a core"),
        "received": ("list traffic received by the front that receives most", "KB/s"),
        "median bytes": ("list traffic sent by the median front", "KB/s"),
    }
    return Found(
        tuple(
            Series(name, *told[name], "fronts of a zone", tuple(rows[name]), "virtual time") for name in names
        ),
        tuple(facts),
        (f"{EVENTS} purges a second for {SPAN // SECOND} s, no loss; datagrams without IP and UDP headers",),
    )
