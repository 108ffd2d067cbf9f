"""Measures membership alone in virtual time: set-up cost, running cost, a join and the return of a region.

Each size runs in a process of its own (`python -m limepath.scale.roles_membership SCENARIO SIZE` prints one
JSON object), so that memory and processor time are those of one size. Bytes are those of sealed datagrams,
without IP and UDP headers. Processor time is an upper bound, because it includes the simulator's own (its
calendar and clocks).
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

SECOND_US = 1_000_000
STEADY_SIZES, JOIN_SIZES, RETURN_SIZES = (
    (125, 250, 500, 1000, 2000),
    (60, 125, 250, 500, 1000),
    (30, 60, 125, 250, 500),
)
WARM_UP_US, MEASURE_US = 10 * SECOND_US, 10 * SECOND_US
JOIN_TIMEOUT_US = 60 * SECOND_US
REGIONS, CUT_US, HEALING_TIMEOUT_US = 10, 90 * SECOND_US, 120 * SECOND_US
SIZE_TIMEOUT_S = 240  # timeout of the subprocess that measures one size


class CountingWorld(World):
    """A simulated fleet that counts the bytes that each instance sends and receives per virtual second."""

    def __init__(self, instances):
        duty = DutySettings("probe", DutyMode.AT_LEAST_ONCE, 3600 * SECOND_US)
        super().__init__(instances, 0, (duty,), MembershipTimeouts(), LeaseSettings(), 1)
        self.sent, self.received = {}, {}
        self.encoder = msgspec.msgpack.Encoder()

    def send(self, node, me, order):
        size = (
            len(self.encoder.encode((me, order.to, self.messages, order.message))) + HEADER_BYTES + SEAL_BYTES
        )
        second = self.now // SECOND_US
        for per_second, index in ((self.sent, node.index), (self.received, int(order.host))):
            per_second.setdefault(second, Counter())[index] += size
        super().send(node, me, order)

    def instance_bytes(self, per_second, index, first, last):
        return sum(per_second.get(second, {}).get(index, 0) for second in range(first, last))

    def total_sent_bytes(self, first, last):
        return sum(sum(self.sent.get(second, {}).values()) for second in range(first, last))


def converged_fleet(instances):
    """Return a fleet in which every instance has all others in its view, as after a time without changes."""
    fleet = CountingWorld(instances)
    fleet.start(True)
    return fleet


def measure_steady_state(instances):
    """Measure set-up cost and running cost separately."""
    resident_before = psutil.Process().memory_info().rss
    start = time.process_time()
    fleet = converged_fleet(instances)
    set_up_cpu = time.process_time() - start
    views_bytes = psutil.Process().memory_info().rss - resident_before
    fleet.run(WARM_UP_US)
    messages, start = fleet.messages, time.process_time()
    fleet.run(WARM_UP_US + MEASURE_US)
    cpu_s, seconds = time.process_time() - start, MEASURE_US / SECOND_US
    first, last = WARM_UP_US // SECOND_US, (WARM_UP_US + MEASURE_US) // SECOND_US
    sent = sorted(fleet.instance_bytes(fleet.sent, index, first, last) for index in range(instances))
    return {
        "set-up": 1000 * set_up_cpu / instances,
        "set-up by member": 1e6 * set_up_cpu / instances**2,
        "cpu": 100 * cpu_s / instances / seconds,
        "datagrams": (fleet.messages - messages) / instances / seconds,
        "bytes": sum(sent) / instances / seconds,
        "worst bytes": sent[-1] / seconds,
        "view": views_bytes / instances**2,
    }


def measure_join(instances):
    """Measure an instance that joins a converged fleet and has only seed addresses at its start."""
    fleet = converged_fleet(instances)
    fleet.run(WARM_UP_US)
    node = Node(fleet, instances)
    fleet.nodes.append(node)
    start = fleet.now
    node.start([(str(seed), 7946) for seed in range(3)])
    node.begin()
    while len(node.instance.members.ring) < instances and fleet.now < start + JOIN_TIMEOUT_US:
        fleet.run(fleet.now + SECOND_US // 10)
    join_duration, until = fleet.now - start, fleet.now // SECOND_US + 1
    while not fleet.views_agree() and fleet.now < start + JOIN_TIMEOUT_US:
        fleet.run(fleet.now + SECOND_US // 2)
    if not fleet.views_agree():
        raise ValueError(f"{instances} instances: views did not agree within the time limit")
    first = start // SECOND_US
    return {
        "join bytes": fleet.instance_bytes(fleet.received, node.index, first, until) / 1000,
        "join sent": fleet.instance_bytes(fleet.sent, node.index, first, until) / 1000,
        "join time": join_duration / SECOND_US,
        "join known": (fleet.now - start) / SECOND_US,
    }


def measure_region_return(instances):
    """Measure a fleet after one of REGIONS was cut off for CUT_US, until all views agree again."""
    fleet = converged_fleet(instances)
    fleet.run(WARM_UP_US)
    first = WARM_UP_US // SECOND_US
    region = frozenset(range(instances // REGIONS or 1))
    others = frozenset(range(instances)) - region
    calm_rate = fleet.total_sent_bytes(first - 5, first) / 5 / instances
    fleet.network.cuts["region"], fleet.network.cuts["others"] = (region, others), (others, region)
    fleet.run(WARM_UP_US + CUT_US)
    fleet.network.cuts.clear()
    healed = fleet.now
    while not fleet.views_agree() and fleet.now < healed + HEALING_TIMEOUT_US:
        fleet.run(fleet.now + SECOND_US)
    if not fleet.views_agree():
        raise ValueError(f"{instances} instances: views did not agree within the time limit")
    first_healed, until = healed // SECOND_US, fleet.now // SECOND_US
    worst = max(max(fleet.sent[second].values()) for second in range(first_healed, until))
    worst_in_cut = max(max(fleet.sent[second].values()) for second in range(first, first_healed))
    return {
        "return time": (fleet.now - healed) / SECOND_US,
        "return bytes": fleet.total_sent_bytes(first_healed, until) / instances / (until - first_healed),
        "return worst": worst / 1000,
        "cut worst": worst_in_cut / 1000,
        "return multiple": worst / calm_rate,
    }


SERIES_TEXTS = {
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
SCENARIOS = {
    "steady": (measure_steady_state, STEADY_SIZES),
    "join": (measure_join, JOIN_SIZES),
    "back": (measure_region_return, RETURN_SIZES),
}


def run_in_subprocess(scenario, size):
    """Measure one size of a scenario in a subprocess; return its values by name."""
    process = subprocess.run(
        [sys.executable, "-m", __name__, scenario, str(size)],
        capture_output=True,
        text=True,
        timeout=SIZE_TIMEOUT_S,
        check=False,
    )
    if process.returncode:
        raise ValueError(f"{scenario} {size}: {process.stderr.strip().splitlines()[-1:]}")
    return json.loads(process.stdout)


def measure():
    """Return the RoleResult of membership."""
    rows = {name: [] for name in SERIES_TEXTS}
    for scenario, (_, sizes) in SCENARIOS.items():
        for size in sizes:
            for name, value in run_in_subprocess(scenario, size).items():
                rows[name].append((size, round(value, 4)))
    return RoleResult(
        tuple(
            Series(name, *SERIES_TEXTS[name], "instances", tuple(points), "virtual time")
            for name, points in rows.items()
        ),
        notes=(
            f"running cost over {MEASURE_US // SECOND_US} s after {WARM_UP_US // SECOND_US} s; "
            f"one of {REGIONS} regions cut off for {CUT_US // SECOND_US} s; no loss",
        ),
    )


if __name__ == "__main__":
    gc.disable()  # the collector would scan the views of the fleet repeatedly
    print(json.dumps(SCENARIOS[sys.argv[1]][0](int(sys.argv[2]))))
