"""Starts and signals one process of the program and writes its files.

Only processes started here are signalled, by process id.
"""

import json
import os
import resource
import signal
import socket
import subprocess
import sys

HOST = "127.0.0.1"
FIRST_PORT, LAST_PORT = 12_000, 31_000  # below the system's range for outgoing connections


class ProcessStartError(Exception):
    """A process did not become ready; the message has its name and the end of its log."""


def free_ports(kind, count):
    """Return free ports below the range that the system assigns to outgoing connections.

    No outgoing connection can then take one of them before the process binds it.
    """
    ports, port = [], FIRST_PORT + int.from_bytes(os.urandom(2), "big") % (LAST_PORT - FIRST_PORT)
    while len(ports) < count:
        port = port + 1 if port < LAST_PORT else FIRST_PORT
        with socket.socket(socket.AF_INET, kind) as candidate:
            try:
                candidate.bind((HOST, port))
                ports.append(port)
            except OSError:
                pass
    return ports


def raise_descriptor_limit():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 65_536), hard))


class Process:
    """A process of `limepath` with the arguments from `arguments()`.

    `prepare` writes its files; the caller runs it before the first `start`.
    """

    def __init__(self, folder, index):
        self.index, self.name, self.process, self.start_count, self.stopped = (
            index,
            f"n{index}",
            None,
            0,
            False,
        )
        self.folder = os.path.join(folder, self.name)
        os.makedirs(self.folder, exist_ok=True)

    def path(self, name):
        return os.path.join(self.folder, name)

    def write_file(self, name, text):
        """Replace a file of this process atomically; only the owner can read it."""
        with open(
            os.open(self.path(name + ".new"), os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "w"
        ) as file:
            file.write(text)
        os.replace(self.path(name + ".new"), self.path(name))

    def prepare(self):
        """Write the files that the process reads when it starts."""

    def arguments(self):
        return ["run", "--config", self.path("front.json")]

    def start(self):
        self.start_count += 1
        self.stopped = False
        with open(self.path("log"), "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "limepath", *self.arguments()],
                stderr=log,
                stdout=log,
                stdin=subprocess.DEVNULL,
                env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
            )

    def running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.running():
            self.process.send_signal(number)
            self.stopped = number == signal.SIGSTOP
            if number == signal.SIGKILL:
                self.process.wait()

    def log_records(self):
        """Yield the lines of the log as dicts; a line that is not JSON becomes an event "unreadable"."""
        try:
            with open(self.path("log"), encoding="utf-8", errors="replace") as log:
                for line in log:
                    try:
                        yield json.loads(line)
                    except ValueError:
                        yield {"event": "unreadable", "said": line}
        except OSError:
            return
