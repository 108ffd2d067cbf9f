"""A list as it stands: members, number, the purges that still matter; checked before it is changed, packed to
be saved or sent.

Purges are kept by time and bounded in bytes (`window.RecentPurges`), never by a count. Free of I/O.
"""

import json
import zlib
from hashlib import blake2b

from limepath.discovery.event_checks import InvalidEventError, json_digest, parse_event
from limepath.discovery.event_coding import decode_event
from limepath.discovery.event_window import RecentPurges
from limepath.discovery.interface import Revision
from limepath.discovery.varint import CodingError
from limepath.hashing import MASK_64

FORMAT_TAG = b"LPL1"
PURGE_RETENTION_US = 600_000_000  # microseconds for which a purge is kept, where nothing else is told
MAX_PURGE_BYTES = 4_000_000  # of them, coded
CHUNK_BYTES = 1000  # bytes of a packed list in one datagram


class EndpointList:
    """`place` is (generation, number); (0, 0) until something was taken. Purges are kept for `kept_for`."""

    def __init__(self, kept_for=PURGE_RETENTION_US):
        self.place = Revision()
        self.members = {}
        self.revision = 0
        self.digest = 0
        self.purges = RecentPurges(kept_for, 0, MAX_PURGE_BYTES)

    def take(self, told, now=0, age=0):
        """Take the event that follows, at `now`; its form was checked. A purge was accepted `age` ago by the
        first front that is known to have.
        """
        if "fleet" in told:
            fleet = told["fleet"]
            if fleet.get("complete"):
                self.members = {}
                self.digest = 0
            for member in fleet["members"]:
                self.put(member)
            self.revision = fleet.get("revision", 0) if isinstance(fleet.get("revision", 0), int) else 0
        elif "invalidate" in told:
            try:
                self.purges.add(now, told, json.dumps(told), age)
            except CodingError as error:
                raise InvalidEventError(f"purge {told['seq']}: {error}") from None
        self.place = Revision(self.place.generation, told["seq"])

    def put(self, member):
        if (old := self.members.pop(member["id"], None)) is not None:
            self.digest ^= json_digest(old)
        if member["phase"] != "terminated":
            self.members[member["id"]] = member
            self.digest ^= json_digest(member)
        self.digest &= MASK_64

    def whole(self):
        """The list as one event that tells all its members."""
        return {
            "seq": self.place.number,
            "fleet": {"revision": self.revision, "complete": True, "members": list(self.members.values())},
        }

    def packed(self, now=0):
        """Bytes to save or send at `now`; each purge with its age.

        >>> one = EndpointList()
        >>> one.take(parse_event('{"seq": 7, "fleet": {"complete": true, "revision": 2, "members": [{"id": "s-1", '
        ...                 '"host_port": "127.0.0.1:9", "locality": "sur", '
        ...                 '"flavor": "box", "phase": "in_service"}]}}'))
        >>> one.take(parse_event('{"seq": 8, "invalidate": {"bucket": 17, "time": 5}}'))
        >>> two = unpack_list(one.packed(), 10_000)
        >>> two.place, two.digest == one.digest, len(two.purges), two.whole() == one.whole()
        (Revision(generation=0, number=8), True, 1, True)
        >>> image = one.packed()
        >>> for spoilt in (b"", image[:-3], b"LPL1" + zlib.compress(b"[1]"), image[:60] + b"x" + image[60:]):
        ...     try:
        ...         unpack_list(spoilt, 10_000)
        ...     except InvalidEventError as flaw:
        ...         print(flaw)
        not a list of this program
        cut or damaged
        damaged: TypeError
        cut or damaged
        >>> unpack_list(one.packed(), 100)
        Traceback (most recent call last):
        limepath.discovery.event_checks.InvalidEventError: over 100 bytes
        """
        kept = self.purges.kept(now)
        purges, ages = [decode_event(one.encoded).told for one in kept], [one.age for one in kept]
        told = {"place": self.place, "whole": self.whole(), "purges": purges, "ages": ages}
        return FORMAT_TAG + zlib.compress(json.dumps(told, separators=(",", ":")).encode(), 6)


def unpack_list(data, longest, now=0, kept_for=PURGE_RETENTION_US):
    """The List of packed bytes at `now`, at most `longest` unpacked; raise InvalidEventError. What an older program
    packed tells no ages: its purges count as new.
    """
    if data[: len(FORMAT_TAG)] != FORMAT_TAG:
        raise InvalidEventError("not a list of this program")
    try:
        opening = zlib.decompressobj()
        text = opening.decompress(data[len(FORMAT_TAG) :], longest + 1)
    except zlib.error:
        raise InvalidEventError("cut or damaged") from None
    if len(text) > longest:
        raise InvalidEventError(f"over {longest} bytes")
    if not opening.eof:
        raise InvalidEventError("cut or damaged")
    try:
        told = json.loads(text)
        generation, number = told["place"]
        whole, purges = told["whole"], told["purges"]
        ages = told.get("ages") or [0] * len(purges)
        one = EndpointList(kept_for)
        one.take(parse_event(json.dumps(whole)), now)
        for event, age in zip(purges, ages, strict=True):
            one.take(parse_event(json.dumps(event)), now, max(0, int(age)))
        if min(generation, number) < 0 or type(generation) is not int or type(number) is not int:
            raise InvalidEventError("no place")
    except (ValueError, KeyError, TypeError, AttributeError) as flaw:
        raise InvalidEventError(f"damaged: {type(flaw).__name__}") from None
    one.place = Revision(generation, number)
    return one


def count_chunks(data):
    """How many datagrams carry packed bytes."""
    return max(1, -(-len(data) // CHUNK_BYTES))


def snapshot_digest(data):
    return blake2b(data, digest_size=16).digest()
