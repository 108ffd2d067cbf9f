"""Runs one case: starts fronts by the deploy file's `run`, and ends all that it started.

A case is a coroutine that returns the broken rules as lines of text; none if the rule held.
"""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from stand_ins import HOST, Record

ROOT = Path(__file__).resolve().parents[2]
READY_S = 30.0  # a front that takes longer has not started (standing page)
TIME_LIMIT_S = 110.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
MS = 1_000_000  # nanoseconds

FIRST_PORT, LAST_PORT = 12_000, 31_000  # below the range that the system gives to outgoing connections


PR_SET_PDEATHSIG = 1  # prctl(2)


def end_with_parent() -> None:
    """Let the system end a started process once the one that runs the case has ended, however it did."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class CouldNotRunError(Exception):
    """The case could not be played; the message says why."""


def free_port() -> int:
    """Return a free TCP port on the loopback address."""
    port = FIRST_PORT + int.from_bytes(os.urandom(2), "big") % (LAST_PORT - FIRST_PORT)
    for _ in range(LAST_PORT - FIRST_PORT):
        port = port + 1 if port < LAST_PORT else FIRST_PORT
        with socket.socket() as candidate:
            try:
                candidate.bind((HOST, port))
            except OSError:
                continue
            return port
    raise CouldNotRunError("no free port")


class Front:
    """One front, started by the command of the deploy file."""

    def __init__(self, folder: Path, name: str, configuration: dict[str, Any], record: Record) -> None:
        self.name = name
        self.record = record
        self.address = f"{HOST}:{free_port()}"
        self.configuration = configuration
        self.folder = folder / name
        self.folder.mkdir(exist_ok=True)
        self.process: subprocess.Popen[bytes] | None = None

    def write_configuration(self, **changes: Any) -> None:  # noqa: ANN401
        """Replace the configuration file in one step."""
        self.configuration |= changes
        document = {"name": self.name, "listen": self.address, **self.configuration}
        new = self.folder / "front.json.new"
        new.write_text(json.dumps(document), encoding="utf-8")
        new.replace(self.folder / "front.json")

    async def start(self) -> None:
        """Start the front and wait until it answers its health check."""
        self.write_configuration(seed=f"{int.from_bytes(os.urandom(8), 'big'):016x}")
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        environment = os.environ | {
            "ROUTER_NAME": self.name,
            "ROUTER_LISTEN": self.address,
            "ROUTER_CONFIG": str(self.folder / "front.json"),
            "TMPDIR": str(self.folder),
        }
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=end_with_parent,
            )
        self.record.note(f"{self.name} is started, process {self.process.pid}")
        end = time.monotonic() + READY_S
        while not await self.is_healthy():
            if time.monotonic() > end or self.process.poll() is not None:
                raise CouldNotRunError(f"{self.name} did not become ready")
            await asyncio.sleep(0.02)
        self.record.note(f"{self.name} is ready")

    async def is_healthy(self) -> bool:
        """Return whether the health check answers 200."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(*self.address.split(":"))
                try:
                    writer.write(b"GET /_health HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
                    return b" 200 " in await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the front's process."""
        if self.process and self.process.poll() is None:
            self.record.note(f"{self.name} gets {number.name}")
            self.process.send_signal(number)

    def end(self) -> None:
        """End the process if it still runs, and note its log."""
        if self.process:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()
            self.process = None

    def note_log(self) -> None:
        """Add the lines of the front's log to the record."""
        path = self.folder / "log"
        if path.exists():
            for line in path.read_text(encoding="utf-8", errors="replace").splitlines()[-200:]:
                self.record.note(f"log of {self.name}: {line}", self.record.began)


class Lateness:
    """Measures by how much this process itself runs late; what it sees may be as much later than it was."""

    def __init__(self) -> None:
        self.worst = 0.0

    async def watch(self) -> None:
        """Measure until cancelled."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.01)
            self.worst = max(self.worst, time.monotonic() - before - 0.01)


class Case:
    """What a case is given: a folder, the record, and whether the disruption is played."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.fronts: list[Front] = []
        self.lateness = Lateness()

    def front(self, name: str, configuration: dict[str, Any]) -> Front:
        """Return a front that is ended with the case."""
        front = Front(self.folder, name, configuration, self.record)
        self.fronts.append(front)
        return front


def run(play: Callable[[Case], Awaitable[list[str]]], here: Path) -> None:
    """Play a case, write `record.txt` beside it, and exit with its status."""
    # Streams that are dropped after the loop has closed would only fill the output with complaints of that.
    sys.unraisablehook = lambda _: None
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, lambda *_: sys.exit(COULD_NOT_RUN))
    record = Record()
    status = COULD_NOT_RUN
    with tempfile.TemporaryDirectory(prefix="limepath-case-") as folder:
        case = Case(Path(folder), record)
        try:
            lines = asyncio.run(_bounded(play, case))
            status = BROKEN if lines else HELD
            for line in lines[:40]:
                record.note(f"BROKEN: {line}")
                print(line)
            print(f"{len(lines)} breaks; trouble {'on' if case.trouble else 'off'}")
        except Exception:  # noqa: BLE001
            record.note(f"could not run: {traceback.format_exc()}")
            traceback.print_exc()
        finally:
            for front in case.fronts:
                front.end()
                front.note_log()
        record.note(f"status {status}, trouble {'on' if case.trouble else 'off'}")
        record.write(here / "record.txt")
    sys.exit(status)


async def _bounded(play: Callable[[Case], Awaitable[list[str]]], case: Case) -> list[str]:
    watching = asyncio.create_task(case.lateness.watch())
    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            return await play(case)
    finally:
        watching.cancel()
        case.record.note(f"the stand-ins ran late by {case.lateness.worst:.3f} s at most")


def settings(**changes: Any) -> dict[str, Any]:  # noqa: ANN401
    """Return the settings of a small deployment like clubes-noroeste: one zone of caches and a hub."""
    base: dict[str, Any] = {
        "az": 0,
        "replicas-of-me": 1,
        "areas": ["escuela", "costa"],
        "models": ["caja-chica", "mayor", "archivo"],
        "weight-kind": "nominal",
        "classes": [
            {
                "name": "video-taller",
                "aim": 600 * MS,
                "aim-stretch": 1.6,
                "deadline": 5000 * MS,
                "idempotency": "free",
                "worth": 2.0,
            },
            {
                "name": "material",
                "aim": 250 * MS,
                "aim-stretch": 2.0,
                "deadline": 2500 * MS,
                "idempotency": "free",
                "worth": 1.0,
            },
            {
                "name": "entrega",
                "aim": 800 * MS,
                "deadline": 3000 * MS,
                "idempotency": "single_shot",
                "worth": 3.0,
            },
        ],
        "family-info": {
            "mid-kind": 1,
            "master-kind": 2,
            "never-kept": [False, False, True],
            "max-age": [0, 8000 * MS, 0],
            "class-grace": [0, 30_000 * MS, 0],
            "direct": True,
            "heed-within": 300 * MS,
            "gone-everywhere": 6000 * MS,
            "one-flow-kb-per-s": 6000.0,
            "pipe-kb-per-s": [120_000.0, 0.0],
            "zone-balancers": [1, 0],
            "hub-of": [1, 1],
            "lateral": "none",
            "parent-floor": 0.07,
            "parent-cold": 18_000 * MS,
            "upper-fall-multiple": 2.0,
        },
        "limits": {
            "max-attempts": 6,
            "cancel": True,
            "probing": True,
            "retry-after": True,
            "max-retry-after": 1000 * MS,
            "streams-per-conn": 32,
            "connect-timeout": 400 * MS,
            "conn-idle": 30_000 * MS,
            "max-open": 20_000,
            "second-copies": False,
        },
        "stats": {"fields": ["rif", "busy"], "source": "probe"},
        "safety": {
            "cold-share": 0.18,
            "cold": 17_000 * MS,
            "overload-factor": 2.5,
            "tip-after": 1500 * MS,
            "answer-slack": 8 * MS,
            "drain-grace": 500 * MS,
        },
    }
    return base | changes


def configuration(change_log: str, known: dict[str, Any], the_settings: dict[str, Any]) -> dict[str, Any]:
    """Return a front's configuration without its name, address and seed."""
    return {
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "changelog": change_log,
        "known": known,
        "settings": the_settings,
    }
