"""A consistent hash ring over the live instances, which determines the owner of each target or slot.

Instances with the same view compute the same ring. Each member has POINTS_PER_MEMBER points on the ring; the
first point at or after a target's key, clockwise, belongs to the target's owner. Adding or removing a member
changes the owner of that member's targets only (Karger et al., 1997). Rings are immutable: `plus`, `minus`
and `with_changes` return another ring. Rings of the same members are one object while it is cached.
"""

from bisect import bisect_left, bisect_right
from collections import OrderedDict
from collections.abc import Collection, Sequence
from functools import lru_cache
from typing import ClassVar, NamedTuple

from limepath.hashing import MASK_64, mix64

POINTS_PER_MEMBER = 32
"""Points of one member on the ring."""
MAX_CACHED_RINGS = 64
"""The most rings that are cached."""
MAX_CACHED_POINTS = 400_000
"""The most points of all cached rings together; a ring of 5,200 members has 166,400."""
MAX_CACHED_MEMBERS = 8192
"""The most members whose points are cached: with fewer than a fleet's 5,200, an LRU cache would never hit."""
TARGET_SALT = 0xD1B54A32D192ED03
"""Makes the keys of targets independent of the points of members."""


@lru_cache(MAX_CACHED_MEMBERS)
def points_of(token: int) -> tuple[int, ...]:
    """Return the points of a member on the ring, sorted."""
    return tuple(sorted(mix64(token ^ mix64(index + 1)) for index in range(POINTS_PER_MEMBER)))


def key_of(target: int) -> int:
    """Return the key of a target or slot: its 64-bit position on the ring."""
    return mix64(target ^ TARGET_SALT)


class KeyedTarget(NamedTuple):
    """A target with its key; the fields are in this order so that a list is sorted by key."""

    key: int
    target: int


class RingKey(NamedTuple):
    """Identifies a set of members by the sum of their mixed tokens and their number."""

    digest: int
    members: int


class Ring:
    """The sorted points of all members, and the member that owns each point."""

    cached: ClassVar[OrderedDict[RingKey, "Ring"]] = OrderedDict()
    """Cached rings by their members, the least recently used first."""
    __slots__ = ("digest", "members", "owners", "points")

    def __init__(self, points: list[int], owners: list[int], digest: int, members: int):
        self.points = points
        self.owners = owners
        """The tokens of the members that own the points, in the order of `points`."""
        self.digest = digest
        """The sum of the members' mixed tokens, modulo 2**64."""
        self.members = members
        """The number of members."""

    @staticmethod
    def of(tokens: Collection[int]) -> "Ring":
        """Return the ring of these members, from the cache or built anew."""
        key = RingKey(sum(map(mix64, tokens)) & MASK_64, len(tokens))
        if key in Ring.cached:
            return Ring.cached[key]
        pairs = sorted((point, token) for token in tokens for point in points_of(token))
        points = [point for point, _ in pairs]
        owners = [token for _, token in pairs]
        return Ring._cache(key, Ring(points, owners, *key))

    def with_changes(self, removed: Collection[int], added: Collection[int]) -> "Ring":
        """Return the ring without the removed members and with the added ones."""
        digest = self.digest - sum(map(mix64, removed)) + sum(map(mix64, added)) & MASK_64
        key = RingKey(digest, self.members - len(removed) + len(added))
        if key in Ring.cached:
            Ring.cached.move_to_end(key)
            return Ring.cached[key]
        points = self.points.copy()
        owners = self.owners.copy()
        for token in removed:
            for point in points_of(token):
                index = bisect_left(points, point)
                del points[index]
                del owners[index]
        for token in added:
            for point in points_of(token):
                index = bisect_left(points, point)
                points.insert(index, point)
                owners.insert(index, token)
        return Ring._cache(key, Ring(points, owners, *key))

    def plus(self, token: int) -> "Ring":
        """Return the ring with this member added."""
        return self.with_changes((), (token,))

    def minus(self, token: int) -> "Ring":
        """Return the ring with this member removed."""
        return self.with_changes((token,), ())

    @staticmethod
    def _cache(key: RingKey, ring: "Ring") -> "Ring":
        """Cache a ring, and evict the least recently used beyond the limits; the new one always stays."""
        cached = Ring.cached
        cached[key] = ring
        points = sum(len(other.points) for other in cached.values())
        while len(cached) > 1 and (len(cached) > MAX_CACHED_RINGS or points > MAX_CACHED_POINTS):
            _, evicted = cached.popitem(last=False)
            points -= len(evicted.points)
        return ring

    def owner(self, key: int) -> int | None:
        """Return the token of the member that owns a key, or None if the ring has no members."""
        if not self.points:
            return None
        return self.owners[bisect_left(self.points, key) % len(self.points)]

    def targets_of(self, token: int, keyed: Sequence[KeyedTarget]) -> list[int]:
        """Return the targets of a list sorted by key that this member owns."""
        owned: list[KeyedTarget] = []
        for point in points_of(token):
            index = bisect_left(self.points, point)
            if index >= len(self.points) or self.owners[index] != token:
                break  # the member is not on this ring
            previous = self.points[index - 1]  # the last point precedes the first one on the ring
            begin = bisect_right(keyed, (previous, MASK_64))
            end = bisect_right(keyed, (point, MASK_64))
            if index:
                owned += keyed[begin:end]
            else:
                owned += keyed[begin:]
                owned += keyed[:end]
        return [entry.target for entry in owned]


EMPTY_RING = Ring([], [], 0, 0)
"""The ring without members."""
