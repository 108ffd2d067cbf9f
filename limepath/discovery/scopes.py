"""Discovers the scopes, that is the zones and sites, of the live fronts.

Without a site (star topology), every heartbeat round queries the first few fronts of unknown zone, in hash
order. With a site (tree topology), only the own zone must be known completely: a front queries a random
sample of the fronts of unknown scope, whose size is chosen so that only a few fronts query a new front. It
also compares digests with one known front of its zone, which sends reports if the digests differ. Performs no
I/O.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import TYPE_CHECKING

from limepath.discovery.component import Component
from limepath.discovery.interface import ScopeAnnouncement, ScopeQuery, ScopeReport, SendToMember
from limepath.discovery.topology import Scope, name_salt
from limepath.hashing import mix64

if TYPE_CHECKING:
    from limepath.discovery.engine import DiscoveryEngine

QUERIES_PER_HEARTBEAT = 8  # to fronts of unknown scope; with a site, by the whole fleet to one new front
MAX_REPORT_BYTES = 1000  # of entries in one datagram
ENTRY_BYTES = 11  # upper bound of an encoded token and site index
SITE_BYTES = 3  # encoding overhead of a site name
REPORTS_PER_HEARTBEAT = 8  # sent in one round
COMPARISON_INTERVAL = 4  # rounds between two comparisons while the digests are equal
SCOPES_SETTLED_US = 2_000_000  # without a change in the zone, after which the zone counts as known
SAMPLES_PER_ZONE = 5  # fronts to be known per zone on average before all zones count as known
FROM_START = -1  # less than every token


class ScopeDirectory(Component):
    """The scopes of the known fronts by token, and a digest of the scopes in the own zone."""

    def __init__(self, engine: DiscoveryEngine):
        super().__init__(engine)
        self.own = Scope(self.settings.zone, self.settings.site)
        self.known: dict[int, Scope] = {}  # of the other fronts
        self.interned: dict[tuple[str, str], Scope] = {}  # one Scope for all fronts of a site
        self.zone_members: dict[int, Scope] = {self.me: self.own}
        self.digest: int = scope_digest(self.me, self.own)  # XOR of the scope digests of the own zone
        self.version: int = 0  # increases with each change in the own zone
        self.changed_at: int = 0  # time of the last change in the own zone
        self.query_after: int = FROM_START  # the next query is for tokens greater than this
        self.matches_peer: bool = False  # the digest of another front of the zone was equal
        self.rounds: int = 0
        self.reports_sent: int = 0  # in the current round

    def learn(self, token: int, zone: str, site: str = "") -> None:
        """Record the scope of a front, which the front announced or another front reported."""
        scope = self.interned.setdefault((zone, site), Scope(zone, site))
        old = self.known.get(token)
        if old == scope or token == self.me:
            return
        if old is not None:
            self._forget(token)
        self.known[token] = scope
        if zone == self.settings.zone:
            self.zone_members[token] = scope
            self._record_change(token, scope)

    def _forget(self, token: int) -> None:
        scope = self.known.pop(token)
        if self.zone_members.pop(token, None):
            self._record_change(token, scope)

    def _record_change(self, token: int, scope: Scope) -> None:
        self.version += 1
        self.changed_at = self.timers.now
        self.digest ^= scope_digest(token, scope)

    def retain(self, live: Collection[int]) -> None:
        """Forget all fronts that are not live."""
        for token in [token for token in self.known if token not in live]:
            self._forget(token)

    def is_settled(self) -> bool:
        """Return whether this front knows all fronts of its zone.

        This requires that the zone has not changed for SCOPES_SETTLED_US, that enough fronts are known to
        count the zones, and that another front of the zone knows the same fronts or that there is no other.
        """
        known = len(self.known)
        live = len(self.live())
        needed = SAMPLES_PER_ZONE * self.count_zones()
        if self.timers.now - self.changed_at < SCOPES_SETTLED_US or known < min(live, needed):
            return False
        is_only_one = len(self.zone_members) == 1 and known >= 2 * needed
        return self.matches_peer or is_only_one or known >= live

    def count_zones(self) -> int:
        """Return the number of known zones."""
        return len({self.settings.zone, *(scope.zone for scope in self.interned.values())})

    # Queries

    def query_first_unknown(self, ranked: Iterable[int]) -> None:
        """In the star topology, query the first few of the `ranked` fronts whose zone is unknown."""
        unknown = [token for token in ranked if token != self.me and token not in self.known]
        for token in unknown[:QUERIES_PER_HEARTBEAT]:
            self.timers.emit(SendToMember(token, ScopeAnnouncement(self.settings.zone, True)))

    def query_unknown(self, live: Collection[int]) -> None:
        """In the tree topology, query some fronts of unknown scope and compare digests with one of the zone.

        Called once per round.
        """
        self.rounds += 1
        self.reports_sent = 0
        unknown = [token for token in live if token not in self.known]
        announcement = ScopeAnnouncement(self.settings.zone, True, self.settings.site)
        for token in self.timers.sample(unknown, self._query_count(len(unknown), len(live))):
            self.timers.emit(SendToMember(token, announcement))
        if self.matches_peer and self.rounds % COMPARISON_INTERVAL:
            return
        others = [token for token, scope in self.zone_members.items() if scope.site and token != self.me]
        for token in self.timers.sample(others, 1):
            self.send_query(token)

    def _query_count(self, unknown: int, live: int) -> int:
        """Return how many fronts to query.

        The fleet sends QUERIES_PER_HEARTBEAT queries per round to one new front, as many as each front sends
        at a cold start.
        """
        expected = unknown * QUERIES_PER_HEARTBEAT / live if live else 0.0
        if self.is_settled() and unknown < live:
            # The zone is known; the scopes of other zones are needed for the call budget only.
            expected /= QUERIES_PER_HEARTBEAT
        return min(unknown, int(expected + self.timers.random_fraction()))

    def send_query(self, token: int) -> None:
        """Send this front's digest to a front of the zone, which replies with a report."""
        self.timers.emit(SendToMember(token, ScopeQuery(*self.own, self.digest, self.query_after)))

    # Messages

    def on_announcement(self, token: int, message: ScopeAnnouncement) -> None:
        """Record a front's scope, and announce this front's scope if a reply is requested."""
        self.learn(token, message.zone, message.site)
        if message.wants_reply:
            reply = ScopeAnnouncement(self.settings.zone, site=self.settings.site)
            self.timers.emit(SendToMember(token, reply))

    def on_query(self, token: int, message: ScopeQuery) -> None:
        """Report the known fronts of the zone, or none if the digests are equal."""
        self.learn(token, message.zone, message.site)
        is_own_zone = message.zone == self.settings.zone and self.settings.site
        if not is_own_zone or self.reports_sent >= REPORTS_PER_HEARTBEAT:
            return
        self.reports_sent += 1
        is_same = message.digest == self.digest
        report = ScopeReport(message.zone) if is_same else self._report(message.after)
        self.timers.emit(SendToMember(token, report))

    def _report(self, after: int) -> ScopeReport:
        """Return a report of the zone's fronts with tokens above `after`, as many as fit one datagram."""
        zone = self.settings.zone
        sites: dict[str, int] = {}
        fronts: list[tuple[int, int]] = []
        size = 0
        for token in sorted(token for token in self.zone_members if token > after):
            site = self.zone_members[token].site
            size += ENTRY_BYTES + (0 if site in sites else SITE_BYTES + len(site.encode()))
            if size > MAX_REPORT_BYTES:
                return ScopeReport(zone, tuple(sites), tuple(fronts), False)
            fronts.append((token, sites.setdefault(site, len(sites))))
        return ScopeReport(zone, tuple(sites), tuple(fronts), True)

    def on_report(self, token: int, message: ScopeReport) -> None:
        """Record the fronts of a report, and request the next report immediately."""
        if message.zone != self.settings.zone or token not in self.zone_members:
            return
        live = set(self.live())
        for front, index in message.fronts:
            if front in live and front not in self.known and 0 <= index < len(message.sites):
                self.learn(front, message.zone, message.sites[index])
        self.matches_peer = message.last and not message.fronts
        is_complete = message.last or not message.fronts
        self.query_after = FROM_START if is_complete else message.fronts[-1][0]
        if not message.last:
            self.send_query(token)


def scope_digest(token: int, scope: Scope) -> int:
    """Return the 64-bit digest of a front's scope, which is the same at every front."""
    return mix64(token ^ name_salt(f"{scope.zone}\n{scope.site}"))
