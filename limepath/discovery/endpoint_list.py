"""The endpoint list: its members, its revision and the purges that still apply to cached copies.

`event_checks` validates events before they are applied. The list is packed to be saved or sent. Purges are
kept for a period of time and within a limit in bytes (`recent_purges`), not up to a count. Performs no I/O.
"""

import json
import zlib
from hashlib import blake2b
from typing import Any

from limepath.discovery.event_checks import InvalidEventError, json_digest, parse_event
from limepath.discovery.event_coding import decode_event
from limepath.discovery.interface import Revision
from limepath.discovery.recent_purges import RecentPurges
from limepath.discovery.varint import CodingError
from limepath.hashing import MASK_64

FORMAT_TAG = b"LPL1"
PURGE_RETENTION_US = 600_000_000  # default time for which a purge is kept
MAX_PURGE_BYTES = 4_000_000  # encoded size of all purges
CHUNK_BYTES = 1000  # of a packed list per datagram
COMPRESSION_LEVEL = 6
SNAPSHOT_DIGEST_BYTES = 16


class EndpointList:
    """The members by id and the recent purges at one revision, which is (0, 0) before the first event.

    `purge_retention` is in microseconds.
    """

    def __init__(self, purge_retention: int = PURGE_RETENTION_US):
        self.revision = Revision()
        self.members: dict[str, dict[str, Any]] = {}
        self.fleet_revision: int = 0  # the service's revision of the members, for the front
        self.digest: int = 0  # XOR of the digests of all members
        self.purges = RecentPurges(purge_retention, 0, MAX_PURGE_BYTES)

    def apply(self, event: dict[str, Any], now: int = 0, age: int = 0) -> None:
        """Apply the next event, which `parse_event` has validated, at time `now`.

        `age` is the time since a front first accepted the purge, as far as is known. Raise InvalidEventError
        if the purge is too long to be kept.
        """
        if "fleet" in event:
            self._apply_fleet(event["fleet"])
        elif "invalidate" in event:
            try:
                self.purges.add(now, event, json.dumps(event), age)
            except CodingError as error:
                raise InvalidEventError(f"purge {event['seq']}: {error}") from None
        self.revision = Revision(self.revision.generation, event["seq"])

    def _apply_fleet(self, fleet: dict[str, Any]) -> None:
        if fleet.get("complete"):
            self.members = {}
            self.digest = 0
        for member in fleet["members"]:
            self.put(member)
        revision = fleet.get("revision", 0)
        self.fleet_revision = revision if isinstance(revision, int) else 0

    def put(self, member: dict[str, Any]) -> None:
        """Add or replace a member; a terminated one is removed."""
        if (old := self.members.pop(member["id"], None)) is not None:
            self.digest ^= json_digest(old)
        if member["phase"] != "terminated":
            self.members[member["id"]] = member
            self.digest ^= json_digest(member)
        self.digest &= MASK_64

    def full_event(self) -> dict[str, Any]:
        """Return an event that holds all members of the list."""
        members = list(self.members.values())
        return {
            "seq": self.revision.number,
            "fleet": {"revision": self.fleet_revision, "complete": True, "members": members},
        }

    def pack(self, now: int = 0) -> bytes:
        """Return the list as bytes to be saved or sent, with the age of each purge at time `now`."""
        purges = self.purges.retained(now)
        packed = {
            "place": self.revision,
            "whole": self.full_event(),
            "purges": [decode_event(purge.encoded).body for purge in purges],
            "ages": [purge.age for purge in purges],
        }
        text = json.dumps(packed, separators=(",", ":"))
        return FORMAT_TAG + zlib.compress(text.encode(), COMPRESSION_LEVEL)


def unpack_list(
    data: bytes, max_bytes: int, now: int = 0, purge_retention: int = PURGE_RETENTION_US
) -> EndpointList:
    """Return the list in packed bytes at time `now`, or raise InvalidEventError.

    The list may have at most `max_bytes` bytes uncompressed. Older program versions packed no ages; the
    purges of such a list count as new.
    """
    try:
        packed = json.loads(_decompress(data, max_bytes))
        generation, number = packed["place"]
        full_event = packed["whole"]
        purges = packed["purges"]
        ages = packed.get("ages") or [0] * len(purges)
        unpacked = EndpointList(purge_retention)
        unpacked.apply(parse_event(json.dumps(full_event)), now)
        for event, age in zip(purges, ages, strict=True):
            unpacked.apply(parse_event(json.dumps(event)), now, max(0, int(age)))
        if min(generation, number) < 0 or type(generation) is not int or type(number) is not int:
            raise InvalidEventError(f"revision {generation!r}, {number!r}: expected integers of 0 or more")
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise InvalidEventError(f"damaged: {type(error).__name__}") from None
    unpacked.revision = Revision(generation, number)
    return unpacked


def _decompress(data: bytes, max_bytes: int) -> bytes:
    """Return the JSON text in packed bytes; raise InvalidEventError if it is over `max_bytes`, or damaged."""
    if data[: len(FORMAT_TAG)] != FORMAT_TAG:
        raise InvalidEventError("not a list of this program")
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data[len(FORMAT_TAG) :], max_bytes + 1)
    except zlib.error:
        raise InvalidEventError("cut or damaged") from None
    if len(text) > max_bytes:
        raise InvalidEventError(f"over {max_bytes} bytes")
    if not decompressor.eof:
        raise InvalidEventError("cut or damaged")
    return text


def count_chunks(data: bytes) -> int:
    """Return the number of datagrams that packed bytes take."""
    return max(1, -(-len(data) // CHUNK_BYTES))


def snapshot_digest(data: bytes) -> bytes:
    """Return the digest of packed bytes, which is sent with each chunk."""
    return blake2b(data, digest_size=SNAPSHOT_DIGEST_BYTES).digest()
