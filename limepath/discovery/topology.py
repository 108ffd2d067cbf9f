"""Computes two trees over the live fronts of a zone, in which each front subscribes to its parent.

No election is needed. The first `relays` fronts of a zone by hash are the roots; they hold a stream of the
list service. The fronts of each site form a tree whose top is the site's head; the heads form a forest below
the roots. Every front computes its own position from its live view. Equal views give equal trees; if views
differ, a front may get a subscriber that its own view does not predict, which is harmless.

The second tree reverses the order of the sites and of the fronts of each site. A front with children in one
tree is thus a leaf of the other, as in SplitStream (Castro et al., SOSP 2003). Fronts subscribe to their
parents in the second tree for heartbeats only, as long as the first tree delivers.

Performs no I/O. The computation is O(n log n) in the fronts of the zone; the caller caches a position until
its view changes.
"""

from collections.abc import Iterable, Mapping
from functools import cached_property
from typing import NamedTuple
from zlib import crc32

from limepath.hashing import mix64

MIN_FAN_OUT = 2  # with a fan-out of 1, the tree is a chain and its depth is not bounded


class Scope(NamedTuple):
    """The zone and site of a front; `site` is empty for older program versions, which announce none."""

    zone: str
    site: str


class Position(NamedTuple):
    """A front's position in the trees of its zone.

    `candidates` are the fronts to subscribe to: the parent, then the parent's ancestors, then the other
    roots. `backups` are the same in the second tree, without the parent of the first tree. For a root, both
    are the other roots, if any.
    """

    is_root: bool
    candidates: tuple[int, ...]
    backups: tuple[int, ...]


class SiteRank(NamedTuple):
    """A front's site and its rank, the number of fronts of the site before it in the first tree."""

    site: str
    rank: int


def name_salt(text: str) -> int:
    """Return a 64-bit salt for hashing tokens, derived from a name."""
    return mix64(crc32(text.encode()))


def order_by_hash(tokens: Iterable[int], text: str) -> list[int]:
    """Return the tokens ordered by their hash, which is salted with a text."""
    salted = name_salt(text)
    return sorted(tokens, key=lambda token: mix64(token ^ salted))


def parent_rank(rank: int, fan_out: int) -> int:
    """Return the rank of a node's parent in a tree that is filled level by level from the top, rank 0."""
    return (rank - 1) // fan_out


class Zone:
    """Both trees of a zone, built from the fronts in `scopes`; fronts of other zones are ignored.

    `relays` is the number of roots. `fan_out` is the maximum number of children of a front in its own site;
    a site's head may have as many children again that are heads of other sites.
    """

    def __init__(self, zone: str, scopes: Mapping[int, Scope], relays: int, fan_out: int):
        check_tree_settings(relays, fan_out)
        self.fan_out = fan_out
        members = [token for token, scope in scopes.items() if scope.zone == zone]
        self.roots = order_by_hash(members, zone)[:relays]  # the same hash as in `Upstream.rank`
        roots = set(self.roots)
        by_site: dict[str, list[int]] = {}
        for token in members:
            if token not in roots and scopes[token].site:
                by_site.setdefault(scopes[token].site, []).append(token)
        # Ordered by the hash of the site, not of its head, so that a site keeps its rank if its head changes.
        self.sites: list[str] = sorted(by_site, key=lambda site: (name_salt(f"{zone}\n{site}"), site))
        self.members = {site: order_by_hash(by_site[site], f"{zone}\n{site}") for site in self.sites}

    @cached_property
    def site_positions(self) -> dict[int, SiteRank]:
        """The site and rank of each front below the roots, except fronts without a site."""
        return {
            token: SiteRank(site, rank)
            for site, tokens in self.members.items()
            for rank, token in enumerate(tokens)
        }

    @cached_property
    def site_ranks(self) -> dict[str, int]:
        """The rank of each site in the first tree."""
        return {site: rank for rank, site in enumerate(self.sites)}

    def position(self, me: int) -> Position:
        """Return the position of a front of this zone."""
        if me in self.roots:
            others = tuple(token for token in self.roots if token != me)
            return Position(True, others, others)
        if me not in self.site_positions:
            roots = self.roots_from(mix64(me))
            return Position(False, roots, roots[1:])
        candidates = self.path(me, first_tree=True)
        backups = [token for token in self.path(me, first_tree=False) if token != candidates[0]]
        if len(self.roots) == 1 and self.has_same_parent_in_both_trees(me):
            backups = self.next_site_head(me)
        return Position(False, candidates, tuple(backups))

    def path(self, me: int, first_tree: bool) -> tuple[int, ...]:
        """Return a non-root front's ancestors in one tree, starting with its parent, then the other roots."""
        site_position = self.site_positions[me]
        tokens = self.ordered(self.members[site_position.site], first_tree)
        rank = self.tree_rank(site_position.rank, len(tokens), first_tree)
        ancestors = []
        while rank:
            rank = parent_rank(rank, self.fan_out)
            ancestors.append(tokens[rank])
        return *ancestors, *self.path_of_site(site_position.site, first_tree)

    def path_of_site(self, site: str, first_tree: bool) -> tuple[int, ...]:
        """Return the ancestors of a site's head: heads of other sites, then all roots."""
        sites = self.ordered(self.sites, first_tree)
        rank = self.tree_rank(self.site_ranks[site], len(sites), first_tree)
        top = len(self.roots) * self.fan_out  # number of sites whose heads are children of roots
        heads = []
        while rank >= top:
            rank = (rank - top) // self.fan_out
            heads.append(self.ordered(self.members[sites[rank]], first_tree)[0])
        start = self.site_ranks[sites[rank]] + (0 if first_tree else 1)  # a different root in the second tree
        return *heads, *self.roots_from(start)

    def roots_from(self, start: int) -> tuple[int, ...]:
        """Return all roots, rotated to begin at index `start`."""
        start %= len(self.roots)
        return *self.roots[start:], *self.roots[:start]

    def has_same_parent_in_both_trees(self, me: int) -> bool:
        """Return whether the first root is a front's parent in both trees: it is the only one of its site."""
        first, second = self.path(me, first_tree=True), self.path(me, first_tree=False)
        return first[0] == second[0] == self.roots[0]

    def next_site_head(self, me: int) -> list[int]:
        """Return the head of the next site, which has few or no children in the second tree.

        The result is empty if there is only one site.
        """
        site = self.sites[(self.site_ranks[self.site_positions[me].site] + 1) % len(self.sites)]
        return [token for token in self.members[site][:1] if token != me]

    @staticmethod
    def ordered(items: list, first_tree: bool) -> list:
        """Return the items in the order of the first tree, or in reverse for the second tree."""
        return items if first_tree else items[::-1]

    @staticmethod
    def tree_rank(rank: int, count: int, first_tree: bool) -> int:
        """Return the rank, in the given tree, of the item that has `rank` in the first tree."""
        return rank if first_tree else count - 1 - rank


def check_tree_settings(relays: int, fan_out: int) -> None:
    """Raise ValueError if the number of relays or the fan-out is too small for a tree."""
    if relays < 1:
        raise ValueError(f"relays: {relays} is too small; expected 1 or more")
    if fan_out < MIN_FAN_OUT:
        raise ValueError(f"fan-out: {fan_out} is too small; expected {MIN_FAN_OUT} or more")


def position(me: int, scopes: Mapping[int, Scope], relays: int, fan_out: int) -> Position:
    """Return the position of `me` in its zone; `scopes` holds the live fronts, including `me`."""
    return Zone(scopes[me].zone, scopes, relays, fan_out).position(me)


def count_levels(count: int, top: int, fan_out: int) -> int:
    """Return the number of levels of `count` nodes; the first holds `top`, each next `fan_out` times more."""
    levels = 0
    while count > 0:
        count -= top
        top *= fan_out
        levels += 1
    return levels


def longest_path(members: int, sites: int, relays: int, fan_out: int) -> int:
    """Return the maximum number of hops from a root to a front, for any distribution of fronts over sites.

    `members` is the number of live fronts of the zone, `sites` the number of its sites.
    """
    check_tree_settings(relays, fan_out)
    below = members - min(relays, members)
    if not below:
        return 0
    deepest = 1  # fronts without a site are children of roots
    for used in range(1, min(sites, below) + 1):
        largest = below - (used - 1)  # fronts of the largest site if each other site has one
        in_site = count_levels(largest - 1, fan_out, fan_out)
        deepest = max(deepest, count_levels(used, relays * fan_out, fan_out) + in_site)
    return deepest
