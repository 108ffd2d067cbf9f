"""Selects the fronts that this one subscribes to in the trees of its zone.

The parent sends events, the backup sends heartbeats. If a parent is silent, bad or slow, if its calls to the
service fail or if it accepts no more subscribers, its own parent replaces it. The roots and the standbys
subscribe to the relays as without trees. `topology` computes the trees. Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, NamedTuple

from limepath.discovery import bounds
from limepath.discovery.component import Component
from limepath.discovery.interface import SubscriptionMode
from limepath.discovery.topology import Position, Zone, longest_path, order_by_hash
from limepath.discovery.upstream import SourceFault

if TYPE_CHECKING:
    from limepath.discovery.engine import DiscoveryEngine

REFUSAL_BACKOFF_US = 10_000_000  # until a front that refused a subscription is tried again
STANDBYS_PER_RELAY = 1 + bounds.HELPERS_PER_RELAY  # the next fronts by hash, which subscribe to the roots


class MissingEvent(NamedTuple):
    """An event that this front lacks, and the time since which another front is known to have it."""

    number: int
    since: int


class TreeSubscriptions(Component):
    """This front's position, parent and backup in the trees; disabled if the settings name no site."""

    def __init__(self, engine: DiscoveryEngine):
        super().__init__(engine)
        self.position: Position | None = None
        self.scopes_version: int | None = None  # of the view that `position` was computed from
        self.hops: int = 0  # maximum from a root to any front
        self.roots: list[int] = []
        self.standbys: list[int] = []  # the next fronts by hash
        self.parent: int | None = None
        self.backup: int | None = None
        self.refused_until: dict[int, int] = {}  # by token
        self.missing: MissingEvent | None = None

    @property
    def enabled(self) -> bool:
        """Whether this front has a site and is therefore part of the trees."""
        return bool(self.settings.site)

    def update_position(self) -> None:
        """Recompute the position if the view of the zone has changed."""
        if self.scopes_version == self.scopes.version:
            return
        self.scopes_version = self.scopes.version
        members = self.scopes.zone_members
        relays, fan_out = self.settings.relays, self.settings.fan_out
        zone = Zone(self.settings.zone, members, relays, fan_out)
        self.position = zone.position(self.me)
        ranked = order_by_hash(members, self.settings.zone)
        self.roots = ranked[:relays]
        self.standbys = ranked[relays : relays * (1 + STANDBYS_PER_RELAY)]
        self.hops = longest_path(len(members), len(zone.sites), relays, fan_out)

    def watches_roots(self) -> bool:
        """Return whether this front is a root or a standby."""
        return self.me in self.roots or self.me in self.standbys

    def subscriptions(self) -> dict[int, SubscriptionMode]:
        """Select the fronts to subscribe to in this round; return the mode of each by token."""
        self._choose_parent()
        wanted = {}
        if self.watches_roots():
            watched = [*self.upstream.selected, *self.roots]
            wanted = dict.fromkeys(watched, SubscriptionMode.HEARTBEATS)
        use_backup = self._is_event_late() and self.backup is not None
        if self.backup is not None:
            wanted[self.backup] = SubscriptionMode.BATCHES if use_backup else SubscriptionMode.HEARTBEATS
        if not self.position.is_root:
            for token in self.position.candidates[:1]:  # detects when it answers again
                wanted.setdefault(token, SubscriptionMode.HEARTBEATS)
            if self.parent is not None:
                wanted[self.parent] = SubscriptionMode.HEARTBEATS if use_backup else SubscriptionMode.BATCHES
        wanted.pop(self.me, None)
        return wanted

    def _choose_parent(self) -> None:
        """Choose the first candidate without a fault, else the first whose calls to the service fail."""
        candidates = self.position.candidates
        if self.position.is_root:
            self.parent = None
            self.backup = next((token for token in candidates if not self._fault_of(token)), None)
            return
        spares = [token for token in self.standbys if token != self.me and token not in candidates]
        self.parent = self._pick((*candidates, *spares))
        if candidates and self.parent != candidates[0]:
            self.counts["passed over"] += 1
        self.backup = self._pick([token for token in self.position.backups if token != self.parent])

    def _pick(self, tokens: Iterable[int]) -> int | None:
        faults = {token: self._fault_of(token) for token in tokens}
        for accepted in (None, SourceFault.FAILING):
            for token, fault in faults.items():
                if fault == accepted:
                    return token
        return next(iter(faults), None)

    def _fault_of(self, token: int) -> SourceFault | None:
        if self.refused_until.get(token, 0) > self.timers.now:
            return SourceFault.REFUSED
        return self.upstream.fault_of(self.upstream.sources.get(token))

    def record_refusal(self, token: int) -> None:
        """Record that a front refused this one's subscription."""
        self.refused_until[token] = self.timers.now + REFUSAL_BACKOFF_US
        self.counts["refused"] += 1

    # Late events

    def record_available(self, number: int) -> None:
        """Record that another front has this event, which must arrive here within the delivery time."""
        if self.missing is None or self.replica.list.revision.number >= self.missing.number:
            self.missing = MissingEvent(number, self.timers.now)

    def _is_event_late(self) -> bool:
        """Return whether the parent has not delivered in time an event that another front has."""
        if self.missing is None or self.replica.list.revision.number >= self.missing.number:
            return False
        late = self.timers.now - self.missing.since - bounds.delivery_time(self.settings, self.hops)
        source = self.upstream.sources.get(self.parent)
        if late <= 0 or source and source.heartbeat and source.heartbeat.number >= self.missing.number:
            return False  # the parent has it, and sends as fast as its rate limit allows
        if late > self.settings.heartbeat_timeout and self.parent is not None:
            self._reject_slow_parent()
        return True

    def _reject_slow_parent(self) -> None:
        """Reject a parent that sends heartbeats but lacks an event that another front has."""
        if source := self.upstream.sources.get(self.parent):
            source.rejected_until = self.timers.now + bounds.SLOW_PARENT_EXCLUSION_US
        self.counts["slow"] += 1
        self.missing = None

    def delivery_time(self) -> int:
        """Return the time that an event takes through the trees, in microseconds; 0 without trees."""
        return bounds.delivery_time(self.settings, self.hops) if self.enabled else 0
