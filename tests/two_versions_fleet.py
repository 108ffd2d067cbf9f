"""The fleet of `two_versions`: what either text calls things, its fronts, and the parts around them.

Processes are driven by command line, ports, files, the control socket and log lines only.
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
    """What a process of the old text calls something, and one of the present text."""

    old: str
    new: str


# Commands of the control socket
MEMBERSHIP, ENDPOINTS, REQUEST_COUNTS = (
    Name("peers", "peers"),
    Name("listing", "listing"),
    Name("tallies", "tallies"),
)
# Keys of their answers: membership and duties
ME, MEMBERS, MEMBER, STATE = (
    Name("me", "me"),
    Name("members", "members"),
    Name("name", "name"),
    Name("state", "state"),
)
ALIVE, TOKEN, LIFE = Name("alive", "alive"), Name("token", "token"), Name("life", "life")
EPOCH_CEILING = Name("epoch_ceiling", "epoch_ceiling")
DUTIES, DUTY, SLOTS = Name("duties", "duties"), Name("name", "name"), Name("slots", "slots")
COUNTS = Name("counts", "counts")
RESULTS_NEW = Name("results new", "results new")
# ... the list of endpoints, and request counts
NUMBER, DIGEST = Name("number", "number"), Name("digest", "digest")
CONFIRMED, OLDEST_KEPT = Name("confirmed_us_ago", "confirmed_us_ago"), Name("reaches", "reaches")
FETCHED_COUNTS, FETCHED = Name("counts", "counts"), Name("fetched", "fetched")
TOLD, LEARNT, REFUSED = Name("told", "told"), Name("learnt", "learnt"), Name("refused", "refused")
# Events of the log: of a front that serves, of a store thrown away, of a message that was not understood
READY, SHARING = Name("ready", "ready"), Name("sharing", "sharing")
THROWN_AWAY = (
    Name("store-new", "store-new"),
    Name("store-damaged", "store-damaged"),
    Name("saved-list", "saved-list"),
)
NOT_UNDERSTOOD = (
    Name("fault", "fault"),
    Name("sharing-off", "sharing-off"),
    Name("gives-way", "gives-way"),
    Name("peers-dropped", "peers-dropped"),
    Name("list-nonsense", "list-nonsense"),
    Name("list-contradiction", "list-contradiction"),
    Name("changelog", "changelog"),
    Name("unreadable", "unreadable"),
)

FRONTS, VOTERS, SLOT_COUNT = 4, 2, 16  # both votes are needed: one of each text's fronts
FIRST_GROUP, SECOND_GROUP = (0, 2), (1, 3)  # fronts of the text that starts first, and of the other
CACHES, PARENTS = 12, 6
PATIENCE, BEAT = 40.0, 0.5  # seconds


class Text(NamedTuple):
    """The program's source that a process runs."""

    title: str
    folder: str
    old: bool

    def environment(self) -> dict[str, str]:
        """The environment of a process that imports this text and no other."""
        return os.environ | {"PYTHONPATH": self.folder}

    def word(self, name: Name) -> str:
        """What this text calls it."""
        return name.old if self.old else name.new

    def imported_from(self) -> str:
        """The folder from which a process of this text really imports the program."""
        command = [sys.executable, "-c", "import limepath; print(limepath.__path__[0])"]
        found = subprocess.check_output(command, cwd=self.folder, env=self.environment(), text=True)
        return os.path.dirname(found.strip())


class Front(Process):
    """One front of the fleet; which text it runs changes when the other takes over."""

    def __init__(self, stage: "Stage", who: int, text: Text):
        super().__init__(stage.folder, who)
        self.stage, self.text, self.lines_before = stage, text, 0

    def prepare(self) -> None:
        """Write the front's files; they are the same for either text."""
        stage, who = self.stage, self.index
        key = stage.keys[self.text.old]
        settings = f"""[instance]
name = {self.name}
store = peers.db
control = peers.sock
[log]
form = json
[peers]
listen = {HOST}:{stage.datagram_ports[who]}
seeds = {", ".join(f"{HOST}:{stage.datagram_ports[seed]}" for seed in range(2) if seed != who)}
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
        told = {
            "name": self.name,
            "listen": f"{HOST}:{stage.http_ports[who]}",
            "seed": f"{stage.seed * 1000 + who:x}",
            "changelog": f"{HOST}:{stage.service_port(who)}",
            "limits": {"memory_mb": 192, "sockets": 256, "leaving_ms": 300},
            "settings": SETTINGS,
            "known": {"seq": 0, "results": []},
        }
        self.write_file("peers.keys", key + "\n")
        self.write_file("peers.ini", settings)
        self.write_file("front.json", json.dumps(told))

    def start(self) -> None:
        """Start the process on its folder with the text that it has now."""
        self.prepare()
        self.lines_before = len(list(self.log_records()))
        self.start_count += 1
        command = [sys.executable, "-m", "limepath", "run"]
        command += ["--config", self.path("front.json"), "--peers", self.path("peers.ini")]
        with open(self.path("log"), "ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=self.text.folder,
                env=self.text.environment(),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def leave(self) -> None:
        """End the process as an operator does; kill it if it doesn't."""
        self.signal(signal.SIGTERM)
        try:
            self.process.wait(PATIENCE)
        except subprocess.TimeoutExpired:
            self.signal(signal.SIGKILL)

    def logged(self, names: tuple[Name, ...]) -> list[str]:
        """The lines of these events since the last start."""
        words = {self.text.word(name) for name in names}
        lines = list(self.log_records())[self.lines_before :]
        return [json.dumps(line) for line in lines if line.get("event") in words]

    def view(self, command: Name, *path: Name) -> Any:
        """What the control socket answers, or the part of it at `path`; None where there is none."""
        try:
            told = request_view(self.path("peers.sock"), self.text.word(command), 2)
        except ControlSocketError:
            return None
        for name in path:
            told = told.get(self.text.word(name)) if told else None
        return told

    def count(self, command: Name, *path: Name) -> int:
        """A count that the control socket shows, 0 where there is none."""
        return self.view(command, *path) or 0

    def rows(self, name: Name) -> list[dict[str, Any]]:
        """A table of the membership's answer."""
        return self.view(MEMBERSHIP, name) or []

    def sees_alive(self) -> set[str]:
        """The names of all that it counts as alive, its own among them."""
        word, rows = self.text.word, self.rows(MEMBERS)
        return {row[word(MEMBER)] for row in rows if row[word(STATE)] == word(ALIVE)}

    def slots(self) -> list[int]:
        """The slots of the leased duty that it holds."""
        word = self.text.word
        shown = [row.get(word(SLOTS), {}) for row in self.rows(DUTIES) if row[word(DUTY)] == "leased"]
        return [int(slot) for slots in shown for slot in slots]

    def list_state(self) -> tuple[int, str] | None:
        """Number and digest of its list, None before it is confirmed."""
        told, word = self.view(ENDPOINTS), self.text.word
        if not told or told[word(CONFIRMED)] is None:
            return None
        return told[word(NUMBER)], told[word(DIGEST)]


class Stage:
    """The parts around the fronts, in a reactor of their own thread: the list service and all caches.

    Only fronts of the first group reach the list service; the others know an event by a front's word alone.
    """

    def __init__(self, folder: str, seed: int, keys: dict[bool, str]):
        self.folder, self.seed, self.keys, self.caches = folder, seed, keys, {}
        self.datagram_ports = free_ports(socket.SOCK_DGRAM, FRONTS)
        *self.http_ports, self.closed_port = free_ports(socket.SOCK_STREAM, FRONTS + 1)
        self.reactor = selectreactor.SelectReactor()
        self.thread = threading.Thread(target=self.reactor.run, args=(False,), daemon=True)
        self.thread.start()
        self.service = self.do(StandInListService, self.reactor, FRONTS, lambda who: "sur")
        self.beat = LoopingCall(self.service.send_keepalives)
        self.beat.clock = self.reactor
        self.do(self.beat.start, BEAT)
        names = [f"s-{number}" for number in range(CACHES)] + [f"p-{number}" for number in range(PARENTS)]
        members = [self.new_member(name) for name in [*names, "o-0"]]
        self.tell({"fleet": {"revision": 1, "complete": True, "members": members}})

    def do(self, call: Callable, *arguments: Any) -> Any:
        """Call it in the reactor's thread and give what it gives."""
        done, given = threading.Event(), []
        self.reactor.callFromThread(lambda: (given.append(call(*arguments)), done.set()))
        if not done.wait(PATIENCE):
            raise RuntimeError("the stand-ins do not answer")
        return given[0]

    def service_port(self, who: int) -> int:
        """Where a front calls the list service; nobody listens there for the second group."""
        return self.service.port_of[who] if who in FIRST_GROUP else self.closed_port

    def new_member(self, name: str) -> dict[str, Any]:
        """Open a cache, parent or origin and give its entry in the list."""
        self.caches[name] = self.do(StandInCache, self.reactor)
        return self.member(name)

    def member(self, name: str, phase: str = "in_service") -> dict[str, Any]:
        """An entry of the list."""
        flavor = {"s": "box", "p": "parent", "o": "origin"}[name[0]]
        address = f"{HOST}:{self.caches[name].port}"
        place = {"locality": "sur", "flavor": flavor, "cell": 0, "size": 6, "up_since_ms": 0}
        return {"id": name, "host_port": address, "phase": phase} | place

    def tell(self, event: dict[str, Any]) -> int:
        """Tell an event to whoever streams; give its number."""
        return self.do(self.service.add, event)

    def streaming(self) -> set[int]:
        """The fronts that the list service tells events."""
        return self.do(lambda: {stream.index for stream in self.service.streams})

    def get(self, who: int, number: int, obj: int) -> int:
        """The status that a client's GET gets at a front, 0 where it gets none."""
        headers = {"X-Txn": f"{number:016x}", "X-Ttl-Ms": "1500", "X-Family": "17", "Connection": "close"}
        try:
            call = http.client.HTTPConnection(HOST, self.http_ports[who], timeout=3)
            call.request("GET", f"/invoke/video/{obj:016x}", headers=headers)
            return call.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0

    def close(self) -> None:
        """Close all ports and end the thread."""
        self.do(self.beat.stop)
        for part in [self.service, *self.caches.values()]:
            self.do(part.close)
        self.reactor.callFromThread(self.reactor.stop)
        self.thread.join(PATIENCE)
