"""A list as it stands: members, number, the purges that still matter; checked before it is changed, packed to
be saved or sent.

Free of I/O. An event is the service's JSON object: `seq` with `fleet` (members, `complete` for a whole list)
or `invalidate`.
"""

import json
import zlib
from collections import OrderedDict
from hashlib import blake2b

from limepath.agenda import MIX
from limepath.listing.interface import Place

FORM = b"LPL1"
PHASES = ("in_service", "terminating", "terminated")
KEPT_PURGES = 4096
DATA = 1000  # bytes of a packed list in one datagram


class BadList(Exception):
    """What cannot be used; the text says why. Nothing of it was taken."""


def summary(told):
    """64 bits of one event or member, the same at every front."""
    return int.from_bytes(blake2b(json.dumps(told, sort_keys=True).encode(), digest_size=8).digest(), "big")


def parsed(text):
    """Give the event of a text; raise BadList.

    >>> parsed('{"seq": 3, "invalidate": {"bucket": 17, "time": 5}}')["seq"]
    3
    >>> for text in ("{", "[]", '{"seq": "x"}', '{"seq": 2, "fleet": {"members": [{"id": ""}]}}',
    ...              '{"seq": 2, "invalidate": {"time": 5}}',
    ...              '{"seq": 2, "invalidate": {"object": "xyz", "time": 5}}'):
    ...     try:
    ...         parsed(text)
    ...     except BadList as flaw:
    ...         print(flaw)
    no JSON
    no numbered event
    no numbered event
    member '': no id
    purge without object and bucket
    purge of 'xyz'
    """
    try:
        told = json.loads(text)
    except (ValueError, RecursionError):
        raise BadList("no JSON") from None
    if not isinstance(told, dict) or type(told.get("seq")) is not int or told["seq"] < 0:
        raise BadList("no numbered event")
    if "fleet" in told:
        fleet = told["fleet"]
        if not isinstance(fleet, dict) or not isinstance(fleet.get("members"), list):
            raise BadList("fleet without members")
        for member in fleet["members"]:
            check_member(member)
    elif "invalidate" in told:
        check_purge(told["invalidate"])
    return told


def check_member(member):
    if not isinstance(member, dict):
        raise BadList("a member that is no object")
    name = member.get("id")
    if not isinstance(name, str) or not 0 < len(name) <= 64:
        raise BadList(f"member {str(name)[:20]!r}: no id")
    host, _, port = str(member.get("host_port", "")).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise BadList(f"member {name!r}: no address with a port")
    if member.get("phase") not in PHASES:
        raise BadList(f"member {name!r}: phase {str(member.get('phase'))[:20]!r}")
    for key in ("locality", "flavor"):
        if not isinstance(member.get(key), str):
            raise BadList(f"member {name!r}: no {key}")
    for key in ("up_since_ms", "cell", "size"):
        if not isinstance(member.get(key, 0), (int, float)) or not 0 <= member.get(key, 0) < 1 << 53:
            raise BadList(f"member {name!r}: {key}")


def check_purge(purge):
    if not isinstance(purge, dict) or type(purge.get("time")) is not int:
        raise BadList("purge without its time")
    if "object" in purge:
        try:
            int(purge["object"], 16)
        except (ValueError, TypeError):
            raise BadList(f"purge of {str(purge['object'])[:20]!r}") from None
    elif type(purge.get("bucket")) is not int:
        raise BadList("purge without object and bucket")


class List:
    """`place` is (generation, number); (0, 0) until something was taken."""

    def __init__(self):
        self.place, self.members, self.revision, self.digest = Place(), {}, 0, 0
        self.purges = OrderedDict()  # what was purged to the latest event

    def take(self, told):
        """Take the event that follows; its form was checked."""
        if "fleet" in told:
            fleet = told["fleet"]
            if fleet.get("complete"):
                self.members, self.digest = {}, 0
            for member in fleet["members"]:
                self.put(member)
            self.revision = fleet.get("revision", 0) if isinstance(fleet.get("revision", 0), int) else 0
        elif "invalidate" in told:
            purge = told["invalidate"]
            name = "object" in purge, purge.get("object", purge.get("bucket"))
            self.purges.pop(name, None)
            self.purges[name] = told
            if len(self.purges) > KEPT_PURGES:
                self.purges.popitem(last=False)
        self.place = Place(self.place.generation, told["seq"])

    def put(self, member):
        if (old := self.members.pop(member["id"], None)) is not None:
            self.digest ^= summary(old)
        if member["phase"] != "terminated":
            self.members[member["id"]] = member
            self.digest ^= summary(member)
        self.digest &= MIX

    def whole(self):
        """The list as one event that tells all its members."""
        return {
            "seq": self.place.number,
            "fleet": {"revision": self.revision, "complete": True, "members": list(self.members.values())},
        }

    def packed(self):
        """Bytes to save or send.

        >>> one = List()
        >>> one.take(parsed('{"seq": 7, "fleet": {"complete": true, "revision": 2, "members": [{"id": "s-1", '
        ...                 '"host_port": "127.0.0.1:9", "locality": "sur", '
        ...                 '"flavor": "box", "phase": "in_service"}]}}'))
        >>> one.take(parsed('{"seq": 8, "invalidate": {"bucket": 17, "time": 5}}'))
        >>> two = unpacked(one.packed(), 10_000)
        >>> two.place, two.digest == one.digest, list(two.purges), two.whole() == one.whole()
        (Place(generation=0, number=8), True, [(False, 17)], True)
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
        limepath.listing.state.BadList: over 100 bytes
        """
        told = {"place": self.place, "whole": self.whole(), "purges": list(self.purges.values())}
        return FORM + zlib.compress(json.dumps(told, separators=(",", ":")).encode(), 6)


def unpacked(data, longest):
    """The List of packed bytes, at most `longest` unpacked; raise BadList."""
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
        one = List()
        for event in [whole, *purges]:
            one.take(parsed(json.dumps(event)))
        if min(generation, number) < 0 or type(generation) is not int or type(number) is not int:
            raise BadList("no place")
    except (ValueError, KeyError, TypeError, AttributeError) as flaw:
        raise BadList(f"damaged: {type(flaw).__name__}") from None
    one.place = Place(generation, number)
    return one


def packed_size(data):
    """How many datagrams carry packed bytes."""
    return max(1, -(-len(data) // DATA))


def mark_of(data):
    return blake2b(data, digest_size=16).digest()
