"""The discovery logic of one front: its sources of the list, its calls to the service, and what it forwards.

The first `relays` fronts of a zone, by hash over the live view, hold a stream of the service. Every heartbeat
interval, each other front sends them a Subscribe. A relay answers with a Heartbeat (its revision and the time
since the service last confirmed it) and with the missing events; it also pushes new events at once. Each hop
adds its delay to the age, so that the age of a list is always the time since the service confirmed it,
whichever front answers. If a relay is silent, if its stream stalls or if it contradicts other relays, the
next front by hash replaces it. If the settings name a site, trees replace this star topology.

The package's docstring lists the components. Performs no I/O.
"""

from collections.abc import Callable, Collection, Iterable
from typing import Any

import msgspec

from limepath.configuration.sharing_settings import DiscoverySettings
from limepath.discovery.event_intake import EventIntake
from limepath.discovery.interface import (
    EventBatch,
    Events,
    Heartbeat,
    PageChunk,
    PageChunkRequest,
    PeerMessage,
    ScopeAnnouncement,
    ScopeQuery,
    ScopeReport,
    ServiceMoved,
    SnapshotChunk,
    SnapshotChunkRequest,
    StreamActive,
    StreamClosed,
    StreamEventReceived,
    StreamOpened,
    Subscribe,
)
from limepath.discovery.list_replica import ListReplica
from limepath.discovery.page_transfer import PageTransfer
from limepath.discovery.roles import RoleSelection
from limepath.discovery.scopes import ScopeDirectory
from limepath.discovery.service_stream import ServiceStream
from limepath.discovery.snapshot_transfer import SnapshotTransfer
from limepath.discovery.star_subscribers import StarSubscribers
from limepath.discovery.tree import TreeSubscriptions
from limepath.discovery.tree_subscribers import TreeSubscribers
from limepath.discovery.upstream import Upstream, UpstreamSource
from limepath.timer_queue import TimerQueue

MAX_START_DELAY_US = 100_000  # random delay of the first round, spreads fronts that start together
COUNTERS = (
    "calls",
    "pushed",
    "fetched",
    "pages",
    "passed over",
    "contradictions",
    "nonsense",
    "refused",
    "turned away",
    "slow",
    "gaps",
    "sent again",
    "doubled",
)


class DiscoveryEngine:
    """Turns input events into output commands; times are microseconds of one monotonic clock.

    `me` is the token of this front, `live()` returns the tokens of the other live fronts, and `saved` is the
    packed list from the store, or None.
    """

    def __init__(
        self,
        me: int,
        settings: DiscoverySettings,
        seed: int,
        live: Callable[[], Collection[int]],
        saved: bytes | None = None,
    ):
        self.me = me
        self.settings = settings
        self.live = live
        self.timers = TimerQueue(seed)
        self.counts: dict[str, int] = dict.fromkeys(COUNTERS, 0)
        self.scopes = ScopeDirectory(self)
        self.tree = TreeSubscriptions(self)
        self.replica = ListReplica(self)
        self.upstream = Upstream(self)
        self.roles = RoleSelection(self)
        self.stream = ServiceStream(self)
        self.intake = EventIntake(self)
        self.page_transfer = PageTransfer(self)
        self.star_subscribers = StarSubscribers(self)
        self.tree_subscribers = TreeSubscribers(self)
        self.snapshot_transfer = SnapshotTransfer(self)
        self.stream_handlers = self._stream_handlers()
        self.message_handlers = self._message_handlers()
        if saved is not None:
            self.replica.load(saved)

    def _stream_handlers(self) -> dict[type, Callable[[Any], None]]:
        return {
            StreamOpened: self.stream.on_opened,
            StreamActive: self.stream.on_active,
            StreamEventReceived: self.stream.on_event,
            StreamClosed: self.stream.on_closed,
            ServiceMoved: self.stream.on_service_moved,
        }

    def _message_handlers(self) -> dict[type, Callable[[int, Any], None]]:
        return {
            ScopeAnnouncement: self.scopes.on_announcement,
            Subscribe: self.star_subscribers.on_subscribe,
            Heartbeat: self.intake.on_heartbeat,
            Events: self.intake.on_events,
            EventBatch: self.intake.on_event_batch,
            ScopeQuery: self.scopes.on_query,
            ScopeReport: self.scopes.on_report,
            SnapshotChunkRequest: self.snapshot_transfer.on_request,
            SnapshotChunk: self.snapshot_transfer.on_chunk,
            PageChunkRequest: self.page_transfer.on_request,
            PageChunk: self.page_transfer.on_chunk,
        }

    def start(self, now: int) -> list[Any]:
        """Schedule the first round and return the commands to execute."""
        self.timers.now = now
        delay = int(self.timers.random_fraction() * min(self.settings.beat, MAX_START_DELAY_US))
        self.timers.schedule(now + delay, self.roles.run_round)
        return self.timers.take_commands()

    def handle(self, now: int, events: Iterable[Any] = ()) -> list[Any]:
        """Run the timers due at `now`, handle the events, and return the commands to execute."""
        self.timers.run_due(now)
        for event in events:
            if isinstance(event, PeerMessage):
                self._handle_message(event.token, event.message)
            else:
                self.stream_handlers[type(event)](event)
        return self.timers.take_commands()

    def _handle_message(self, token: int, message: msgspec.Struct) -> None:
        if handler := self.message_handlers.get(type(message)):
            handler(token, message)

    def next(self) -> int | None:
        """Return the time of the next timer, or None."""
        return self.timers.next_due()

    def describe(self) -> dict[str, Any]:
        """Return the state that `limepath discovery show` prints, as plain values."""
        replica = self.replica
        event_subscribers = len(self.tree_subscribers.event_subscribers())
        star_subscribers = len(self.star_subscribers.subscribers)
        return {
            "generation": replica.list.revision.generation,
            "number": replica.list.revision.number,
            "members": len(replica.list.members),
            "digest": f"{replica.list.digest:016x}",
            "confirmed_us_ago": replica.age(),
            "late": replica.is_stale(),
            "role": self.roles.role.value,
            "stream": str(self.stream.state),
            "zone": self.settings.zone,
            "site": self.settings.site,
            "followers": star_subscribers + len(self.tree_subscribers.subscribers),
            "children": event_subscribers,
            "sends_events_to": star_subscribers + event_subscribers,
            "hops": self.tree.hops,
            "reaches": replica.oldest_available(),
            "window_cut_short": replica.window.is_cut_short(self.timers.now),
            "follows": [self._describe_source(*entry) for entry in self.upstream.sources.items()],
            "counts": dict(self.counts),
        }

    def _describe_source(self, token: int, source: UpstreamSource) -> dict[str, Any]:
        fault = self.upstream.fault_of(source)
        return {
            "token": f"{token:016x}",
            "number": source.heartbeat.number if source.heartbeat else None,
            "heard_us_ago": self.timers.now - source.heartbeat_at if source.heartbeat else None,
            "flaw": str(fault) if fault else None,
        }
