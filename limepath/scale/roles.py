"""The roles whose cost is measured in isolation, and helpers that their modules share.

Each role has a module of its own, imported on demand, whose `measure()` returns a RoleResult
(`limepath.scale.measured`). Processor times are the user and system time of the measured process, not
wall-clock time, because the machine may run other work. Each measurement takes a bounded time; all together
take under ten minutes on an idle machine.
"""

import os
import subprocess
import sys
import time
from importlib import import_module
from typing import NamedTuple

import psutil

from limepath.scale.measured import Fact

POLL_INTERVAL_S = 0.02  # seconds between two reads of the log of a starting process
PROFILE_FUNCTIONS = 8  # number of functions in a profile's facts
START_TIMEOUT_S = 60  # seconds that a process may take to start


class Role(NamedTuple):
    """A measured role; `module` is the name of the module in this package that defines its `measure()`."""

    module: str
    purpose: str

    def measure(self):
        return import_module(f"limepath.scale.{self.module}").measure()


ROLES = {
    "decision": Role(
        "roles_decision",
        "the decision module: processor time per request, by number of caches and of parents",
    ),
    "idle": Role("roles_idle", "an idle front: memory and processor time, by members of its list"),
    "listing": Role(
        "roles_listing", "loading an endpoint list: processor time, memory and packed size, by members"
    ),
    "relay": Role("roles_relay", "events at a relay: bytes, datagrams and processor time, by followers"),
    "probes": Role("roles_probes", "sharing of check results: bytes, by targets and by fronts"),
    "membership": Role(
        "roles_membership", "membership: set-up cost, running cost, a join, the return of a region"
    ),
    "view": Role("roles_view", "membership of a single front at the size of the whole fleet"),
    "voter": Role("roles_voter", "a lease voter: processor time per claim, by slots"),
    "console": Role(
        "roles_console", "the membership view of one front as shown to an operator, by instances"
    ),
    "data": Role("roles_data", "the data path: processor time per request, by body size"),
}


class ProcessStartError(Exception):
    """A process did not log the expected text in time, or ended first; the message holds the log."""


def minimum_cpu_us(functions, rounds=5):
    """Return the lowest processor time of `rounds` runs of each function, in microseconds.

    The minimum is taken because noise only adds processor time. The functions run in turn, so that a
    period of high load on the machine affects all of them.
    """
    minimum_us = [float("inf")] * len(functions)
    for _ in range(rounds):
        for index, function in enumerate(functions):
            start = time.process_time_ns()
            function()
            minimum_us[index] = min(minimum_us[index], (time.process_time_ns() - start) / 1000)
    return minimum_us


def hottest_functions(stats):
    """Return Facts of the functions with the most own time in `stats` of a profile, without epoll."""
    own_time = {location: values[2] for location, values in stats.items() if "epoll" not in location[2]}
    total = sum(own_time.values())
    hottest = sorted(own_time, key=own_time.get, reverse=True)[:PROFILE_FUNCTIONS]
    return tuple(
        Fact(
            f"profile {index}",
            format_profile_location(location),
            "% of the profiled time",
            round(100 * own_time[location] / total, 1),
        )
        for index, location in enumerate(hottest, 1)
    )


def format_profile_location(location):
    """Format a profile's (file, line, function) with the path relative to the parent of its package."""
    path, line, function = location
    for package in ("limepath", "twisted"):
        if f"{package}/" in path:
            return f"{package}/{path.rpartition(f'{package}/')[2]}:{line} {function}"
    return function


def process_cpu_us(pid):
    """Return the processor time of all threads of a process, in microseconds.

    Uses the scheduler's counters, which have nanosecond resolution (proc(5), schedstat). Where the system
    does not provide them, falls back to psutil, which has the resolution of a clock tick.
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


def start_process(arguments, log, environment):
    """Start a Python process with these arguments and append its output to the file `log`."""
    with open(log, "ab") as output:
        return subprocess.Popen(
            [sys.executable, *arguments],
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
            env=os.environ | {"PYTHONPATH": os.pathsep.join(filter(None, sys.path))} | environment,
        )


def wait_for_log_text(process, log, text):
    """Wait until the log of a process contains `text`; raise ProcessStartError on failure."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        with open(log, encoding="utf-8", errors="replace") as file:
            if text in file.read():
                return
        if process.poll() is not None:
            break
        time.sleep(POLL_INTERVAL_S)
    with open(log, encoding="utf-8", errors="replace") as file:
        raise ProcessStartError(
            f"{text!r} not found in the log of the process; its last 300 characters: {file.read()[-300:]!r}"
        )


def terminate_processes(*processes):
    """Terminate the processes that still run and wait for all; kill those that do not end within 10 s."""
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
    """Return the settings of a front: one cacheable service, parents, an origin, and links between zones."""
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


def member_entry(index, address, flavor="box", zone="z0"):
    """Return a member of the endpoint list in the discovery service's format."""
    return {
        "id": f"{flavor[0]}-{index}",
        "host_port": address,
        "locality": zone,
        "flavor": flavor,
        "cell": index % 4,
        "phase": "in_service",
        "size": 6,
        "up_since_ms": 0,
    }


def configuration(listen, members, changelog="127.0.0.1:9", sockets=1024):
    """Return the complete configuration of a front whose endpoint list is known at the start."""
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
