"""Where a front stands in its zone's trees, and which fronts it subscribes to there.

The parent is asked for events, the backup for heartbeats. One that is silent, bad, slow, calls in vain or has
as many children as it takes is passed over, and its own parent asked in its stead. The roots and those that
would be next watch each other as in the star. Free of I/O.
"""

from limepath.discovery import bounds
from limepath.discovery.component import Component
from limepath.discovery.interface import SubscriptionMode
from limepath.discovery.topology import Zone, longest_path, order_by_hash

REFUSAL_US = 10_000_000  # until one that refused is asked again
STANDBYS = 1 + bounds.HELPERS_PER_RELAY  # times the relays: those next by hash that watch the roots


class TreeSubscriptions(Component):
    """`hops` is the most from a root to any front; 0 without a site."""

    def __init__(self, listing):
        super().__init__(listing)
        self.position = None
        self.version = None
        self.hops = 0
        self.first = []
        self.next = []  # the roots, and the fronts next by hash
        self.parent = None
        self.backup = None
        self.refused = {}  # until when, by token
        self.wanted = None  # (number, when another was first heard to have it), while this front lacks it

    @property
    def on(self):
        return bool(self.terms.site)

    def place(self):
        """Work the position out again, if the view of the zone has changed."""
        scopes, terms = self.scopes, self.terms
        if self.version == scopes.version:
            return
        self.version = scopes.version
        zone = Zone(terms.zone, scopes.mates, terms.relays, terms.fan_out)
        self.position = zone.position(self.me)
        ranked = order_by_hash(scopes.mates, terms.zone)
        self.first = ranked[: terms.relays]
        self.next = ranked[terms.relays : terms.relays * (1 + STANDBYS)]
        self.hops = longest_path(len(scopes.mates), len(zone.sites), terms.relays, terms.fan_out)

    def watches(self):
        """Whether this front is a root, or would be one of the next."""
        return self.me in self.first or self.me in self.next

    def subscriptions(self):
        """Whom to follow this beat, and what for: {token: Reads}."""
        self.choose_parent()
        wanted = {}
        if self.watches():
            wanted = dict.fromkeys([*self.upstream.chosen, *self.first], SubscriptionMode.HEARTBEATS)
        lacks = self.lacks() and self.backup is not None
        if self.backup is not None:
            wanted[self.backup] = SubscriptionMode.BATCHES if lacks else SubscriptionMode.HEARTBEATS
        if not self.position.is_root:
            first = self.position.candidates[:1]
            wanted |= {
                token: wanted.get(token, SubscriptionMode.HEARTBEATS) for token in first
            }  # until it answers again
            if self.parent is not None:
                wanted[self.parent] = SubscriptionMode.HEARTBEATS if lacks else SubscriptionMode.BATCHES
        wanted.pop(self.me, None)
        return wanted

    def choose_parent(self):
        """The first candidate without a flaw; else the first that is at work, though in vain."""
        candidates = self.position.candidates
        if self.position.is_root:
            self.parent = None
            self.backup = next((token for token in candidates if not self.flaw_of(token)), None)
            return
        spares = [token for token in self.next if token != self.me and token not in candidates]
        self.parent = self.best((*candidates, *spares))
        if candidates and self.parent != candidates[0]:
            self.counts["passed over"] += 1
        backups = [token for token in self.position.backups if token != self.parent]
        self.backup = self.best(backups)

    def best(self, tokens):
        flaws = {token: self.flaw_of(token) for token in tokens}
        for accepted in (None, "in vain"):
            for token, flaw in flaws.items():
                if flaw == accepted:
                    return token
        return next(iter(tokens), None)

    def flaw_of(self, token):
        if self.refused.get(token, 0) > self.timers.now:
            return "refused"
        return self.upstream.flaw_of(self.upstream.sources.get(token))

    def turned_away(self, token):
        self.refused[token] = self.timers.now + REFUSAL_US
        self.counts["refused"] += 1

    # Behind

    def heard_of(self, number):
        """Another has this event; this front is to have it within the bound."""
        if self.wanted is None or self.held.list.place.number >= self.wanted[0]:
            self.wanted = number, self.timers.now

    def lacks(self):
        """Whether an event that another has is late here: the parent did not bring it."""
        if self.wanted is None or self.held.list.place.number >= self.wanted[0]:
            return False
        late = self.timers.now - self.wanted[1] - bounds.delivery_time(self.terms, self.hops)
        source = self.upstream.sources.get(self.parent)
        if late <= 0 or source and source.beat and source.beat.number >= self.wanted[0]:
            return False  # the parent has it, and sends as fast as its pace allows
        if late > self.terms.patience and self.parent is not None:
            self.slow(self.parent)
        return True

    def slow(self, token):
        """Pass a parent over that answers and does not bring what another has."""
        if source := self.upstream.sources.get(token):
            source.bad_until = self.timers.now + bounds.SLOW_PARENT_US
        self.counts["slow"] += 1
        self.wanted = None

    def patience(self):
        """What is added to spans in which an event must have come; 0 in the star."""
        return bounds.delivery_time(self.terms, self.hops) if self.on else 0
