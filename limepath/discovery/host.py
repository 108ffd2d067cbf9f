"""Connects the discovery logic of a front to sockets, store and timers; makes no decisions itself.

`DiscoveryChangeLog` replaces the plain change log on fronts with sharing. The list comes from the service's
stream or from other fronts, as `engine` decides.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectingCancelledError
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from limepath.configuration.sharing_settings import DiscoverySettings
from limepath.discovery.engine import DiscoveryEngine
from limepath.discovery.interface import (
    MESSAGES,
    ApplyEvent,
    CloseStream,
    FrontReady,
    ListConfirmed,
    ListFreshnessChanged,
    LogEvent,
    OpenStream,
    PeerMessage,
    SaveSnapshot,
    SendToMember,
    ServiceMoved,
    StreamClosed,
)
from limepath.discovery.stream_feed import StreamFeed, WatchStream
from limepath.duties.host import clock
from limepath.frequency_exchange.host import FrequencyExchange
from limepath.front.endpoint_watch import EndpointWatch
from limepath.front.watch_error import WatchError
from limepath.interface.events import EndpointListFreshnessChanged
from limepath.logic_host import LogicHost

if TYPE_CHECKING:
    from limepath.configuration.platform import FrontSettings
    from limepath.duties.host import InstanceHost
    from limepath.membership.interface import MemberRecord

SAVED_LIST_ROW = "list"  # key in the store
NS_PER_US = 1000
US_PER_MS = 1000
US_PER_SECOND = 1e6
MAX_REASON_LENGTH = 120  # characters of an error in a log line
REQUEST_COUNTS_SEED = 0x7A11  # gives the request counts a random sequence that differs from the front's


class DiscoveryChangeLog(EndpointWatch):
    """The change log of a front with sharing; `instance_host` sends messages to others and owns the store."""

    def __init__(
        self,
        reactor: IReactorTime,
        event_loop: Any,
        caches: Any,
        limits: Any,
        log: Any,
        settings: dict[str, Any],
        seed: int,
        instance_host: InstanceHost,
        discovery: DiscoverySettings,
    ):
        super().__init__(reactor, event_loop, caches, limits, log, settings, seed)
        self.instance_host = instance_host
        members = instance_host.instance.members
        saved = instance_host.store.all().get(SAVED_LIST_ROW)
        self.logic = DiscoveryEngine(members.me.token, discovery, seed, lambda: members.ring, saved)
        self.logic_host = LogicHost(reactor, clock, self.logic, self.execute, self.failed)
        self.serial: int = 0  # number of the current call
        self.on_ready: Callable[[], None] | None = None  # called when the front may become ready
        self.paced_connections: Any = None  # limits the rate of new connections; None without a limit
        self.request_counts: FrequencyExchange | None = None  # exchanges request counts with other fronts

    def load_known_events(self, known: dict[str, Any]) -> None:
        """Ignore the events of the configuration, which may be outdated; the service or a relay sends all."""
        self.is_loaded = True

    def follow(self, host: str, port: int) -> None:
        """Set the address of the service; the logic decides when to call it."""
        has_moved = hasattr(self, "host")
        self.host = host
        self.port = port
        if has_moved:
            self.submit(ServiceMoved())
        else:
            self.logic_host.carry_out(self.logic.start(clock()))
            self.request_counts.start()

    def submit(self, *events: Any) -> None:
        """Pass events to the logic."""
        self.logic_host.submit(*events)

    def failed(self, error: Exception) -> None:
        """Log an error of the logic; the front keeps its present list, and the next round retries."""
        self.log.fault("listing", error)

    def handle_message(self, sender: MemberRecord, message: msgspec.Struct) -> None:
        """Pass a discovery message of another instance to the logic; ignore other messages."""
        if isinstance(message, MESSAGES):
            self.submit(PeerMessage(sender.token, message))

    def execute(self, command: Any) -> None:
        """Execute one command of the logic."""
        match command:
            case SendToMember():
                self.instance_host.send_to_member(command.token, command.message)
            case ApplyEvent():
                self.apply_list_event(command)
            case OpenStream():
                self._open_stream(command.after)
            case CloseStream():
                self._close_stream()
            case SaveSnapshot():
                if not self.instance_host.is_stopped:
                    self.instance_host.writes.put({SAVED_LIST_ROW: command.data})
            case ListConfirmed():
                self._log_confirmed(command)
            case FrontReady():
                if self.on_ready:
                    self.on_ready()
            case ListFreshnessChanged():
                self.decision_loop.gather(EndpointListFreshnessChanged(command.stale))
                self.log.info("list-late" if command.stale else "list-in-time")
            case LogEvent():
                self.log.info(command.event, **command.fields)

    def _log_confirmed(self, command: ListConfirmed) -> None:
        self.log.info(
            "list-confirmed",
            number=command.revision.number,
            generation=command.revision.generation,
            age_ms=command.age // US_PER_MS,
        )

    # The front's list

    def apply_list_event(self, command: ApplyEvent) -> None:
        """Apply an event to the front's list."""
        number = command.event["seq"]
        try:
            self.apply_event(command.event, command.purge_age)
        except WatchError as error:  # the event is well-formed but names something unknown to this front
            self.log.info("changelog", f"{error}; skipped", number=number)
        self.last_seq = number

    def apply_update(self, fleet: dict[str, Any]) -> None:
        """Apply a list of members, then update the rate limit of new connections."""
        try:
            super().apply_update(fleet)
        finally:  # after a WatchError too, because the readable members were applied
            if self.paced_connections:
                self.paced_connections.update()

    # The stream

    def _open_stream(self, after: int) -> None:
        self.serial += 1
        serial = self.serial
        timeout = self.limits.connect / US_PER_SECOND
        endpoint = TCP4ClientEndpoint(self.reactor, self.host, self.port, timeout=timeout)
        feed = StreamFeed(self, serial, after)
        self.pending_connect: Deferred | None = endpoint.connect(
            Factory.forProtocol(lambda: WatchStream(feed))
        )
        self.pending_connect.addCallbacks(
            self.connected, lambda failure: self._connection_failed(failure, serial)
        )

    def _connection_failed(self, failure: Failure, serial: int) -> None:
        self.pending_connect = None
        if not failure.check(ConnectingCancelledError) and serial == self.serial:
            self.submit(StreamClosed(failure.getErrorMessage()[:MAX_REASON_LENGTH]))

    def _close_stream(self) -> None:
        self.serial += 1  # ignores later events of the former call
        if self.pending_connect:
            self.pending_connect.cancel()
        if self.stream:
            self.stream.transport.abortConnection()
        self.stream = None
        self.pending_connect = None

    def sweep(self) -> None:
        """Do nothing: the logic detects silent streams itself."""

    def describe(self) -> dict[str, Any]:
        """Return the state that `limepath discovery show` prints."""
        self.logic.timers.now = clock()
        return self.logic.describe()


def create_change_log(
    reactor: IReactorTime,
    event_loop: Any,
    caches: Any,
    limits: Any,
    log: Any,
    front: FrontSettings,
    instance_host: InstanceHost,
    discovery: DiscoverySettings,
) -> DiscoveryChangeLog:
    """Create the change log of a front with sharing, and register it for the messages of other instances."""
    zone = front.settings["areas"][front.settings["az"]]
    gone_ns = int(front.settings.get("family-info", {}).get("gone-everywhere", 0))
    discovery = discovery._replace(zone=zone, purge_lifetime=gone_ns // NS_PER_US or discovery.purge_lifetime)
    change_log = DiscoveryChangeLog(
        reactor, event_loop, caches, limits, log, front.settings, front.seed, instance_host, discovery
    )
    instance_host.message_handlers.append(change_log)
    change_log.request_counts = FrequencyExchange(
        reactor, event_loop, instance_host, front.seed ^ REQUEST_COUNTS_SEED
    )
    instance_host.event_listeners.append(change_log.request_counts)
    if instance_host.settings.connections:
        from limepath.connection_pacing.host import (
            PacedConnections,  # imported only if a rate is set
        )

        members = instance_host.instance.members
        change_log.paced_connections = PacedConnections(
            reactor,
            event_loop,
            caches,
            float(instance_host.settings.connections),
            lambda: max(discovery.fronts, len(members.ring) + 1),
            change_log.logic.timers.random_fraction,
        )
    instance_host.views["listing"] = change_log.describe
    return change_log
