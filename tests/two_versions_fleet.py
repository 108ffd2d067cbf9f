"""The fleet of `two_versions`: the names that each version uses, its fronts and their stand-in peers.

Processes are controlled only by command line, ports, files, the control socket and log lines.
"""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet import selectreactor
from twisted.internet.task import LoopingCall

from limepath.membership.control import ControlSocketError, request_view
from limepath.testbed.duties import SETTINGS
from limepath.testbed.process import HOST, Process, free_ports
from limepath.testbed.stand_ins import StandInCache, StandInListService


class Name(NamedTuple):
    """The name of a field, command or event in the old and in the current version."""

    old: str
    new: str


# Commands of the control socket
MEMBERSHIP, ENDPOINTS, REQUEST_COUNTS = (
    Name("peers", "peers"),
    Name("listing", "listing"),
    Name("tallies", "tallies"),
)
# Keys of the answers: membership and duties
ME, MEMBERS, MEMBER, STATE = (
    Name("me", "me"),
    Name("members", "members"),
    Name("name", "name"),
    Name("state", "state"),
)
ALIVE, TOKEN, INCARNATION = Name("alive", "alive"), Name("token", "token"), Name("life", "life")
EPOCH_CEILING = Name("epoch_ceiling", "epoch_ceiling")
DUTIES, DUTY, SLOTS = Name("duties", "duties"), Name("name", "name"), Name("slots", "slots")
COUNTS = Name("counts", "counts")
RESULTS_NEW = Name("results new", "results new")
# ... the list of endpoints, and request counts
NUMBER, DIGEST = Name("number", "number"), Name("digest", "digest")
CONFIRMED, OLDEST_KEPT = Name("confirmed_us_ago", "confirmed_us_ago"), Name("reaches", "reaches")
FETCH_COUNTS, FETCHED = Name("counts", "counts"), Name("fetched", "fetched")
SENT, RECEIVED, REJECTED = Name("told", "told"), Name("learnt", "learnt"), Name("refused", "refused")
# Events of the log: a ready front, a discarded store, a rejected message
READY, SHARING = Name("ready", "ready"), Name("sharing", "sharing")
STORE_DISCARDED = (
    Name("store-new", "store-new"),
    Name("store-damaged", "store-damaged"),
    Name("saved-list", "saved-list"),
)
MESSAGES_REJECTED = (
    Name("fault", "fault"),
    Name("sharing-off", "sharing-off"),
    Name("gives-way", "gives-way"),
    Name("peers-dropped", "peers-dropped"),
    Name("list-nonsense", "list-nonsense"),
    Name("list-contradiction", "list-contradiction"),
    Name("changelog", "changelog"),
    Name("unreadable", "unreadable"),
)

FRONTS, VOTERS, SLOT_COUNT = 4, 2, 16  # both votes are required: one of each version
FIRST_GROUP, SECOND_GROUP = (0, 2), (1, 3)  # fronts of the version that starts first and of the other
CACHES, PARENTS = 12, 6
TIMEOUT, BEAT_INTERVAL = 40.0, 0.5  # seconds


class Version(NamedTuple):
    """A version of the program's source."""

    title: str
    folder: str
    old: bool

    def environment(self) -> dict[str, str]:
        """Return the environment of a process that imports only this version."""
        return os.environ | {"PYTHONPATH": self.folder}

    def field(self, name: Name) -> str:
        """Return the name that this version uses."""
        return name.old if self.old else name.new

    def import_folder(self) -> str:
        """Return the folder from which a process of this version imports the program."""
        command = [sys.executable, "-c", "import limepath; print(limepath.__path__[0])"]
        found = subprocess.check_output(command, cwd=self.folder, env=self.environment(), text=True)
        return os.path.dirname(found.strip())


class Front(Process):
    """A front of the fleet; `version` is the version that it runs next."""

    def __init__(self, testbed: "Testbed", who: int, version: Version):
        super().__init__(testbed.folder, who)
        self.testbed, self.version, self.log_offset = testbed, version, 0

    def prepare(self) -> None:
        """Write the front's files, which are the same for both versions."""
        testbed, who = self.testbed, self.index
        key = testbed.keys[self.version.old]
        settings = f"""[instance]
name = {self.name}
store = peers.db
control = peers.sock
[log]
form = json
[peers]
listen = {HOST}:{testbed.datagram_ports[who]}
seeds = {", ".join(f"{HOST}:{testbed.datagram_ports[seed]}" for seed in range(2) if seed != who)}
keys = peers.keys
period = 250ms
direct = 80ms
[leases]
voters = {", ".join(f"n{voter}" for voter in range(VOTERS))}
span = 1s
slots = {SLOT_COUNT}
[duty probe]
interval = 1s
targets = caches
[duty leased]
mode = one-owner
interval = 1s
targets = parents
[listing]
fronts = {FRONTS}
relays = 2
"""
        configuration = {
            "name": self.name,
            "listen": f"{HOST}:{testbed.http_ports[who]}",
            "seed": f"{testbed.seed * 1000 + who:x}",
            "changelog": f"{HOST}:{testbed.service_port(who)}",
            "limits": {"memory_mb": 192, "sockets": 256, "leaving_ms": 300},
            "settings": SETTINGS,
            "known": {"seq": 0, "results": []},
        }
        self.write_file("peers.keys", key + "\n")
        self.write_file("peers.ini", settings)
        self.write_file("front.json", json.dumps(configuration))

    def start(self) -> None:
        """Start a process of the current `version` in the front's folder."""
        self.prepare()
        self.log_offset = len(list(self.log_records()))
        self.start_count += 1
        command = [sys.executable, "-m", "limepath", "run"]
        command += ["--config", self.path("front.json"), "--peers", self.path("peers.ini")]
        with open(self.path("log"), "ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=self.version.folder,
                env=self.version.environment(),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def leave(self) -> None:
        """Send SIGTERM to the process, and SIGKILL if it does not exit."""
        self.signal(signal.SIGTERM)
        try:
            self.process.wait(TIMEOUT)
        except subprocess.TimeoutExpired:
            self.signal(signal.SIGKILL)

    def log_events(self, names: tuple[Name, ...]) -> list[str]:
        """Return the log lines with these events since the last start."""
        events = {self.version.field(name) for name in names}
        lines = list(self.log_records())[self.log_offset :]
        return [json.dumps(line) for line in lines if line.get("event") in events]

    def view(self, command: Name, *path: Name) -> Any:
        """Return the control socket's answer, or its part at `path`; None if there is none."""
        try:
            answer = request_view(self.path("peers.sock"), self.version.field(command), 2)
        except ControlSocketError:
            return None
        for name in path:
            answer = answer.get(self.version.field(name)) if answer else None
        return answer

    def count(self, command: Name, *path: Name) -> int:
        """Return a count from the control socket, 0 if there is none."""
        return self.view(command, *path) or 0

    def rows(self, name: Name) -> list[dict[str, Any]]:
        """Return a table of the membership command's answer."""
        return self.view(MEMBERSHIP, name) or []

    def alive_members(self) -> set[str]:
        """Return the names of all fronts that this front considers alive, including itself."""
        field, rows = self.version.field, self.rows(MEMBERS)
        return {row[field(MEMBER)] for row in rows if row[field(STATE)] == field(ALIVE)}

    def slots(self) -> list[int]:
        """Return the slots of the leased duty that the front holds."""
        field = self.version.field
        shown = [row.get(field(SLOTS), {}) for row in self.rows(DUTIES) if row[field(DUTY)] == "leased"]
        return [int(slot) for slots in shown for slot in slots]

    def list_state(self) -> tuple[int, str] | None:
        """Return the number and digest of the front's list, None before it is confirmed."""
        answer, field = self.view(ENDPOINTS), self.version.field
        if not answer or answer[field(CONFIRMED)] is None:
            return None
        return answer[field(NUMBER)], answer[field(DIGEST)]


class Testbed:
    """The list service and all caches, in a reactor of their own thread.

    Only fronts of the first group reach the list service; the others receive events from other fronts.
    """

    def __init__(self, folder: str, seed: int, keys: dict[bool, str]):
        self.folder, self.seed, self.keys, self.caches = folder, seed, keys, {}
        self.datagram_ports = free_ports(socket.SOCK_DGRAM, FRONTS)
        *self.http_ports, self.unused_port = free_ports(socket.SOCK_STREAM, FRONTS + 1)
        self.reactor = selectreactor.SelectReactor()
        self.thread = threading.Thread(target=self.reactor.run, args=(False,), daemon=True)
        self.thread.start()
        self.service = self.call_in_reactor(StandInListService, self.reactor, FRONTS, lambda who: "sur")
        self.beat = LoopingCall(self.service.send_keepalives)
        self.beat.clock = self.reactor
        self.call_in_reactor(self.beat.start, BEAT_INTERVAL)
        names = [f"s-{number}" for number in range(CACHES)] + [f"p-{number}" for number in range(PARENTS)]
        members = [self.new_member(name) for name in [*names, "o-0"]]
        self.publish({"fleet": {"revision": 1, "complete": True, "members": members}})

    def call_in_reactor(self, call: Callable, *arguments: Any) -> Any:
        """Call `call` in the reactor's thread and return its result."""
        finished, results = threading.Event(), []
        self.reactor.callFromThread(lambda: (results.append(call(*arguments)), finished.set()))
        if not finished.wait(TIMEOUT):
            raise RuntimeError(f"the reactor of the stand-ins did not respond within {TIMEOUT} s")
        return results[0]

    def service_port(self, who: int) -> int:
        """Return the port of the list service for a front, a closed one for the second group."""
        return self.service.port_of[who] if who in FIRST_GROUP else self.unused_port

    def new_member(self, name: str) -> dict[str, Any]:
        """Start a cache, parent or origin and return its entry in the list."""
        self.caches[name] = self.call_in_reactor(StandInCache, self.reactor)
        return self.member(name)

    def member(self, name: str, phase: str = "in_service") -> dict[str, Any]:
        """Return an entry of the list."""
        flavor = {"s": "box", "p": "parent", "o": "origin"}[name[0]]
        address = f"{HOST}:{self.caches[name].port}"
        place = {"locality": "sur", "flavor": flavor, "cell": 0, "size": 6, "up_since_ms": 0}
        return {"id": name, "host_port": address, "phase": phase} | place

    def publish(self, event: dict[str, Any]) -> int:
        """Send an event to all connected fronts; return its number."""
        return self.call_in_reactor(self.service.add, event)

    def streaming(self) -> set[int]:
        """Return the fronts connected to the list service."""
        return self.call_in_reactor(lambda: {stream.index for stream in self.service.streams})

    def get(self, who: int, number: int, obj: int) -> int:
        """Return the status of a client's GET at a front, 0 if there is none."""
        headers = {"X-Txn": f"{number:016x}", "X-Ttl-Ms": "1500", "X-Family": "17", "Connection": "close"}
        try:
            call = http.client.HTTPConnection(HOST, self.http_ports[who], timeout=3)
            call.request("GET", f"/invoke/video/{obj:016x}", headers=headers)
            return call.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0

    def close(self) -> None:
        """Close all ports and stop the thread."""
        self.call_in_reactor(self.beat.stop)
        for part in [self.service, *self.caches.values()]:
            self.call_in_reactor(part.close)
        self.reactor.callFromThread(self.reactor.stop)
        self.thread.join(TIMEOUT)
