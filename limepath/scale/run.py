"""The scale run: start the fleet, tell events, cause faults, sample what each front used and when it knew.

The reactor's thread steps through one timeline of samples, beginnings and ends of faults. What it sees goes
to `observations`, which `report` judges by `bounds`.
"""

import os
import signal
import socket
from random import Random
from typing import NamedTuple

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.python.failure import Failure

from limepath.configuration import peers_file
from limepath.scale import settings
from limepath.scale.bounds import SAMPLE_INTERVAL_US, Shape, compute_run_bounds
from limepath.scale.faults import Kind
from limepath.scale.fleet import Fleet
from limepath.scale.observations import Observations, role_in
from limepath.scale.pace import Pace
from limepath.scale.service import Around, Clients
from limepath.scale.strikes import Strikes
from limepath.testbed.process import ProcessStartError, free_ports
from limepath.testbed.regions import RegionProxies

SECOND = 1_000_000
START, START_EACH = 60 * SECOND, SECOND // 8  # that all may take to be ready, and more by front
SETTLE = 5 * SECOND  # after that, until streams that no relay needs any more are hung up
PROGRESS = 5 * SECOND  # between lines that tell how far the run is
CALM = "calm"  # the phase before any fault


class Stopped(Exception):
    """The run was told to end before it was over."""


class Options(NamedTuple):
    seed: int = 1
    broken: str = ""
    stretch: int = 1  # real time for one of the run's
    logs: bool = False  # keep the hollow fronts' log lines


class Standing(NamedTuple):
    """How many fronts hold the list service's list and are not late, how many see all others; and how long it
    took until they did, or until that was given up, in microseconds.
    """

    took: int
    lists: int
    views: int
    of: int

    @property
    def whole(self):
        return self.lists == self.views == self.of


class Run:
    """One run of a Plan under a Schedule. After it `seen`, `fleet`, `around`, `clients`, `strikes` hold what
    came of it.
    """

    def __init__(self, reactor, plan, schedule, options, folder, say):
        self.reactor, self.plan, self.schedule, self.options = reactor, plan, schedule, options
        self.folder, self.zero, self.said, self.roles = folder, None, [], {}
        self.pace, self.say, self.told_at = Pace(options.stretch), say, None
        self.ready = self.settled = self.ended = None
        self.fleet = self.around = self.proxies = None
        self.load_before, self.load_after = os.getloadavg(), None

    def prepare(self):
        """Open what stands around the fronts and write their files."""
        plan, reactor, seed = self.plan, self.reactor, self.options.seed
        listens = free_ports(socket.SOCK_DGRAM, len(plan.fronts))
        clients = free_ports(socket.SOCK_STREAM, len(plan.fronts))
        region_of = {port: place.region for port, place in zip(listens, plan.fronts, strict=True)}
        self.proxies = RegionProxies(reactor, Random(f"doors {seed}"), region_of)
        reached = list(listens)
        for who in plan.real:
            reached[who] = self.proxies.open(listens[who], plan.fronts[who].region)
        runs = lambda who: plan.fronts[who].name not in self.fleet.stopped  # noqa: E731
        self.around = Around(reactor, plan, seed, self.pace, runs)
        addresses = settings.Addresses(listens, reached, clients, self.around.service.port_of)
        self.write(addresses)
        configs = settings.write_processes(self.folder, plan, addresses, seed, self.options.logs)
        self.seen = Observations([place.name for place in plan.fronts])
        self.fleet = Fleet(plan, self.folder, configs, self.seen, self.proxies, self.pace)
        ports = {who: clients[who] for who in plan.real}
        well = lambda who: self.seen.well(self.fleet.names[who])  # noqa: E731
        self.clients = Clients(reactor, seed, ports, self.pace, well)
        number = self.around.number
        self.strikes = Strikes(plan, self.schedule, self.fleet, self.around.service, number, self.said)

    def write(self, addresses):
        """Write the fronts' settings, and read them once as the bounds go by them."""
        broken = settings.broken_of(self.options.broken, len(self.plan.fronts))
        stretch = self.options.stretch
        settings.write_fronts(self.folder, self.plan, addresses, self.options.seed, broken, stretch)
        stated = os.path.join(self.folder, "stated.ini")
        settings.write_private(stated, settings.peers_text(self.plan, addresses, 0, "peers.keys"))
        self.stated = peers_file.read(stated)

    def promise(self, **budget):
        """The RunBounds of this run, by its settings as stated."""
        sizes, phases = self.plan.sizes, [phase.name for phase in self.seen.phases]
        shape = Shape(sizes.fronts, sizes.zones, sizes.sites, sizes.purges + sizes.settings_changes)
        return compute_run_bounds(self.stated, shape, phases, self.schedule, **budget)

    def now(self):
        return self.pace.now() - self.zero

    def pause(self, span):
        done = Deferred()
        self.reactor.callLater(self.pace.seconds(span), done.callback, None)
        return done

    @inlineCallbacks
    def play(self):
        self.reactor.suggestThreadPoolSize(len(self.plan.hollow) + len(self.plan.real) + 8)
        self.zero = self.pace.now()
        self.around.begin()
        limit = START + START_EACH * len(self.plan.fronts)
        yield self.start_in_waves(limit)
        self.ready = yield self.until_whole(limit, self.fleet.serves)
        if not self.ready.lists:
            raise ProcessStartError("no front ever had the list; --keep DIR keeps the logs")
        yield self.pause(SETTLE)
        yield self.measure()
        promise = self.promise()
        limit = max([promise.disagreement, *promise.recovery_time.values()])
        self.settled = yield self.until_whole(limit, lambda: not self.seen.returning)
        self.seen.finish()
        self.load_after = os.getloadavg()

    @inlineCallbacks
    def start_in_waves(self, limit):
        """Start a part of the fleet once those that run already know each other."""
        self.fleet.start_processes()
        started = []
        for names in self.fleet.waves():
            yield self.fleet.start(names)
            started += names
            while len(started) < len(self.plan.fronts) and self.now() < limit:
                yield self.pause(SAMPLE_INTERVAL_US // 2)
                yield self.fleet.sample()
                self.progress(f"{len(started)} started, the median sees {self.fleet.median_view()}")
                if self.fleet.know_each_other(started):
                    break

    def progress(self, text):
        """Tell how far the run is, now and then."""
        now = self.pace.now()
        if self.told_at is None or now - self.told_at >= PROGRESS:
            self.told_at = now
            self.say(f"at {(now - self.zero) / 1e6:.0f} s: {text}")

    @inlineCallbacks
    def until_whole(self, limit, also):
        """Sample until all lists and views are one and `also()` holds, at most for `limit`; the Standing."""
        began = self.pace.now()
        while True:
            yield self.fleet.sample()
            lists, views = self.fleet.whole(self.around.number())
            standing = Standing(self.pace.now() - began, lists, views, len(self.plan.fronts))
            self.progress(
                f"{lists} whole lists, {views} whole views, the median sees {self.fleet.median_view()}"
            )
            if standing.whole and also() or standing.took > limit:
                return standing
            yield self.pause(SAMPLE_INTERVAL_US // 2)

    @inlineCallbacks
    def measure(self):
        """The measured time: the calm, then the faults."""
        self.zero = self.pace.now()
        self.around.start_events()
        self.clients.start()
        yield self.fleet.sample()  # what came before is not measured
        self.begin_phase(CALM)
        steps = self.strikes.steps()
        while self.now() < self.schedule.end:
            until = min(
                steps[0][0] if steps else self.schedule.end,
                self.now() + SAMPLE_INTERVAL_US,
                self.schedule.end,
            )
            yield self.pause(until - self.now())
            yield self.fleet.sample()
            self.progress(f"{self.seen.phase}, {self.around.number()} events told")
            if self.seen.phase == CALM:
                self.roles = {name: role_in(report) for name, report in self.seen.latest.items()}
            while steps and steps[0][0] <= self.now():
                yield self.step(*steps.pop(0))
        for step in steps:
            yield self.step(*step)
        self.clients.stop()
        self.around.stop_events()
        self.ended = self.pace.now()

    @inlineCallbacks
    def step(self, at, function, index):
        """Begin or end one fault; a phase begins with it, but churn beside others has none of its own."""
        kind = self.schedule.faults[index].kind
        begins = function == self.strikes.begin
        if begins and (kind != Kind.CHURN or self.seen.phase == CALM):
            self.begin_phase(kind.value)
        yield function(index)

    def begin_phase(self, name):
        self.seen.begin(name, self.pace.now())

    def close(self):
        for part in (self.fleet, self.around, self.proxies):
            if part:
                part.close()


def played(plan, schedule, options, folder, say=lambda line: None):
    """Play a run in this process's reactor, once; give the Run. Raises what ended it. `say` takes lines that
    tell how far it is.
    """
    from twisted.internet import reactor

    run, failures = Run(reactor, plan, schedule, options, folder, say), []

    def over(result):
        if not failures:
            reactor.callLater(0, reactor.stop)
        return result

    def stop():
        failures.append(Failure(Stopped("stopped before the run was over")))
        if reactor.running:
            reactor.stop()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(stop))
    try:
        run.prepare()
        reactor.callWhenRunning(lambda: run.play().addBoth(over).addErrback(failures.append))
        reactor.run(installSignalHandlers=False)
    finally:
        run.close()
    if failures:
        failures[0].raiseException()
    return run
