"""Measures an idle front: memory, processor time, start and profile of processes with a list and no clients.

The processes of all sizes run side by side over the same period; each needs 1% to 2% of a core. The list is
known at the start. No member listens, so that no connection is open. A profile of one more process, which
includes the profiler's overhead, shows where the time is spent.
"""

import json
import os
import pstats
import socket
import tempfile
import time

import psutil

from limepath.scale.measured import Fact, RoleResult, Series
from limepath.scale.roles import (
    configuration,
    hottest_functions,
    member_entry,
    process_cpu_us,
    start_process,
    terminate_processes,
    wait_for_log_text,
)
from limepath.testbed.process import HOST, free_ports

SIZES = (8, 200, 500, 1000, 1400, 5000)
SETTLE_S, MEASURE_S, PROFILE_RUN_S = 4.0, 30.0, 20.0
PROFILED_MEMBERS, START_RUNS = 1400, 3
CLOSED_ADDRESS, SHORT_LIST_SIZE = f"{HOST}:9", 8
PEERS_TEMPLATE = """[instance]
name = n1
store = n1.db
[peers]
listen = {host}:{port}
seeds = {host}:{port}
keys = peers.keys
[duty probe]
interval = 5s
[listing]
fronts = 5200
"""


class IdleFront:
    """A front process whose endpoint list has `members` members."""

    def __init__(self, folder, members, port, arguments=()):
        self.members, self.log = members, os.path.join(folder, f"{members}.log")
        file = os.path.join(folder, f"{members}.json")
        config = configuration(
            f"{HOST}:{port}", [member_entry(index, CLOSED_ADDRESS) for index in range(members)]
        )
        with open(file, "w", encoding="utf-8") as out:
            json.dump(config, out)
        self.process = start_process([*(arguments or ("-m", "limepath"))], self.log, {"ROUTER_CONFIG": file})

    def ready(self):
        wait_for_log_text(self.process, self.log, "event=ready")

    def cpu_us(self):
        return process_cpu_us(self.process.pid)

    def memory_mb(self):
        """Return the resident memory and the part of it that no other process shares, in megabytes."""
        memory = psutil.Process(self.process.pid).memory_full_info()
        return round(memory.rss / 1e6, 1), round(memory.uss / 1e6, 1)


def measure():
    """Return the RoleResult of an idle front."""
    with tempfile.TemporaryDirectory() as folder:
        ports = free_ports(socket.SOCK_STREAM, len(SIZES) + 1)
        fronts = []
        try:
            starts = [(members, minimum_start_cpu_s(folder, members, ports[-1])) for members in SIZES]
            for members, port in zip(SIZES, ports, strict=False):
                fronts.append(IdleFront(folder, members, port))
            for front in fronts:
                front.ready()
            time.sleep(SETTLE_S)
            before = [(time.monotonic(), front.cpu_us()) for front in fronts]
            time.sleep(MEASURE_S)
            shares, memory = [], []
            for front, (at, cpu_before_us) in zip(fronts, before, strict=True):
                share = (front.cpu_us() - cpu_before_us) / (time.monotonic() - at) / 1e6
                shares.append((front.members, round(100 * share, 3)))
                memory.append((front.members, *front.memory_mb()))
        finally:
            terminate_processes(*(front.process for front in fronts))
        facts, note = profile_idle_front(folder, ports[-1])
        facts += (sharing_front_memory(folder),)
    size, source = "members of the list", "real process"
    return RoleResult(
        (
            Series("cpu", "an idle front", "% of a core", size, tuple(shares), source),
            Series("memory", "an idle front, resident", "MB", size, tuple(row[:2] for row in memory), source),
            Series("private", "the same, not shared", "MB", size, tuple(row[::2] for row in memory), source),
            Series("start", "a start, until ready", "s of CPU", size, tuple(starts), source),
        ),
        facts,
        (f"processor time over {MEASURE_S:.0f} s, all sizes side by side", note),
    )


def minimum_start_cpu_s(folder, members, port):
    """Return the lowest processor time of START_RUNS starts of a front until it is ready, in seconds."""
    minimum_s = float("inf")
    for _ in range(START_RUNS):
        front = IdleFront(folder, members, port)
        try:
            front.ready()
            minimum_s = min(minimum_s, front.cpu_us() / 1e6)
        finally:
            terminate_processes(front.process)
        os.unlink(front.log)
    return round(minimum_s, 3)


def sharing_front_memory(folder):
    """Return a Fact: the memory of a front with sharing that is alone in its fleet and has a short list."""
    port, *_ = free_ports(socket.SOCK_STREAM, 1)
    datagram_port, *_ = free_ports(socket.SOCK_DGRAM, 1)
    keys, file = os.path.join(folder, "peers.keys"), os.path.join(folder, "peers.ini")
    with open(os.open(keys, os.O_WRONLY | os.O_CREAT, 0o600), "w", encoding="ascii") as out:
        out.write(os.urandom(32).hex() + "\n")
    with open(file, "w", encoding="utf-8") as out:
        out.write(PEERS_TEMPLATE.format(host=HOST, port=datagram_port))
    front = IdleFront(folder, SHORT_LIST_SIZE, port, ("-m", "limepath", "run", "--peers", file))
    try:
        wait_for_log_text(front.process, front.log, "event=sharing")
        time.sleep(SETTLE_S)
        resident_mb, _ = front.memory_mb()
    finally:
        terminate_processes(front.process)
    return Fact(
        "sharing",
        f"resident where it shares, a list of {SHORT_LIST_SIZE}, nobody else there",
        "MB",
        resident_mb,
    )


def profile_idle_front(folder, port):
    """Profile an idle front; return Facts of the functions with the most own time, and a note."""
    file = os.path.join(folder, "profile")
    front = IdleFront(folder, PROFILED_MEMBERS, port, ("-c", PROFILE_SCRIPT, file))
    try:
        front.ready()
        time.sleep(PROFILE_RUN_S)
    finally:
        terminate_processes(front.process)
    note = f"profile at {PROFILED_MEMBERS:,} members over {PROFILE_RUN_S - 2:.0f} s, waiting left out"
    return hottest_functions(pstats.Stats(file).stats), note


PROFILE_SCRIPT = """
import cProfile, runpy, sys
from twisted.internet import reactor
profile, run = cProfile.Profile(), reactor.run
def profiled(**words):
    reactor.callLater(2, profile.enable)
    run(**words)
    profile.disable()
reactor.run = profiled
file = sys.argv[1]
sys.argv = ["limepath"]
from limepath.front.start import main
status = main()
profile.dump_stats(file)
sys.exit(status)
"""
