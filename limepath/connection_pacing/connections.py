"""A pace of new connections at each member, over all fronts together: one a span, which grows with how many
share it.

A front that starts, or meets a member new to it, draws its first turn out of the span, so that hundreds that
start in one second do not all connect in it. While a front has no connection to a member and no turn yet, the
member has no room there; with one connection up, transfers share it until the next turn. Free of I/O: times
are handed in, whole microseconds.
"""

from math import ceil, sqrt


def rush(rate, span):
    """The most that are to be expected in any so many microseconds: turns are drawn, so three deviations
    above the mean.
    """
    mean = rate * span / 1e6
    return ceil(mean + 3 * sqrt(mean))


class Member:
    __slots__ = ("turn", "up", "told")

    def __init__(self, turn):
        self.turn, self.up, self.told = turn, 0, None


class Connections:
    """`rate` is new connections a second at one member, from all fronts; `sharing()` tells their number."""

    def __init__(self, rate, sharing, chance):
        self.rate, self.sharing, self.chance, self.members = rate, sharing, chance, {}

    def span(self):
        return int(max(1, self.sharing()) / self.rate * 1e6)

    def listed(self, now, idents):
        """All members that there are."""
        for ident in idents:
            if ident not in self.members:
                self.members[ident] = Member(now + int(self.chance() * self.span()))
        for ident in [ident for ident in self.members if ident not in idents]:
            del self.members[ident]

    def may(self, ident, now):
        """Whether a connection to this member may be opened now. One that is not listed has no pace."""
        member = self.members.get(ident)
        return member is None or now >= member.turn

    def took(self, ident, now):
        """A connection is opened: the next turn is a span later."""
        if member := self.members.get(ident):
            member.turn = max(now, member.turn) + self.span()

    def changed(self, ident, up):
        """So many connections are up or coming."""
        if member := self.members.get(ident):
            member.up = up

    def rooms(self, now):
        """Of members for which that has changed: whether there is a way to them, a connection or a turn."""
        out = []
        for ident, member in self.members.items():
            if (way := member.up > 0 or now >= member.turn) != member.told:
                member.told = way
                out.append((ident, way))
        return out

    def next(self):
        """When a turn comes next that opens a way, or None."""
        return min((member.turn for member in self.members.values() if not member.told), default=None)
