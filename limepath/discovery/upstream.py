"""Tracks the fronts that this one subscribes to: their last heartbeats, their faults and the selection.

Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Collection
from enum import StrEnum
from heapq import nsmallest
from typing import TYPE_CHECKING
from zlib import crc32

from limepath.discovery import bounds
from limepath.discovery.bounds import RELAY_RETRY_SPAN_US
from limepath.discovery.component import Component
from limepath.discovery.interface import Heartbeat, SubscriptionMode
from limepath.hashing import mix64

if TYPE_CHECKING:
    from limepath.discovery.engine import DiscoveryEngine

BAD_PEER_EXCLUSION_US = 30_000_000  # for which a source that sent invalid or contradictory data is avoided
SOURCE_RETENTION_US = 10_000_000  # for which the faults of a former source are remembered
RANKED_PER_RELAY = 8  # fronts in hash order to consider per relay


class SourceFault(StrEnum):
    """Why a source is avoided; the values appear in reports."""

    BAD = "bad"  # sent invalid data, or contradicted others
    SILENT = "silent"
    FAILING = "in vain"  # answers, but its calls to the service fail
    REFUSED = "refused"  # accepts no more subscribers


class UpstreamSource:
    """A front that this one subscribes to."""

    __slots__ = ("heartbeat", "heartbeat_at", "awaiting_since", "behind_since", "rejected_until")

    def __init__(self) -> None:
        self.heartbeat: Heartbeat | None = None  # the last heartbeat
        self.heartbeat_at: int | None = None
        self.awaiting_since: int | None = None  # since when a heartbeat is due
        self.behind_since: int | None = None  # since when it has claimed to be up to date but is behind us
        self.rejected_until: int = 0  # until when the source is avoided


class Upstream(Component):
    """Selects the relays of the zone by hash, and replacements for faulty ones."""

    def __init__(self, engine: DiscoveryEngine):
        super().__init__(engine)
        self.salt: int = mix64(crc32(self.settings.zone.encode()))
        self.sources: dict[int, UpstreamSource] = {}  # by token
        self.preferred: list[int] = []  # the first fronts of the zone by hash
        self.selected: list[int] = []  # the preferred fronts without faults, and replacements for the others
        self.is_helper: bool = False  # this front calls the service too, because relays' calls fail

    def rank(self, count: int) -> list[int]:
        """Return the first `count` fronts of this zone by hash; without trees, also those of unknown zone."""
        if self.tree.enabled:
            candidates = list(self.scopes.zone_members)
        else:
            known = self.scopes.known
            own = self.scopes.own
            candidates = [token for token in self.live() if known.get(token, own).zone == own.zone]
            candidates.append(self.me)
        return nsmallest(count, candidates, key=lambda token: mix64(token ^ self.salt))

    def subscriptions(self) -> dict[int, SubscriptionMode]:
        """Select the fronts to subscribe to in this round; return the mode of each by token."""
        if not self.tree.enabled:
            self._select()
            return dict.fromkeys([*self.selected, *self.preferred], SubscriptionMode.TEXTS)
        self.tree.update_position()
        watches = self.tree.watches_roots()
        if watches:
            self._select()
        else:
            self.preferred = self.tree.roots
            self.is_helper = False
        wanted = self.tree.subscriptions()
        if not watches:
            self.selected = [token for token in (self.tree.parent, self.tree.backup) if token is not None]
        return wanted

    def _select(self) -> None:
        """Select the first fronts by hash that are neither silent nor bad.

        For each one whose calls to the service fail, select a helper as well, up to `HELPERS_PER_RELAY` times
        the number of relays.
        """
        relays = self.settings.relays
        helpers = 0
        ranked = self.rank(relays * RANKED_PER_RELAY)
        self.preferred = ranked[:relays]
        self.selected = []
        for token in ranked:
            if len(self.selected) >= relays + helpers:
                break
            fault = None if token == self.me else self.fault_of(self.sources.get(token))
            if fault in (SourceFault.SILENT, SourceFault.BAD):
                self.counts["passed over"] += token in self.preferred
                continue
            self.selected.append(token)
            if fault == SourceFault.FAILING or token == self.me and self.is_failing():
                helpers = min(bounds.HELPERS_PER_RELAY * relays, helpers + 1)
        self.is_helper = bool(helpers) and self.me in ranked[: relays + helpers]
        if not self.selected:
            self.selected = [self.me]

    def forget_others(self, wanted: Collection[int]) -> None:
        """Remove former sources once their faults need no longer be remembered."""
        now = self.timers.now
        for token, source in list(self.sources.items()):
            last_asked = source.awaiting_since or source.heartbeat_at or 0
            is_old = source.rejected_until <= now and now - last_asked > SOURCE_RETENTION_US
            if token not in wanted and is_old:
                del self.sources[token]

    def is_failing(self) -> bool:
        """Return whether this front's own calls to the service have been failing for too long."""
        since = self.roles.failing_since
        return since is not None and self.timers.now - since > RELAY_RETRY_SPAN_US

    def is_preferred_silent(self) -> bool:
        """Return whether a preferred relay has been silent for longer than lost datagrams would explain."""
        silent = [self.sources[token].awaiting_since for token in self.preferred if token in self.sources]
        return any(since and self.timers.now - since > RELAY_RETRY_SPAN_US for since in silent)

    def fault_of(self, source: UpstreamSource | None) -> SourceFault | None:
        """Return the fault for which a source is to be avoided, or None."""
        now = self.timers.now
        if source is None:
            return None
        if source.rejected_until > now:
            return SourceFault.BAD
        if source.awaiting_since and now - source.awaiting_since > self.settings.heartbeat_timeout:
            return SourceFault.SILENT
        if source.heartbeat:
            sent_age = source.heartbeat.age
            age = now - source.heartbeat_at + sent_age
            limit = self.replica.freshness_limit() + RELAY_RETRY_SPAN_US
            if source.heartbeat.failing_for > RELAY_RETRY_SPAN_US or sent_age >= 0 and age > limit:
                return SourceFault.FAILING
        return None

    def has_active_source(self) -> bool:
        """Return whether a selected source is active: it is up to date, or calls the service for the zone."""
        return any(self._is_active(self.sources.get(token)) for token in self.selected)

    def _is_active(self, source: UpstreamSource | None) -> bool:
        now = self.timers.now
        if not source:
            return False
        if not source.heartbeat:  # subscribed to just now
            return (
                bool(source.awaiting_since) and now - source.awaiting_since <= self.settings.heartbeat_timeout
            )
        silence = now - source.heartbeat_at
        if silence > 2 * self.settings.heartbeat_timeout + self.settings.beat or source.rejected_until > now:
            return False
        return bool(source.heartbeat.failing_for) or (
            0 <= source.heartbeat.age <= self.replica.freshness_limit()
        )
