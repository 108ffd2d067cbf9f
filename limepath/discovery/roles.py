"""Decides every heartbeat interval whether a front relays, follows or calls the service for itself.

Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from limepath.discovery.bounds import RELAY_RETRY_SPAN_US
from limepath.discovery.call_budget import CallBudget
from limepath.discovery.component import Component
from limepath.discovery.interface import LogEvent, Role, SendToMember, Subscribe, SubscriptionMode
from limepath.discovery.scopes import QUERIES_PER_HEARTBEAT
from limepath.discovery.upstream import UpstreamSource

if TYPE_CHECKING:
    from limepath.discovery.engine import DiscoveryEngine

STREAM_HOLD_TIMEOUTS = 2  # heartbeat timeouts for which a former relay keeps its stream
RANKED_PER_QUERY = 4  # fronts in hash order to consider per scope query of a round


class RoleSelection(Component):
    """Selects the role of this front in periodic rounds."""

    def __init__(self, engine: DiscoveryEngine):
        super().__init__(engine)
        self.budget = CallBudget(self.settings, self.timers.random_fraction)
        self.role: Role = Role.FOLLOWER
        self.stream_unneeded_since: int | None = None
        self.source_lacking_since: int | None = None  # since when the list is stale and no source is active
        self.next_round_at: int = 0
        self.failing_since: int | None = None  # since when this front's calls have been failing
        self.contradiction_seen: bool = False  # another list contradicts ours, so the service is called

    def run_round(self) -> None:
        """Select sources, renew the subscriptions to them, and decide whether to call the service."""
        now = self.timers.now
        live = set(self.live())
        self._retain_live(live, now)
        self.budget.update_view(now, len(live) + 1)
        wanted = self.upstream.subscriptions()
        if self.tree.enabled:
            self.scopes.query_unknown(live)
        else:
            self.scopes.query_first_unknown(self.upstream.rank(RANKED_PER_QUERY * QUERIES_PER_HEARTBEAT))
        self._renew_subscriptions(wanted)
        self.next_round_at = now + self.settings.beat
        self.decide_role()
        self.timers.schedule(self.next_round_at, self.run_round)

    def _retain_live(self, live: set[int], now: int) -> None:
        """Remove fronts that are no longer live, and subscribers whose lease has expired."""
        self.scopes.retain(live)
        for token in [token for token in self.upstream.sources if token not in live]:
            del self.upstream.sources[token]
        self.star_subscribers.retain(live, now)
        self.tree_subscribers.retain(live, now)

    def _renew_subscriptions(self, wanted: Mapping[int, SubscriptionMode]) -> None:
        """Send our revision to each front that this one subscribes to."""
        for token, mode in wanted.items():
            if token != self.me:
                source = self.upstream.sources.setdefault(token, UpstreamSource())
                source.awaiting_since = source.awaiting_since or self.timers.now
                self.timers.emit(SendToMember(token, self.new_subscription(mode)))
        if self.tree.enabled:
            self.upstream.forget_others(wanted)

    def new_subscription(self, mode: SubscriptionMode, resend: bool = False) -> Subscribe:
        """Return the message that renews a subscription from our revision on."""
        zone, revision = self.settings.zone, self.replica.list.revision
        if not self.tree.enabled:
            return Subscribe(zone, *revision)
        stamp = max(1, self.timers.now)
        return Subscribe(zone, *revision, mode, self.settings.site, resend, stamp)

    # The role

    def decide_role(self) -> None:
        """Decide whether to hold a stream, and open it; all calls to the service start here."""
        lacks_active_source = self.replica.is_stale() and not self.upstream.has_active_source()
        is_relay = self._is_relay(lacks_active_source)
        self._set_role(is_relay, lacks_active_source)
        if self.role == Role.FOLLOWER:
            self._release_stream()
            return
        self.stream_unneeded_since = None
        if self.stream.is_open:
            return
        now = self.timers.now
        self.failing_since = self.failing_since or now
        if self.budget.may_call(now, self._relays_sharing_budget(is_relay)):
            self.stream.open()
        elif self.budget.due < self.next_round_at:
            self.timers.schedule(self.budget.due, self.decide_role)

    def _is_relay(self, lacks_active_source: bool) -> bool:
        if self.me in self.upstream.preferred:
            return True
        if self.me not in self.upstream.selected:
            return False
        return self.upstream.is_helper or lacks_active_source or self.upstream.is_preferred_silent()

    def _set_role(self, is_relay: bool, lacks_active_source: bool) -> None:
        now = self.timers.now
        self.source_lacking_since = (self.source_lacking_since or now) if lacks_active_source else None
        # Wait before calling, so that the next fronts by hash call first.
        calls_for_itself = self.contradiction_seen or (
            lacks_active_source and now - self.source_lacking_since >= RELAY_RETRY_SPAN_US
        )
        role = Role.RELAY if is_relay else Role.STANDALONE if calls_for_itself else Role.FOLLOWER
        if role != self.role:
            self.timers.emit(LogEvent("list-role", {"role": role.value, "live": len(self.live()) + 1}))
            self.role = role

    def _release_stream(self) -> None:
        """Close the stream of a follower once its sources have been active for long enough."""
        now = self.timers.now
        self.stream_unneeded_since = self.stream_unneeded_since or now
        self.budget.cancel()
        if not self.stream.is_open:
            self.failing_since = None
            return
        unneeded_for = now - self.stream_unneeded_since
        if (
            unneeded_for > STREAM_HOLD_TIMEOUTS * self.settings.heartbeat_timeout
            and self.upstream.has_active_source()
        ):
            self.stream.close("relays supply the list")

    def _relays_sharing_budget(self, is_relay: bool) -> int:
        """Return how many relays of all zones share the budget, or 0 if this front may not count as one."""
        # With a view of less than half of the fleet, too many fronts may consider themselves relays.
        is_plausible = 2 * (len(self.live()) + 1) >= self.settings.fronts
        if self.tree.enabled:
            is_plausible = is_plausible and self.scopes.is_settled()
        if not (is_relay and is_plausible):
            return 0
        return len(self.upstream.selected) * self.scopes.count_zones()
