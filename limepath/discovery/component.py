"""Defines the base class of the components of the discovery logic."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import TYPE_CHECKING

from limepath.configuration.sharing_settings import DiscoverySettings
from limepath.timer_queue import TimerQueue

if TYPE_CHECKING:
    from limepath.discovery.engine import DiscoveryEngine
    from limepath.discovery.event_intake import EventIntake
    from limepath.discovery.list_replica import ListReplica
    from limepath.discovery.page_transfer import PageTransfer
    from limepath.discovery.roles import RoleSelection
    from limepath.discovery.scopes import ScopeDirectory
    from limepath.discovery.service_stream import ServiceStream
    from limepath.discovery.snapshot_transfer import SnapshotTransfer
    from limepath.discovery.star_subscribers import StarSubscribers
    from limepath.discovery.tree import TreeSubscriptions
    from limepath.discovery.tree_subscribers import TreeSubscribers
    from limepath.discovery.upstream import Upstream


class Component:
    """A component of the engine; accesses the other components through it."""

    def __init__(self, engine: DiscoveryEngine):
        self.engine = engine
        self.me: int = engine.me  # this front's token
        self.settings: DiscoverySettings = engine.settings
        self.live: Callable[[], Collection[int]] = engine.live  # tokens of the other live fronts
        self.timers: TimerQueue = engine.timers
        self.counts: dict[str, int] = engine.counts

    @property
    def replica(self) -> ListReplica:
        """The replica of the endpoint list on this front."""
        return self.engine.replica

    @property
    def upstream(self) -> Upstream:
        """The fronts that this one subscribes to."""
        return self.engine.upstream

    @property
    def roles(self) -> RoleSelection:
        """The role of this front: whether it relays, follows or calls the service for itself."""
        return self.engine.roles

    @property
    def stream(self) -> ServiceStream:
        """The stream of the list service."""
        return self.engine.stream

    @property
    def intake(self) -> EventIntake:
        """The handling of heartbeats and events from other fronts."""
        return self.engine.intake

    @property
    def star_subscribers(self) -> StarSubscribers:
        """The subscribers outside the trees."""
        return self.engine.star_subscribers

    @property
    def tree_subscribers(self) -> TreeSubscribers:
        """The subscribers in the trees."""
        return self.engine.tree_subscribers

    @property
    def snapshot_transfer(self) -> SnapshotTransfer:
        """The transfer of packed lists to and from other fronts."""
        return self.engine.snapshot_transfer

    @property
    def page_transfer(self) -> PageTransfer:
        """The transfer of differing pages to and from other fronts."""
        return self.engine.page_transfer

    @property
    def scopes(self) -> ScopeDirectory:
        """The zones and sites of the live fronts."""
        return self.engine.scopes

    @property
    def tree(self) -> TreeSubscriptions:
        """The position of this front in the trees of its zone."""
        return self.engine.tree
