"""The endpoint list as a value: members, revision, and the purges that still matter.

Events are checked before they change it (`event_checks`); it is packed to be saved or sent. Purges are kept
by time and bounded in bytes (`recent_purges`), never by a count. Free of I/O.
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
PURGE_RETENTION_US = 600_000_000  # for which a purge is kept, where the settings do not say
MAX_PURGE_BYTES = 4_000_000  # of all purges, coded
CHUNK_BYTES = 1000  # of a packed list in one datagram
COMPRESSION_LEVEL = 6
SNAPSHOT_DIGEST_BYTES = 16


class EndpointList:
    """Members by id and recent purges at one revision, which is (0, 0) until an event was applied.

    `purge_retention` is in microseconds.
    """

    def __init__(self, purge_retention: int = PURGE_RETENTION_US):
        self.revision = Revision()
        self.members: dict[str, dict[str, Any]] = {}
        self.fleet_revision: int = 0  # the service's own, passed on to the front
        self.digest: int = 0  # XOR of the members' digests
        self.purges = RecentPurges(purge_retention, 0, MAX_PURGE_BYTES)

    def apply(self, event: dict[str, Any], now: int = 0, age: int = 0) -> None:
        """Apply the event that follows, at `now`; its form was checked.

        A purge was accepted `age` ago by the first front that is known to have. Raise InvalidEventError for
        a purge that is too long to be kept.
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
        """The list as one event with all its members."""
        members = list(self.members.values())
        return {
            "seq": self.revision.number,
            "fleet": {"revision": self.fleet_revision, "complete": True, "members": members},
        }

    def pack(self, now: int = 0) -> bytes:
        """Bytes to save or send at `now`; each purge with its age."""
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
    """The list of packed bytes at `now`, at most `max_bytes` unpacked; raise InvalidEventError.

    What an older program packed has no ages: its purges count as new.
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
            raise InvalidEventError("no place")
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise InvalidEventError(f"damaged: {type(error).__name__}") from None
    unpacked.revision = Revision(generation, number)
    return unpacked


def _decompress(data: bytes, max_bytes: int) -> bytes:
    """The JSON text in packed bytes; raise InvalidEventError. No more than `max_bytes` are unpacked."""
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
    """How many datagrams carry packed bytes."""
    return max(1, -(-len(data) // CHUNK_BYTES))


def snapshot_digest(data: bytes) -> bytes:
    """The digest that goes with each chunk of packed bytes."""
    return blake2b(data, digest_size=SNAPSHOT_DIGEST_BYTES).digest()
