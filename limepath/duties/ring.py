"""Whose a target or slot is: a consistent hash ring over the live instances, the same for the same view.

Each instance stands at POINTS places; the next place clockwise of a target's key is its owner's. One instance
more or less moves only what is its own. A ring is never changed; `plus` and `minus` give another, kept by its
members.
"""

from bisect import bisect_left, bisect_right
from collections import OrderedDict
from functools import lru_cache

from limepath.agenda import MIX, mixed

POINTS = 32
KEPT = 64  # rings of other views that are kept


@lru_cache(4096)
def places(token):
    return tuple(sorted(mixed(token ^ mixed(i + 1)) for i in range(POINTS)))


def key_of(target):
    return mixed(target ^ 0xD1B54A32D192ED03)


class Ring:
    """
    >>> ring = EMPTY.plus(1).plus(2).plus(3)
    >>> ring.minus(2) is EMPTY.plus(3).plus(1)
    True
    >>> lost = [t for t in range(999) if ring.owner(key_of(t)) == 2]
    >>> {ring.minus(2).owner(key_of(t)) for t in lost} == {1, 3}
    True
    >>> [t for t in range(999) if t not in lost and ring.owner(key_of(t)) != ring.minus(2).owner(key_of(t))]
    []
    """

    kept = OrderedDict()
    __slots__ = ("places", "owners", "digest", "members")

    def __init__(self, places, owners, digest, members):
        self.places, self.owners, self.digest, self.members = places, owners, digest, members

    def changed(self, token, act, digest):
        key = digest & MIX, self.members + act
        if key in Ring.kept:
            Ring.kept.move_to_end(key)
            return Ring.kept[key]
        spots, owners = self.places.copy(), self.owners.copy()
        for place in places(token):
            at = bisect_left(spots, place)
            if act > 0:
                spots.insert(at, place)
                owners.insert(at, token)
            else:
                del spots[at], owners[at]
        ring = Ring.kept[key] = Ring(spots, owners, digest & MIX, self.members + act)
        if len(Ring.kept) > KEPT:
            Ring.kept.popitem(last=False)
        return ring

    @staticmethod
    def of(tokens):
        """The ring of all these, built at once.

        >>> Ring.of([3, 1]) is Ring.of([1, 3]) and Ring.of([3, 1]).owners == EMPTY.plus(1).plus(3).owners
        True
        """
        key = sum(map(mixed, tokens)) & MIX, len(tokens)
        if key not in Ring.kept:
            both = sorted((place, token) for token in tokens for place in places(token))
            Ring.kept[key] = Ring([place for place, _ in both], [token for _, token in both], *key)
            if len(Ring.kept) > KEPT:
                Ring.kept.popitem(last=False)
        return Ring.kept[key]

    def plus(self, token):
        return self.changed(token, 1, self.digest + mixed(token))

    def minus(self, token):
        return self.changed(token, -1, self.digest - mixed(token))

    def owner(self, key):
        return self.owners[bisect_left(self.places, key) % len(self.places)] if self.places else None

    def own(self, token, keyed):
        """Of a sorted list of (key, target), the targets that are this member's."""
        found = []
        for place in places(token):
            at = bisect_left(self.places, place)
            if at >= len(self.places) or self.owners[at] != token:
                return found  # it is not on this ring
            below = self.places[at - 1] if at else self.places[-1]
            if at:
                found += keyed[bisect_right(keyed, (below, MIX)) : bisect_right(keyed, (place, MIX))]
            else:
                found += (
                    keyed[bisect_right(keyed, (below, MIX)) :] + keyed[: bisect_right(keyed, (place, MIX))]
                )
        return [target for _, target in found]


EMPTY = Ring([], [], 0, 0)
