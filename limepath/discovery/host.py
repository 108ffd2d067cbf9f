"""The discovery logic on a real front: sockets, store and timers; nothing is decided here.

`DiscoveryChangeLog` takes the place of the plain change log of a front that shares. The list comes from the
service's stream or from other fronts, and `engine` decides from whom.
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
from limepath.discovery.purge_age import PurgeAgeLimit
from limepath.discovery.stream_feed import StreamFeed, WatchStream
from limepath.duties.host import clock
from limepath.frequency_exchange.host import FrequencyExchange
from limepath.front.endpoint_watch import EndpointWatch
from limepath.front.watch_error import WatchError
from limepath.interface.events import EndpointListFreshnessChanged
from limepath.logic_host import LogicHost

if TYPE_CHECKING:
    from limepath.configuration.platform import FrontSettings
    from limepath.duties.host import Cooperation
    from limepath.membership.interface import MemberRecord

SAVED_LIST_ROW = "list"  # of the store
NS_PER_US = 1000
US_PER_MS = 1000
US_PER_SECOND = 1e6
MAX_REASON_LENGTH = 120  # characters of an error in a log line
REQUEST_COUNTS_SEED = 0x7A11  # keeps the draws of the request counts apart from those of the front


class DiscoveryChangeLog(EndpointWatch):
    """The list of a front that shares; `cooperation` carries messages to others and keeps the store."""

    def __init__(
        self,
        reactor: IReactorTime,
        event_loop: Any,
        caches: Any,
        limits: Any,
        log: Any,
        settings: dict[str, Any],
        seed: int,
        cooperation: Cooperation,
        discovery: DiscoverySettings,
    ):
        super().__init__(reactor, event_loop, caches, limits, log, settings, seed)
        self.cooperation = cooperation
        members = cooperation.instance.members
        saved = cooperation.store.all().get(SAVED_LIST_ROW)
        self.logic = DiscoveryEngine(members.me.token, discovery, seed, lambda: members.ring, saved)
        self.logic_host = LogicHost(reactor, clock, self.logic, self.execute, self.failed)
        self.serial: int = 0  # of the current call
        self.max_purge_age: int = -1  # of the event that is being applied, in microseconds; -1: not known
        self.confirmed: Callable[[], None] | None = None  # called once the front may be ready
        self.paced: Any = None  # the fleet-wide pace of connections, where it is set
        self.request_counts: FrequencyExchange | None = None  # the exchange of request counts

    def load_known_events(self, known: dict[str, Any]) -> None:
        """What the configuration holds is as old as its file; the service or a relay sends what counts."""

    def follow(self, host: str, port: int) -> None:
        """The address of the service; the logic decides when to call."""
        has_moved = hasattr(self, "host")
        self.host = host
        self.port = port
        if has_moved:
            self.submit(ServiceMoved())
        else:
            self.logic_host.carry_out(self.logic.start(clock()))
            self.request_counts.start()

    def submit(self, *events: Any) -> None:
        """Hand events to the logic."""
        self.logic_host.submit(*events)

    def failed(self, error: Exception) -> None:
        """Requests go on with the list as it is; the next round tries again."""
        self.log.fault("listing", error)

    def heard(self, sender: MemberRecord, message: msgspec.Struct) -> None:
        """A message of another instance that is not of the duties."""
        if isinstance(message, MESSAGES):
            self.submit(PeerMessage(sender.token, message))

    def execute(self, command: Any) -> None:
        """Carry out one command of the logic."""
        match command:
            case SendToMember():
                self.cooperation.reach(command.token, command.message)
            case ApplyEvent():
                self.apply_list_event(command)
            case OpenStream():
                self._open_stream(command.after)
            case CloseStream():
                self._close_stream()
            case SaveSnapshot():
                if not self.cooperation.over:
                    self.cooperation.writes.put({SAVED_LIST_ROW: command.data})
            case ListConfirmed():
                self._log_confirmed(command)
            case FrontReady():
                if self.confirmed:
                    self.confirmed()
            case ListFreshnessChanged():
                self.decision_loop.gather(EndpointListFreshnessChanged(command.stale))
                self.log.say("list-late" if command.stale else "list-in-time")
            case LogEvent():
                self.log.say(command.event, **command.fields)

    def _log_confirmed(self, command: ListConfirmed) -> None:
        self.log.say(
            "list-confirmed",
            number=command.revision.number,
            generation=command.revision.generation,
            age_ms=command.age // US_PER_MS,
        )

    # The front's list

    def apply_list_event(self, command: ApplyEvent) -> None:
        """Apply an event to the front's list."""
        self.max_purge_age = command.max_purge_age
        number = command.event["seq"]
        try:
            self.apply_event(command.event)
        except WatchError as error:  # its form was checked; what it names this front does not know
            self.log.say("changelog", f"{error}; skipped", number=number)
        self.last_seq = number

    def apply_update(self, fleet: dict[str, Any]) -> None:
        """Apply members, and look again at the pace of connections."""
        try:
            super().apply_update(fleet)
        finally:  # some of it may have been unreadable
            if self.paced:
                self.paced.update()

    def apply_purge(self, purge: dict[str, Any]) -> None:
        """Apply a purge, which is no older than this front's list was up to date, whatever the clocks say."""
        if self.max_purge_age < 0:
            super().apply_purge(purge)
            return
        plain = self.decision_loop
        self.decision_loop = PurgeAgeLimit(plain, self.max_purge_age)
        try:
            super().apply_purge(purge)
        finally:
            self.decision_loop = plain

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
        self.serial += 1  # what still comes of the former call is ignored
        if self.pending_connect:
            self.pending_connect.cancel()
        if self.stream:
            self.stream.transport.abortConnection()
        self.stream = None
        self.pending_connect = None

    def sweep(self) -> None:
        """The logic itself detects silence."""

    def describe(self) -> dict[str, Any]:
        """What `limepath discovery show` prints."""
        self.logic.timers.now = clock()
        return self.logic.describe()


def create_change_log(
    reactor: IReactorTime,
    event_loop: Any,
    caches: Any,
    limits: Any,
    log: Any,
    front: FrontSettings,
    cooperation: Cooperation,
    discovery: DiscoverySettings,
) -> DiscoveryChangeLog:
    """The change log of a front that shares, which receives the messages of other instances."""
    zone = front.settings["areas"][front.settings["az"]]
    gone_ns = int(front.settings.get("family-info", {}).get("gone-everywhere", 0))
    discovery = discovery._replace(zone=zone, purge_lifetime=gone_ns // NS_PER_US or discovery.purge_lifetime)
    changes = DiscoveryChangeLog(
        reactor, event_loop, caches, limits, log, front.settings, front.seed, cooperation, discovery
    )
    cooperation.message_handlers.append(changes)
    changes.request_counts = FrequencyExchange(
        reactor, event_loop, cooperation, front.seed ^ REQUEST_COUNTS_SEED
    )
    cooperation.event_listeners.append(changes.request_counts)
    if cooperation.settings.connections:
        from limepath.connection_pacing.host import (
            PacedConnections,  # nothing of it is loaded where no pace is set
        )

        members = cooperation.instance.members
        changes.paced = PacedConnections(
            reactor,
            event_loop,
            caches,
            float(cooperation.settings.connections),
            lambda: max(discovery.fronts, len(members.ring) + 1),
            changes.logic.timers.random_fraction,
        )
    cooperation.views["listing"] = changes.describe
    return changes
