"""In which zone and at which site the live fronts stand, as far as this front has learnt it.

Without a site (the star) each round asks the first few of unknown zone, by hash. With one, only the own zone
must be known in full: a front asks a few of unknown scope, drawn so that a newcomer is asked by a few of the
fleet and not by all, and compares digests with one known front of its zone, which sends reports where they
differ. Free of I/O.
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

QUERIES_PER_HEARTBEAT = 8  # to fronts of unknown scope; with a site, by the whole fleet to one newcomer
MAX_REPORT_BYTES = 1000  # of entries in one datagram
ENTRY_BYTES = 11  # a token and an index, coded, at the most
SITE_BYTES = 3  # beside a site's name
REPORTS_PER_HEARTBEAT = 8  # sent in one round
COMPARISON_INTERVAL = 4  # rounds between two comparisons, once digests were the same
SCOPES_SETTLED_US = 2_000_000  # for which no front of the zone must have been learnt or lost
SAMPLES_PER_ZONE = 5  # fronts known for each zone, until all zones count as known
FROM_START = -1  # below every token


class ScopeDirectory(Component):
    """The scopes of fronts by token, and a digest of those of the own zone."""

    def __init__(self, engine: DiscoveryEngine):
        super().__init__(engine)
        self.own = Scope(self.settings.zone, self.settings.site)
        self.known: dict[int, Scope] = {}  # of the other fronts
        self.interned: dict[tuple[str, str], Scope] = {}  # one Scope for all fronts of a site
        self.zone_members: dict[int, Scope] = {self.me: self.own}
        self.digest: int = scope_digest(self.me, self.own)  # XOR over the own zone
        self.version: int = 0  # grows with each change in the own zone
        self.changed_at: int = 0  # when that was
        self.query_after: int = FROM_START  # the next query is for tokens above
        self.matches_peer: bool = False  # another of the zone knew the same
        self.rounds: int = 0
        self.reports_sent: int = 0  # in this round

    def learn(self, token: int, zone: str, site: str = "") -> None:
        """A front has announced its scope, or another has reported it."""
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
        """Forget all that are not live."""
        for token in [token for token in self.known if token not in live]:
            self._forget(token)

    def is_settled(self) -> bool:
        """Whether this front knows its zone.

        Nothing changed for a while, enough of the fleet is known to know how many zones there are, and
        another of the zone knows the same, or there is no other.
        """
        known = len(self.known)
        live = len(self.live())
        needed = SAMPLES_PER_ZONE * self.count_zones()
        if self.timers.now - self.changed_at < SCOPES_SETTLED_US or known < min(live, needed):
            return False
        is_only_one = len(self.zone_members) == 1 and known >= 2 * needed
        return self.matches_peer or is_only_one or known >= live

    def count_zones(self) -> int:
        """How many zones are known of."""
        return len({self.settings.zone, *(scope.zone for scope in self.interned.values())})

    # Queries

    def query_first_unknown(self, ranked: Iterable[int]) -> None:
        """The star: ask the first few of those `ranked` whose zone is not known."""
        unknown = [token for token in ranked if token != self.me and token not in self.known]
        for token in unknown[:QUERIES_PER_HEARTBEAT]:
            self.timers.emit(SendToMember(token, ScopeAnnouncement(self.settings.zone, True)))

    def query_unknown(self, live: Collection[int]) -> None:
        """The tree, every round: ask a few of unknown scope, and one of the zone for what differs."""
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
        """How many to ask: as many fronts ask one newcomer as one front asks newcomers at a cold start."""
        wanted = unknown * QUERIES_PER_HEARTBEAT / live if live else 0.0
        if self.is_settled() and unknown < live:
            # The zone is known; the others are of use to the budget of calls only.
            wanted /= QUERIES_PER_HEARTBEAT
        return min(unknown, int(wanted + self.timers.random_fraction()))

    def send_query(self, token: int) -> None:
        """Ask one of the zone for what differs."""
        self.timers.emit(SendToMember(token, ScopeQuery(*self.own, self.digest, self.query_after)))

    # Messages

    def on_announcement(self, token: int, message: ScopeAnnouncement) -> None:
        """Learn a front's scope, and announce ours if it asks."""
        self.learn(token, message.zone, message.site)
        if message.wants_reply:
            reply = ScopeAnnouncement(self.settings.zone, site=self.settings.site)
            self.timers.emit(SendToMember(token, reply))

    def on_query(self, token: int, message: ScopeQuery) -> None:
        """Report whom we know in the zone, if that differs."""
        self.learn(token, message.zone, message.site)
        is_own_zone = message.zone == self.settings.zone and self.settings.site
        if not is_own_zone or self.reports_sent >= REPORTS_PER_HEARTBEAT:
            return
        self.reports_sent += 1
        is_same = message.digest == self.digest
        report = ScopeReport(message.zone) if is_same else self._report(message.after)
        self.timers.emit(SendToMember(token, report))

    def _report(self, after: int) -> ScopeReport:
        """The next of the zone's fronts that go into one datagram."""
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
        """Learn whom another knows; ask for the next report at once."""
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
    """64 bits of a front's scope, the same at every front."""
    return mix64(token ^ name_salt(f"{scope.zone}\n{scope.site}"))
