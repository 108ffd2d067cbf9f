"""The drill of shared duties: real fronts with real datagrams on loopback, faults by seed, probes counted at
stand-in caches.

Each instance is `limepath run --peers FILE` in a process of its own. Between them lie ways that lose and cut;
the bounds are those that the settings promise (`bounds`), the rows those of the run in virtual time
(`simulate`).
"""

import json
import os
import signal
import socket
import tempfile
import time
from datetime import datetime
from random import Random
from typing import NamedTuple

from twisted.internet.defer import Deferred, inlineCallbacks

from limepath.configuration.sharing_settings import DutyMode, DutySettings, LeaseSettings, MembershipTimeouts
from limepath.duties.bounds import bounds
from limepath.duties.faults import Fault
from limepath.duties.findings import RunRecord, findings
from limepath.membership.control import ControlSocketError, request_view
from limepath.report_table import CheckResult
from limepath.testbed.faults import Fault as LinkFault
from limepath.testbed.faults import Faults, Kind, both_directions
from limepath.testbed.links import ConnectionLinks, DatagramLinks
from limepath.testbed.process import HOST, Process, StartError, free_ports, raise_descriptor_limit
from limepath.testbed.stand_ins import StandInCaches, StandInChangeLog

MS, SECOND = 1000, 1_000_000
SPANS = MembershipTimeouts(period=250 * MS, direct=80 * MS, indirect=3, suspicion=3)
LEASING = LeaseSettings(span=SECOND, drift=0.01, slots=16, batch=100 * MS)
KINDS = (
    "kill",
    "stop",
    "leave",
    "halves",
    "one-way",
    "held",
    "targets",
    "keys",
    "lost-store",
    "all",
    "cut-store",
)
CACHES = "caches"  # the party that all stand-in caches are to the ways
START = 60  # seconds that all fronts may take to be ready
SETTINGS = {
    "az": 0,
    "replicas-of-me": 1,
    "areas": ["sur"],
    "models": ["box", "parent", "origin"],
    "classes": [{"name": "video", "aim": 600_000_000, "deadline": 5_000_000_000, "idempotency": "free"}],
    "family-info": {"mid-kind": 1, "master-kind": 2},
    "limits": {"max-attempts": 3, "probing": True, "streams-per-conn": 8, "connect-timeout": 400_000_000},
    "stats": {"fields": ["rif", "busy"]},
    "safety": {
        "cold-share": 0.2,
        "cold": 10_000_000_000,
        "overload-factor": 2,
        "tip-after": 1_000_000_000,
        "answer-slack": 8_000_000,
        "drain-grace": 500_000_000,
    },
}


class DrillResult(NamedTuple):
    """The rows of the report table and the lines of its log."""

    rows: list
    log: list


class Instance(Process):
    """One front that shares its duties."""

    def __init__(self, drill, index):
        super().__init__(drill.folder, index)
        self.drill = drill

    def write_keys(self, keys):
        self.write_file("peers.keys", "\n".join(keys) + "\n")

    def prepare(self):
        drill, index = self.drill, self.index
        seeds = [
            drill.datagram_links.proxy_port(seed)
            for seed in range(min(3, drill.count))
            if seed != index or drill.count == 1
        ]
        spans, leasing, plan = SPANS, drill.leasing, drill.plan
        mode = "one-owner" if plan.mode == DutyMode.ONE_OWNER else "at-least-once"
        self.write_keys(drill.keys)
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
seeds = {", ".join(f"{HOST}:{seed}" for seed in seeds) if drill.sharing else ""}
keys = peers.keys
period = {spans.period}us
direct = {spans.direct}us
indirect = {spans.indirect}
suspicion = {spans.suspicion}
keys-reread = 200ms
[sharing]
batch = {leasing.batch}us
[leases]
voters = {", ".join(leasing.voters if drill.sharing else (self.name,))}
span = {leasing.span}us
drift = {leasing.drift}
slots = {leasing.slots}
[duty probe]
mode = {mode}
interval = {plan.interval}us
targets = caches
""",
        )
        self.write_file(
            "front.json",
            json.dumps(
                {
                    "name": self.name,
                    "listen": f"{HOST}:{drill.fronts[index]}",
                    "seed": f"{drill.seed * 1000 + index:x}",
                    "changelog": f"{HOST}:{drill.changes.ports[index].getHost().port}",
                    "limits": {"memory_mb": 192, "sockets": 1024, "leaving_ms": 700},
                    "settings": SETTINGS,
                    "known": {"seq": 1, "results": [{"seq": 1, "fleet": drill.fleet(index)}]},
                }
            ),
        )

    def arguments(self):
        return super().arguments() + ["--peers", self.path("peers.ini")]

    def shown(self):
        return request_view(self.path("peers.sock"), "peers", 2)


class Drill:
    """What `findings` wants to know of a world, told by real processes. Times are microseconds since the
    start.
    """

    def __init__(self, reactor, folder, instances, targets, plan, seed, sharing, loss):
        self.reactor, self.folder, self.count, self.plan, self.seed, self.sharing = (
            reactor,
            folder,
            instances,
            plan,
            seed,
            sharing,
        )
        self.chance, self.spans = Random(seed), SPANS
        self.leasing = LEASING._replace(voters=tuple(f"n{index}" for index in range(min(instances, 5))))
        self.leased = plan.mode == DutyMode.ONE_OWNER
        self.zero, self.wall_zero = time.monotonic_ns() // 1000, time.time_ns() // 1000
        self.listens, self.fronts = (
            free_ports(socket.SOCK_DGRAM, instances),
            free_ports(socket.SOCK_STREAM, instances),
        )
        self.network_faults = Faults(Random(seed))
        self.datagram_links, self.connection_links = (
            DatagramLinks(reactor, self.listens, self.network_faults),
            ConnectionLinks(reactor, self.network_faults),
        )
        if loss:
            everyone = frozenset(range(instances))
            self.network_faults.begin(LinkFault("loss", Kind.LOSE, everyone, everyone, loss))
        self.caches, self.changes = StandInCaches(reactor, self.probed), StandInChangeLog(reactor, instances)
        self.keys = [f"{self.chance.getrandbits(256):064x}"]
        self.entries, self.targets, self.gone, self.born, self.serves = {}, {}, {}, {}, {}
        self.after_gone = self.turned_away = 0
        self.both_held, self.false_deaths, self.gave_way = [], [], []
        self.owners, self.said, self.faults, self.deaths, self.restarted = {}, [], [], [], False
        self.unable, self.down, self.end, self.together = [], None, None, 1
        self.nodes = [Instance(self, index) for index in range(instances)]
        for _ in range(targets):
            self.come()

    def now(self):
        return time.monotonic_ns() // 1000 - self.zero

    def come(self):
        name = f"t{len(self.born)}"
        ports = [
            self.connection_links.open(index, CACHES, port)
            for index, port in enumerate(self.caches.open(name, self.count))
        ]
        self.entries[name] = ports
        self.targets[name] = self.born[name] = self.now()
        return name

    def fleet(self, index, complete=True):
        return {
            "revision": 1 + len(self.changes.events),
            "complete": complete,
            "members": [
                {
                    "id": name,
                    "host_port": f"{HOST}:{ports[index]}",
                    "locality": "sur",
                    "flavor": "box",
                    "cell": 0,
                    "phase": "in_service",
                    "size": 6,
                    "up_since_ms": 0,
                }
                for name, ports in self.entries.items()
                if name in self.targets
            ],
        }

    def probed(self, cache, index, epoch):
        """What one cache sees: whether it takes the probe."""
        now = self.now()
        if cache.name in self.gone:
            self.after_gone += now - self.gone[cache.name] > 500 * MS
            return True
        if epoch < cache.epoch:
            self.turned_away += 1
            return False
        if epoch:
            holder = self.owners.setdefault((cache.name, epoch), (index, self.nodes[index].start_count))
            if holder != (index, self.nodes[index].start_count):
                self.both_held.append((now, cache.name, epoch))
        cache.epoch = epoch
        self.serves.setdefault((0, cache.name), []).append((now, index))
        return True

    # The script

    def pause(self, span):
        done = Deferred()
        self.reactor.callLater(span / 1e6, done.callback, None)
        return done

    @inlineCallbacks
    def ready(self, nodes):
        end = time.monotonic() + START
        for node in nodes:
            while True:
                if not node.running() or time.monotonic() > end:
                    raise StartError(f"{node.name}: {[line for line in node.log_records()][-3:]}")
                try:
                    if node.shown()["me"]["joined"] or not self.sharing or self.count == 1:
                        break
                except ControlSocketError:
                    pass
                yield self.pause(50 * MS)

    @inlineCallbacks
    def play(self, count, only=KINDS):
        for node in self.nodes:
            node.prepare()
            node.start()
        yield self.ready(self.nodes)
        for name in self.targets:  # what came before all were up is not of this drill
            self.targets[name] = self.born[name] = self.now()
        self.serves.clear()
        self.counted = self.now(), self.datagram_links.messages, self.datagram_links.bytes
        self.caches_first = self.now()
        bound = self.bound()
        kinds = []
        yield self.pause(2 * self.plan.interval)
        end = self.now() + START * SECOND
        while (
            not all((0, name) in self.serves for name in self.targets) and self.now() < end
        ):  # until all are owned
            yield self.pause(100 * MS)
        for _ in range(count):
            if not kinds:
                kinds = list(only)
                self.chance.shuffle(kinds)
            kind = kinds.pop()
            length = self.chance.randrange(3_000, 8_000) * MS
            affected = tuple(
                self.chance.sample(range(self.count), self.count // 2 if kind in ("halves", "one-way") else 1)
            )
            affected = tuple(range(self.count)) if kind == "all" else affected
            if kind == "held" and (owners := sorted({served[-1][1] for served in self.serves.values()})):
                affected = (self.chance.choice(owners),)  # of one that owns nothing there is nothing to hold
            fault = Fault(self.now(), kind, affected, length)
            self.faults.append(fault)
            yield self.fault(fault)
            self.faults[-1] = fault._replace(length=self.now() - fault.at)
            yield self.pause(min(bound.disagreement, 3 * SECOND) + self.plan.interval)
        yield self.agree(bound)
        self.end = self.now()

    def bound(self):
        return bounds(self.spans, self.plan, self.leasing, self.count, self.together)

    @inlineCallbacks
    def fault(self, fault):
        """Cause one fault, let it last, end it."""
        kind, nodes = fault.kind, [self.nodes[index] for index in fault.who]
        if kind in ("kill", "lost-store", "cut-store", "all"):
            for node in nodes:
                self.died(node)
                node.signal(signal.SIGKILL)
            if kind == "all":
                self.down = self.now()
            yield self.pause(fault.length if kind != "all" else SECOND // 2)
            if kind == "lost-store":
                os.remove(nodes[0].path("peers.db"))
            elif kind == "cut-store":
                with open(nodes[0].path("peers.db"), "r+b") as file:
                    file.truncate(os.path.getsize(nodes[0].path("peers.db")) // 2 + 7)
            yield self.again(nodes)
        elif kind == "stop":
            self.died(nodes[0])
            nodes[0].signal(signal.SIGSTOP)
            yield self.pause(fault.length + self.leasing.span)
            nodes[0].signal(signal.SIGCONT)
        elif kind == "leave":
            self.died(nodes[0])
            nodes[0].signal(signal.SIGTERM)
            yield self.pause(fault.length)
            nodes[0].signal(signal.SIGKILL)
            yield self.again(nodes)
        elif kind in ("halves", "one-way"):
            one = frozenset(fault.who)
            other = frozenset(range(self.count)) - one
            name = f"{kind} at {fault.at}"
            cut = (
                both_directions(name, Kind.CUT, one, other)
                if kind == "halves"
                else (LinkFault(name, Kind.CUT, one, other),)
            )
            yield self.under(cut, fault.length)
        elif (
            kind == "held"
        ):  # what one says lies in the network while the others go on without it, then comes, late
            others = frozenset(range(self.count)) - {fault.who[0]}
            self.died(nodes[0])
            held = both_directions(f"held at {fault.at}", Kind.HOLD, fault.who, others)
            if (
                self.leased
            ):  # its probes too: caches know an older epoch; without one each would count as a double
                held += (
                    LinkFault(
                        f"probes held at {fault.at}", Kind.HOLD, frozenset(fault.who), frozenset((CACHES,))
                    ),
                )
            yield self.under(held, fault.length + self.bound().take_over)
        elif kind == "targets":
            gone = self.chance.sample(sorted(self.targets), max(1, len(self.targets) // 3))
            for name in gone:
                del self.targets[name]
                self.gone[name] = self.now()
            for _ in gone:
                self.come()
            self.changes.add(lambda index: {"fleet": self.fleet(index)})
        elif kind == "keys":
            new = f"{self.chance.getrandbits(256):064x}"
            for keys in ([self.keys[0], new], [new, self.keys[0]], [new]):  # known to all, used by all, alone
                for node in self.nodes:
                    node.write_keys(keys)
                    yield self.pause(fault.length // 8 // self.count)
                yield self.pause(600 * MS)
            self.keys = [new]

    @inlineCallbacks
    def under(self, faults, length):
        """Let faults of the ways last, then deliver what they held."""
        self.network_faults.begin(*faults)
        yield self.pause(length)
        self.datagram_links.end(*(one.name for one in faults))
        self.connection_links.end()

    def died(self, node):
        self.deaths.append((self.now(), node.index))

    @inlineCallbacks
    def again(self, nodes):
        self.restarted = True
        for node in nodes:
            node.prepare()
            node.start()
        yield self.ready(nodes)
        if self.down is not None:
            self.unable.append((self.down, self.now()))
            self.down = None

    @inlineCallbacks
    def agree(self, bound):
        """Wait until all views are one, and some longer than they may differ, for a machine that is busy."""
        end = self.now() + bound.disagreement + START * SECOND
        while not self.views_agree() and self.now() < end and self.sharing:
            yield self.pause(200 * MS)

    def views_agree(self):
        views = set()
        for node in self.nodes:
            try:
                told = node.shown()
            except ControlSocketError:
                return False
            views.add(
                tuple(sorted(row["token"] for row in told["members"] if row["state"] in ("alive", "suspect")))
            )
        return len(views) == 1 and len(next(iter(views))) == self.count

    def look_back(self):
        """What the instances' logs tell: deaths declared of those that lived, and who gave way."""
        away = [
            (at - 1, at + fault.length + self.bound().disagreement)
            for fault in self.faults
            for at in (fault.at,)
        ]
        for node in self.nodes:
            for line in node.log_records():
                if line.get("event") not in ("peer-dead", "gives-way", "fault"):
                    continue
                at = round(datetime.fromisoformat(line["time"]).timestamp() * 1e6) - self.wall_zero
                if line["event"] == "gives-way":
                    self.gave_way.append((at, node.name))
                elif line["event"] == "fault":
                    self.said.append(f"{node.name}: {line}")
                elif not any(since <= at <= until for since, until in away):
                    self.false_deaths.append((at, line["peer"]))

    def close(self):
        for node in self.nodes:
            node.signal(signal.SIGKILL)
        for part in (self.caches, self.changes, self.datagram_links, self.connection_links):
            part.close()


def run_drill(instances, targets, mode, interval, count, seed, sharing=True, loss=0.0, keep=None, only=KINDS):
    """Run a drill in this process's reactor, once; return its DrillResult."""
    from twisted.internet import reactor
    from twisted.internet.task import LoopingCall

    raise_descriptor_limit()
    flaws = []
    with tempfile.TemporaryDirectory(prefix="limepath-drill-") as scratch:
        drill = Drill(
            reactor,
            keep or scratch,
            instances,
            targets,
            DutySettings("probe", mode, interval),
            seed,
            sharing,
            loss,
        )
        beat = LoopingCall(drill.changes.send_keepalives)
        beat.start(0.5)

        def over(result):
            beat.stop()
            drill.agreed = drill.end is not None and (drill.views_agree() or not sharing)
            drill.look_back()
            drill.close()
            reactor.callLater(0.1, reactor.stop)
            return result

        reactor.callWhenRunning(lambda: drill.play(count, only).addBoth(over).addErrback(flaws.append))
        reactor.run(installSignalHandlers=False)
    if flaws:
        raise flaws[0].value
    return result_of(drill)


def record_of(drill):
    """The drill as `findings` takes a run."""
    return RunRecord(
        timeouts=drill.spans,
        lease_settings=drill.leasing,
        instances=drill.count,
        began_at=drill.caches_first,
        ended_at=drill.end,
        faults=drill.faults,
        targets=drill.targets,
        added_at=drill.born,
        removed_at=drill.gone,
        rounds=drill.serves,
        rounds_after_removal=drill.after_gone,
        rejected_rounds=drill.turned_away,
        lease_conflicts=len(drill.both_held),
        deaths=drill.deaths,
        false_deaths=drill.false_deaths,
        yielded=len(drill.gave_way),
        outages=drill.unable,
        has_restarts=drill.restarted,
        unreachable_neighbours=drill.together,
        messages=drill.messages,
        sampled_messages=0,
        sampled_bytes=drill.bytes,
        views_agree=drill.agreed,
    )


def result_of(drill):
    since, messages, size = drill.counted
    span = (drill.end - since) / SECOND
    drill.messages, drill.bytes = drill.datagram_links.messages - messages, drill.datagram_links.bytes - size
    rounds = sum(len(served) for served in drill.serves.values())
    alive = sum(min(drill.gone.get(name, drill.end), drill.end) - at for name, at in drill.born.items())
    rows = findings(record_of(drill), drill.plan)
    rows = [row for row in rows if not row.what.startswith(("messages", "bytes"))]
    rows += [
        CheckResult("messages per instance and second", round(drill.messages / drill.count / span, 1)),
        CheckResult("bytes per instance and second", round(drill.bytes / drill.count / span)),
        CheckResult(
            "link faults that took no effect",
            len(drill.network_faults.without_effect()),
            0,
            not drill.network_faults.without_effect(),
        ),
        CheckResult("probes per target and interval", round(rounds * drill.plan.interval / max(1, alive), 3)),
    ]
    said = (
        [
            f"at {(fault.at - since) / 1e6:6.1f} s  {fault.kind} for {fault.length / 1e6:.1f} s: "
            f"{', '.join(f'n{index}' for index in fault.who)}"
            for fault in drill.faults
        ]
        + [f"took no effect: {name}" for name in drill.network_faults.without_effect()]
        + drill.said
    )
    return DrillResult(rows, said)
