"""The processes of a scale run: those of hollow fronts, told what to do on their standard input, and those of
the real program beside them. Signals go to processes that were started here, by id.
"""

import os
import signal
import subprocess
import sys
import threading
from typing import NamedTuple

import psutil

from limepath.membership.control import ControlSocketError, request_view
from limepath.scale.control import BadLine, End, Report, decode_reply, encode
from limepath.scale.pace import boottime_us
from limepath.testbed.process import Process

ENDING = 5  # seconds that a hollow process has to end by itself
ASKING = 3  # seconds that a real one may take to tell its view


class HollowFailed(Exception):
    """A hollow process ended, or answered that it could not do what it was told; the text says which."""


class Reported(NamedTuple):
    """A Reply to a Report, when it was asked for and when it was read, of CLOCK_BOOTTIME."""

    asked_us: int
    read_us: int
    reply: object


class HollowProcess:
    """One process of hollow fronts. `do` blocks and may be called from any thread."""

    def __init__(self, number, config):
        self.number, self.lock = number, threading.Lock()
        self.process = subprocess.Popen(
            [sys.executable, "-m", "limepath.scale.hollow_process", config],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=open(config.removesuffix(".json") + ".stderr", "ab"),  # noqa: SIM115 - the process's own
            env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
        )

    def do(self, command):
        """Send one Command; give the Reply. HollowFailed."""
        with self.lock:
            try:
                self.process.stdin.write(encode(command))
                self.process.stdin.flush()
                line = self.process.stdout.readline()
            except (OSError, ValueError) as error:
                raise HollowFailed(f"hollow process {self.number}: {error}") from None
        if not line:
            raise HollowFailed(f"hollow process {self.number}: ended with status {self.process.poll()}")
        try:
            reply = decode_reply(line)
        except BadLine as error:
            raise HollowFailed(f"hollow process {self.number}: {error}") from None
        if not reply.ok:
            raise HollowFailed(f"hollow process {self.number}: {reply.error}")
        return reply

    def report(self):
        asked = boottime_us()
        reply = self.do(Report())
        return Reported(asked, boottime_us(), reply)

    def end(self):
        try:
            self.do(End())
            self.process.wait(ENDING)
        except (HollowFailed, subprocess.TimeoutExpired):
            self.process.kill()
            self.process.wait()
        for pipe in (self.process.stdin, self.process.stdout):
            try:
                pipe.close()
            except OSError:  # what was not written any more
                pass


class RealView(NamedTuple):
    """What a process of the program told of itself, at a moment of CLOCK_BOOTTIME; None where it did not
    answer.
    """

    at_us: int
    listing: dict | None
    peers: dict | None
    cpu_us: int | None
    rss_bytes: int | None


class RealFront(Process):
    """One process of the program that shares."""

    def __init__(self, folder, who):
        super().__init__(folder, who)
        self.latest, self.was_ready = None, False  # the last RealView; whether this life said "ready"

    def start(self):
        self.latest, self.was_ready = None, False
        super().start()

    def told(self, part):
        """What the last view told of "listing" or "peers", or None."""
        return self.latest and getattr(self.latest, part)

    def is_ready(self):
        """Whether it has said that it is ready, in any life."""
        if not self.was_ready:
            self.was_ready = any(line.get("event") == "ready" for line in self.log_records())
        return self.was_ready

    def arguments(self):
        return [*super().arguments(), "--peers", self.path("peers.ini")]

    def kill(self):
        self.signal(signal.SIGKILL)

    def pause(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def view(self):
        """Ask it what it sees, and the system what it uses. Blocks for ASKING at most."""
        listing = peers = cpu = rss = None
        if self.running() and not self.stopped:
            try:
                listing = request_view(self.path("peers.sock"), "listing", ASKING)
                peers = request_view(self.path("peers.sock"), "peers", ASKING)
            except ControlSocketError:
                pass
            try:
                used = psutil.Process(self.process.pid)
                times = used.cpu_times()
                cpu, rss = int((times.user + times.system) * 1e6), used.memory_info().rss
            except psutil.Error:
                pass
        return RealView(boottime_us(), listing, peers, cpu, rss)

    def end(self):
        if self.running():
            self.resume()
            self.kill()
