"""Which front subscribes to which: two trees over the live fronts of its zone, computed without an election.

The first `relays` fronts of a zone by hash are the roots; they hold a stream of the list service. The fronts
of a site form a tree below one of them, the site's head; the heads form a forest below the roots. Every front
computes its own position from its live view, so that equal views give equal trees; a view that differs leads
to a subscription that another front did not expect, which does no harm.

The second tree orders the fronts of each site, and the sites, the other way round: who has children in one
tree is a leaf of the other, as in SplitStream (Castro et al., SOSP 2003). It is asked for digests only.

Free of I/O. Work is O(n log n) in the fronts of the zone; the caller keeps a position until its view changes.
"""

from collections.abc import Iterable, Mapping
from functools import cached_property
from typing import NamedTuple
from zlib import crc32

from limepath.hashing import mix64

MIN_FAN_OUT = 2  # a chain has no bounded depth


class Scope(NamedTuple):
    """Where a front stands; `site` is empty for one that announces none, as older programs do."""

    zone: str
    site: str


class Position(NamedTuple):
    """A front's position in its zone's trees.

    `candidates` are the fronts to subscribe to: its parent first, then the parent's ancestors, then the other
    roots; `backups` the same of the second tree, without that parent. A root's are the other roots, if any.
    """

    is_root: bool
    candidates: tuple[int, ...]
    backups: tuple[int, ...]


class SiteRank(NamedTuple):
    """A front's position within its site: how many of the site's fronts come before it, in the first tree."""

    site: str
    rank: int


def name_salt(text: str) -> int:
    """64 bits to hash tokens with, derived from a name."""
    return mix64(crc32(text.encode()))


def order_by_hash(tokens: Iterable[int], text: str) -> list[int]:
    """The tokens in the order of their hash, salted by a text."""
    salted = name_salt(text)
    return sorted(tokens, key=lambda token: mix64(token ^ salted))


def parent_rank(rank: int, fan_out: int) -> int:
    """The rank of a node's parent in a tree that is filled level by level; the top has rank 0."""
    return (rank - 1) // fan_out


class Zone:
    """Both trees of the zone of fronts in `scopes`; other zones' fronts are left out.

    `relays` is how many roots there are, `fan_out` how many children a front has of its own site, and a
    site's head of other sites beside.
    """

    def __init__(self, zone: str, scopes: Mapping[int, Scope], relays: int, fan_out: int):
        check_tree_settings(relays, fan_out)
        self.fan_out = fan_out
        members = [token for token, scope in scopes.items() if scope.zone == zone]
        self.roots = order_by_hash(members, zone)[:relays]  # the hash of `Upstream.rank`
        roots = set(self.roots)
        by_site: dict[str, list[int]] = {}
        for token in members:
            if token not in roots and scopes[token].site:
                by_site.setdefault(scopes[token].site, []).append(token)
        # By the sites' hash and not by their heads': another head leaves a site where it is.
        self.sites: list[str] = sorted(by_site, key=lambda site: (name_salt(f"{zone}\n{site}"), site))
        self.members = {site: order_by_hash(by_site[site], f"{zone}\n{site}") for site in self.sites}

    @cached_property
    def site_positions(self) -> dict[int, SiteRank]:
        """Where each front below the roots stands, those without a site left out."""
        return {
            token: SiteRank(site, rank)
            for site, tokens in self.members.items()
            for rank, token in enumerate(tokens)
        }

    @cached_property
    def site_ranks(self) -> dict[str, int]:
        """Where each site stands in the order of the sites."""
        return {site: rank for rank, site in enumerate(self.sites)}

    def position(self, me: int) -> Position:
        """The position of a front of this zone."""
        if me in self.roots:
            others = tuple(token for token in self.roots if token != me)
            return Position(True, others, others)
        if me not in self.site_positions:
            roots = self.roots_from(mix64(me))
            return Position(False, roots, roots[1:])
        candidates = self.path(me, first_tree=True)
        backups = [token for token in self.path(me, first_tree=False) if token != candidates[0]]
        if len(self.roots) == 1 and self.stands_apart(me):
            backups = self.neighbour(me)
        return Position(False, candidates, tuple(backups))

    def path(self, me: int, first_tree: bool) -> tuple[int, ...]:
        """The ancestors of a front below the roots in one tree, its parent first, then the other roots."""
        site_position = self.site_positions[me]
        tokens = self.ordered(self.members[site_position.site], first_tree)
        rank = self.tree_rank(site_position.rank, len(tokens), first_tree)
        ancestors = []
        while rank:
            rank = parent_rank(rank, self.fan_out)
            ancestors.append(tokens[rank])
        return *ancestors, *self.path_of_site(site_position.site, first_tree)

    def path_of_site(self, site: str, first_tree: bool) -> tuple[int, ...]:
        """The ancestors of a site's head: heads of other sites, then the roots."""
        sites = self.ordered(self.sites, first_tree)
        rank = self.tree_rank(self.site_ranks[site], len(sites), first_tree)
        top = len(self.roots) * self.fan_out  # sites whose heads are children of roots
        heads = []
        while rank >= top:
            rank = (rank - top) // self.fan_out
            heads.append(self.ordered(self.members[sites[rank]], first_tree)[0])
        start = self.site_ranks[sites[rank]] + (0 if first_tree else 1)  # another root in the second tree
        return *heads, *self.roots_from(start)

    def roots_from(self, start: int) -> tuple[int, ...]:
        """All roots, beginning with one of them."""
        start %= len(self.roots)
        return *self.roots[start:], *self.roots[:start]

    def stands_apart(self, me: int) -> bool:
        """Whether a front's only parent in both trees is the only root: it is alone at its site."""
        first, second = self.path(me, first_tree=True), self.path(me, first_tree=False)
        return first[0] == second[0] == self.roots[0]

    def neighbour(self, me: int) -> list[int]:
        """The head of the next site, which has few children or none in the second tree; nobody if there is
        one site only.
        """
        site = self.sites[(self.site_ranks[self.site_positions[me].site] + 1) % len(self.sites)]
        return [token for token in self.members[site][:1] if token != me]

    @staticmethod
    def ordered(items: list, first_tree: bool) -> list:
        """The first tree\'s order, or the second\'s, which is its reverse."""
        return items if first_tree else items[::-1]

    @staticmethod
    def tree_rank(rank: int, count: int, first_tree: bool) -> int:
        """The rank of what stands at `rank` in the first tree."""
        return rank if first_tree else count - 1 - rank


def check_tree_settings(relays: int, fan_out: int) -> None:
    """Raise ValueError for a number of relays or a fan-out that makes no tree."""
    if relays < 1:
        raise ValueError(f"{relays} relays: a zone needs one")
    if fan_out < MIN_FAN_OUT:
        raise ValueError(f"fan-out {fan_out}: {MIN_FAN_OUT} at the least")


def position(me: int, scopes: Mapping[int, Scope], relays: int, fan_out: int) -> Position:
    """The position of `me` among the live fronts of its zone; `scopes` holds them, `me` among them."""
    return Zone(scopes[me].zone, scopes, relays, fan_out).position(me)


def count_levels(count: int, top: int, fan_out: int) -> int:
    """How many levels hold so many nodes, where the first has `top` and each further `fan_out` times more."""
    deep = 0
    while count > 0:
        count -= top
        top *= fan_out
        deep += 1
    return deep


def longest_path(members: int, sites: int, relays: int, fan_out: int) -> int:
    """The most hops from a root to a front, in a zone of so many live fronts at so many sites, however the
    fronts are spread over the sites.
    """
    check_tree_settings(relays, fan_out)
    below = members - min(relays, members)
    if not below:
        return 0
    deepest = 1  # those without a site
    for used in range(1, min(sites, below) + 1):
        largest = below - (used - 1)  # a site, where each other has one front
        in_site = count_levels(largest - 1, fan_out, fan_out)
        deepest = max(deepest, count_levels(used, relays * fan_out, fan_out) + in_site)
    return deepest
