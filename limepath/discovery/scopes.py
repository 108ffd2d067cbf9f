"""In which zone and at which site the live fronts stand, as far as this front has learnt it.

Without a site (the star) each beat asks the first few of unknown zone, by hash. With one, only the own zone
must be known whole: a front asks a few of unknown scope, drawn so that a newcomer is asked by a few of the
fleet and not by all, and compares digests with one known front of its zone, which sends pages where they
differ. Free of I/O.
"""

from limepath.discovery.component import Component
from limepath.discovery.interface import ScopeAnnouncement, ScopeQuery, ScopeReport, SendToMember
from limepath.discovery.topology import Scope, name_salt
from limepath.hashing import mix64

QUERIES_PER_HEARTBEAT = 8  # of unknown scope, in one beat; with a site, of the whole fleet at one newcomer
MAX_REPORT_BYTES = 1000  # of entries in one datagram
ENTRY_BYTES = 11  # a token and an index, coded, at the most
SITE_BYTES = 3  # beside a site's name
REPORTS_PER_HEARTBEAT = 8  # pages sent in one beat
COMPARISON_INTERVAL = 4  # beats between two comparisons, once digests were the same
SCOPES_SETTLED_US = 2_000_000  # for which no front of the zone must have been learnt or lost
SAMPLES_PER_ZONE = 5  # fronts heard of for each zone, until all zones count as known


class ScopeDirectory(Component):
    """`version` grows with each change in the own zone; `changed_at` is when that was."""

    def __init__(self, listing):
        super().__init__(listing)
        self.mine = Scope(self.terms.zone, self.terms.site)
        self.known = {}
        self.shared = {}  # by token; one Scope for all fronts of a site
        self.mates = {self.me: self.mine}
        self.digest = scope_digest(self.me, self.mine)
        self.version = 0
        self.changed_at = 0
        self.after = -1
        self.same = False
        self.beats = 0
        self.served = 0

    def learn(self, token, zone, site=""):
        """A front has told its scope, or another did."""
        scope = self.shared.setdefault((zone, site), Scope(zone, site))
        old = self.known.get(token)
        if old == scope or token == self.me:
            return
        if old is not None:
            self.forget(token)
        self.known[token] = scope
        if zone == self.terms.zone:
            self.mates[token] = scope
            self.change(token, scope)

    def forget(self, token):
        scope = self.known.pop(token)
        if self.mates.pop(token, None):
            self.change(token, scope)

    def change(self, token, scope):
        self.version += 1
        self.changed_at = self.timers.now
        self.digest ^= scope_digest(token, scope)

    def keep(self, live):
        """Forget all that do not live."""
        for token in [token for token in self.known if token not in live]:
            self.forget(token)

    def settled(self):
        """Whether this front knows its zone: nothing changed for a while, enough of the fleet was heard of to
        know how many zones there are, and another of the zone knows the same, or there is no other.
        """
        known, zones, live = len(self.known), self.zones(), len(self.live())
        if self.timers.now - self.changed_at < SCOPES_SETTLED_US or known < min(
            live, SAMPLES_PER_ZONE * zones
        ):
            return False
        alone = len(self.mates) == 1 and known >= 2 * SAMPLES_PER_ZONE * zones
        return self.same or alone or known >= live

    def zones(self):
        """How many zones are known of."""
        return len({self.terms.zone, *(scope.zone for scope in self.shared.values())})

    # Asking

    def ask_in_turn(self, ranked):
        """The star: ask the first few of those `ranked` whose zone is not known."""
        unknown = [token for token in ranked if token != self.me and token not in self.known]
        for token in unknown[:QUERIES_PER_HEARTBEAT]:
            self.timers.emit(SendToMember(token, ScopeAnnouncement(self.terms.zone, True)))

    def ask(self, live):
        """The tree, every beat: a few of unknown scope, and one of the zone for what differs."""
        self.beats = self.beats + 1
        self.served = 0
        unknown = [token for token in live if token not in self.known]
        for token in self.timers.sample(unknown, self.how_many(len(unknown), len(live))):
            self.timers.emit(SendToMember(token, ScopeAnnouncement(self.terms.zone, True, self.terms.site)))
        if self.same and self.beats % COMPARISON_INTERVAL:
            return
        mates = [token for token, scope in self.mates.items() if scope.site and token != self.me]
        for token in self.timers.sample(mates, 1):
            self.ask_page(token)

    def how_many(self, unknown, live):
        """As many fronts ask one newcomer in a beat as one front asks newcomers at a cold start."""
        wanted = unknown * QUERIES_PER_HEARTBEAT / live if live else 0.0
        if self.settled() and unknown < live:
            wanted /= (
                QUERIES_PER_HEARTBEAT  # the zone is known; the others are of use to the budget of calls only
            )
        return min(unknown, int(wanted + self.timers.random_fraction()))

    def ask_page(self, token):
        self.timers.emit(SendToMember(token, ScopeQuery(*self.mine, self.digest, self.after)))

    def asked_page(self, token, message):
        self.learn(token, message.zone, message.site)
        if message.zone != self.terms.zone or not self.terms.site or self.served >= REPORTS_PER_HEARTBEAT:
            return
        self.served += 1
        if message.digest == self.digest:
            return self.timers.emit(SendToMember(token, ScopeReport(message.zone)))
        self.timers.emit(SendToMember(token, self.page(message.after)))

    def page(self, after):
        """The next of the zone's fronts that go into one datagram."""
        sites, fronts, size = {}, [], 0
        for token in sorted(token for token in self.mates if token > after):
            site = self.mates[token].site
            size += ENTRY_BYTES + (0 if site in sites else SITE_BYTES + len(site.encode()))
            if size > MAX_REPORT_BYTES:
                return ScopeReport(self.terms.zone, tuple(sites), tuple(fronts), False)
            fronts.append((token, sites.setdefault(site, len(sites))))
        return ScopeReport(self.terms.zone, tuple(sites), tuple(fronts), True)

    def told_page(self, token, message):
        """Take in whom another knows; go on with the next page at once."""
        if message.zone != self.terms.zone or token not in self.mates:
            return
        live = set(self.live())
        for front, index in message.fronts:
            if front in live and front not in self.known and 0 <= index < len(message.sites):
                self.learn(front, message.zone, message.sites[index])
        self.same = message.last and not message.fronts
        self.after = -1 if message.last or not message.fronts else message.fronts[-1][0]
        if not message.last:
            self.ask_page(token)


def scope_digest(token, scope):
    return mix64(token ^ name_salt(f"{scope.zone}\n{scope.site}"))
