"""A list as it stands: members, number, the purges that still matter; checked before it is changed, packed to
be saved or sent.

Purges are kept by time and bounded in bytes (`window.RecentPurges`), never by a count. Free of I/O.
"""

import json
import zlib
from hashlib import blake2b

from limepath.discovery.coding import decode
from limepath.discovery.events import BadList, parsed, summary
from limepath.discovery.integers import CodingError
from limepath.discovery.interface import Revision
from limepath.discovery.window import RecentPurges
from limepath.hashing import MASK_64

FORM = b"LPL1"
PURGES_KEPT = 600_000_000  # microseconds for which a purge is kept, where nothing else is told
PURGE_BYTES = 4_000_000  # of them, coded
DATA = 1000  # bytes of a packed list in one datagram


class List:
    """`place` is (generation, number); (0, 0) until something was taken. Purges are kept for `kept_for`."""

    def __init__(self, kept_for=PURGES_KEPT):
        self.place = Revision()
        self.members = {}
        self.revision = 0
        self.digest = 0
        self.purges = RecentPurges(kept_for, 0, PURGE_BYTES)

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
                raise BadList(f"purge {told['seq']}: {error}") from None
        self.place = Revision(self.place.generation, told["seq"])

    def put(self, member):
        if (old := self.members.pop(member["id"], None)) is not None:
            self.digest ^= summary(old)
        if member["phase"] != "terminated":
            self.members[member["id"]] = member
            self.digest ^= summary(member)
        self.digest &= MASK_64

    def whole(self):
        """The list as one event that tells all its members."""
        return {
            "seq": self.place.number,
            "fleet": {"revision": self.revision, "complete": True, "members": list(self.members.values())},
        }

    def packed(self, now=0):
        """Bytes to save or send at `now`; each purge with its age.

        >>> one = List()
        >>> one.take(parsed('{"seq": 7, "fleet": {"complete": true, "revision": 2, "members": [{"id": "s-1", '
        ...                 '"host_port": "127.0.0.1:9", "locality": "sur", '
        ...                 '"flavor": "box", "phase": "in_service"}]}}'))
        >>> one.take(parsed('{"seq": 8, "invalidate": {"bucket": 17, "time": 5}}'))
        >>> two = unpacked(one.packed(), 10_000)
        >>> two.place, two.digest == one.digest, len(two.purges), two.whole() == one.whole()
        (Place(generation=0, number=8), True, 1, True)
        >>> image = one.packed()
        >>> for spoilt in (b"", image[:-3], b"LPL1" + zlib.compress(b"[1]"), image[:60] + b"x" + image[60:]):
        ...     try:
        ...         unpacked(spoilt, 10_000)
        ...     except BadList as flaw:
        ...         print(flaw)
        not a list of this program
        cut or damaged
        damaged: TypeError
        cut or damaged
        >>> unpacked(one.packed(), 100)
        Traceback (most recent call last):
        limepath.discovery.events.BadList: over 100 bytes
        """
        kept = self.purges.kept(now)
        purges, ages = [decode(one.encoded).told for one in kept], [one.age for one in kept]
        told = {"place": self.place, "whole": self.whole(), "purges": purges, "ages": ages}
        return FORM + zlib.compress(json.dumps(told, separators=(",", ":")).encode(), 6)


def unpacked(data, longest, now=0, kept_for=PURGES_KEPT):
    """The List of packed bytes at `now`, at most `longest` unpacked; raise BadList. What an older program
    packed tells no ages: its purges count as new.
    """
    if data[: len(FORM)] != FORM:
        raise BadList("not a list of this program")
    try:
        opening = zlib.decompressobj()
        text = opening.decompress(data[len(FORM) :], longest + 1)
    except zlib.error:
        raise BadList("cut or damaged") from None
    if len(text) > longest:
        raise BadList(f"over {longest} bytes")
    if not opening.eof:
        raise BadList("cut or damaged")
    try:
        told = json.loads(text)
        generation, number = told["place"]
        whole, purges = told["whole"], told["purges"]
        ages = told.get("ages") or [0] * len(purges)
        one = List(kept_for)
        one.take(parsed(json.dumps(whole)), now)
        for event, age in zip(purges, ages, strict=True):
            one.take(parsed(json.dumps(event)), now, max(0, int(age)))
        if min(generation, number) < 0 or type(generation) is not int or type(number) is not int:
            raise BadList("no place")
    except (ValueError, KeyError, TypeError, AttributeError) as flaw:
        raise BadList(f"damaged: {type(flaw).__name__}") from None
    one.place = Revision(generation, number)
    return one


def packed_size(data):
    """How many datagrams carry packed bytes."""
    return max(1, -(-len(data) // DATA))


def mark_of(data):
    return blake2b(data, digest_size=16).digest()
