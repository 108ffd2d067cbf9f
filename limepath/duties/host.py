"""Beside a front: the instance's timer, store and datagrams; its rounds are probes, its results the module's
reports.
"""

import os
import sqlite3
import time

from limepath.duties.instance import Instance
from limepath.duties.interface import MESSAGES as DUTY_MESSAGES
from limepath.duties.interface import (
    EpochReport,
    LeaseGrant,
    PersistEpochCeiling,
    ResultShared,
    ServeTarget,
    TargetServed,
    TargetsUpdated,
)
from limepath.interface.commands import SendProbe
from limepath.interface.events import (
    AttemptOutcome,
    EndpointListUpdated,
    EndpointState,
    ProbeEnded,
    UpdateKind,
)
from limepath.logic_host import LogicHost
from limepath.membership import control
from limepath.membership.host import DatagramSocket, StartError
from limepath.membership.identity import CEILING, identity_of, kept_ceiling
from limepath.membership.interface import (
    MESSAGES,
    REFUTATION_BITS,
    LeaveCompleted,
    LeaveRequested,
    LogEvent,
    MemberRecord,
    MessageRelayed,
    SendMessage,
    YieldIdentity,
)
from limepath.store import DAMAGED, NEW, PendingWrites, Store, StoreLockedError, StoreUnusableError

REPORT = 10_000_000  # between lines on what was dropped


def clock():
    """Whole microseconds that go on while the machine sleeps: a lease must not outlive a suspended holder's
    sleep.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


def drawn():
    return int.from_bytes(os.urandom(8), "big") >> 1


class Cooperation:
    """One instance of limepath.duties at one front. `told` is its PeersOpening, `front` the front's
    Opening.
    """

    def __init__(self, reactor, turn, caches, log, told, front):
        self.reactor, self.turn, self.caches, self.log, self.told = reactor, turn, caches, log, told
        try:
            self.store = Store(told.store)
            types = MESSAGES + DUTY_MESSAGES
            if told.listing:
                from limepath.discovery.interface import MESSAGES as LISTING_MESSAGES
                from limepath.frequency_exchange.interface import MESSAGES as TALLY_MESSAGES

                types += LISTING_MESSAGES + TALLY_MESSAGES
            self.line = DatagramSocket(reactor, told.listen, told.keys, types, log, self.gather)
        except (StoreLockedError, StoreUnusableError, OSError) as error:
            raise StartError(str(error)) from None
        identity, rows = identity_of(self.store.all(), drawn)
        try:
            self.store.put(rows)
        except sqlite3.Error as error:
            raise StartError(f"{told.store}: {error}") from None
        self.writes = PendingWrites(self.store, log)
        self.found, self.identity = self.store.found, identity
        me = MemberRecord(
            identity.token,
            told.name,
            *told.advertise,
            identity.life << REFUTATION_BITS,
            time.time_ns() // 1000,
        )
        self.instance = Instance(
            me, told.seeds, told.spans, told.plans, told.leasing, front.seed, identity.ceiling, identity.sure
        )
        self.logic_host = LogicHost(reactor, clock, self.instance, self.execute, self.failed)
        self.kinds = self.kinds_of(front)
        self.members, self.over = {}, False
        self.serving, self.asked, self.control, self.looked, self.said = {}, set(), None, clock(), clock()
        self.plain_probe = turn.command_handlers[SendProbe]
        self.guests, self.views = (
            [],
            {"peers": self.shown},
        )  # who hears other messages; what the control socket tells
        self.hearers = []  # who hears what the module is told
        self.at_stop = []  # called once nothing is shared any more
        self.counts = {"probes_asked": 0, "probes_shared": 0, "probes_sent": 0, "rounds": 0, "too_late": 0}
        self.counts["held_back"] = 0
        turn.listener = self.overheard
        turn.command_handlers[SendProbe] = self.probe

    def kinds_of(self, front):
        """For each duty, the module's kinds of its targets."""
        place = front.arguments["footprint"]
        upper = {"parents": place.parent_kind, "origin": place.origin_kind}
        caches = set(range(len(front.settings["models"]))) - set(upper.values())
        return [
            set().union(
                *(caches if kind == "caches" else {upper[kind]} for kind in self.told.kinds[plan.name])
            )
            for plan in self.told.plans
        ]

    def start(self):
        try:
            self.line.open()
            if self.told.control:
                self.control = control.listen(self.reactor, self.told.control, self.views)
        except Exception as error:  # the front goes on alone; whoever reads the log mends the file
            self.log.say("sharing-off", str(error), file=self.told.file)
            return self.stop()
        if self.found == DAMAGED:
            self.log.say("store-damaged", "joins as a new instance", put_aside=self.store.aside)
        elif self.found == NEW:
            self.log.say("store-new", "joins as a new instance", store=self.told.store)
        self.log.say(
            "sharing",
            name=self.told.name,
            listening="{}:{}".format(*self.told.listen),
            life=self.identity.life,
            token=f"{self.identity.token:016x}",
            duties=len(self.told.plans),
        )
        self.logic_host.carry_out(self.instance.start(clock()))
        self.gather(*self.all_targets())

    def gather(self, *notes):
        """Keep notes until all that this pass of the reactor has ready is read."""
        self.logic_host.submit(*notes)

    def failed(self, error):
        """GETs go on whatever happens here."""
        self.log.fault("sharing", error)
        self.stop()

    def execute(self, order):
        me = self.instance.members.me
        if self.rests_on_unwritten(order):
            self.counts["held_back"] += 1
        elif isinstance(order, SendMessage):
            self.line.send(me, order)
        elif isinstance(order, ServeTarget):
            self.serve(order)
        elif isinstance(order, ResultShared):
            self.learnt(order.result)
        elif isinstance(order, PersistEpochCeiling):
            self.writes.put(kept_ceiling(order.ceiling))
        elif isinstance(order, LogEvent):
            self.log.say(order.event, **order.fields)
        elif isinstance(order, MessageRelayed):
            for guest in self.guests:
                guest.heard(order.sender, order.message)
        elif isinstance(order, YieldIdentity):
            self.log.say(
                "gives-way",
                order.why + "; this front shares nothing any more",
                name=order.other.name,
                other=f"{order.other.host}:{order.other.port}",
                life=order.other.life,
            )
            self.stop()
        elif isinstance(order, LeaveCompleted):
            self.stop()

    def rests_on_unwritten(self, order):
        """Whether a crash could forget what this order rests on: votes, what is told of epochs and rounds
        under a lease wait (as if the network had lost them) until the ceiling of epochs is on the disk.
        """
        if CEILING not in self.writes.rows:
            return False
        if isinstance(order, ServeTarget):
            return bool(order.epoch)
        return isinstance(order, SendMessage) and isinstance(order.message, (LeaseGrant, EpochReport))

    def reach(self, token, message):
        """Send a message of another logic to one that lives."""
        members = self.instance.members
        members.timers.now = clock()
        members.reach(token, message)
        for order in members.timers.take_commands():
            self.line.send(members.me, order)

    # Between the instance and the front

    def overheard(self, notes):
        """What the front's parts tell the module: the list of members, and how probes ended."""
        for guest in self.hearers:
            guest.saw(notes)
        for note in notes:
            if isinstance(note, EndpointListUpdated):
                self.roster(note)
            elif isinstance(note, ProbeEnded) and not note.age:
                self.asked.discard(note.endpoint)
                duty = self.serving.pop(note.endpoint, self.duty_of(note.endpoint))
                if duty is not None and note.outcome != AttemptOutcome.SUPERSEDED:
                    load = {
                        name: float(value) for name, value in list(note.load.items())[:8] if len(name) <= 12
                    }
                    self.gather(TargetServed(duty, note.endpoint, int(note.outcome), note.duration, load))

    def duty_of(self, cache):
        kind = self.members.get(cache)
        return next((duty for duty, kinds in enumerate(self.kinds) if kind in kinds), None)

    def roster(self, note):
        if note.kind == UpdateKind.UNAVAILABLE:
            return
        if note.kind != UpdateKind.DELTA:
            self.members = {}
        for member in note.endpoints:
            if member.state == EndpointState.READY:
                self.members[member.id] = member.kind
            else:
                self.members.pop(member.id, None)
        self.gather(*self.all_targets())

    def all_targets(self):
        return [
            TargetsUpdated(duty, tuple(cache for cache, kind in self.members.items() if kind in kinds))
            for duty, kinds in enumerate(self.kinds)
        ]

    def serve(self, order):
        if order.until and clock() >= order.until:
            self.counts["too_late"] += 1
        elif order.target in self.caches.endpoints:
            self.counts["rounds"] += 1
            self.serving[order.target] = order.duty
            self.caches.probe(SendProbe(order.target), order.epoch)

    def probe(self, order):
        """The module asks for a probe: what is learnt already serves, as far as the module takes it."""
        self.counts["probes_asked"] += 1
        self.instance.timers.now = clock()
        if shared := self.instance.answer(order.endpoint, order.max_age):
            self.counts["probes_shared"] += 1
            self.turn.gather(self.report_of(shared))
        else:
            self.counts["probes_sent"] += 1
            self.asked.add(order.cache)
            self.plain_probe(order)

    def learnt(self, result):
        if result.target not in self.asked:  # its own answer is on its way
            self.turn.gather(self.report_of(result))

    def report_of(self, result):
        try:
            verdict = AttemptOutcome(result.verdict)
        except ValueError:
            verdict = AttemptOutcome.FAILED
        return ProbeEnded(result.target, verdict, result.took, result.load, max(1, result.age))

    # The front's own calls

    def sweep(self):
        if self.over:
            return
        self.writes.retry()
        now = clock()
        if now - self.looked > self.told.keys_reread:
            self.looked = now
            self.line.reread()
        if now - self.said > REPORT:
            self.said = now
            self.line.report()

    def reload(self):
        if not self.over:
            self.line.reread()

    def leave(self):
        self.gather(LeaveRequested())

    def stop(self):
        """Share nothing any more; the front goes on by itself."""
        self.over = True
        self.turn.listener, self.turn.command_handlers[SendProbe] = None, self.plain_probe
        self.line.close()
        self.line.report()
        self.logic_host.close()
        for stopped in self.at_stop:
            stopped()
        if self.control:
            self.control.stopListening()
        self.store.close()

    def shown(self):
        """What `limepath peers show` asks for."""
        self.instance.timers.now = clock()
        view = self.instance.view()._asdict()
        view["counts"] |= (
            self.counts
            | {"datagrams_sent": self.line.sent}
            | {f"datagrams {kind}": count for kind, count in self.line.guard.counts.items()}
        )
        return view
