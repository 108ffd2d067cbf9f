"""Creates and connects the parts of a front, and handles signals and periodic work of the process."""

from __future__ import annotations

import gc
import os
import signal
import time
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from twisted.internet import reactor
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.task import LoopingCall
from twisted.logger import globalLogBeginner

from limepath import early_signals
from limepath.configuration import platform
from limepath.configuration.ini import SettingError
from limepath.decisions.engine import DecisionEngine
from limepath.front.clients import Clients
from limepath.front.decision_loop import DecisionLoop
from limepath.front.endpoint_watch import EndpointWatch
from limepath.front.poll_times import measure_read_delay
from limepath.front.servers import Servers
from limepath.front.watch_error import WatchError
from limepath.log import Log

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from limepath.configuration.peers_file import PeersSettings
    from limepath.configuration.tls_file import TlsSettings

# Twisted's timers follow the wall clock, which may be stepped; deadlines need the monotonic clock.
reactor.seconds = time.monotonic

MICROSECONDS_PER_SECOND = 1e6
PROBE_WITH_LOAD_REPORT = b"INFO"
PLAIN_PROBE = b"NOOP"


def on_signals(numbers: Iterable[int], handler: Callable[[], None]) -> None:
    """Call `handler` at each of these signals, and once if one of them arrived during the start."""
    for number in numbers:
        signal.signal(number, lambda *_: reactor.callFromThread(handler))
    if not early_signals.received.isdisjoint(numbers):
        reactor.callFromThread(handler)


class FrontProcess:
    """Owns the parts of a front. Code for TLS and for cooperation is imported only if they are configured."""

    def __init__(
        self,
        settings: platform.FrontSettings,
        shared: PeersSettings | None = None,
        log_format: str = "person",
        tls: TlsSettings | None = None,
    ):
        """Create the parts and connect them.

        Args:
            settings: the configuration of this front.
            shared: the peers file, for a front that cooperates with others.
            log_format: one of `limepath.log.LOG_FORMATS`.
            tls: the TLS file, for a front that connects to servers by TLS.

        Raises:
            SettingError, ConfigurationError: a setting is invalid; the message names its key.
        """
        self.settings = settings
        limits = settings.limits
        self.log = Log(settings.name, limits.log_lines, limits.log_span, log_format)
        globalLogBeginner.beginLoggingTo([self.log.observe], discardBuffer=True, redirectStandardIO=False)
        decisions = DecisionEngine(seed=settings.seed, **settings.arguments)
        self.decision_loop = DecisionLoop(reactor, decisions, limits, self.log)
        self.clients = Clients(reactor, self.decision_loop, limits, self.log, settings.services)
        self.clients.read_delay = measure_read_delay(reactor)
        probe_command = PROBE_WITH_LOAD_REPORT if settings.reports else PLAIN_PROBE
        self.servers = Servers(reactor, self.decision_loop, self.clients, limits, self.log, probe_command)
        self.decision_loop.connect(self.clients, self.servers)
        if tls:
            self._secure_servers(tls)
        self.instance_host = self._make_instance_host(shared) if shared else None
        self.watch = self._watch(shared)
        try:
            self.watch.load_known_events(settings.known)
        except WatchError as error:
            raise platform.ConfigurationError(f"known.results: {error}") from None
        self.decision_loop.run()
        self.clients.shutdown.finished.addCallback(lambda _: reactor.stop())

    def _secure_servers(self, tls: TlsSettings) -> None:
        from limepath.tls.host import TlsConnector

        kinds = trusts_by_kind(self.settings, tls)
        try:
            self.servers.secured = TlsConnector(reactor, self.log, tls, kinds, self.settings.seed)
        except ValueError as error:
            raise SettingError(f"{tls.file}: {error}") from None

    def _make_instance_host(self, shared: PeersSettings):
        from limepath.duties.host import InstanceHost
        from limepath.membership.host import StartError

        try:
            return InstanceHost(reactor, self.decision_loop, self.servers, self.log, shared, self.settings)
        except StartError as error:
            raise SettingError(f"{shared.file}: {error}") from None

    def _watch(self, shared: PeersSettings | None) -> EndpointWatch:
        limits, settings = self.settings.limits, self.settings
        if not (self.instance_host and shared.listing):
            return EndpointWatch(
                reactor, self.decision_loop, self.servers, limits, self.log, settings.settings, settings.seed
            )
        from limepath.discovery.host import create_change_log

        watch = create_change_log(
            reactor,
            self.decision_loop,
            self.servers,
            limits,
            self.log,
            settings,
            self.instance_host,
            shared.listing,
        )
        watch.on_ready = self._list_confirmed
        self.clients.is_waiting_for_list = True
        return watch

    def listen(self) -> Deferred:
        """Start to listen for clients; return a Deferred that fires once they can connect."""
        host, port = self.settings.listen
        endpoint = TCP4ServerEndpoint(reactor, port, self.settings.limits.backlog, host)
        return self.clients.listen(endpoint).addCallback(self._listening)

    def _listening(self, _) -> None:
        interval = self.settings.limits.sweep / MICROSECONDS_PER_SECOND
        LoopingCall(reactor.callLater, 0, self._sweep).start(interval, now=False)
        on_signals((signal.SIGTERM, signal.SIGINT), self._shut_down)
        on_signals((signal.SIGHUP,), self._reload)
        if self.instance_host:
            self.instance_host.start()
        self.watch.follow(*self.settings.changelog)
        gc.freeze()
        if self.clients.is_waiting_for_list:
            self.log.info("waits-for-list", listening=self._listen_address())
        else:
            self._list_confirmed()

    def _list_confirmed(self) -> None:
        self.clients.is_waiting_for_list = False
        self.log.info("ready", members=len(self.watch.entries), listening=self._listen_address())

    def _listen_address(self) -> str:
        host, port = self.settings.listen
        return f"{host}:{port}"

    def _sweep(self) -> None:
        """Let each part close idle connections and check its timeouts.

        The caller runs this one iteration after its timer, so that data which arrived while the process was
        stopped or late is read first.
        """
        if self.servers.secured:
            self.servers.secured.announce()
        for part in filter(None, (self.clients, self.servers, self.watch, self.instance_host)):
            try:
                part.sweep()
            except (
                Exception
            ) as error:  # the other parts are still swept, and this one is tried again next time
                self.log.fault("sweep", error)

    def _reload(self) -> None:
        try:
            (host, port), differing = platform.read_again(os.environ, self.settings)
        except platform.ConfigurationError as error:
            self.log.info("reload", f"{error}; the running values stay")
            return
        for key in differing:
            self.log.info("reload", "value differs; it takes effect at a restart only", key=key)
        self.log.info(
            "reload",
            "following the change log at this address",
            address=f"{host}:{port}",
            after=self.watch.last_seq,
        )
        self.watch.follow(host, port)
        if self.instance_host:
            self.instance_host.reload()
        if self.servers.secured:
            self.servers.secured.reload()

    def _shut_down(self) -> None:
        if self.instance_host:
            self.instance_host.leave()
        self.clients.shutdown.start()


def trusts_by_kind(settings: platform.FrontSettings, tls: TlsSettings) -> dict:
    """Return the trust settings by kind of server; all kinds but the parents and the origin are caches."""
    footprint = settings.arguments["footprint"]
    upper_kinds = {"parents": footprint.parent_kind, "origin": footprint.origin_kind}
    cache_kinds = set(range(len(settings.settings["models"]))) - set(upper_kinds.values())
    trusts = {}
    for trust in tls.trusts:
        for name in trust.members:
            for kind in [upper_kinds[name]] if name in upper_kinds else cache_kinds:
                trusts[kind] = trust
    return trusts
