"""The roles that are measured alone, each in a file of its own that is loaded when it is asked for.

`measure()` of each gives a Found (`limepath.scale.measured`). Processor times are user and system time of the
process measured, never wall-clock time, since the machine may be busy with other work. Each takes a bounded
time, all together under ten minutes on an idle machine.
"""

import os
import subprocess
import sys
import time
from importlib import import_module
from typing import NamedTuple

import psutil

from limepath.scale.measured import Fact

POLL = 0.02  # seconds between looks at a process that is coming up
PROFILE_SHOWN = 8  # functions
START_LIMIT = 60  # seconds that a process may take to come up


class Role(NamedTuple):
    """`module` holds `measure()`."""

    module: str
    purpose: str

    def measure(self):
        return import_module(f"limepath.scale.{self.module}").measure()


ROLES = {
    "decision": Role("roles_decision", "the decision module: processor time a request by caches and parents"),
    "idle": Role("roles_idle", "an idle front: memory and processor time by members of its list"),
    "listing": Role("roles_listing", "a list taken in: time, memory, packed size by members"),
    "relay": Role("roles_relay", "events at a relay: bytes, datagrams, processor time by followers"),
    "probes": Role("roles_probes", "check results told to all: bytes by targets and by fronts"),
    "membership": Role("roles_membership", "membership: set-up apart from running cost, joins, a return"),
    "view": Role("roles_view", "membership of one front alone, at the whole fleet's size"),
    "voter": Role("roles_voter", "a voter on leases: processor time of a claim by slots"),
    "console": Role("roles_console", "what an operator is shown of one front, by instances"),
    "data": Role("roles_data", "the data path: processor time a request by size of body"),
}


class Stuck(Exception):
    """A process that is measured never came up, or ended; the text tells which."""


def least_cpu(works, rounds=5):
    """For each of some callables the least processor time of its runs, in microseconds.

    Noise only adds to it. They take turns, so that a busy spell of the machine meets all of them.
    """
    least = [float("inf")] * len(works)
    for _ in range(rounds):
        for at, work in enumerate(works):
            began = time.process_time_ns()
            work()
            least[at] = min(least[at], (time.process_time_ns() - began) / 1000)
    return least


def profile_facts(stats):
    """Facts of the functions with the most own time in a profile's `stats`; waiting is left out."""
    own = {place: values[2] for place, values in stats.items() if "epoll" not in place[2]}
    total = sum(own.values())
    most = sorted(own, key=own.get, reverse=True)[:PROFILE_SHOWN]
    return tuple(
        Fact(f"profile {at}", name_of(place), "% of the profiled time", round(100 * own[place] / total, 1))
        for at, place in enumerate(most, 1)
    )


def name_of(place):
    """A profile's place (file, line, function) without the folders of this machine."""
    path, line, function = place
    for package in ("limepath", "twisted"):
        if f"{package}/" in path:
            return f"{package}/{path.rpartition(f'{package}/')[2]}:{line} {function}"
    return function


def process_cpu(pid):
    """Processor time of all threads of a process, in microseconds.

    The scheduler's count has nanoseconds (proc(5), schedstat); where the system has none, psutil's ticks do.
    """
    try:
        total = 0
        for thread in os.listdir(f"/proc/{pid}/task"):
            with open(f"/proc/{pid}/task/{thread}/schedstat", encoding="ascii") as file:
                total += int(file.read().split()[0])
        return total / 1000
    except OSError:
        times = psutil.Process(pid).cpu_times()
        return (times.user + times.system) * 1e6


def started(words, log, environment):
    """Start a Python process of the program with these words, its output in a file."""
    with open(log, "ab") as output:
        return subprocess.Popen(
            [sys.executable, *words],
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
            env=os.environ | {"PYTHONPATH": os.pathsep.join(filter(None, sys.path))} | environment,
        )


def await_line(process, log, text):
    """Wait until the log of a process holds a text; raise Stuck."""
    end = time.monotonic() + START_LIMIT
    while time.monotonic() < end:
        with open(log, encoding="utf-8", errors="replace") as file:
            if text in file.read():
                return
        if process.poll() is not None:
            break
        time.sleep(POLL)
    with open(log, encoding="utf-8", errors="replace") as file:
        raise Stuck(f"{text!r} never came: {file.read()[-300:]!r}")


def end(*processes):
    """End processes that were started here."""
    for process in processes:
        if process.poll() is None:
            process.terminate()
    for process in processes:
        try:
            process.wait(10)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def settings(zones=1, fronts=1):
    """A front's settings: one cacheable service, parents and an origin, links between zones."""
    ms = 1_000_000
    return {
        "az": 0,
        "replicas-of-me": fronts,
        "areas": [f"z{zone}" for zone in range(zones)] + ["hub"],
        "models": ["box", "parent", "origin"],
        "classes": [{"name": "video", "aim": 600 * ms, "deadline": 5000 * ms, "idempotency": "free"}],
        "family-info": {
            "mid-kind": 1,
            "master-kind": 2,
            "never-kept": [False],
            "direct": True,
            "heed-within": 300 * ms,
            "gone-everywhere": 6000 * ms,
            "one-flow-kb-per-s": 1000.0,
            "pipe-kb-per-s": [9000.0] * zones + [0.0],
        },
        "limits": {
            "max-attempts": 6,
            "cancel": True,
            "probing": True,
            "retry-after": True,
            "max-retry-after": 1000 * ms,
            "streams-per-conn": 32,
            "connect-timeout": 400 * ms,
            "conn-idle": 30_000 * ms,
            "max-open": 1000,
        },
        "stats": {"fields": ["rif", "busy"], "source": "probe"},
        "safety": {
            "cold-share": 0.2,
            "cold": 10_000 * ms,
            "overload-factor": 2,
            "tip-after": 1000 * ms,
            "answer-slack": 8 * ms,
            "drain-grace": 500 * ms,
        },
    }


def listed(index, address, flavor="box", area="z0"):
    """A member as the list service words it."""
    return {
        "id": f"{flavor[0]}-{index}",
        "host_port": address,
        "locality": area,
        "flavor": flavor,
        "cell": index % 4,
        "phase": "in_service",
        "size": 6,
        "up_since_ms": 0,
    }


def configuration(listen, members, changelog="127.0.0.1:9", sockets=1024):
    """A front's whole configuration, its list known at the start."""
    known = {
        "seq": 1,
        "results": [{"seq": 1, "fleet": {"revision": 1, "complete": True, "members": members}}],
    }
    return {
        "name": "n1",
        "listen": listen,
        "seed": "8c1f30d27a5be964",
        "changelog": changelog,
        "limits": {"memory_mb": 192, "sockets": sockets},
        "settings": settings(),
        "known": known,
    }
