"""Whose a target or slot is: a consistent hash ring over the live instances, the same for the same view.

Each instance stands at POINTS places; the next place clockwise of a target's key is its owner's. One instance
more or less moves only what is its own. A ring is never changed; `plus`, `minus` and `changed` give another,
kept by its members.
"""

from bisect import bisect_left, bisect_right
from collections import OrderedDict
from functools import lru_cache

from limepath.hashing import MASK_64, mix64

POINTS = 32
KEPT, KEPT_PLACES = 64, 400_000  # rings of other views that are kept at most, and their places in all
CACHED = 8192  # members whose places are kept: more than a fleet of 5,200, else none is found again


@lru_cache(CACHED)
def places(token):
    return tuple(sorted(mix64(token ^ mix64(i + 1)) for i in range(POINTS)))


def key_of(target):
    return mix64(target ^ 0xD1B54A32D192ED03)


class Ring:
    """Places in their order and who owns each; rings of the same members are one object while it is kept."""

    kept = OrderedDict()
    __slots__ = ("places", "owners", "digest", "members")

    def __init__(self, places, owners, digest, members):
        self.places, self.owners, self.digest, self.members = places, owners, digest, members

    def changed(self, went, came):
        """The ring without those that went and with those that came."""
        digest = self.digest - sum(map(mix64, went)) + sum(map(mix64, came)) & MASK_64
        key = digest, self.members - len(went) + len(came)
        if key in Ring.kept:
            Ring.kept.move_to_end(key)
            return Ring.kept[key]
        spots, owners = self.places.copy(), self.owners.copy()
        for token in went:
            for place in places(token):
                at = bisect_left(spots, place)
                del spots[at], owners[at]
        for token in came:
            for place in places(token):
                at = bisect_left(spots, place)
                spots.insert(at, place)
                owners.insert(at, token)
        return Ring.keep(key, Ring(spots, owners, *key))

    @staticmethod
    def keep(key, ring):
        """Keep the newest rings, as many as the bounds allow and one at least: at 5,200 members a ring has
        166,400 places.
        """
        kept = Ring.kept
        kept[key] = ring
        places = sum(len(one.places) for one in kept.values())
        while len(kept) > 1 and (len(kept) > KEPT or places > KEPT_PLACES):
            _, oldest = kept.popitem(last=False)
            places -= len(oldest.places)
        return ring

    @staticmethod
    def of(tokens):
        """The ring of all these, built at once."""
        key = sum(map(mix64, tokens)) & MASK_64, len(tokens)
        if key not in Ring.kept:
            both = sorted((place, token) for token in tokens for place in places(token))
            return Ring.keep(key, Ring([place for place, _ in both], [token for _, token in both], *key))
        return Ring.kept[key]

    def plus(self, token):
        return self.changed((), (token,))

    def minus(self, token):
        return self.changed((token,), ())

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
                found += keyed[bisect_right(keyed, (below, MASK_64)) : bisect_right(keyed, (place, MASK_64))]
            else:
                found += (
                    keyed[bisect_right(keyed, (below, MASK_64)) :]
                    + keyed[: bisect_right(keyed, (place, MASK_64))]
                )
        return [target for _, target in found]


EMPTY = Ring([], [], 0, 0)
