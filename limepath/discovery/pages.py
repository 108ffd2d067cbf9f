"""Divides a list into pages with digests, so that a front far behind receives only the pages that differ.

Members are assigned to pages by a hash of their ids, purges by their numbers. The index contains a digest of
each page; a front that needs the list compares the index with its own list and requests the pages that
differ. A page is accepted only if its digest is the one in the index. `page_coding` encodes pages and index,
`paged_snapshot` divides them into datagrams.

The digest of a page is the XOR of the digests of its entries, so that the XOR of all member pages is the
digest of the list (`EndpointList.digest`). With 1,400 members and 36 purges per second, a page takes one or
two datagrams and the index two.

No function modifies the list that it is given: `apply_pages` returns a new one. Performs no I/O.
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

MEMBERS_PER_PAGE = 32  # on average
MIN_PAGE_WIDTH = 128  # event numbers per page of purges
MAX_PURGE_PAGES = 128  # for a larger range of numbers the page width is doubled until the pages suffice
DIGEST_BYTES = 8


class ListContents(NamedTuple):
    """The immutable contents of a list: `members` by id, `fleet_revision` their revision at the service."""

    revision: Revision
    fleet_revision: int
    members: Mapping[str, dict]
    purges: tuple[AgedPurge, ...]


class PageLayout(NamedTuple):
    """The assignment of a list's entries to pages: member pages come first, then purge pages.

    Each purge page covers `width` event numbers; the first one starts at number `first * width`.
    """

    member_pages: int
    width: int
    first: int
    purge_pages: int

    @property
    def pages(self) -> int:
        """Return the number of pages."""
        return self.member_pages + self.purge_pages

    def page_of_member(self, name: str) -> int:
        """Return the page of a member, which is chosen by a hash of its id."""
        digest = blake2b(name.encode(errors="surrogatepass"), digest_size=DIGEST_BYTES).digest()
        return int.from_bytes(digest) % self.member_pages

    def page_of_purge(self, number: int) -> int | None:
        """Return the page of a purge, or None if no page of this layout covers its number."""
        offset = number // self.width - self.first
        return self.member_pages + offset if 0 <= offset < self.purge_pages else None


class ListDigests(NamedTuple):
    """The digests of all pages of a list at `revision`."""

    revision: Revision
    fleet_revision: int
    layout: PageLayout
    pages: tuple[int, ...]


class PageContents(NamedTuple):
    """The entries of one page: members in the order of their ids, purges in that of their numbers."""

    members: tuple[dict, ...]
    purges: tuple[AgedPurge, ...]


def choose_layout(contents: ListContents) -> PageLayout:
    """Choose a layout for a list."""
    member_pages = max(1, -(-len(contents.members) // MEMBERS_PER_PAGE))
    numbers = [purge_number(purge) for purge in contents.purges]
    if not numbers:
        return PageLayout(member_pages, MIN_PAGE_WIDTH, 0, 0)
    lowest, highest, width = min(numbers), max(numbers), MIN_PAGE_WIDTH
    while highest // width - lowest // width >= MAX_PURGE_PAGES:
        width *= 2
    return PageLayout(member_pages, width, lowest // width, highest // width - lowest // width + 1)


def spread_over_pages(contents: ListContents, layout: PageLayout) -> list[PageContents]:
    """Return the contents of each page of a layout; purges that no page covers are omitted."""
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
    """Return the 64-bit digest of a page; it excludes ages, because they differ between fronts."""
    digests = [json_digest(member) for member in page.members] + [
        purge_digest(purge) for purge in page.purges
    ]
    return reduce(xor, digests, 0)


def list_digests(contents: ListContents) -> ListDigests:
    """Return the digests of all pages in a layout chosen for this list."""
    layout = choose_layout(contents)
    return ListDigests(
        contents.revision,
        contents.fleet_revision,
        layout,
        tuple(map(page_digest, spread_over_pages(contents, layout))),
    )


def differing_pages(own: ListContents, other: ListDigests) -> tuple[int, ...]:
    """Return the numbers of the pages in which `own` differs from the list of the digests `other`."""
    own_pages = spread_over_pages(own, other.layout)
    return tuple(number for number, page in enumerate(own_pages) if page_digest(page) != other.pages[number])


def apply_pages(own: ListContents, other: ListDigests, pages: Mapping[int, PageContents]) -> ListContents:
    """Return the list of the digests `other`, made of the given `pages` and for all others those of `own`.

    Raise DamagedError if a page of the result does not match its digest.
    """
    combined = [pages.get(number, page) for number, page in enumerate(spread_over_pages(own, other.layout))]
    for number, page in enumerate(combined):
        if page_digest(page) != other.pages[number]:
            raise DamagedError(f"page {number} does not match its digest in the index")
    members = {member["id"]: member for page in combined for member in page.members}
    purges = tuple(purge for page in combined for purge in page.purges)
    return ListContents(other.revision, other.fleet_revision, members, purges)


# Entries


def member_id(member: dict) -> str:
    """Return the id of a member, by which members are ordered."""
    return member["id"]


def purge_number(purge: AgedPurge) -> int:
    """Return the event number of a purge, by which purges are ordered."""
    return purge.number


def purge_digest(purge: AgedPurge) -> int:
    """Return the 64-bit digest of a purge.

    For a purge encoded as text it is the digest of the event, because the output of zlib may differ.
    """
    if purge.encoded[0] in TEXT_KINDS:
        return json_digest(decode_event(purge.encoded).body)
    return int.from_bytes(blake2b(purge.encoded, digest_size=DIGEST_BYTES).digest())
