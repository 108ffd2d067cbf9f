"""A few hollow fronts in one process and the list service in another, with the commands that tests use."""

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

TIMEOUT = 90  # seconds after which a wait fails the test
REPORT_INTERVAL = 0.1  # seconds between requests for reports
REGIONS = ("north", "south")
KEY = "5a" * 32


def start_module(*arguments):
    return subprocess.Popen(
        [sys.executable, "-m", *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
    )


def close_process(process):
    """Close the process's input and wait for its end; return its standard error."""
    process.stdin.close()
    process.wait(TIMEOUT)
    error_output = process.stderr.read()
    process.stdout.close()
    process.stderr.close()
    return error_output.decode()


class HollowFleet:
    """A context manager for `count` hollow fronts, alternately in two regions, and files for one real front.

    It starts the hollow fronts' process and the list service, and ends all processes.
    """

    def __init__(self, folder, count):
        self.folder, self.count = folder, count
        self.names = [f"h{who}" for who in range(count)]
        self.ports = free_ports(socket.SOCK_DGRAM, count + 1)
        self.real_front = None
        self.event_times = {
            name: {} for name in self.names
        }  # arrival in microseconds by (generation, number)
        self.duplicates = dict.fromkeys(self.names, 0)
        self.cut_datagrams = self.lost_datagrams = 0
        self.cpu_us = self.subsystems_us = 0  # of the process, and the part of it in subsystems of fronts

    def __enter__(self):
        self.service = start_module("tests.list_service", str(self.count + 1))
        self.changelogs = json.loads(self.service.stdout.readline())
        fronts = [self.write_front(who, name) for who, name in enumerate(self.names)]
        directory = {
            f"{HOST}:{port}": {key: front[key] for key in ("name", "region", "zone", "site")}
            for port, front in zip(self.ports, fronts, strict=False)
        }
        self.write("directory.json", json.dumps(directory))
        config = {"fronts": fronts, "directory": self.path("directory.json")}
        self.config = self.write("config.json", json.dumps(config))
        self.process = start_module("limepath.scale.hollow_process", self.config)
        self.all_members = [member(f"s-{index}") for index in range(3)]
        self.publish({"fleet": {"complete": True, "revision": 1, "members": self.all_members}})
        return self

    def __exit__(self, failed, *_):
        if self.real_front:
            self.real_front.kill()
            close_process(self.real_front)
        error_output = close_process(self.process)
        close_process(self.service)
        assert failed or self.process.returncode == 0 and not error_output, error_output

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
        configuration = {
            "name": name,
            "listen": f"{HOST}:{free_ports(socket.SOCK_STREAM, 1)[0]}",
            "seed": f"{who + 1:x}",
            "changelog": f"{HOST}:{self.changelogs[who]}",
            "settings": SETTINGS,
        }
        settings = self.write(f"{name}/front.json", json.dumps(configuration))
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
        """Start `limepath run` as an additional front."""
        front = self.write_front(self.count, name)
        self.real_front = start_module(
            "limepath", "run", "--config", front["settings"], "--peers", front["peers"]
        )

    # Commands

    def publish(self, event):
        """Send an event through the list service; return its number."""
        self.service.stdin.write(json.dumps(event).encode() + b"\n")
        self.service.stdin.flush()
        return int(self.service.stdout.readline())

    def purge(self, number=17):
        return self.publish({"invalidate": {"bucket": number, "time": int(time.time() * 1000)}})

    def send_line(self, line):
        """Send a line unchanged; return the Reply."""
        self.process.stdin.write(line)
        self.process.stdin.flush()
        return control.decode_reply(self.process.stdout.readline())

    def execute(self, command):
        reply = self.send_line(control.encode(command))
        assert reply.ok, reply.error
        return reply

    def report(self):
        """Request the fronts' reports, add their counts to the totals and return the reply."""
        reply = self.execute(control.Report())
        for name, front in reply.fronts.items():
            for generation, number, at_us in front.events:
                assert (generation, number) not in self.event_times[name]
                self.event_times[name][generation, number] = at_us
            self.duplicates[name] += front.doubled
            self.subsystems_us += sum(front.cpu_us.values())
        self.cpu_us += reply.process.cpu_us
        self.cut_datagrams += reply.process.dropped.cut
        self.lost_datagrams += reply.process.dropped.loss
        return reply

    def wait_for(self, condition):
        """Wait until the condition is true for the fronts' reports; return the reports."""
        deadline = time.monotonic() + TIMEOUT
        while not condition(fronts := self.report().fronts):
            assert time.monotonic() < deadline, fronts
            time.sleep(REPORT_INTERVAL)
        return fronts

    def wait_for_values(self, names, **values):
        """Wait until these fronts report these values."""
        return self.wait_for(
            lambda fronts: all(
                getattr(fronts[name], key) == value for name in names for key, value in values.items()
            )
        )

    def start(self):
        """Start all fronts; wait until each considers all alive and has the list."""
        self.execute(control.Start(self.names))
        return self.wait_for_values(self.names, live=self.count, late=False)

    def wait_for_event(self, names, number):
        self.wait_for(lambda _: all(any(n == number for _, n in self.event_times[name]) for name in names))
