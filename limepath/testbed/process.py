"""One process of the program: its files, its start, its end. Signals go to processes that were started here,
by id.
"""

import json
import os
import resource
import signal
import socket
import subprocess
import sys

HOST = "127.0.0.1"
LOWEST, HIGHEST = 12_000, 31_000  # ports


class NotStarted(Exception):
    """A process never came up; the text says which and what its log says."""


def free_ports(kind, count):
    """Ports that nothing holds, below those that the system gives to connections, so that none takes them
    meanwhile.
    """
    ports, port = [], LOWEST + int.from_bytes(os.urandom(2), "big") % (HIGHEST - LOWEST)
    while len(ports) < count:
        port = port + 1 if port < HIGHEST else LOWEST
        with socket.socket(socket.AF_INET, kind) as one:
            try:
                one.bind((HOST, port))
                ports.append(port)
            except OSError:
                pass
    return ports


def raise_descriptors():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 65_536), hard))


class Process:
    """`limepath run` with the words that `words()` gives; `prepare` writes its files before each start."""

    def __init__(self, folder, who):
        self.who, self.name, self.process, self.lives, self.stopped = who, f"n{who}", None, 0, False
        self.folder = os.path.join(folder, self.name)
        os.makedirs(self.folder, exist_ok=True)

    def path(self, name):
        return os.path.join(self.folder, name)

    def replace(self, name, text):
        """Write a file of this process whole, open to nobody else."""
        with open(
            os.open(self.path(name + ".new"), os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "w"
        ) as file:
            file.write(text)
        os.replace(self.path(name + ".new"), self.path(name))

    def prepare(self):
        """Write what the process reads at its start."""

    def words(self):
        return ["run", "--config", self.path("front.json")]

    def start(self):
        self.lives += 1
        self.stopped = False
        with open(self.path("log"), "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "limepath", *self.words()],
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

    def lines(self):
        """The log's lines as objects; what is no JSON comes as an event "unreadable"."""
        try:
            with open(self.path("log"), encoding="utf-8", errors="replace") as log:
                for line in log:
                    try:
                        yield json.loads(line)
                    except ValueError:
                        yield {"event": "unreadable", "said": line}
        except OSError:
            return
