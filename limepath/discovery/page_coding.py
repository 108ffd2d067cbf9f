"""Encodes and decodes the pages of a list and their index; decoding validates all data before it is used.

Pages and index come from another front: members and purges are validated like those of the list service, and
the digest of a page must be the one in the index. Performs no I/O.
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
MAX_PAGE_BYTES = 262_144  # uncompressed


def encode_page(page: PageContents) -> bytes:
    """Encode a page; raise OversizedError if it is too long.

    The encoding is the zlib compression of the length and JSON of the members, the number of purges, the
    differences between their ages in milliseconds, and the batches of purges, each preceded by its length.
    """
    members = json.dumps(page.members, separators=(",", ":")).encode()
    ages = [purge.age // US_PER_MS for purge in page.purges]
    previous_ages = [0, *ages][: len(ages)]
    parts = [
        encode_varint(zigzag_encode(age - previous))
        for age, previous in zip(ages, previous_ages, strict=True)
    ]
    for batch in encode_batches((purge.encoded for purge in page.purges), MAX_PAGE_BYTES):
        parts += encode_varint(len(batch)), batch
    plain = encode_varint(len(members)) + members + encode_varint(len(ages)) + b"".join(parts)
    if len(plain) > MAX_PAGE_BYTES:
        raise OversizedError(f"the page has {len(plain)} bytes; at most {MAX_PAGE_BYTES} are allowed")
    return zlib.compress(plain, 9)


def decode_page(data: bytes, number: int, index: ListDigests) -> PageContents:
    """Decode page `number`; raise CodingError if it is damaged or does not match the index."""
    reader = ByteReader(decompress(data, MAX_PAGE_BYTES))
    members = decode_members(reader.take(reader.integer()))
    purges = decode_purges(reader)
    page = PageContents(members, purges)
    if any(index.layout.page_of_member(member["id"]) != number for member in members):
        raise DamagedError(f"page {number} contains a member of another page")
    if any(index.layout.page_of_purge(purge.number) != number for purge in purges):
        raise DamagedError(f"page {number} contains a purge of another page")
    if page_digest(page) != index.pages[number]:
        raise DamagedError(f"page {number} does not match its digest in the index")
    return page


def decode_members(data: bytes) -> tuple[dict, ...]:
    """Decode the JSON of a page's members; raise DamagedError if it is invalid."""
    try:
        members = json.loads(data)
        if not isinstance(members, list):
            raise DamagedError("the members are not a JSON array")
        for member in members:
            check_member(member)
            if member["phase"] == "terminated":
                raise DamagedError(f"member {member['id']!r} is terminated, so it cannot be in a list")
    except (ValueError, RecursionError):
        raise DamagedError("the members are not valid JSON") from None
    except InvalidEventError as error:
        raise DamagedError(str(error)) from None
    if len({member_id(member) for member in members}) < len(members):
        raise DamagedError("the page contains a member twice")
    return tuple(members)


def decode_purges(reader: ByteReader) -> tuple[AgedPurge, ...]:
    """Read the purges, which are the rest of a page; raise CodingError if they are invalid."""
    count, age, ages = reader.integer(), 0, []
    if count > reader.left():
        raise DamagedError(f"{count} purges do not fit into the remaining {reader.left()} bytes")
    for _ in range(count):
        age += zigzag_decode(reader.integer())
        ages.append(age)
    events: list[ServiceEvent] = []
    while reader.left():
        events += decode_batch(reader.take(reader.integer()), MAX_PAGE_BYTES)
    if len(events) != count or min(ages, default=0) < 0:
        raise DamagedError(f"{count} ages for {len(events)} purges, or a negative age")
    if any("invalidate" not in event.body for event in events):
        raise DamagedError("the page contains an event that is not a purge")
    numbers = [event.body["seq"] for event in events]
    if any(following <= number for number, following in zip(numbers, numbers[1:], strict=False)):
        raise DamagedError("the purges are not in the order of their numbers")
    return tuple(
        AgedPurge(event.body["seq"], age * US_PER_MS, encode_event(event.body, event.text))
        for age, event in zip(ages, events, strict=True)
    )


def encode_index(digests: ListDigests) -> bytes:
    """Encode an index; raise OversizedError if one of its numbers exceeds 63 bits."""
    if not (is_uint63(abs(digests.fleet_revision)) and is_uint63(digests.revision.number)):
        raise OversizedError(
            f"fleet revision {digests.fleet_revision} or number {digests.revision.number} exceeds 63 bits"
        )
    header = (*digests.revision, zigzag_encode(digests.fleet_revision), *digests.layout)
    encoded_digests = b"".join(digest.to_bytes(DIGEST_BYTES) for digest in digests.pages)
    return b"".join(map(encode_varint, header)) + encoded_digests


def decode_index(data: bytes) -> ListDigests:
    """Decode an index; raise CodingError if it is invalid."""
    reader = ByteReader(data)
    revision = Revision(reader.integer(), reader.integer())
    fleet_revision = zigzag_decode(reader.integer())
    layout = PageLayout(*(reader.integer() for _ in PageLayout._fields))
    if not layout.member_pages or layout.width < MIN_PAGE_WIDTH:
        raise DamagedError(
            f"invalid layout {layout}; expected a member page and a width of {MIN_PAGE_WIDTH} or more"
        )
    if layout.pages * DIGEST_BYTES != reader.left():
        raise DamagedError(
            f"{reader.left()} bytes of digests for {layout.pages} pages of {DIGEST_BYTES} bytes"
        )
    digests = tuple(int.from_bytes(reader.take(DIGEST_BYTES)) for _ in range(layout.pages))
    return ListDigests(revision, fleet_revision, layout, digests)
