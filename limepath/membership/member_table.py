"""Whom one instance knows: a table of all, the ring of the living, and the dead until they are forgotten."""

from bisect import bisect_left, insort

from limepath.membership.digests import ViewDigests
from limepath.membership.interface import MemberJoined, MemberLeft, MemberState

MAX_REMEMBERED_DEAD = 4096  # dead and left that are remembered at most


class MemberTable:
    """`me` is the instance's own News, not in `table`. `ring` has the tokens of the other living, sorted.

    `names` has the token that last spoke under a name; `buried` the dead and those that left, the longest
    buried first, and `buried_since` the times in the same order. `at_seeds` has for each seed's address how
    many living are there. Changes of the living go out as Joined and Parted.
    """

    def __init__(self, me, timers, seeds=()):
        self.me, self.timers = me, timers
        self.table, self.ring, self.names = {}, [], {}
        self.buried, self.buried_since = {}, {}
        self.at_seeds = dict.fromkeys(seeds, 0)
        self.digests = ViewDigests()
        self.digests.toggle(me)

    def is_live(self, token):
        """Whether it counts as alive, suspected or not; this instance does."""
        return (
            token == self.me.token or token in self.table and self.table[token].state <= MemberState.SUSPECT
        )

    def put(self, news):
        """Write news of another into the table and tell how the living changed by it."""
        token, old = news.token, self.table.get(news.token)
        was, now_live = (
            old is not None and old.state <= MemberState.SUSPECT,
            news.state <= MemberState.SUSPECT,
        )
        self.table[token] = news
        if was:
            self.digests.toggle(old)
            self.count_at_seed(old, -1)
        if now_live:
            self.digests.toggle(news)
            self.count_at_seed(news, 1)
        if now_live and not was:
            self.joined(news)
        elif was and not now_live:
            del self.ring[bisect_left(self.ring, token)]
            self.timers.emit(MemberLeft(news))
        elif was and old.generation != news.generation:  # it started anew before we missed it
            self.timers.emit(MemberLeft(old))
            self.timers.emit(MemberJoined(news))
        if not now_live:
            self.buried[token] = news
            self.buried_since.setdefault(token, self.timers.now)

    def joined(self, news):
        insort(self.ring, news.token)
        self.buried.pop(news.token, None)
        self.buried_since.pop(news.token, None)
        self.timers.emit(MemberJoined(news))

    def count_at_seed(self, news, change):
        address = news.host, news.port
        if address in self.at_seeds:
            self.at_seeds[address] += change

    def renew(self, incarnation):
        """This instance goes on at a newer incarnation."""
        self.digests.toggle(self.me)
        self.me = self.me._replace(incarnation=incarnation)
        self.digests.toggle(self.me)

    def forget(self, after):
        """Drop those buried for longer than `after` microseconds, and the oldest beyond MOST_BURIED."""
        oldest, excess, over = self.timers.now - after, len(self.buried) - MAX_REMEMBERED_DEAD, []
        for token, since in self.buried_since.items():
            if since >= oldest and len(over) >= excess:
                break
            over.append(token)
        for token in over:
            del self.buried[token], self.buried_since[token]
            if (news := self.table.pop(token, None)) and self.names.get(news.name) == token:
                del self.names[news.name]
