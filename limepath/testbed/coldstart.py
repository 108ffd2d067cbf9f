"""The drill of a cold start: many real fronts that start at once with nothing, the list service away, faults
between them.

Each front is `limepath run --peers FILE` in a process of its own. Every datagram between two fronts and every
call at the list service passes a way of the testbed. In the second of each fault a cache is drained and an
object purged; what is looked at is when every living front knows. Bounds are those of `listing.bounds`.
`alone`: the same fronts without any of it, for comparison.
"""

import json
import os
import signal
import socket
import tempfile
import time
from random import Random
from typing import NamedTuple

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import LoopingCall

from limepath.configuration.sharing_settings import DiscoverySettings
from limepath.connection_pacing.connections import most_expected
from limepath.discovery.bounds import bounds, tree_bounds
from limepath.discovery.endpoint_list import EndpointList
from limepath.discovery.simulate import most_in
from limepath.membership.control import ControlSocketError, request_view
from limepath.report_table import CheckResult, at_most, seconds
from limepath.testbed.duties import SETTINGS
from limepath.testbed.faults import Fault as LinkFault
from limepath.testbed.faults import Faults, Kind, both_directions
from limepath.testbed.links import ConnectionLinks, DatagramLinks
from limepath.testbed.process import HOST, Process, StartError, free_ports, raise_descriptor_limit
from limepath.testbed.stand_ins import StandInCache, StandInListService

MS, SECOND = 1000, 1_000_000
SERVICE = "service"  # a party of the ways
KINDS = (
    "start-killed",
    "relays-killed",
    "relays-stopped",
    "relay-held",
    "cut-from-service",
    "cut-from-peers",
    "one-way",
    "loss",
    "silent",
    "slow",
    "breaking",
    "still",
    "restored",
    "half-killed",
    "stores-cut",
)
TREE_KINDS = ("inner-killed", "inner-stopped", "inner-held")  # with sites only
LASTING = ("relay-held", "cut-from-service", "cut-from-peers", "one-way", "loss")
ZONES = ("sur", "norte")
CONNECTIONS, READY = 100, 100  # a second, of the whole fleet: new ones at one cache, fronts that become ready
FAN_OUT = 2  # of the tree: small, so that few fronts make one of several levels
OBJECTS, WAVE = 10, 10  # that everybody wants; GETs at each front once it is ready
SLACK = 2 * SECOND  # for a machine that is busy with so many processes at once
START = 90  # seconds that all may take


class DrillResult(NamedTuple):
    """The rows of the report table and the lines of its log."""

    rows: list
    log: list


class ColdFront(Process):
    """One front of the drill."""

    def __init__(self, drill, index):
        super().__init__(drill.folder, index)
        self.drill, self.zone = drill, ZONES[index % len(ZONES)]

    def prepare(self):
        drill, index = self.drill, self.index
        seeds = [
            f"{HOST}:{drill.datagram_links.proxy_port(seed)}"
            for seed in range(min(3, drill.count))
            if seed != index
        ]
        self.write_file("peers.keys", drill.key + "\n")
        self.write_file(
            "peers.ini",
            f"""[instance]
name = {self.name}
store = peers.db
control = peers.sock
[log]
form = json
[peers]
listen = {HOST}:{drill.listens[index]}
advertise = {HOST}:{drill.datagram_links.proxy_port(index)}
seeds = {", ".join(seeds)}
keys = peers.keys
[duty probe]
interval = 20s
[listing]
fronts = {drill.count}
calls = {drill.terms.rate:g}
{drill.tree_lines(index)}
[caches]
connections = {CONNECTIONS}
ready = {READY}
""",
        )
        self.write_file(
            "front.json",
            json.dumps(
                {
                    "name": self.name,
                    "listen": f"{HOST}:{drill.fronts[index]}",
                    "seed": f"{drill.seed * 1000 + index:x}",
                    "changelog": f"{HOST}:{drill.calls[index]}",
                    "limits": {"memory_mb": 192, "sockets": 256, "leaving_ms": 300},
                    "settings": SETTINGS | {"areas": list(ZONES), "az": ZONES.index(self.zone)},
                    "known": {"seq": 0, "results": []},
                }
            ),
        )

    def arguments(self):
        return super().arguments() + ([] if self.drill.alone else ["--peers", self.path("peers.ini")])

    def shown(self):
        try:
            return request_view(self.path("peers.sock"), "listing", 2)
        except ControlSocketError:
            return None

    def said_at(self, event):
        """When this life's log first said that, seconds of the wall clock."""
        lines = [line for line in self.log_records() if line.get("event") == event]
        return stamp(lines[-1]) if lines else None


def stamp(line):
    from datetime import datetime

    return datetime.fromisoformat(line["time"].replace("Z", "+00:00")).timestamp()


class Asking(Protocol):
    """One GET of a client at a front: its status goes to `done`."""

    def __init__(self, done, words):
        self.done, self.words, self.data = done, words, b""

    def connectionMade(self):
        self.transport.write(self.words)

    def dataReceived(self, data):
        self.data += data
        if b"\r\n\r\n" in self.data and self.done:
            done, self.done = self.done, None
            done.callback(int(self.data.split(b" ", 2)[1]))
            self.transport.loseConnection()

    def connectionLost(self, reason):
        if self.done:
            self.done.callback(0)


class Drill:
    def __init__(self, reactor, folder, fronts, seed, alone, down, caches, sites=0):
        self.reactor, self.folder, self.count, self.seed, self.alone, self.down = (
            reactor,
            folder,
            fronts,
            seed,
            alone,
            down,
        )
        self.chance, self.sites = Random(seed), sites
        self.terms = DiscoverySettings(
            fronts=fronts, ready=float(READY), site="any" if sites else "", fan_out=FAN_OUT
        )
        self.zero = time.monotonic_ns() // 1000
        self.listens, self.fronts = (
            free_ports(socket.SOCK_DGRAM, fronts),
            free_ports(socket.SOCK_STREAM, fronts),
        )
        self.network_faults = Faults(Random(seed))
        self.datagram_links, self.connection_links = (
            DatagramLinks(reactor, self.listens, self.network_faults),
            ConnectionLinks(reactor, self.network_faults),
        )
        self.service = StandInListService(
            reactor,
            fronts,
            lambda index: ZONES[index % len(ZONES)],
            lambda index: not self.nodes[index].stopped,
        )
        self.calls = [
            self.connection_links.open(index, SERVICE, port)
            for index, port in enumerate(self.service.port_of)
        ]
        self.caches = {f"s-{number}": StandInCache(reactor) for number in range(caches)}
        self.upper = {"p-1": StandInCache(reactor), "o-1": StandInCache(reactor)}
        self.key = f"{self.chance.getrandbits(256):064x}"
        self.nodes = [ColdFront(self, index) for index in range(fronts)]
        self.drained, self.answers, self.early, self.rows, self.said, self.gets = {}, {}, 0, [], [], 0
        self.let_in, self.waved, self.wave = False, set(), {}

    def now(self):
        return time.monotonic_ns() // 1000 - self.zero

    def pause(self, span):
        done = Deferred()
        self.reactor.callLater(max(0, span) / 1e6, done.callback, None)
        return done

    def members(self):
        """The whole list as it stands, one zone's caches in each half."""
        told = [self.member(name) for name in self.caches]
        return told + [self.member("p-1", "parent"), self.member("o-1", "origin")]

    def member(self, name, flavor="box"):
        cache = self.caches.get(name) or self.upper[name]
        return {
            "id": name,
            "host_port": f"{HOST}:{cache.port}",
            "flavor": flavor,
            "cell": 0,
            "size": 6,
            "up_since_ms": 0,
            "locality": ZONES[int(name[2:]) % len(ZONES)],
            "phase": "terminating" if name in self.drained else "in_service",
        }

    # GETs

    def ask_front(self, node, wanted=None):
        """A GET of a client at one front, for any object or for one that everybody wants."""
        self.gets += 1
        done = Deferred()
        name = self.chance.getrandbits(64) if wanted is None else 0x5EED_0000_0000 + wanted
        words = (
            f"GET /invoke/video/{name:016x} HTTP/1.1\r\nHost: x\r\nX-Txn: {self.gets:016x}\r\n"
            "X-Ttl-Ms: 1500\r\nX-Family: 17\r\nConnection: close\r\n\r\n"
        ).encode()
        TCP4ClientEndpoint(self.reactor, HOST, self.fronts[node.index], timeout=2).connect(
            Factory.forProtocol(lambda: Asking(done, words))
        ).addErrback(lambda _: done.called or done.callback(0))
        return done.addCallback(self.answered, node, node.start_count, self.let_in, wanted is not None)

    def answered(self, status, node, life, let_in, wave):
        if node.start_count == life and node.running() and not node.stopped:
            if wave:
                self.wave[status] = self.wave.get(status, 0) + 1
            self.answers[status] = self.answers.get(status, 0) + 1
            self.early += status == 200 and not let_in

    def begin_waves(self):
        """Whoever is ready is sent clients who all want the same; without readiness, all a second after the
        list is back.
        """
        for node in self.nodes:
            if node.index not in self.waved and (self.alone or node.said_at("ready")):
                self.waved.add(node.index)
                for _ in range(WAVE):
                    wait = (1.0 if self.alone else 0.0) + self.chance.random()
                    self.reactor.callLater(wait, self.ask_front, node, self.chance.randrange(OBJECTS))

    def load(self):
        for node in self.chance.sample(self.nodes, min(len(self.nodes), 12)):
            if node.running() and not node.stopped:
                self.ask_front(node)

    # The script

    @inlineCallbacks
    def play(self, kinds):
        service = self.service
        service.add({"fleet": {"revision": 1, "complete": True, "members": self.members()}})
        service.set_mode("refusing")
        for node in self.nodes:
            node.prepare()
        self.zero = time.monotonic_ns() // 1000
        for node in self.nodes:
            node.start()
        loading = LoopingCall(self.load)
        loading.start(0.25)
        yield self.pause(self.down // 2)
        if "start-killed" in kinds and not self.alone:  # half of the fleet, in the middle of its start
            half = self.chance.sample(self.nodes, self.count // 2)
            for node in half:
                node.signal(signal.SIGKILL)
            for node in half:
                node.start()
            self.said.append(
                f"at {self.now() / 1e6:6.1f} s  start-killed  {len(half)} fronts, all of them started again"
            )
        yield self.pause(self.down - self.now())
        if not self.alone:
            yield self.wait(lambda: all(node.shown() for node in self.nodes), START * SECOND)
        self.let_in, back = True, time.time()
        service.set_mode("up")
        waves = LoopingCall(self.begin_waves)
        waves.start(0.2)
        if not self.alone:
            yield self.wait(self.all_know, START * SECOND)
            yield self.wait(lambda: len(self.waved) == self.count, START * SECOND)
            yield self.pause(2 * SECOND)
            ready = sorted(
                node.said_at("ready") - back if node.said_at("ready") else START for node in self.nodes
            )
            bound = self.bound()
            self.rows += [
                CheckResult("ready after the service's return, median, s", round(ready[len(ready) // 2], 2)),
                CheckResult("the same, 95%, s", round(ready[len(ready) * 95 // 100], 2)),
                at_most("the same, all, s", round(ready[-1], 2), seconds(bound.ready + SLACK)),
            ]
        else:
            yield self.pause(8 * SECOND)
        for kind in () if self.alone else [kind for kind in kinds if kind != "start-killed"]:
            yield self.fail(kind)
        waves.stop()
        loading.stop()
        yield self.pause(2 * SECOND)

    def bound(self):
        return bounds(self.terms, self.count, len(ZONES), self.sites)

    def tree_lines(self, index):
        """Settings of the front that stand for its place in the tree, if there is one."""
        if not self.sites:
            return ""
        return f"site = site{index % self.sites}\nfan-out = {FAN_OUT}"

    def busiest_inner(self):
        """The front with the most children among those that hold no stream."""
        relays = {stream.index for stream in self.service.streams}
        shown = [(node.shown(), node) for node in self.nodes if node.running() and node.index not in relays]
        return max((told["children"], -node.index, node) for told, node in shown if told)[2]

    @inlineCallbacks
    def wait(self, so, span):
        """Until it is so; give how long that took."""
        since = self.now()
        while not so() and self.now() < since + span:
            for node in self.nodes:
                if node.process.poll() not in (None, -9):
                    raise StartError(f"{node.name}: {[line for line in node.log_records()][-3:]}")
            yield self.pause(100 * MS)
        return self.now() - since

    def all_know(self):
        """Whether every living front holds the service's list, and knows it."""
        held = EndpointList()
        for text in self.service.events:
            held.apply(json.loads(text))
        for node in self.nodes:
            if not node.running() or node.stopped:
                continue
            told = node.shown()
            if (
                not told
                or told["confirmed_us_ago"] is None
                or (told["number"], told["digest"]) != (held.revision.number, f"{held.digest:016x}")
            ):
                return False
        return True

    def relays(self, zone):
        return [
            self.nodes[stream.index]
            for stream in self.service.streams
            if self.nodes[stream.index].zone == zone
        ]

    def tell(self):
        """A drain and a purge; give the number of the last."""
        left = [name for name in self.caches if name not in self.drained]
        if len(left) > len(ZONES):
            name = self.chance.choice(left)
            self.drained[name] = self.reactor.seconds(), len(self.service.events) + 1
            self.service.add({"fleet": {"revision": 2, "complete": False, "members": [self.member(name)]}})
        return self.service.add(
            {"invalidate": {"object": f"{self.chance.getrandbits(64):016x}", "time": int(time.time() * 1000)}}
        )

    @inlineCallbacks
    def fail(self, kind):
        """Cause one fault, tell a drain and a purge in it, wait until all that live know, end it."""
        service, bound, zone = self.service, self.bound(), self.chance.choice(ZONES)
        relays = self.relays(zone) or [node for node in self.nodes if node.zone == zone][:1]
        one, everyone = relays[0], frozenset(range(self.count))
        since, limit, ends = self.now(), bound.relays_lost, []
        name = f"{kind} at {since / 1e6:.1f}"
        if kind in ("relays-killed", "half-killed", "stores-cut"):
            gone = relays if kind == "relays-killed" else self.chance.sample(self.nodes, self.count // 2)
            for node in gone:
                node.signal(signal.SIGKILL)
                if kind == "stores-cut":
                    with open(node.path("peers.db"), "r+b") as file:
                        file.truncate(os.path.getsize(node.path("peers.db")) // 2 + 7)
            if kind != "relays-killed":  # they are back at once, and must come to the same
                for node in gone:
                    node.start()
                limit += 10 * SECOND  # to start so many processes
            else:
                ends.append(lambda: [node.start() for node in gone])
        elif kind == "relays-stopped":
            for node in relays:
                node.signal(signal.SIGSTOP)
            ends.append(lambda: [node.signal(signal.SIGCONT) for node in relays])
        elif kind == "relay-held":  # what it says lies in the network, and comes when others have gone on
            self.network_faults.begin(
                LinkFault(name, Kind.HOLD, frozenset((one.index,)), everyone - {one.index})
            )
            ends.append(lambda: self.datagram_links.end(name))
        elif kind == "cut-from-service":
            self.network_faults.begin(
                LinkFault(name, Kind.CUT, frozenset((SERVICE,)), frozenset((one.index,)))
            )
            ends.append(lambda: (self.datagram_links.end(name), self.connection_links.end()))
            limit = bound.stream_still
        elif kind == "cut-from-peers":
            self.network_faults.begin(*both_directions(name, Kind.CUT, (one.index,), everyone - {one.index}))
            ends.append(lambda: self.datagram_links.end(f"{name}>", f"{name}<"))
        elif kind == "one-way":
            self.network_faults.begin(
                LinkFault(name, Kind.CUT, frozenset((one.index,)), everyone - {one.index})
            )
            ends.append(lambda: self.datagram_links.end(name))
        elif kind == "loss":
            self.network_faults.begin(LinkFault(name, Kind.LOSE, everyone, everyone, 0.3))
            ends.append(lambda: self.datagram_links.end(name))
        elif kind in TREE_KINDS:
            one = self.busiest_inner()
            relays = [one]
            limit = tree_bounds(self.terms, self.count, len(ZONES), self.sites).inner_lost
            if kind == "inner-held":
                self.network_faults.begin(
                    LinkFault(name, Kind.HOLD, frozenset((one.index,)), everyone - {one.index})
                )
                ends.append(lambda: self.datagram_links.end(name))
            else:
                one.signal(signal.SIGKILL if kind == "inner-killed" else signal.SIGSTOP)
                back = one.start if kind == "inner-killed" else lambda: one.signal(signal.SIGCONT)
                ends.append(back)
        elif kind in ("silent", "slow", "breaking", "still"):
            if kind != "still":  # these are of a service that is called
                service.set_mode("refusing")
            service.set_mode(kind)
            self.reactor.callLater(4, service.set_mode, "up")
            limit = 4 * SECOND + bound.stream_still
        elif kind == "restored":
            service.restore(len(service.events) - 2)
            self.drained = {
                name: (at, number)
                for name, (at, number) in self.drained.items()
                if number <= len(service.events)
            }
            limit = bound.restored
        self.tell()
        took = yield self.wait(self.all_know, limit + 30 * SECOND)
        if kind in LASTING:  # what is told while the others have long gone round it
            yield self.pause(since + 6 * SECOND - self.now())
            self.tell()
            later = yield self.wait(self.all_know, limit + 30 * SECOND)
            took = max(took, later)
        for end in ends:
            end()
        if ends:
            yield self.wait(self.all_know, START * SECOND)
            yield self.pause(SECOND)
        self.said.append(
            f"at {since / 1e6:6.1f} s  {kind}  {', '.join(node.name for node in relays)} of {zone}"
        )
        self.rows.append(
            at_most(
                f"{kind}: a drain and a purge told then, at the last living front, s",
                seconds(took),
                seconds(limit + SLACK),
            )
        )
        for node in self.nodes:
            if not node.running():
                node.start()

    def close(self):
        for node in self.nodes:
            if node.running():
                node.signal(signal.SIGCONT)
                node.signal(signal.SIGKILL)
        self.datagram_links.close()
        self.connection_links.close()
        self.service.close()
        for cache in [*self.caches.values(), *self.upper.values()]:
            cache.close()


def run_drill(fronts, seed=1, kinds=KINDS, alone=False, down=12 * SECOND, caches=24, keep=None, sites=0):
    """Run a drill in this process's reactor, once; return its DrillResult. With `sites` the fronts stand in
    trees.
    """
    from twisted.internet import reactor

    raise_descriptor_limit()
    flaws = []
    with tempfile.TemporaryDirectory(prefix="limepath-cold-") as scratch:
        drill = Drill(reactor, keep or scratch, fronts, seed, alone, down, caches, sites)
        beat = LoopingCall(drill.service.send_keepalives)
        beat.start(1.0)

        def over(result):
            beat.stop()
            drill.close()
            reactor.callLater(0.1, reactor.stop)
            return result

        reactor.callWhenRunning(lambda: drill.play(kinds).addBoth(over).addErrback(flaws.append))
        reactor.run(installSignalHandlers=False)
        if flaws:
            raise flaws[0].value
        return result_of(drill)


def result_of(drill):
    bound, service, caches = drill.bound(), drill.service, [*drill.caches.values(), *drill.upper.values()]
    calls = sorted(int(at * 1e6) for at, _, to in drill.connection_links.history if to == SERVICE)
    late = [
        at - drill.drained[name][0]
        for name, cache in drill.caches.items()
        if name in drill.drained
        for at, _ in cache.forwards
        if at > drill.drained[name][0]
    ]
    drains = max(bound.relays_lost, 4 * SECOND + bound.stream_still) + SLACK
    well = drill.wave.get(200, 0) / max(1, sum(drill.wave.values()))
    connected = max(
        most_in(sorted(int(at * 1e6) for at in cache.connection_times), SECOND // 10) for cache in caches
    )
    pressed = max(most_in(sorted(int(at * 1e6) for at, _ in cache.forwards), SECOND) for cache in caches)
    rows = [
        CheckResult("fronts", drill.count),
        CheckResult("zones", len(ZONES)),
        *drill.rows,
        at_most("most calls at the list service in a second", most_in(calls, SECOND), int(drill.terms.rate)),
        at_most("most calls in 100 ms", most_in(calls, SECOND // 10), int(drill.terms.rate) // 2),
        at_most(
            "most streams of one zone, those of stopped processes aside",
            max(service.most_streams.values(), default=0),
            bound.streams,
        ),
        CheckResult("bytes that the list service sent", service.bytes),
        at_most("GETs answered before any list was confirmed", drill.early, 0),
        CheckResult(
            "GETs answered, shed, errored or not taken",
            ", ".join(f"{status or 'none'}: {count}" for status, count in sorted(drill.answers.items())),
        ),
        at_most(
            "latest forward to a cache after its drain was told, s",
            round(max(late, default=0), 2),
            seconds(drains),
        ),
        at_most(
            "most new connections at one cache in 100 ms", connected, most_expected(CONNECTIONS, SECOND // 10)
        ),
        CheckResult("most forwards to one cache in a second", pressed),
        CheckResult(
            f"share of {WAVE} GETs at each front for the same {OBJECTS} objects that were answered",
            round(well, 3),
            0.9,
            drill.alone or well >= 0.9,
        ),
        CheckResult(
            "link faults that took no effect",
            len(drill.network_faults.without_effect()),
            0,
            not drill.network_faults.without_effect(),
        ),
    ]
    return DrillResult(
        rows, drill.said + [f"took no effect: {name}" for name in drill.network_faults.without_effect()]
    )
