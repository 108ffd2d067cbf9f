"""A whole list in pages with digests, so that a front far behind is told only what differs of it.

A list's members are spread over pages by a hash of their names, its purges by their numbers. The index holds
a digest of each page; whoever wants the list compares it with its own and asks for the pages that differ. A
page is taken only if it has the digest that the index told. `page_bytes` turns pages and index to bytes,
`catch_up` carries them in datagrams.

A page's digest is the XOR of those of its members, so that the XOR of all member pages is the list's own
(`state.List.digest`). At 1,400 members and 36 purges a second a page fits one or two datagrams, and the index
two.

Nothing changes the list that one has: `apply` makes another. Free of I/O.
"""

from collections.abc import Mapping
from functools import reduce
from hashlib import blake2b
from operator import xor
from typing import NamedTuple

from limepath.discovery.coding import TEXT_KINDS, decode
from limepath.discovery.events import summary
from limepath.discovery.integers import Damaged
from limepath.discovery.interface import Revision
from limepath.discovery.window import KeptPurge

MEMBERS_A_PAGE = 32  # in the mean
PURGE_NUMBERS = 128  # numbers of events that share a page of purges, at the least
PURGE_PAGES = 128  # at the most; numbers that reach further share pages of twice as many, and so on
DIGEST_BYTES = 8


class Contents(NamedTuple):
    """A list as it stood, `members` by id. Nobody changes one: the members are a copy of the list's."""

    place: Revision
    revision: int
    members: Mapping[str, dict]
    purges: tuple[KeptPurge, ...]


class Layout(NamedTuple):
    """How a list is spread over pages: those of members first, then those of purges. A page of purges has
    `width` numbers, the first of them the numbers from `first * width` on.
    """

    member_pages: int
    width: int
    first: int
    purge_pages: int

    @property
    def pages(self) -> int:
        return self.member_pages + self.purge_pages

    def page_of_member(self, name: str) -> int:
        hashed = blake2b(name.encode(errors="surrogatepass"), digest_size=DIGEST_BYTES).digest()
        return int.from_bytes(hashed) % self.member_pages

    def page_of_purge(self, number: int) -> int | None:
        """The page of a purge, None where this layout has none for its number."""
        at = number // self.width - self.first
        return self.member_pages + at if 0 <= at < self.purge_pages else None


class Digests(NamedTuple):
    """The digests of all pages of a list that stands at `place`."""

    place: Revision
    revision: int
    layout: Layout
    pages: tuple[int, ...]


class PageContents(NamedTuple):
    """What is on one page, both in order."""

    members: tuple[dict, ...]
    purges: tuple[KeptPurge, ...]


def layout_of(contents: Contents) -> Layout:
    """How to spread this list."""
    member_pages = max(1, -(-len(contents.members) // MEMBERS_A_PAGE))
    numbers = [number_of(kept) for kept in contents.purges]
    if not numbers:
        return Layout(member_pages, PURGE_NUMBERS, 0, 0)
    least, most, width = min(numbers), max(numbers), PURGE_NUMBERS
    while most // width - least // width >= PURGE_PAGES:
        width *= 2
    return Layout(member_pages, width, least // width, most // width - least // width + 1)


def spread(contents: Contents, layout: Layout) -> list[PageContents]:
    """What of a list is on each page of a layout; purges that have no page there are left out."""
    members = [[] for _ in range(layout.pages)]
    purges = [[] for _ in range(layout.pages)]
    for name, member in contents.members.items():
        members[layout.page_of_member(name)].append(member)
    for kept in contents.purges:
        page = layout.page_of_purge(number_of(kept))
        if page is not None:
            purges[page].append(kept)
    return [
        PageContents(tuple(sorted(some, key=name_of)), tuple(sorted(others, key=number_of)))
        for some, others in zip(members, purges, strict=True)
    ]


def digest_of(page: PageContents) -> int:
    """64 bits of a page; ages do not count, for each front has its own."""
    parts = [summary(member) for member in page.members] + [purge_digest(kept) for kept in page.purges]
    return reduce(xor, parts, 0)


def digests(contents: Contents) -> Digests:
    """The digests of all pages, in a layout for this list."""
    layout = layout_of(contents)
    return Digests(contents.place, contents.revision, layout, tuple(map(digest_of, spread(contents, layout))))


def differing(mine: Contents, theirs: Digests) -> tuple[int, ...]:
    """The pages that are to be asked for, so that `mine` becomes the list that `theirs` tells."""
    here = spread(mine, theirs.layout)
    return tuple(at for at, page in enumerate(here) if digest_of(page) != theirs.pages[at])


def apply(mine: Contents, theirs: Digests, pages: Mapping[int, PageContents]) -> Contents:
    """The list that `theirs` tells: its pages where they are given, all others from `mine`. Raise Damaged
    where the outcome is not that list.
    """
    whole = [pages.get(at, page) for at, page in enumerate(spread(mine, theirs.layout))]
    for at, page in enumerate(whole):
        if digest_of(page) != theirs.pages[at]:
            raise Damaged(f"page {at} is not the one that was told")
    members = {member["id"]: member for page in whole for member in page.members}
    purges = tuple(kept for page in whole for kept in page.purges)
    return Contents(theirs.place, theirs.revision, members, purges)


# Parts


def name_of(member: dict) -> str:
    return member["id"]


def number_of(kept: KeptPurge) -> int:
    return kept.number


def purge_digest(kept: KeptPurge) -> int:
    """64 bits of a purge; of one that went as text those of its event, since zlib's bytes may differ."""
    if kept.encoded[0] in TEXT_KINDS:
        return summary(decode(kept.encoded).told)
    return int.from_bytes(blake2b(kept.encoded, digest_size=DIGEST_BYTES).digest())
