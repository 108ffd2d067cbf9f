"""The bytes of a list's pages and of its index, and back, checked before anything of them is taken.

Both come from another front: members and purges are checked like those of the list service, and a page has to
be the one that the index told. Free of I/O.
"""

import json
import zlib

from limepath.discovery.coding import Oversized, batches, encode, events_of, inflated
from limepath.discovery.events import BadList, check_member
from limepath.discovery.integers import Damaged, Reader, integer, unzigzag, zigzag
from limepath.discovery.interface import Revision
from limepath.discovery.pages import (
    DIGEST_BYTES,
    PURGE_NUMBERS,
    Digests,
    Layout,
    PageContents,
    digest_of,
    name_of,
)
from limepath.discovery.purge_fields import fits
from limepath.discovery.window import KeptPurge

LONGEST_PAGE = 262_144  # bytes, unpacked


def packed_page(page: PageContents) -> bytes:
    """The bytes of a page: zlib of the members' JSON behind its length, the count of purges, the differences
    of their ages in milliseconds, and the purges in batches, each behind its length. Raise Oversized.
    """
    members = json.dumps(page.members, separators=(",", ":")).encode()
    ages = [kept.age // 1000 for kept in page.purges]
    former = [0, *ages][: len(ages)]
    parts = [integer(zigzag(age - before)) for age, before in zip(ages, former, strict=True)]
    for batch in batches((kept.encoded for kept in page.purges), LONGEST_PAGE):
        parts += integer(len(batch)), batch
    plain = integer(len(members)) + members + integer(len(ages)) + b"".join(parts)
    if len(plain) > LONGEST_PAGE:
        raise Oversized(f"a page of {len(plain)} bytes, {LONGEST_PAGE} at the most")
    return zlib.compress(plain, 9)


def unpacked_page(data: bytes, at: int, theirs: Digests) -> PageContents:
    """The contents of page `at`; raise CodingError where they are not those that `theirs` tells."""
    reader = Reader(inflated(data, LONGEST_PAGE))
    members = members_from(reader.take(reader.integer()))
    purges = purges_from(reader)
    page = PageContents(members, purges)
    if any(theirs.layout.page_of_member(member["id"]) != at for member in members):
        raise Damaged(f"a member that is not of page {at}")
    if any(theirs.layout.page_of_purge(kept.number) != at for kept in purges):
        raise Damaged(f"a purge that is not of page {at}")
    if digest_of(page) != theirs.pages[at]:
        raise Damaged(f"page {at} does not fit its digest")
    return page


def members_from(data: bytes) -> tuple[dict, ...]:
    try:
        members = json.loads(data)
        if not isinstance(members, list):
            raise Damaged("no members")
        for member in members:
            check_member(member)
            if member["phase"] == "terminated":
                raise Damaged(f"member {member['id']!r} is not in the list any more")
    except (ValueError, RecursionError):
        raise Damaged("members that are no JSON") from None
    except BadList as error:
        raise Damaged(str(error)) from None
    if len({name_of(member) for member in members}) < len(members):
        raise Damaged("a member that stands twice")
    return tuple(members)


def purges_from(reader: Reader) -> tuple[KeptPurge, ...]:
    """The purges that are left to be read."""
    count, age, ages = reader.integer(), 0, []
    if count > reader.left():
        raise Damaged(f"{count} purges in {reader.left()} bytes")
    for _ in range(count):
        age += unzigzag(reader.integer())
        ages.append(age)
    events = []
    while reader.left():
        events += events_of(reader.take(reader.integer()), LONGEST_PAGE)
    if len(events) != count or min(ages, default=0) < 0:
        raise Damaged("ages that are not those of the purges")
    if any("invalidate" not in event.told for event in events):
        raise Damaged("an event that is no purge")
    numbers = [event.told["seq"] for event in events]
    if any(following <= number for number, following in zip(numbers, numbers[1:], strict=False)):
        raise Damaged("purges out of order")
    return tuple(
        KeptPurge(event.told["seq"], age * 1000, encode(event.told, event.text))
        for age, event in zip(ages, events, strict=True)
    )


def packed_index(told: Digests) -> bytes:
    """The bytes of the index; raise Oversized where a number has over 63 bits."""
    if not (fits(abs(told.revision)) and fits(told.place.number)):
        raise Oversized(f"revision {told.revision} at {told.place.number}")
    head = (*told.place, zigzag(told.revision), *told.layout)
    return b"".join(map(integer, head)) + b"".join(digest.to_bytes(DIGEST_BYTES) for digest in told.pages)


def unpacked_index(data: bytes) -> Digests:
    """What the index tells; raise CodingError."""
    reader = Reader(data)
    place = Revision(reader.integer(), reader.integer())
    revision = unzigzag(reader.integer())
    layout = Layout(*(reader.integer() for _ in Layout._fields))
    if not layout.member_pages or layout.width < PURGE_NUMBERS:
        raise Damaged(f"a layout that can't be: {layout}")
    if layout.pages * DIGEST_BYTES != reader.left():
        raise Damaged(f"{layout.pages} pages, {reader.left()} bytes of digests")
    found = tuple(int.from_bytes(reader.take(DIGEST_BYTES)) for _ in range(layout.pages))
    return Digests(place, revision, layout, found)
