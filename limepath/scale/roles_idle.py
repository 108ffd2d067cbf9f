"""An idle front: real processes that hold a list and serve nobody; memory, processor time, start, profile.

The processes of all sizes idle side by side over one span (each needs a hundredth of a core or two). The list
is known at the start; no member listens, so that no connection is open. A profile of one more process, with
its own overhead in it, tells where the time goes.
"""

import json
import os
import pstats
import socket
import tempfile
import time

import psutil

from limepath.scale.measured import Fact, Found, Series
from limepath.scale.roles import await_line, configuration, end, listed, process_cpu, profile_facts, started
from limepath.testbed.process import HOST, free_ports

SIZES = (8, 200, 500, 1000, 1400, 5000)
SETTLE, SPAN, PROFILED = 4.0, 30.0, 20.0  # seconds
PROFILED_SIZE, STARTS = 1400, 3
NOBODY, FEW = f"{HOST}:9", 8
PEERS = """[instance]
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
    """One process with a list of `members`."""

    def __init__(self, folder, members, port, words=()):
        self.members, self.log = members, os.path.join(folder, f"{members}.log")
        file = os.path.join(folder, f"{members}.json")
        told = configuration(f"{HOST}:{port}", [listed(index, NOBODY) for index in range(members)])
        with open(file, "w", encoding="utf-8") as out:
            json.dump(told, out)
        self.process = started([*(words or ("-m", "limepath"))], self.log, {"ROUTER_CONFIG": file})

    def ready(self):
        await_line(self.process, self.log, "event=ready")

    def cpu(self):
        return process_cpu(self.process.pid)

    def memory(self):
        """Megabytes: resident, and of those the ones that no other process shares."""
        told = psutil.Process(self.process.pid).memory_full_info()
        return round(told.rss / 1e6, 1), round(told.uss / 1e6, 1)


def measure():
    """Give the Found of an idle front."""
    with tempfile.TemporaryDirectory() as folder:
        ports = free_ports(socket.SOCK_STREAM, len(SIZES) + 1)
        fronts = []
        try:
            starts = [(members, least_start(folder, members, ports[-1])) for members in SIZES]
            for members, port in zip(SIZES, ports, strict=False):
                fronts.append(IdleFront(folder, members, port))
            for front in fronts:
                front.ready()
            time.sleep(SETTLE)
            before = [(time.monotonic(), front.cpu()) for front in fronts]
            time.sleep(SPAN)
            shares, memory = [], []
            for front, (at, spent) in zip(fronts, before, strict=True):
                share = (front.cpu() - spent) / (time.monotonic() - at) / 1e6
                shares.append((front.members, round(100 * share, 3)))
                memory.append((front.members, *front.memory()))
        finally:
            end(*(front.process for front in fronts))
        facts, note = profiled(folder, ports[-1])
        facts += (sharing(folder),)
    size, source = "members of the list", "real process"
    return Found(
        (
            Series("cpu", "an idle front", "% of a core", size, tuple(shares), source),
            Series("memory", "an idle front, resident", "MB", size, tuple(row[:2] for row in memory), source),
            Series("private", "the same, not shared", "MB", size, tuple(row[::2] for row in memory), source),
            Series("start", "a start, until ready", "s of CPU", size, tuple(starts), source),
        ),
        facts,
        (f"processor time over {SPAN:.0f} s, all sizes side by side", note),
    )


def least_start(folder, members, port):
    """The least of STARTS starts of a front, until it is ready: seconds of processor time."""
    least = float("inf")
    for _ in range(STARTS):
        front = IdleFront(folder, members, port)
        try:
            front.ready()
            least = min(least, front.cpu() / 1e6)
        finally:
            end(front.process)
        os.unlink(front.log)
    return round(least, 3)


def sharing(folder):
    """The memory of a front that shares, alone in its fleet and with a short list."""
    port, *_ = free_ports(socket.SOCK_STREAM, 1)
    datagrams, *_ = free_ports(socket.SOCK_DGRAM, 1)
    keys, file = os.path.join(folder, "peers.keys"), os.path.join(folder, "peers.ini")
    with open(os.open(keys, os.O_WRONLY | os.O_CREAT, 0o600), "w", encoding="ascii") as out:
        out.write(os.urandom(32).hex() + "\n")
    with open(file, "w", encoding="utf-8") as out:
        out.write(PEERS.format(host=HOST, port=datagrams))
    front = IdleFront(folder, FEW, port, ("-m", "limepath", "run", "--peers", file))
    try:
        await_line(front.process, front.log, "event=sharing")
        time.sleep(SETTLE)
        resident, _ = front.memory()
    finally:
        end(front.process)
    return Fact("sharing", f"resident where it shares, a list of {FEW}, nobody else there", "MB", resident)


def profiled(folder, port):
    """Where an idle front's time goes: facts of the functions with the most time of their own, and a note."""
    file = os.path.join(folder, "profile")
    front = IdleFront(folder, PROFILED_SIZE, port, ("-c", PROFILING, file))
    try:
        front.ready()
        time.sleep(PROFILED)
    finally:
        end(front.process)
    note = f"profile at {PROFILED_SIZE:,} members over {PROFILED - 2:.0f} s, waiting left out"
    return profile_facts(pstats.Stats(file).stats), note


PROFILING = """
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
