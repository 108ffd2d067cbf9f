"""Membership alone in virtual time: running cost apart from set-up, a join, a region's return.

Each size runs in a process of its own (`python -m limepath.scale.roles_membership WHAT SIZE` prints one JSON
object), so that memory and processor time are those of one size. Bytes are those of sealed datagrams, without
the system's headers. Processor time includes the simulator's own (its calendar and clocks): an upper bound.
"""

import gc
import json
import subprocess
import sys
import time
from collections import Counter

import msgspec
import psutil

from limepath.configuration.sharing_settings import DutyMode, DutySettings, LeaseSettings, MembershipTimeouts
from limepath.duties.world import Node, World
from limepath.membership.guard import HEADER_BYTES, SEAL_BYTES
from limepath.scale.measured import RoleResult, Series

SECOND = 1_000_000
STEADY, JOINS, RETURNS = (125, 250, 500, 1000, 2000), (60, 125, 250, 500, 1000), (30, 60, 125, 250, 500)
WARM, SPAN = 10 * SECOND, 10 * SECOND
JOIN_LIMIT = 60 * SECOND
REGIONS, CUT, HEALING = 10, 90 * SECOND, 120 * SECOND
LIMIT = 240  # seconds of one size


class Fleet(World):
    """Counts what each instance sends and is sent, by whole virtual second."""

    def __init__(self, instances):
        plan = DutySettings("probe", DutyMode.AT_LEAST_ONCE, 3600 * SECOND)
        super().__init__(instances, 0, (plan,), MembershipTimeouts(), LeaseSettings(), 1)
        self.sent, self.received = {}, {}
        self.packing = msgspec.msgpack.Encoder()

    def send(self, node, me, order):
        size = (
            len(self.packing.encode((me, order.to, self.messages, order.message))) + HEADER_BYTES + SEAL_BYTES
        )
        second = self.now // SECOND
        for kept, index in ((self.sent, node.index), (self.received, int(order.host))):
            kept.setdefault(second, Counter())[index] += size
        super().send(node, me, order)

    def bytes_of(self, kept, index, first, last):
        return sum(kept.get(second, {}).get(index, 0) for second in range(first, last))

    def total(self, first, last):
        return sum(sum(self.sent.get(second, {}).values()) for second in range(first, last))


def set_up(instances):
    """A fleet whose instances all know each other, as after a quiet time."""
    fleet = Fleet(instances)
    fleet.start(True)
    return fleet


def steady(instances):
    """Set-up and running cost, told apart."""
    resident = psutil.Process().memory_info().rss
    began = time.process_time()
    fleet = set_up(instances)
    set_up_cpu = time.process_time() - began
    views = psutil.Process().memory_info().rss - resident
    fleet.run(WARM)
    messages, began = fleet.messages, time.process_time()
    fleet.run(WARM + SPAN)
    spent, seconds = time.process_time() - began, SPAN / SECOND
    first, last = WARM // SECOND, (WARM + SPAN) // SECOND
    sent = sorted(fleet.bytes_of(fleet.sent, index, first, last) for index in range(instances))
    return {
        "set-up": 1000 * set_up_cpu / instances,
        "set-up by member": 1e6 * set_up_cpu / instances**2,
        "cpu": 100 * spent / instances / seconds,
        "datagrams": (fleet.messages - messages) / instances / seconds,
        "bytes": sum(sent) / instances / seconds,
        "worst bytes": sent[-1] / seconds,
        "view": views / instances**2,
    }


def join(instances):
    """One that starts with nothing but seeds, into a fleet that knows itself."""
    fleet = set_up(instances)
    fleet.run(WARM)
    node = Node(fleet, instances)
    fleet.nodes.append(node)
    began = fleet.now
    node.start([(str(seed), 7946) for seed in range(3)])
    node.begin()
    while len(node.instance.members.ring) < instances and fleet.now < began + JOIN_LIMIT:
        fleet.run(fleet.now + SECOND // 10)
    knows, until = fleet.now - began, fleet.now // SECOND + 1
    while not fleet.views_agree() and fleet.now < began + JOIN_LIMIT:
        fleet.run(fleet.now + SECOND // 2)
    if not fleet.views_agree():
        raise ValueError(f"{instances} instances: views never agreed")
    first = began // SECOND
    return {
        "join bytes": fleet.bytes_of(fleet.received, node.index, first, until) / 1000,
        "join sent": fleet.bytes_of(fleet.sent, node.index, first, until) / 1000,
        "join time": knows / SECOND,
        "join known": (fleet.now - began) / SECOND,
    }


def back(instances):
    """One of REGIONS cut off for CUT, until all are one view again."""
    fleet = set_up(instances)
    fleet.run(WARM)
    first = WARM // SECOND
    region = frozenset(range(instances // REGIONS or 1))
    others = frozenset(range(instances)) - region
    calm = fleet.total(first - 5, first) / 5 / instances
    fleet.network.cuts["region"], fleet.network.cuts["others"] = (region, others), (others, region)
    fleet.run(WARM + CUT)
    fleet.network.cuts.clear()
    healed = fleet.now
    while not fleet.views_agree() and fleet.now < healed + HEALING:
        fleet.run(fleet.now + SECOND)
    if not fleet.views_agree():
        raise ValueError(f"{instances} instances: views never agreed")
    at, until = healed // SECOND, fleet.now // SECOND
    worst = max(max(fleet.sent[second].values()) for second in range(at, until))
    lost = max(max(fleet.sent[second].values()) for second in range(first, at))
    return {
        "return time": (fleet.now - healed) / SECOND,
        "return bytes": fleet.total(at, until) / instances / (until - at),
        "return worst": worst / 1000,
        "cut worst": lost / 1000,
        "return multiple": worst / calm,
    }


TOLD = {
    "set-up": ("a view made whole at once", "ms of CPU an instance"),
    "set-up by member": ("the same by member of the view", "us of CPU"),
    "cpu": ("membership after set-up, calm, with the simulator's work", "% of a core"),
    "datagrams": ("membership, calm", "datagrams/s"),
    "bytes": ("membership sent, calm, mean", "bytes/s"),
    "worst bytes": ("membership sent, calm, worst instance", "bytes/s"),
    "view": ("a view, by member", "bytes"),
    "join bytes": ("received by one that joins until it knows all", "KB"),
    "join sent": ("sent by it", "KB"),
    "join time": ("until it knows all", "s"),
    "join known": ("until all know it", "s"),
    "return time": ("from a cut's end until all views are one", "s"),
    "return bytes": ("membership sent meanwhile, mean", "bytes/s"),
    "return worst": ("membership sent meanwhile, worst instance in its worst second", "KB/s"),
    "cut worst": ("membership sent in the cut, worst instance in its worst second", "KB/s"),
    "return multiple": ("worst second after the cut by the calm mean", "times"),
}
WAYS = {"steady": (steady, STEADY), "join": (join, JOINS), "back": (back, RETURNS)}


def alone(what, size):
    """Measure one size in a process of its own."""
    done = subprocess.run(
        [sys.executable, "-m", __name__, what, str(size)],
        capture_output=True,
        text=True,
        timeout=LIMIT,
        check=False,
    )
    if done.returncode:
        raise ValueError(f"{what} {size}: {done.stderr.strip().splitlines()[-1:]}")
    return json.loads(done.stdout)


def measure():
    """Return the RoleResult of membership."""
    rows = {name: [] for name in TOLD}
    for what, (_, sizes) in WAYS.items():
        for size in sizes:
            for name, value in alone(what, size).items():
                rows[name].append((size, round(value, 4)))
    return RoleResult(
        tuple(
            Series(name, *TOLD[name], "instances", tuple(points), "virtual time")
            for name, points in rows.items()
        ),
        notes=(
            f"running cost over {SPAN // SECOND} s after {WARM // SECOND} s; one of {REGIONS} regions cut "
            f"off for {CUT // SECOND} s; no loss",
        ),
    )


if __name__ == "__main__":
    gc.disable()  # the views of a fleet would be scanned over and over
    print(json.dumps(WAYS[sys.argv[1]][0](int(sys.argv[2]))))
