"""One hollow front: the program's own control logic and hosts, over real sockets, without a data path.

It is put together as `front.front_process` does for `limepath run --peers`: settings by the same readers,
`duties.host.InstanceHost`, `listing.host.guided` with its tallies and limits. Left out are clients, the
decision module and connections to caches (`data_path`). Every datagram passes the faults of `links` before
anything reads it, and is counted by its message's subsystem.
"""

from enum import Enum
from hashlib import blake2b

from limepath.configuration import peers_file, platform
from limepath.configuration.ini import SettingError
from limepath.discovery.host import create_change_log
from limepath.discovery.interface import Events
from limepath.duties.host import InstanceHost, clock
from limepath.interface.commands import ReportRequestCounts
from limepath.membership.host import StartError
from limepath.scale.accounting import Account
from limepath.scale.arrivals import Arrivals
from limepath.scale.control import FrontReport, Subsystem
from limepath.scale.data_path import ONE_GET, HollowCaches, HollowTurn
from limepath.scale.front_reactor import FrontReactor


class NotDone(Exception):
    """A command that a front cannot carry out; the text names the front and the cause."""


class State(Enum):
    DOWN = 0
    RUNNING = 1
    PAUSED = 2


class Life:
    """One start of a front, until it is killed. Raises NotDone where it cannot start."""

    def __init__(self, reactor, account, arrivals, links, config, log):
        self.account, self.arrivals, self.links, self.region = account, arrivals, links, config.region
        self.config, self.log, self.doubled = config, log, 0
        try:
            shared, self.opening = settings_of(config)
            opening = self.opening
            self.reactor = FrontReactor(reactor, account)
            self.limits = opening.limits
            self.turn = HollowTurn(self.reactor.callLater, opening.seed)
            self.caches = HollowCaches(self.reactor.callLater, self.turn, opening.limits)
            self.turn.joined(self.caches)
            self.instance_host = InstanceHost(self.reactor, self.turn, self.caches, log, shared, opening)
        except (SettingError, platform.ConfigurationError, StartError) as flaw:
            raise NotDone(f"{config.name}: {flaw}") from None
        self.changes = create_change_log(
            self.reactor,
            self.turn,
            self.caches,
            opening.limits,
            log,
            opening,
            self.instance_host,
            shared.listing,
        )
        self.changes.on_ready = lambda: self.turn.gather(ONE_GET)  # in service, and asked by clients
        self.charge()
        self.count()
        self.instance_host.start()
        if self.instance_host.is_stopped:
            self.end()
            raise NotDone(f"{config.name}: cannot share on {shared.listen[0]}:{shared.listen[1]}")
        self.changes.follow(*opening.changelog)
        self.sweep()

    def charge(self):
        """Charge calls from one host into another; timers and sockets are charged by the reactor."""
        account, instance_host, changes = self.account, self.instance_host, self.changes
        members, tallies, carriers = (
            instance_host.instance.members,
            changes.request_counts,
            self.turn.command_handlers,
        )
        members.handle = account.charged(members.handle, Subsystem.MEMBERSHIP)
        self.turn.listener = account.charged(self.turn.listener, Subsystem.DUTIES)
        tallies.handle_message = account.charged(tallies.handle_message, Subsystem.COUNTS)
        carriers[ReportRequestCounts] = account.charged(carriers[ReportRequestCounts], Subsystem.COUNTS)
        self.sweep_sharing = account.charged(instance_host.sweep, Subsystem.MEMBERSHIP)
        if changes.paced_connections:
            changes.paced_connections.update = account.charged(
                changes.paced_connections.update, Subsystem.LIMITS
            )

    def count(self):
        """Count datagrams and events where they pass the front's socket and its list."""
        line, changes = self.instance_host.datagram_socket, self.changes
        self.receive, self.open_datagram, self.seal = line.datagramReceived, line.guard.open, line.guard.seal
        self.send_order, self.take_event, self.hear = (
            line.send,
            changes.apply_list_event,
            changes.handle_message,
        )
        line.datagramReceived, line.guard.open = self.datagram_came, self.opened
        line.guard.seal, line.send = self.sealed, self.sent
        changes.apply_list_event, changes.handle_message = self.event_taken, self.handle_message

    # Datagrams

    def datagram_came(self, datagram, address):
        self.account.meter.switch(self.account.arriving)
        if self.links.passes(address, self.region):
            self.receive(datagram, address)

    def opened(self, datagram):
        opened = self.open_datagram(datagram)
        self.account.opened(opened[2], len(datagram))
        return opened

    def sealed(self, me, to, message):
        datagram = self.seal(me, to, message)
        self.sealed_size = len(datagram)
        return datagram

    def sent(self, me, order):
        meter, line = self.account.meter, self.instance_host.datagram_socket
        previous = meter.switch(self.account.desk_of[type(order.message)].cell)
        before = line.sent
        try:
            self.send_order(me, order)
        finally:
            meter.switch(previous)
        if line.sent > before:
            self.account.sent(order.message, self.sealed_size)

    # Events of the list

    def handle_message(self, sender, message):
        if isinstance(message, Events):
            self.arrivals.came(message.generation, message.first, len(message.texts))
        self.hear(sender, message)

    def event_taken(self, order):
        logic = self.changes.logic
        revision = logic.replica.list.revision
        self.arrivals.taken(revision.generation, order.event["seq"], clock())
        self.take_event(order)

    def count_doubled(self):
        """Copies in coded batches are counted by the logic, which decodes them."""
        told = self.changes.logic.counts.get("doubled", 0)
        self.arrivals.doubled += told - self.doubled
        self.doubled = told

    # The rest of a front

    def sweep(self):
        for part in (self.sweep_sharing, self.caches.sweep):
            try:
                part()
            except Exception as flaw:  # as in front.start: the others' turn comes, and this one's again
                self.log.fault("sweep", flaw)
        self.reactor.callLater(self.limits.sweep / 1e6, self.sweep)

    def reload(self):
        """What SIGHUP does: the list service's address and the keys are taken anew."""
        try:
            (host, port), differing = platform.read_again(environment(self.config), self.opening)
        except platform.ConfigurationError as flaw:
            raise NotDone(f"{self.config.name}: {flaw}; the running values stay") from None
        for key in differing:
            self.log.info("reload", "value differs; it takes effect at a restart only", key=key)
        self.changes.follow(host, port)
        self.instance_host.reload()

    def end(self):
        """End as a crash does. The store's file is as the last write left it."""
        self.count_doubled()
        self.reactor.kill()
        self.instance_host.store.close()
        instance, changes = self.instance_host.instance, self.changes
        parts = (
            self.caches,
            self.turn,
            changes.logic,
            changes.request_counts,
            changes,
            instance.shared_results,
        )
        parts += (instance.members.timers, instance.members, instance)
        parts += (self.instance_host.datagram_socket, self.instance_host, self)
        for part in parts:  # they hold each other: freed now, without a walk over all fronts of the process
            part.__dict__.clear()

    def describe(self, report):
        """Fill in how this front stands."""
        members, told = self.instance_host.instance.members, self.changes.describe()
        live = sorted([members.me.token, *members.ring])
        report.live, report.view = len(live), digest_of(live)
        report.late, report.age_us = told["late"], told["confirmed_us_ago"]
        report.role, report.followers = told["role"], told["sends_events_to"]
        report.number, report.generation = told["number"], told["generation"]


def digest_of(tokens):
    """16 hexadecimal digits that name a set of tokens, given in order."""
    return blake2b(b"".join(token.to_bytes(8, "big") for token in tokens), digest_size=8).hexdigest()


def settings_of(config):
    """(PeersOpening, Opening) of a FrontConfig; BadSetting or BadConfiguration."""
    shared = peers_file.read(config.peers)
    if not shared.listing:
        raise SettingError(f"{config.peers}: [listing]: missing; a hollow front takes the list from others")
    return shared, platform.read(environment(config))


def environment(config):
    return {platform.CONFIGURATION: config.settings}


class HollowFront:
    """One front and what is counted of it, over all its lives. `log` is a CountingLog."""

    def __init__(self, reactor, meter, links, config, log):
        self.reactor, self.links, self.config, self.log = reactor, links, config, log
        self.account, self.arrivals = Account(meter), Arrivals()
        self.state, self.life, self.token, self.lives = State.DOWN, None, None, None

    def must_be(self, *states):
        if self.state not in states:
            raise NotDone(f"{self.config.name}: is {self.state.name.lower()}")

    def start(self):
        self.must_be(State.DOWN)
        self.life = Life(self.reactor, self.account, self.arrivals, self.links, self.config, self.log)
        identity = self.life.instance_host.identity
        self.token, self.lives, self.state = f"{identity.token:016x}", identity.generation, State.RUNNING

    def kill(self):
        self.must_be(State.RUNNING, State.PAUSED)
        self.life.end()
        self.arrivals.forget()
        self.life, self.state = None, State.DOWN

    def pause(self):
        self.must_be(State.RUNNING)
        self.life.reactor.pause()
        self.state = State.PAUSED

    def resume(self):
        self.must_be(State.PAUSED)
        self.state = State.RUNNING
        self.life.reactor.resume()

    def reload(self):
        self.must_be(State.RUNNING)
        self.life.reload()

    def report(self):
        """The FrontReport since the last one; only a running front tells how it stands."""
        if self.life:
            self.life.count_doubled()
        cpu, sent, received = self.account.take()
        events, doubled = self.arrivals.take()
        report = FrontReport(cpu, sent, received, events, doubled, self.token, self.lives)
        report.said = self.log.take()
        if self.state == State.RUNNING and not self.life.instance_host.is_stopped:
            self.life.describe(report)
        return report
