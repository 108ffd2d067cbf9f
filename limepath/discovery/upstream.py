"""Those that a front follows: what each told last, why one is not to be relied on, which are chosen.

Free of I/O.
"""

from heapq import nsmallest
from zlib import crc32

from limepath.discovery import bounds
from limepath.discovery.bounds import RELAY_RETRY_SPAN_US
from limepath.discovery.component import Component
from limepath.discovery.interface import SubscriptionMode
from limepath.hashing import mix64

BAD_PEER_US = 30_000_000  # for which one that told nonsense is passed over
SOURCE_RETENTION_US = 10_000_000  # for which one that is not asked any more counts as silent still


class Source:
    """One that this front follows: its last Beat, when it came, and since when it owes one."""

    __slots__ = ("beat", "at", "owes", "bad_until", "behind")

    def __init__(self):
        self.beat = None
        self.at = None
        self.owes = None
        self.behind = None
        self.bad_until = 0


class Upstream(Component):
    """`first` are the first of the zone by hash, `chosen` those of them, or in their stead, relied on."""

    def __init__(self, listing):
        super().__init__(listing)
        self.salt = mix64(crc32(self.terms.zone.encode()))
        self.sources = {}
        self.first = []
        self.chosen = []
        self.helps = 0

    def ranked(self, count):
        """The first of this zone by hash, as far as zones are known; this front among them."""
        if self.tree.on:
            those = self.scopes.mates
        else:
            known, mine = self.scopes.known, self.scopes.mine
            those = [token for token in self.live() if known.get(token, mine).zone == mine.zone]
            those.append(self.me)
        return nsmallest(count, those, key=lambda token: mix64(token ^ self.salt))

    def subscriptions(self):
        """Whom to follow this beat, and what for: {token: Reads}."""
        if not self.tree.on:
            self.choose()
            return dict.fromkeys([*self.chosen, *self.first], SubscriptionMode.TEXTS)
        self.tree.place()
        if self.tree.watches():
            self.choose()
        else:
            self.first = self.tree.first
            self.helps = 0
        wanted = self.tree.subscriptions()
        if not self.tree.watches():
            self.chosen = [token for token in (self.tree.parent, self.tree.backup) if token is not None]
        return wanted

    def choose(self):
        """The first relays that are not passed over. Those that call in vain get helpers, as many at most."""
        wanted, helpers = self.terms.relays, 0
        self.first = None
        self.chosen = []
        rank = self.ranked(wanted * 8)
        self.first = rank[:wanted]
        for token in rank:
            if len(self.chosen) >= wanted + helpers:
                break
            flaw = token != self.me and self.flaw_of(self.sources.get(token))
            if flaw in ("silent", "bad"):
                self.counts["passed over"] += token in self.first
                continue
            self.chosen.append(token)
            if flaw == "in vain" or token == self.me and self.in_vain():
                helpers = min(bounds.HELPERS_PER_RELAY * wanted, helpers + 1)
        self.helps = helpers and self.me in rank[: wanted + helpers]
        if not self.chosen:
            self.chosen = [self.me]

    def forget_but(self, wanted):
        """Drop those that are not followed any more, once their flaw is of no use."""
        now = self.timers.now
        for token, source in list(self.sources.items()):
            asked = source.owes or source.at or 0
            if token not in wanted and source.bad_until <= now and now - asked > SOURCE_RETENTION_US:
                del self.sources[token]

    def in_vain(self):
        return (
            self.roles.tries_since is not None
            and self.timers.now - self.roles.tries_since > RELAY_RETRY_SPAN_US
        )

    def first_gone(self):
        """Whether one of the first by hash has been silent for so long that it is not a few lost
        datagrams.
        """
        silent = [self.sources[token].owes for token in self.first if token in self.sources]
        return any(since and self.timers.now - since > RELAY_RETRY_SPAN_US for since in silent)

    def flaw_of(self, source):
        """Why one is not to be relied on, or None."""
        now, terms = self.timers.now, self.terms
        if source is None:
            return None
        if source.bad_until > now:
            return "bad"
        if source.owes and now - source.owes > terms.patience:
            return "silent"
        if source.beat:
            age = now - source.at + source.beat.age
            if (
                source.beat.tries > RELAY_RETRY_SPAN_US
                or source.beat.age >= 0
                and age > self.held.fresh() + RELAY_RETRY_SPAN_US
            ):
                return "in vain"
        return None

    def told_by_others(self):
        """Whether one that is followed is at work: it is up to date, or calls for the whole zone."""
        now, terms = self.timers.now, self.terms
        for token in self.chosen:
            source = self.sources.get(token)
            if (
                source
                and source.beat
                and now - source.at <= 2 * terms.patience + terms.beat
                and source.bad_until <= now
            ):
                if source.beat.tries or 0 <= source.beat.age <= self.held.fresh():
                    return True
            elif source and not source.beat and source.owes and now - source.owes <= terms.patience:
                return True  # it was asked just now
        return False
