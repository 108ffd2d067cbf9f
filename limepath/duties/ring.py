"""Which instance owns a target or slot: a consistent hash ring over the live instances.

Instances with the same view compute the same ring. Each instance stands at POINTS places; the first place at
or after a target's key, clockwise, belongs to the target's owner. One instance more or less moves only what
is its own (Karger et al., 1997). A ring is never changed: `plus`, `minus` and `with_changes` return another,
and rings of the same members are one object while it is cached.
"""

from bisect import bisect_left, bisect_right
from collections import OrderedDict
from collections.abc import Collection, Sequence
from functools import lru_cache
from typing import ClassVar, NamedTuple

from limepath.hashing import MASK_64, mix64

POINTS = 32
"""Places of one member on the ring."""
MAX_CACHED_RINGS = 64
"""Rings of other views that are cached at most."""
MAX_CACHED_PLACES = 400_000
"""Places of all cached rings together; one ring of 5,200 members has 166,400."""
MAX_CACHED_MEMBERS = 8192
"""Members whose places are cached: more than a fleet of 5,200, else the cache would find none again."""
TARGET_SALT = 0xD1B54A32D192ED03
"""Keeps the keys of targets apart from the places of members."""


@lru_cache(MAX_CACHED_MEMBERS)
def places_of(token: int) -> tuple[int, ...]:
    """Return the places of a member on the ring, in order."""
    return tuple(sorted(mix64(token ^ mix64(point + 1)) for point in range(POINTS)))


def key_of(target: int) -> int:
    """Return the key of a target or slot: 64 bits that place it on the ring."""
    return mix64(target ^ TARGET_SALT)


class KeyedTarget(NamedTuple):
    """A target with its key; in order of the keys in a sorted list."""

    key: int
    target: int


class RingKey(NamedTuple):
    """Names a set of members: the sum of their mixed tokens, and their number."""

    digest: int
    members: int


class Ring:
    """Places in their order, and which member owns each."""

    cached: ClassVar[OrderedDict[RingKey, "Ring"]] = OrderedDict()
    """Rings by their members, the least recently used first."""
    __slots__ = ("digest", "members", "owners", "places")

    def __init__(self, places: list[int], owners: list[int], digest: int, members: int):
        self.places = places
        self.owners = owners
        """Tokens of the members, by the index of their places."""
        self.digest = digest
        """The sum of the members' mixed tokens, 64 bits."""
        self.members = members
        """Their number."""

    @staticmethod
    def of(tokens: Collection[int]) -> "Ring":
        """Return the ring of these members, built at once."""
        key = RingKey(sum(map(mix64, tokens)) & MASK_64, len(tokens))
        if key in Ring.cached:
            return Ring.cached[key]
        pairs = sorted((place, token) for token in tokens for place in places_of(token))
        places = [place for place, _ in pairs]
        owners = [token for _, token in pairs]
        return Ring._cache(key, Ring(places, owners, *key))

    def with_changes(self, removed: Collection[int], added: Collection[int]) -> "Ring":
        """Return the ring without the removed members and with the added ones."""
        digest = self.digest - sum(map(mix64, removed)) + sum(map(mix64, added)) & MASK_64
        key = RingKey(digest, self.members - len(removed) + len(added))
        if key in Ring.cached:
            Ring.cached.move_to_end(key)
            return Ring.cached[key]
        places = self.places.copy()
        owners = self.owners.copy()
        for token in removed:
            for place in places_of(token):
                index = bisect_left(places, place)
                del places[index]
                del owners[index]
        for token in added:
            for place in places_of(token):
                index = bisect_left(places, place)
                places.insert(index, place)
                owners.insert(index, token)
        return Ring._cache(key, Ring(places, owners, *key))

    def plus(self, token: int) -> "Ring":
        """Return the ring with one member more."""
        return self.with_changes((), (token,))

    def minus(self, token: int) -> "Ring":
        """Return the ring with one member less."""
        return self.with_changes((token,), ())

    @staticmethod
    def _cache(key: RingKey, ring: "Ring") -> "Ring":
        """Cache a ring, and evict the oldest as far as the bounds want it; the newest stays in any case."""
        cached = Ring.cached
        cached[key] = ring
        places = sum(len(other.places) for other in cached.values())
        while len(cached) > 1 and (len(cached) > MAX_CACHED_RINGS or places > MAX_CACHED_PLACES):
            _, evicted = cached.popitem(last=False)
            places -= len(evicted.places)
        return ring

    def owner(self, key: int) -> int | None:
        """Return the token of the member that owns a key; None on a ring without members."""
        if not self.places:
            return None
        return self.owners[bisect_left(self.places, key) % len(self.places)]

    def targets_of(self, token: int, keyed: Sequence[KeyedTarget]) -> list[int]:
        """Return, of a list in order of keys, the targets that this member owns."""
        owned: list[KeyedTarget] = []
        for place in places_of(token):
            index = bisect_left(self.places, place)
            if index >= len(self.places) or self.owners[index] != token:
                break  # the member is not on this ring
            previous = self.places[index - 1]  # of the first place: the last one, around the ring
            begin = bisect_right(keyed, (previous, MASK_64))
            end = bisect_right(keyed, (place, MASK_64))
            if index:
                owned += keyed[begin:end]
            else:
                owned += keyed[begin:]
                owned += keyed[:end]
        return [entry.target for entry in owned]


EMPTY = Ring([], [], 0, 0)
"""The ring without members."""
