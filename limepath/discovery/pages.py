"""A list in pages with digests, so that a front far behind is sent only the pages that differ.

A list's members are spread over pages by a hash of their names, its purges by their numbers. The index holds
a digest of each page; whoever wants the list compares it with its own and asks for the pages that differ. A
page is taken only if it has the digest that stands in the index. `page_coding` turns pages and index to
bytes, `paged_snapshot` carries them in datagrams.

A page's digest is the XOR of those of its members, so that the XOR of all member pages is the list's own
(`EndpointList.digest`). At 1,400 members and 36 purges a second a page fits one or two datagrams, and the
index two.

Nothing changes the list that one has: `apply_pages` makes another. Free of I/O.
"""

from collections.abc import Mapping
from functools import reduce
from hashlib import blake2b
from operator import xor
from typing import NamedTuple

from limepath.discovery.event_checks import json_digest
from limepath.discovery.event_coding import TEXT_KINDS, decode_event
from limepath.discovery.interface import Revision
from limepath.discovery.recent_purges import AgedPurge
from limepath.discovery.varint import DamagedError

MEMBERS_PER_PAGE = 32  # in the mean
MIN_PAGE_WIDTH = 128  # numbers of events that share a page of purges, at the least
MAX_PURGE_PAGES = 128  # at the most; numbers that reach further share pages of twice as many, and so on
DIGEST_BYTES = 8


class ListContents(NamedTuple):
    """A list as it stood, `members` by id, `fleet_revision` the service's own. It is never changed."""

    revision: Revision
    fleet_revision: int
    members: Mapping[str, dict]
    purges: tuple[AgedPurge, ...]


class PageLayout(NamedTuple):
    """How a list is spread over pages: those of members first, then those of purges.

    A page of purges has `width` numbers, the first of them the numbers from `first * width` on.
    """

    member_pages: int
    width: int
    first: int
    purge_pages: int

    @property
    def pages(self) -> int:
        """How many pages there are."""
        return self.member_pages + self.purge_pages

    def page_of_member(self, name: str) -> int:
        """The page of a member, by a hash of its id."""
        hashed = blake2b(name.encode(errors="surrogatepass"), digest_size=DIGEST_BYTES).digest()
        return int.from_bytes(hashed) % self.member_pages

    def page_of_purge(self, number: int) -> int | None:
        """The page of a purge, None where this layout has none for its number."""
        at = number // self.width - self.first
        return self.member_pages + at if 0 <= at < self.purge_pages else None


class ListDigests(NamedTuple):
    """The digests of all pages of a list that stands at `revision`."""

    revision: Revision
    fleet_revision: int
    layout: PageLayout
    pages: tuple[int, ...]


class PageContents(NamedTuple):
    """What is on one page, both in order."""

    members: tuple[dict, ...]
    purges: tuple[AgedPurge, ...]


def choose_layout(contents: ListContents) -> PageLayout:
    """How to spread this list."""
    member_pages = max(1, -(-len(contents.members) // MEMBERS_PER_PAGE))
    numbers = [purge_number(purge) for purge in contents.purges]
    if not numbers:
        return PageLayout(member_pages, MIN_PAGE_WIDTH, 0, 0)
    least, most, width = min(numbers), max(numbers), MIN_PAGE_WIDTH
    while most // width - least // width >= MAX_PURGE_PAGES:
        width *= 2
    return PageLayout(member_pages, width, least // width, most // width - least // width + 1)


def spread_over_pages(contents: ListContents, layout: PageLayout) -> list[PageContents]:
    """What of a list is on each page of a layout; purges that have no page there are left out."""
    members: list[list[dict]] = [[] for _ in range(layout.pages)]
    purges: list[list[AgedPurge]] = [[] for _ in range(layout.pages)]
    for name, member in contents.members.items():
        members[layout.page_of_member(name)].append(member)
    for purge in contents.purges:
        page = layout.page_of_purge(purge_number(purge))
        if page is not None:
            purges[page].append(purge)
    return [
        PageContents(tuple(sorted(page_members, key=member_id)), tuple(sorted(page_purges, key=purge_number)))
        for page_members, page_purges in zip(members, purges, strict=True)
    ]


def page_digest(page: PageContents) -> int:
    """64 bits of a page; ages do not count, for each front has its own."""
    parts = [json_digest(member) for member in page.members] + [purge_digest(purge) for purge in page.purges]
    return reduce(xor, parts, 0)


def list_digests(contents: ListContents) -> ListDigests:
    """The digests of all pages, in a layout for this list."""
    layout = choose_layout(contents)
    return ListDigests(
        contents.revision,
        contents.fleet_revision,
        layout,
        tuple(map(page_digest, spread_over_pages(contents, layout))),
    )


def differing_pages(own: ListContents, other: ListDigests) -> tuple[int, ...]:
    """The pages that are to be asked for, so that `own` becomes the list of the digests `other`."""
    here = spread_over_pages(own, other.layout)
    return tuple(at for at, page in enumerate(here) if page_digest(page) != other.pages[at])


def apply_pages(own: ListContents, other: ListDigests, pages: Mapping[int, PageContents]) -> ListContents:
    """The list of the digests `other`: its pages where they are given, all others from `own`.

    Raise DamagedError where the outcome is not that list.
    """
    combined = [pages.get(at, page) for at, page in enumerate(spread_over_pages(own, other.layout))]
    for at, page in enumerate(combined):
        if page_digest(page) != other.pages[at]:
            raise DamagedError(f"page {at} is not the one that was told")
    members = {member["id"]: member for page in combined for member in page.members}
    purges = tuple(purge for page in combined for purge in page.purges)
    return ListContents(other.revision, other.fleet_revision, members, purges)


# Parts


def member_id(member: dict) -> str:
    """The name by which members are ordered."""
    return member["id"]


def purge_number(purge: AgedPurge) -> int:
    """The number of its event, by which purges are ordered."""
    return purge.number


def purge_digest(purge: AgedPurge) -> int:
    """64 bits of a purge; of one that went as text those of its event, since zlib's bytes may differ."""
    if purge.encoded[0] in TEXT_KINDS:
        return json_digest(decode_event(purge.encoded).body)
    return int.from_bytes(blake2b(purge.encoded, digest_size=DIGEST_BYTES).digest())
