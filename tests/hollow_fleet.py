"""A few hollow fronts in one process, the list service in another; what a test asks of them."""

import json
import os
import socket
import subprocess
import sys
import time

from limepath.discovery.star_service import member
from limepath.scale import control
from limepath.testbed.duties import SETTINGS
from limepath.testbed.process import HOST, free_ports

BOUND = 90  # seconds that anything may take before it has failed
BETWEEN = 0.1  # seconds between reports that are looked at
REGIONS = ("north", "south")
KEY = "5a" * 32


def spawned(*words):
    return subprocess.Popen(
        [sys.executable, "-m", *words],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
    )


def end(process):
    """Close its input, wait for it; give what it said on standard error."""
    process.stdin.close()
    process.wait(BOUND)
    said = process.stderr.read()
    process.stdout.close()
    process.stderr.close()
    return said.decode()


class HollowFleet:
    """`count` hollow fronts, alternately in two regions, and files for one real front. A context manager: it
    starts their process, and ends all.
    """

    def __init__(self, folder, count):
        self.folder, self.count = folder, count
        self.names = [f"h{who}" for who in range(count)]
        self.ports = free_ports(socket.SOCK_DGRAM, count + 1)
        self.real = None
        self.taken = {name: {} for name in self.names}  # microseconds by (generation, number)
        self.doubled = dict.fromkeys(self.names, 0)
        self.cut = self.lost = 0
        self.cpu_us = self.charged_us = 0  # of the process, and of that by all fronts' subsystems

    def __enter__(self):
        self.service = spawned("tests.list_service", str(self.count + 1))
        self.changelogs = json.loads(self.service.stdout.readline())
        fronts = [self.write_front(who, name) for who, name in enumerate(self.names)]
        directory = {
            f"{HOST}:{port}": {key: front[key] for key in ("name", "region", "zone", "site")}
            for port, front in zip(self.ports, fronts, strict=False)
        }
        self.write("directory.json", json.dumps(directory))
        config = {"fronts": fronts, "directory": self.path("directory.json")}
        self.config = self.write("config.json", json.dumps(config))
        self.process = spawned("limepath.scale.hollow_process", self.config)
        self.whole_list = [member(f"s-{index}") for index in range(3)]
        self.add({"fleet": {"complete": True, "revision": 1, "members": self.whole_list}})
        return self

    def __exit__(self, failed, *_):
        if self.real:
            self.real.kill()
            end(self.real)
        said = end(self.process)
        end(self.service)
        assert failed or self.process.returncode == 0 and not said, said

    # Files

    def path(self, *names):
        return os.path.join(self.folder, *names)

    def write(self, name, text):
        path = self.path(name)
        os.makedirs(os.path.dirname(path), exist_ok=True)
        with open(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "w") as file:
            file.write(text)
        return path

    def write_front(self, who, name):
        self.write(f"{name}/peers.keys", KEY + "\n")
        seeds = ", ".join(f"{HOST}:{port}" for port in self.ports[:2])
        peers = self.write(
            f"{name}/peers.ini",
            f"""[instance]
name = {name}
store = peers.db
control = peers.sock
[peers]
listen = {HOST}:{self.ports[who]}
seeds = {seeds}
keys = peers.keys
period = 400ms
direct = 150ms
[duty probe]
interval = 1s
targets = caches
[listing]
fronts = {self.count}
calls = 50
beat = 200ms
patience = 1s
[caches]
connections = 100
""",
        )
        told = {
            "name": name,
            "listen": f"{HOST}:{free_ports(socket.SOCK_STREAM, 1)[0]}",
            "seed": f"{who + 1:x}",
            "changelog": f"{HOST}:{self.changelogs[who]}",
            "settings": SETTINGS,
        }
        settings = self.write(f"{name}/front.json", json.dumps(told))
        region = REGIONS[who % 2]
        return {
            "name": name,
            "peers": peers,
            "settings": settings,
            "region": region,
            "zone": "sur",
            "site": region + "-1",
        }

    def start_real(self, name):
        """Start `limepath run` as one more front."""
        front = self.write_front(self.count, name)
        self.real = spawned("limepath", "run", "--config", front["settings"], "--peers", front["peers"])

    # Commands

    def add(self, told):
        """Tell an event at the list service; give its number."""
        self.service.stdin.write(json.dumps(told).encode() + b"\n")
        self.service.stdin.flush()
        return int(self.service.stdout.readline())

    def purge(self, number=17):
        return self.add({"invalidate": {"bucket": number, "time": int(time.time() * 1000)}})

    def say(self, line):
        """Send a line as it is; give the Reply."""
        self.process.stdin.write(line)
        self.process.stdin.flush()
        return control.decode_reply(self.process.stdout.readline())

    def do(self, command):
        reply = self.say(control.encode(command))
        assert reply.ok, reply.error
        return reply

    def report(self):
        """The fronts' reports; what they count is summed up here too."""
        reply = self.do(control.Report())
        for name, front in reply.fronts.items():
            for generation, number, at_us in front.events:
                assert (generation, number) not in self.taken[name]
                self.taken[name][generation, number] = at_us
            self.doubled[name] += front.doubled
            self.charged_us += sum(front.cpu_us.values())
        self.cpu_us += reply.process.cpu_us
        self.cut += reply.process.dropped.cut
        self.lost += reply.process.dropped.loss
        return reply

    def until(self, holds):
        """Wait until it holds of the fronts' reports; give those."""
        deadline = time.monotonic() + BOUND
        while not holds(fronts := self.report().fronts):
            assert time.monotonic() < deadline, fronts
            time.sleep(BETWEEN)
        return fronts

    def until_all(self, names, **values):
        """Wait until these fronts tell these values."""
        return self.until(
            lambda fronts: all(
                getattr(fronts[name], key) == value for name in names for key, value in values.items()
            )
        )

    def start(self):
        """Start all; wait until each knows all others and has the list."""
        self.do(control.Start(self.names))
        return self.until_all(self.names, live=self.count, late=False)

    def until_taken(self, names, number):
        self.until(lambda _: all(any(n == number for _, n in self.taken[name]) for name in names))
