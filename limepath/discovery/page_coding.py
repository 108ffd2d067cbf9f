"""The bytes of a list's pages and of its index, and back, checked before anything of them is taken.

Both come from another front: members and purges are checked like those of the list service, and a page has to
have the digest that stands in the index. Free of I/O.
"""

import json
import zlib

from limepath.discovery.event_checks import InvalidEventError, check_member
from limepath.discovery.event_coding import (
    OversizedError,
    ServiceEvent,
    decode_batch,
    decompress,
    encode_batches,
    encode_event,
)
from limepath.discovery.interface import Revision
from limepath.discovery.pages import (
    DIGEST_BYTES,
    MIN_PAGE_WIDTH,
    ListDigests,
    PageContents,
    PageLayout,
    member_id,
    page_digest,
)
from limepath.discovery.purge_fields import is_uint63
from limepath.discovery.recent_purges import AgedPurge
from limepath.discovery.varint import ByteReader, DamagedError, encode_varint, zigzag_decode, zigzag_encode

US_PER_MS = 1000
MAX_PAGE_BYTES = 262_144  # bytes, unpacked


def encode_page(page: PageContents) -> bytes:
    """The bytes of a page: zlib of the members' JSON behind its length, the count of purges, the differences
    of their ages in milliseconds, and the purges in batches, each behind its length. Raise OversizedError.
    """
    members = json.dumps(page.members, separators=(",", ":")).encode()
    ages = [purge.age // US_PER_MS for purge in page.purges]
    former = [0, *ages][: len(ages)]
    parts = [encode_varint(zigzag_encode(age - before)) for age, before in zip(ages, former, strict=True)]
    for batch in encode_batches((purge.encoded for purge in page.purges), MAX_PAGE_BYTES):
        parts += encode_varint(len(batch)), batch
    plain = encode_varint(len(members)) + members + encode_varint(len(ages)) + b"".join(parts)
    if len(plain) > MAX_PAGE_BYTES:
        raise OversizedError(f"a page of {len(plain)} bytes, {MAX_PAGE_BYTES} at the most")
    return zlib.compress(plain, 9)


def decode_page(data: bytes, at: int, index: ListDigests) -> PageContents:
    """The contents of page `at`; raise CodingError where they are not those of the index."""
    reader = ByteReader(decompress(data, MAX_PAGE_BYTES))
    members = decode_members(reader.take(reader.integer()))
    purges = decode_purges(reader)
    page = PageContents(members, purges)
    if any(index.layout.page_of_member(member["id"]) != at for member in members):
        raise DamagedError(f"a member that is not of page {at}")
    if any(index.layout.page_of_purge(purge.number) != at for purge in purges):
        raise DamagedError(f"a purge that is not of page {at}")
    if page_digest(page) != index.pages[at]:
        raise DamagedError(f"page {at} does not fit its digest")
    return page


def decode_members(data: bytes) -> tuple[dict, ...]:
    """The members of a page's JSON; raise DamagedError."""
    try:
        members = json.loads(data)
        if not isinstance(members, list):
            raise DamagedError("no members")
        for member in members:
            check_member(member)
            if member["phase"] == "terminated":
                raise DamagedError(f"member {member['id']!r} is not in the list any more")
    except (ValueError, RecursionError):
        raise DamagedError("members that are no JSON") from None
    except InvalidEventError as error:
        raise DamagedError(str(error)) from None
    if len({member_id(member) for member in members}) < len(members):
        raise DamagedError("a member that stands twice")
    return tuple(members)


def decode_purges(reader: ByteReader) -> tuple[AgedPurge, ...]:
    """The purges that are left to be read."""
    count, age, ages = reader.integer(), 0, []
    if count > reader.left():
        raise DamagedError(f"{count} purges in {reader.left()} bytes")
    for _ in range(count):
        age += zigzag_decode(reader.integer())
        ages.append(age)
    events: list[ServiceEvent] = []
    while reader.left():
        events += decode_batch(reader.take(reader.integer()), MAX_PAGE_BYTES)
    if len(events) != count or min(ages, default=0) < 0:
        raise DamagedError("ages that are not those of the purges")
    if any("invalidate" not in event.body for event in events):
        raise DamagedError("an event that is no purge")
    numbers = [event.body["seq"] for event in events]
    if any(following <= number for number, following in zip(numbers, numbers[1:], strict=False)):
        raise DamagedError("purges out of order")
    return tuple(
        AgedPurge(event.body["seq"], age * US_PER_MS, encode_event(event.body, event.text))
        for age, event in zip(ages, events, strict=True)
    )


def encode_index(digests: ListDigests) -> bytes:
    """The bytes of the index; raise OversizedError where a number has over 63 bits."""
    if not (is_uint63(abs(digests.fleet_revision)) and is_uint63(digests.revision.number)):
        raise OversizedError(f"revision {digests.fleet_revision} at {digests.revision.number}")
    head = (*digests.revision, zigzag_encode(digests.fleet_revision), *digests.layout)
    coded_digests = b"".join(digest.to_bytes(DIGEST_BYTES) for digest in digests.pages)
    return b"".join(map(encode_varint, head)) + coded_digests


def decode_index(data: bytes) -> ListDigests:
    """The digests of the bytes of an index; raise CodingError."""
    reader = ByteReader(data)
    revision = Revision(reader.integer(), reader.integer())
    fleet_revision = zigzag_decode(reader.integer())
    layout = PageLayout(*(reader.integer() for _ in PageLayout._fields))
    if not layout.member_pages or layout.width < MIN_PAGE_WIDTH:
        raise DamagedError(f"a layout that can't be: {layout}")
    if layout.pages * DIGEST_BYTES != reader.left():
        raise DamagedError(f"{layout.pages} pages, {reader.left()} bytes of digests")
    found = tuple(int.from_bytes(reader.take(DIGEST_BYTES)) for _ in range(layout.pages))
    return ListDigests(revision, fleet_revision, layout, found)
