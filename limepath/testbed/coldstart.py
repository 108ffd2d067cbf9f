"""The drill of a cold start: real fronts start at once without any state while the list service is down.

Each front is `limepath run --peers FILE` in its own process. Every datagram between two fronts and every call
of the list service passes a link of the testbed. During each fault a cache is drained and an object is
purged; the drill measures the time until every running front has both events. The bounds are those of
`discovery.bounds`. With `alone` the same fronts run without sharing the list and without faults, for
comparison.
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
from limepath.testbed.process import HOST, Process, ProcessStartError, free_ports, raise_descriptor_limit
from limepath.testbed.stand_ins import StandInCache, StandInListService

MS, SECOND = 1000, 1_000_000  # in microseconds
SERVICE = "service"  # the list service as a party of the links
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
TREE_KINDS = ("inner-killed", "inner-stopped", "inner-held")  # only with sites
LASTING_KINDS = ("relay-held", "cut-from-service", "cut-from-peers", "one-way", "loss")
ZONES = ("sur", "norte")
# Limits per second of the whole fleet: new connections at one cache, and fronts that become ready.
CONNECTION_RATE, READY_RATE = 100, 100
FAN_OUT = 2  # of the tree; small, so that few fronts make a tree of several levels
# The popular objects, and the number of GETs for them at each front once it is ready.
POPULAR_OBJECTS, BURST = 10, 10
SLACK = 2 * SECOND  # microseconds; a machine that runs so many processes is slow
START_TIMEOUT = 90  # seconds


class DrillResult(NamedTuple):
    """The rows of the report table and the lines of its log."""

    rows: list
    log: list


class ColdFront(Process):
    """A front of the drill."""

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
listen = {HOST}:{drill.peer_ports[index]}
advertise = {HOST}:{drill.datagram_links.proxy_port(index)}
seeds = {", ".join(seeds)}
keys = peers.keys
[duty probe]
interval = 20s
[listing]
fronts = {drill.count}
calls = {drill.settings.rate:g}
{drill.tree_settings(index)}
[caches]
connections = {CONNECTION_RATE}
ready = {READY_RATE}
""",
        )
        self.write_file(
            "front.json",
            json.dumps(
                {
                    "name": self.name,
                    "listen": f"{HOST}:{drill.http_ports[index]}",
                    "seed": f"{drill.seed * 1000 + index:x}",
                    "changelog": f"{HOST}:{drill.service_ports[index]}",
                    "limits": {"memory_mb": 192, "sockets": 256, "leaving_ms": 300},
                    "settings": SETTINGS | {"areas": list(ZONES), "az": ZONES.index(self.zone)},
                    "known": {"seq": 0, "results": []},
                }
            ),
        )

    def arguments(self):
        return super().arguments() + ([] if self.drill.alone else ["--peers", self.path("peers.ini")])

    def view(self):
        try:
            return request_view(self.path("peers.sock"), "listing", 2)
        except ControlSocketError:
            return None

    def logged_at(self, event):
        """Return the wall-clock time in seconds of the last such event in the log, or None."""
        records = [line for line in self.log_records() if line.get("event") == event]
        return time_of(records[-1]) if records else None


def time_of(record):
    from datetime import datetime

    return datetime.fromisoformat(record["time"].replace("Z", "+00:00")).timestamp()


class GetRequest(Protocol):
    """A GET of a client at a front.

    The deferred `done` fires with the status, or with 0 if the connection ends without a response.
    """

    def __init__(self, done, request):
        self.done, self.request, self.data = done, request, b""

    def connectionMade(self):
        self.transport.write(self.request)

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
    """Real fronts with the list service, caches and clients, and the faults between them.

    Times are in microseconds since the start.
    """

    def __init__(self, reactor, folder, fronts, seed, alone, down, caches, sites=0):
        self.reactor, self.folder, self.count, self.seed, self.alone, self.down = (
            reactor,
            folder,
            fronts,
            seed,
            alone,
            down,
        )
        self.random, self.sites = Random(seed), sites
        self.settings = DiscoverySettings(
            fronts=fronts, ready=float(READY_RATE), site="any" if sites else "", fan_out=FAN_OUT
        )
        self.started_at = time.monotonic_ns() // 1000
        self.peer_ports, self.http_ports = (
            free_ports(socket.SOCK_DGRAM, fronts),
            free_ports(socket.SOCK_STREAM, fronts),
        )
        self.network_faults = Faults(Random(seed))
        self.datagram_links, self.connection_links = (
            DatagramLinks(reactor, self.peer_ports, self.network_faults),
            ConnectionLinks(reactor, self.network_faults),
        )
        self.service = StandInListService(
            reactor,
            fronts,
            lambda index: ZONES[index % len(ZONES)],
            lambda index: not self.nodes[index].stopped,
        )
        self.service_ports = [
            self.connection_links.open(index, SERVICE, port)
            for index, port in enumerate(self.service.port_of)
        ]
        self.caches = {f"s-{number}": StandInCache(reactor) for number in range(caches)}
        self.parents = {"p-1": StandInCache(reactor), "o-1": StandInCache(reactor)}
        self.key = f"{self.random.getrandbits(256):064x}"
        self.nodes = [ColdFront(self, index) for index in range(fronts)]
        self.drains, self.statuses, self.early_answers, self.rows, self.log, self.get_count = (
            {},
            {},
            0,
            [],
            [],
            0,
        )
        self.service_is_up, self.burst_fronts, self.burst_statuses = False, set(), {}

    def now(self):
        return time.monotonic_ns() // 1000 - self.started_at

    def pause(self, span):
        done = Deferred()
        self.reactor.callLater(max(0, span) / 1e6, done.callback, None)
        return done

    def members(self):
        """Return the members of the whole endpoint list; caches alternate between the zones."""
        members = [self.member(name) for name in self.caches]
        return members + [self.member("p-1", "parent"), self.member("o-1", "origin")]

    def member(self, name, flavor="box"):
        cache = self.caches.get(name) or self.parents[name]
        return {
            "id": name,
            "host_port": f"{HOST}:{cache.port}",
            "flavor": flavor,
            "cell": 0,
            "size": 6,
            "up_since_ms": 0,
            "locality": ZONES[int(name[2:]) % len(ZONES)],
            "phase": "terminating" if name in self.drains else "in_service",
        }

    # GETs

    def send_get(self, node, popular=None):
        """Send a GET of a client to a front, for a random object or for the popular object `popular`."""
        self.get_count += 1
        done = Deferred()
        name = self.random.getrandbits(64) if popular is None else 0x5EED_0000_0000 + popular
        request = (
            f"GET /invoke/video/{name:016x} HTTP/1.1\r\nHost: x\r\nX-Txn: {self.get_count:016x}\r\n"
            "X-Ttl-Ms: 1500\r\nX-Family: 17\r\nConnection: close\r\n\r\n"
        ).encode()
        TCP4ClientEndpoint(self.reactor, HOST, self.http_ports[node.index], timeout=2).connect(
            Factory.forProtocol(lambda: GetRequest(done, request))
        ).addErrback(lambda _: done.called or done.callback(0))
        return done.addCallback(
            self.record_status, node, node.start_count, self.service_is_up, popular is not None
        )

    def record_status(self, status, node, start_count, service_is_up, in_burst):
        if node.start_count == start_count and node.running() and not node.stopped:
            if in_burst:
                self.burst_statuses[status] = self.burst_statuses.get(status, 0) + 1
            self.statuses[status] = self.statuses.get(status, 0) + 1
            self.early_answers += status == 200 and not service_is_up

    def send_bursts(self):
        """Send GETs for the popular objects to each front that has become ready.

        Fronts that run alone do not report readiness: they get theirs one second after the service is back.
        """
        for node in self.nodes:
            if node.index not in self.burst_fronts and (self.alone or node.logged_at("ready")):
                self.burst_fronts.add(node.index)
                for _ in range(BURST):
                    delay = (1.0 if self.alone else 0.0) + self.random.random()
                    self.reactor.callLater(delay, self.send_get, node, self.random.randrange(POPULAR_OBJECTS))

    def send_load(self):
        for node in self.random.sample(self.nodes, min(len(self.nodes), 12)):
            if node.running() and not node.stopped:
                self.send_get(node)

    # The sequence of faults

    @inlineCallbacks
    def run(self, kinds):
        service = self.service
        service.add({"fleet": {"revision": 1, "complete": True, "members": self.members()}})
        service.set_mode("refusing")
        for node in self.nodes:
            node.prepare()
        self.started_at = time.monotonic_ns() // 1000
        for node in self.nodes:
            node.start()
        load = LoopingCall(self.send_load)
        load.start(0.25)
        yield self.pause(self.down // 2)
        if "start-killed" in kinds and not self.alone:  # half of the fleet, during its start
            half = self.random.sample(self.nodes, self.count // 2)
            for node in half:
                node.signal(signal.SIGKILL)
            for node in half:
                node.start()
            self.log.append(
                f"at {self.now() / 1e6:6.1f} s  start-killed  {len(half)} fronts, all of them started again"
            )
        yield self.pause(self.down - self.now())
        if not self.alone:
            yield self.wait(lambda: all(node.view() for node in self.nodes), START_TIMEOUT * SECOND)
        self.service_is_up, service_up_at = True, time.time()
        service.set_mode("up")
        bursts = LoopingCall(self.send_bursts)
        bursts.start(0.2)
        if not self.alone:
            yield self.wait(self.all_have_events, START_TIMEOUT * SECOND)
            yield self.wait(lambda: len(self.burst_fronts) == self.count, START_TIMEOUT * SECOND)
            yield self.pause(2 * SECOND)
            ready = sorted(
                node.logged_at("ready") - service_up_at if node.logged_at("ready") else START_TIMEOUT
                for node in self.nodes
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
            yield self.inject(kind)
        bursts.stop()
        load.stop()
        yield self.pause(2 * SECOND)

    def bound(self):
        return bounds(self.settings, self.count, len(ZONES), self.sites)

    def tree_settings(self, index):
        """Return the settings of the front's place in the tree, or an empty text without sites."""
        if not self.sites:
            return ""
        return f"site = site{index % self.sites}\nfan-out = {FAN_OUT}"

    def busiest_inner(self):
        """Return the front with the most children among those without a stream of the list service."""
        relays = {stream.index for stream in self.service.streams}
        views = [(node.view(), node) for node in self.nodes if node.running() and node.index not in relays]
        return max((view["children"], -node.index, node) for view, node in views if view)[2]

    @inlineCallbacks
    def wait(self, condition, limit):
        """Wait until the condition holds or the limit has passed; return the time that passed."""
        since = self.now()
        while not condition() and self.now() < since + limit:
            for node in self.nodes:
                if node.process.poll() not in (None, -9):
                    raise ProcessStartError(
                        f"{node.name} exited unexpectedly; last log records: "
                        f"{[line for line in node.log_records()][-3:]}"
                    )
            yield self.pause(100 * MS)
        return self.now() - since

    def all_have_events(self):
        """Return whether every running front has the service's list and the service's confirmation of it."""
        expected = EndpointList()
        for text in self.service.events:
            expected.apply(json.loads(text))
        for node in self.nodes:
            if not node.running() or node.stopped:
                continue
            view = node.view()
            if (
                not view
                or view["confirmed_us_ago"] is None
                or (view["number"], view["digest"]) != (expected.revision.number, f"{expected.digest:016x}")
            ):
                return False
        return True

    def relays(self, zone):
        return [
            self.nodes[stream.index]
            for stream in self.service.streams
            if self.nodes[stream.index].zone == zone
        ]

    def send_events(self):
        """Send a drain and a purge; return the number of the last event."""
        in_service = [name for name in self.caches if name not in self.drains]
        if len(in_service) > len(ZONES):
            name = self.random.choice(in_service)
            self.drains[name] = self.reactor.seconds(), len(self.service.events) + 1
            self.service.add({"fleet": {"revision": 2, "complete": False, "members": [self.member(name)]}})
        return self.service.add(
            {"invalidate": {"object": f"{self.random.getrandbits(64):016x}", "time": int(time.time() * 1000)}}
        )

    @inlineCallbacks
    def inject(self, kind):
        """Cause one fault, send a drain and a purge, wait until all running fronts have them, end it."""
        service, bound, zone = self.service, self.bound(), self.random.choice(ZONES)
        relays = self.relays(zone) or [node for node in self.nodes if node.zone == zone][:1]
        target, everyone = relays[0], frozenset(range(self.count))
        since, limit, undo = self.now(), bound.relays_lost, []
        name = f"{kind} at {since / 1e6:.1f}"
        if kind in ("relays-killed", "half-killed", "stores-cut"):
            killed = relays if kind == "relays-killed" else self.random.sample(self.nodes, self.count // 2)
            for node in killed:
                node.signal(signal.SIGKILL)
                if kind == "stores-cut":
                    with open(node.path("peers.db"), "r+b") as file:
                        file.truncate(os.path.getsize(node.path("peers.db")) // 2 + 7)
            if kind != "relays-killed":  # they restart at once and must reach the same state
                for node in killed:
                    node.start()
                limit += 10 * SECOND  # starting so many processes takes time
            else:
                undo.append(lambda: [node.start() for node in killed])
        elif kind == "relays-stopped":
            for node in relays:
                node.signal(signal.SIGSTOP)
            undo.append(lambda: [node.signal(signal.SIGCONT) for node in relays])
        elif kind == "relay-held":  # its datagrams arrive after the others have replaced the relay
            self.network_faults.begin(
                LinkFault(name, Kind.HOLD, frozenset((target.index,)), everyone - {target.index})
            )
            undo.append(lambda: self.datagram_links.end(name))
        elif kind == "cut-from-service":
            self.network_faults.begin(
                LinkFault(name, Kind.CUT, frozenset((SERVICE,)), frozenset((target.index,)))
            )
            undo.append(lambda: (self.datagram_links.end(name), self.connection_links.end()))
            limit = bound.stream_still
        elif kind == "cut-from-peers":
            self.network_faults.begin(
                *both_directions(name, Kind.CUT, (target.index,), everyone - {target.index})
            )
            undo.append(lambda: self.datagram_links.end(f"{name}>", f"{name}<"))
        elif kind == "one-way":
            self.network_faults.begin(
                LinkFault(name, Kind.CUT, frozenset((target.index,)), everyone - {target.index})
            )
            undo.append(lambda: self.datagram_links.end(name))
        elif kind == "loss":
            self.network_faults.begin(LinkFault(name, Kind.LOSE, everyone, everyone, 0.3))
            undo.append(lambda: self.datagram_links.end(name))
        elif kind in TREE_KINDS:
            target = self.busiest_inner()
            relays = [target]
            limit = tree_bounds(self.settings, self.count, len(ZONES), self.sites).inner_lost
            if kind == "inner-held":
                self.network_faults.begin(
                    LinkFault(name, Kind.HOLD, frozenset((target.index,)), everyone - {target.index})
                )
                undo.append(lambda: self.datagram_links.end(name))
            else:
                target.signal(signal.SIGKILL if kind == "inner-killed" else signal.SIGSTOP)
                recover = target.start if kind == "inner-killed" else lambda: target.signal(signal.SIGCONT)
                undo.append(recover)
        elif kind in ("silent", "slow", "breaking", "still"):
            if kind != "still":  # the other modes apply to new calls, so end the streams
                service.set_mode("refusing")
            service.set_mode(kind)
            self.reactor.callLater(4, service.set_mode, "up")
            limit = 4 * SECOND + bound.stream_still
        elif kind == "restored":
            service.restore(len(service.events) - 2)
            self.drains = {
                name: (at, number)
                for name, (at, number) in self.drains.items()
                if number <= len(service.events)
            }
            limit = bound.restored
        self.send_events()
        elapsed = yield self.wait(self.all_have_events, limit + 30 * SECOND)
        if kind in LASTING_KINDS:  # send events also when the others have long replaced the front
            yield self.pause(since + 6 * SECOND - self.now())
            self.send_events()
            elapsed_later = yield self.wait(self.all_have_events, limit + 30 * SECOND)
            elapsed = max(elapsed, elapsed_later)
        for end_fault in undo:
            end_fault()
        if undo:
            yield self.wait(self.all_have_events, START_TIMEOUT * SECOND)
            yield self.pause(SECOND)
        self.log.append(
            f"at {since / 1e6:6.1f} s  {kind}  {', '.join(node.name for node in relays)} of {zone}"
        )
        self.rows.append(
            at_most(
                f"{kind}: a drain and a purge reach the last running front, s",
                seconds(elapsed),
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
        for cache in [*self.caches.values(), *self.parents.values()]:
            cache.close()


def run_drill(fronts, seed=1, kinds=KINDS, alone=False, down=12 * SECOND, caches=24, keep=None, sites=0):
    """Run a drill in the reactor of this process, which can run once; return its DrillResult.

    With `sites` the fronts form trees.
    """
    from twisted.internet import reactor

    raise_descriptor_limit()
    failures = []
    with tempfile.TemporaryDirectory(prefix="limepath-cold-") as scratch:
        drill = Drill(reactor, keep or scratch, fronts, seed, alone, down, caches, sites)
        keepalives = LoopingCall(drill.service.send_keepalives)
        keepalives.start(1.0)

        def finish(result):
            keepalives.stop()
            drill.close()
            reactor.callLater(0.1, reactor.stop)
            return result

        reactor.callWhenRunning(lambda: drill.run(kinds).addBoth(finish).addErrback(failures.append))
        reactor.run(installSignalHandlers=False)
        if failures:
            raise failures[0].value
        return result_of(drill)


def result_of(drill):
    bound, service, caches = drill.bound(), drill.service, [*drill.caches.values(), *drill.parents.values()]
    calls = sorted(int(at * 1e6) for at, _, to in drill.connection_links.history if to == SERVICE)
    forward_delays = [
        at - drill.drains[name][0]
        for name, cache in drill.caches.items()
        if name in drill.drains
        for at, _ in cache.forwards
        if at > drill.drains[name][0]
    ]
    drain_limit = max(bound.relays_lost, 4 * SECOND + bound.stream_still) + SLACK
    answered_share = drill.burst_statuses.get(200, 0) / max(1, sum(drill.burst_statuses.values()))
    most_connections = max(
        most_in(sorted(int(at * 1e6) for at in cache.connection_times), SECOND // 10) for cache in caches
    )
    most_forwards = max(
        most_in(sorted(int(at * 1e6) for at, _ in cache.forwards), SECOND) for cache in caches
    )
    rows = [
        CheckResult("fronts", drill.count),
        CheckResult("zones", len(ZONES)),
        *drill.rows,
        at_most(
            "most calls at the list service in a second", most_in(calls, SECOND), int(drill.settings.rate)
        ),
        at_most("most calls in 100 ms", most_in(calls, SECOND // 10), int(drill.settings.rate) // 2),
        at_most(
            "most streams of one zone, those of stopped processes aside",
            max(service.most_streams.values(), default=0),
            bound.streams,
        ),
        CheckResult("bytes that the list service sent", service.bytes),
        at_most("GETs answered before any list was confirmed", drill.early_answers, 0),
        CheckResult(
            "GETs answered, shed, errored or not taken",
            ", ".join(f"{status or 'none'}: {count}" for status, count in sorted(drill.statuses.items())),
        ),
        at_most(
            "latest forward to a cache after its drain was sent, s",
            round(max(forward_delays, default=0), 2),
            seconds(drain_limit),
        ),
        at_most(
            "most new connections at one cache in 100 ms",
            most_connections,
            most_expected(CONNECTION_RATE, SECOND // 10),
        ),
        CheckResult("most forwards to one cache in a second", most_forwards),
        CheckResult(
            f"share of {BURST} GETs at each front for the same {POPULAR_OBJECTS} objects that were answered",
            round(answered_share, 3),
            0.9,
            drill.alone or answered_share >= 0.9,
        ),
        CheckResult(
            "link faults that took no effect",
            len(drill.network_faults.without_effect()),
            0,
            not drill.network_faults.without_effect(),
        ),
    ]
    return DrillResult(
        rows, drill.log + [f"took no effect: {name}" for name in drill.network_faults.without_effect()]
    )
