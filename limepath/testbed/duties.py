"""The drill of shared duties: real fronts exchange datagrams on loopback under faults drawn from a seed.

Each instance is `limepath run --peers FILE` in its own process. Links between the instances lose, hold and
cut data. Stand-in caches count the probes. The bounds are those of the settings (`duties.bounds`); the rows
of the report are those of the simulation in virtual time (`duties.findings`).
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
from limepath.testbed.process import HOST, Process, ProcessStartError, free_ports, raise_descriptor_limit
from limepath.testbed.stand_ins import StandInCaches, StandInChangeLog

MS, SECOND = 1000, 1_000_000  # in microseconds
TIMEOUTS = MembershipTimeouts(period=250 * MS, direct=80 * MS, indirect=3, suspicion=3)
LEASES = LeaseSettings(span=SECOND, drift=0.01, slots=16, batch=100 * MS)
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
CACHES = "caches"  # all stand-in caches are this party of the links
START_TIMEOUT = 60  # seconds until all fronts are ready
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
    """A front that shares its duties."""

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
        timeouts, leases, duty = TIMEOUTS, drill.lease_settings, drill.duty
        mode = "one-owner" if duty.mode == DutyMode.ONE_OWNER else "at-least-once"
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
listen = {HOST}:{drill.peer_ports[index]}
advertise = {HOST}:{drill.datagram_links.proxy_port(index)}
seeds = {", ".join(f"{HOST}:{seed}" for seed in seeds) if drill.sharing else ""}
keys = peers.keys
period = {timeouts.period}us
direct = {timeouts.direct}us
indirect = {timeouts.indirect}
suspicion = {timeouts.suspicion}
keys-reread = 200ms
[sharing]
batch = {leases.batch}us
[leases]
voters = {", ".join(leases.voters if drill.sharing else (self.name,))}
span = {leases.span}us
drift = {leases.drift}
slots = {leases.slots}
[duty probe]
mode = {mode}
interval = {duty.interval}us
targets = caches
""",
        )
        self.write_file(
            "front.json",
            json.dumps(
                {
                    "name": self.name,
                    "listen": f"{HOST}:{drill.http_ports[index]}",
                    "seed": f"{drill.seed * 1000 + index:x}",
                    "changelog": f"{HOST}:{drill.change_log.ports[index].getHost().port}",
                    "limits": {"memory_mb": 192, "sockets": 1024, "leaving_ms": 700},
                    "settings": SETTINGS,
                    "known": {"seq": 1, "results": [{"seq": 1, "fleet": drill.fleet(index)}]},
                }
            ),
        )

    def arguments(self):
        return super().arguments() + ["--peers", self.path("peers.ini")]

    def view(self):
        return request_view(self.path("peers.sock"), "peers", 2)


class Drill:
    """Real processes under faults, and the record of their run that `findings` checks.

    Times are in microseconds since the start.
    """

    def __init__(self, reactor, folder, instances, targets, duty, seed, sharing, loss):
        self.reactor, self.folder, self.count, self.duty, self.seed, self.sharing = (
            reactor,
            folder,
            instances,
            duty,
            seed,
            sharing,
        )
        self.random, self.timeouts = Random(seed), TIMEOUTS
        self.lease_settings = LEASES._replace(voters=tuple(f"n{index}" for index in range(min(instances, 5))))
        self.uses_leases = duty.mode == DutyMode.ONE_OWNER
        self.started_at, self.wall_started_at = time.monotonic_ns() // 1000, time.time_ns() // 1000
        self.peer_ports, self.http_ports = (
            free_ports(socket.SOCK_DGRAM, instances),
            free_ports(socket.SOCK_STREAM, instances),
        )
        self.network_faults = Faults(Random(seed))
        self.datagram_links, self.connection_links = (
            DatagramLinks(reactor, self.peer_ports, self.network_faults),
            ConnectionLinks(reactor, self.network_faults),
        )
        if loss:
            everyone = frozenset(range(instances))
            self.network_faults.begin(LinkFault("loss", Kind.LOSE, everyone, everyone, loss))
        self.caches, self.change_log = (
            StandInCaches(reactor, self.on_probe),
            StandInChangeLog(reactor, instances),
        )
        self.keys = [f"{self.random.getrandbits(256):064x}"]
        self.cache_ports, self.targets, self.removed_at, self.added_at, self.rounds = {}, {}, {}, {}, {}
        self.rounds_after_removal = self.rejected_rounds = 0
        self.lease_conflicts, self.false_deaths, self.yielded = [], [], []
        self.lease_holders, self.logged_faults, self.faults, self.deaths, self.has_restarts = (
            {},
            [],
            [],
            [],
            False,
        )
        self.outages, self.down_since, self.ended_at, self.unreachable_neighbours = [], None, None, 1
        self.nodes = [Instance(self, index) for index in range(instances)]
        for _ in range(targets):
            self.add_target()

    def now(self):
        return time.monotonic_ns() // 1000 - self.started_at

    def add_target(self):
        name = f"t{len(self.added_at)}"
        ports = [
            self.connection_links.open(index, CACHES, port)
            for index, port in enumerate(self.caches.open(name, self.count))
        ]
        self.cache_ports[name] = ports
        self.targets[name] = self.added_at[name] = self.now()
        return name

    def fleet(self, index, complete=True):
        return {
            "revision": 1 + len(self.change_log.events),
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
                for name, ports in self.cache_ports.items()
                if name in self.targets
            ],
        }

    def on_probe(self, cache, index, epoch):
        """Record a probe at a cache and return whether the cache accepts it."""
        now = self.now()
        if cache.name in self.removed_at:
            self.rounds_after_removal += now - self.removed_at[cache.name] > 500 * MS
            return True
        if epoch < cache.epoch:
            self.rejected_rounds += 1
            return False
        if epoch:
            holder = self.lease_holders.setdefault(
                (cache.name, epoch), (index, self.nodes[index].start_count)
            )
            if holder != (index, self.nodes[index].start_count):
                self.lease_conflicts.append((now, cache.name, epoch))
        cache.epoch = epoch
        self.rounds.setdefault((0, cache.name), []).append((now, index))
        return True

    # The sequence of faults

    def pause(self, span):
        done = Deferred()
        self.reactor.callLater(span / 1e6, done.callback, None)
        return done

    @inlineCallbacks
    def wait_until_ready(self, nodes):
        end = time.monotonic() + START_TIMEOUT
        for node in nodes:
            while True:
                if not node.running() or time.monotonic() > end:
                    raise ProcessStartError(
                        f"{node.name} did not become ready; last log records: "
                        f"{[line for line in node.log_records()][-3:]}"
                    )
                try:
                    if node.view()["me"]["joined"] or not self.sharing or self.count == 1:
                        break
                except ControlSocketError:
                    pass
                yield self.pause(50 * MS)

    @inlineCallbacks
    def run(self, count, only=KINDS):
        for node in self.nodes:
            node.prepare()
            node.start()
        yield self.wait_until_ready(self.nodes)
        for name in self.targets:  # ignore probes from before all fronts were ready
            self.targets[name] = self.added_at[name] = self.now()
        self.rounds.clear()
        self.baseline = self.now(), self.datagram_links.messages, self.datagram_links.bytes
        self.began_at = self.now()
        bound = self.bound()
        kinds = []
        yield self.pause(2 * self.duty.interval)
        end = self.now() + START_TIMEOUT * SECOND
        # Every target needs an owner before the first fault.
        while not all((0, name) in self.rounds for name in self.targets) and self.now() < end:
            yield self.pause(100 * MS)
        for _ in range(count):
            if not kinds:
                kinds = list(only)
                self.random.shuffle(kinds)
            kind = kinds.pop()
            length = self.random.randrange(3_000, 8_000) * MS
            affected = tuple(
                self.random.sample(range(self.count), self.count // 2 if kind in ("halves", "one-way") else 1)
            )
            affected = tuple(range(self.count)) if kind == "all" else affected
            if kind == "held" and (owners := sorted({served[-1][1] for served in self.rounds.values()})):
                # An instance that owns no target sends no probes that could be held.
                affected = (self.random.choice(owners),)
            fault = Fault(self.now(), kind, affected, length)
            self.faults.append(fault)
            yield self.inject(fault)
            self.faults[-1] = fault._replace(length=self.now() - fault.at)
            yield self.pause(min(bound.disagreement, 3 * SECOND) + self.duty.interval)
        yield self.wait_for_agreement(bound)
        self.ended_at = self.now()

    def bound(self):
        return bounds(self.timeouts, self.duty, self.lease_settings, self.count, self.unreachable_neighbours)

    @inlineCallbacks
    def inject(self, fault):
        """Cause one fault, wait for its length, and end it."""
        kind, nodes = fault.kind, [self.nodes[index] for index in fault.who]
        if kind in ("kill", "lost-store", "cut-store", "all"):
            for node in nodes:
                self.record_death(node)
                node.signal(signal.SIGKILL)
            if kind == "all":
                self.down_since = self.now()
            yield self.pause(fault.length if kind != "all" else SECOND // 2)
            if kind == "lost-store":
                os.remove(nodes[0].path("peers.db"))
            elif kind == "cut-store":
                with open(nodes[0].path("peers.db"), "r+b") as file:
                    file.truncate(os.path.getsize(nodes[0].path("peers.db")) // 2 + 7)
            yield self.restart(nodes)
        elif kind == "stop":
            self.record_death(nodes[0])
            nodes[0].signal(signal.SIGSTOP)
            yield self.pause(fault.length + self.lease_settings.span)
            nodes[0].signal(signal.SIGCONT)
        elif kind == "leave":
            self.record_death(nodes[0])
            nodes[0].signal(signal.SIGTERM)
            yield self.pause(fault.length)
            nodes[0].signal(signal.SIGKILL)
            yield self.restart(nodes)
        elif kind in ("halves", "one-way"):
            group = frozenset(fault.who)
            remaining = frozenset(range(self.count)) - group
            name = f"{kind} at {fault.at}"
            cut = (
                both_directions(name, Kind.CUT, group, remaining)
                if kind == "halves"
                else (LinkFault(name, Kind.CUT, group, remaining),)
            )
            yield self.apply_link_faults(cut, fault.length)
        elif kind == "held":
            # The instance's data arrives late, after the others have taken over its targets.
            others = frozenset(range(self.count)) - {fault.who[0]}
            self.record_death(nodes[0])
            held = both_directions(f"held at {fault.at}", Kind.HOLD, fault.who, others)
            if self.uses_leases:
                # Caches reject held probes by their older epoch; without leases each would be a duplicate.
                held += (
                    LinkFault(
                        f"probes held at {fault.at}", Kind.HOLD, frozenset(fault.who), frozenset((CACHES,))
                    ),
                )
            yield self.apply_link_faults(held, fault.length + self.bound().take_over)
        elif kind == "targets":
            removed = self.random.sample(sorted(self.targets), max(1, len(self.targets) // 3))
            for name in removed:
                del self.targets[name]
                self.removed_at[name] = self.now()
            for _ in removed:
                self.add_target()
            self.change_log.add(lambda index: {"fleet": self.fleet(index)})
        elif kind == "keys":
            new_key = f"{self.random.getrandbits(256):064x}"
            # All accept the new key, then all use it, then the old key is removed.
            for keys in ([self.keys[0], new_key], [new_key, self.keys[0]], [new_key]):
                for node in self.nodes:
                    node.write_keys(keys)
                    yield self.pause(fault.length // 8 // self.count)
                yield self.pause(600 * MS)
            self.keys = [new_key]

    @inlineCallbacks
    def apply_link_faults(self, faults, length):
        """Apply link faults for `length` microseconds, then deliver the data that they held."""
        self.network_faults.begin(*faults)
        yield self.pause(length)
        self.datagram_links.end(*(fault.name for fault in faults))
        self.connection_links.end()

    def record_death(self, node):
        self.deaths.append((self.now(), node.index))

    @inlineCallbacks
    def restart(self, nodes):
        self.has_restarts = True
        for node in nodes:
            node.prepare()
            node.start()
        yield self.wait_until_ready(nodes)
        if self.down_since is not None:
            self.outages.append((self.down_since, self.now()))
            self.down_since = None

    @inlineCallbacks
    def wait_for_agreement(self, bound):
        """Wait until all views agree.

        The limit is longer than the bound on disagreement, because the machine may be busy.
        """
        end = self.now() + bound.disagreement + START_TIMEOUT * SECOND
        while not self.views_agree() and self.now() < end and self.sharing:
            yield self.pause(200 * MS)

    def views_agree(self):
        views = set()
        for node in self.nodes:
            try:
                view = node.view()
            except ControlSocketError:
                return False
            views.add(
                tuple(sorted(row["token"] for row in view["members"] if row["state"] in ("alive", "suspect")))
            )
        return len(views) == 1 and len(next(iter(views))) == self.count

    def read_logs(self):
        """Read false deaths, yielded identities and faults of the program from the instances' logs."""
        expected_periods = [
            (at - 1, at + fault.length + self.bound().disagreement)
            for fault in self.faults
            for at in (fault.at,)
        ]
        for node in self.nodes:
            for line in node.log_records():
                if line.get("event") not in ("peer-dead", "gives-way", "fault"):
                    continue
                at = round(datetime.fromisoformat(line["time"]).timestamp() * 1e6) - self.wall_started_at
                if line["event"] == "gives-way":
                    self.yielded.append((at, node.name))
                elif line["event"] == "fault":
                    self.logged_faults.append(f"{node.name}: {line}")
                elif not any(since <= at <= until for since, until in expected_periods):
                    self.false_deaths.append((at, line["peer"]))

    def close(self):
        for node in self.nodes:
            node.signal(signal.SIGKILL)
        for part in (self.caches, self.change_log, self.datagram_links, self.connection_links):
            part.close()


def run_drill(instances, targets, mode, interval, count, seed, sharing=True, loss=0.0, keep=None, only=KINDS):
    """Run a drill in the reactor of this process, which can run once; return its DrillResult."""
    from twisted.internet import reactor
    from twisted.internet.task import LoopingCall

    raise_descriptor_limit()
    failures = []
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
        keepalives = LoopingCall(drill.change_log.send_keepalives)
        keepalives.start(0.5)

        def finish(result):
            keepalives.stop()
            drill.agreed = drill.ended_at is not None and (drill.views_agree() or not sharing)
            drill.read_logs()
            drill.close()
            reactor.callLater(0.1, reactor.stop)
            return result

        reactor.callWhenRunning(lambda: drill.run(count, only).addBoth(finish).addErrback(failures.append))
        reactor.run(installSignalHandlers=False)
    if failures:
        raise failures[0].value
    return result_of(drill)


def record_of(drill):
    """Return the record of a finished drill for `findings`."""
    return RunRecord(
        timeouts=drill.timeouts,
        lease_settings=drill.lease_settings,
        instances=drill.count,
        began_at=drill.began_at,
        ended_at=drill.ended_at,
        faults=drill.faults,
        targets=drill.targets,
        added_at=drill.added_at,
        removed_at=drill.removed_at,
        rounds=drill.rounds,
        rounds_after_removal=drill.rounds_after_removal,
        rejected_rounds=drill.rejected_rounds,
        lease_conflicts=len(drill.lease_conflicts),
        deaths=drill.deaths,
        false_deaths=drill.false_deaths,
        yielded=len(drill.yielded),
        outages=drill.outages,
        has_restarts=drill.has_restarts,
        unreachable_neighbours=drill.unreachable_neighbours,
        messages=drill.messages,
        sampled_messages=0,
        sampled_bytes=drill.bytes,
        views_agree=drill.agreed,
    )


def result_of(drill):
    since, messages, size = drill.baseline
    span = (drill.ended_at - since) / SECOND
    drill.messages, drill.bytes = drill.datagram_links.messages - messages, drill.datagram_links.bytes - size
    rounds = sum(len(served) for served in drill.rounds.values())
    target_time = sum(
        min(drill.removed_at.get(name, drill.ended_at), drill.ended_at) - at
        for name, at in drill.added_at.items()
    )
    rows = findings(record_of(drill), drill.duty)
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
        CheckResult(
            "probes per target and interval", round(rounds * drill.duty.interval / max(1, target_time), 3)
        ),
    ]
    log = (
        [
            f"at {(fault.at - since) / 1e6:6.1f} s  {fault.kind} for {fault.length / 1e6:.1f} s: "
            f"{', '.join(f'n{index}' for index in fault.who)}"
            for fault in drill.faults
        ]
        + [f"took no effect: {name}" for name in drill.network_faults.without_effect()]
        + drill.logged_faults
    )
    return DrillResult(rows, log)
