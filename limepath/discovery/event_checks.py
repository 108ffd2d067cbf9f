"""Events of the list service: their form, checked before anything of them is used, and their digests.

An event is the service's JSON object: `seq` with `fleet` (members, `complete` for a whole list) or
`invalidate`. Free of I/O.
"""

import json
from hashlib import blake2b

PHASES = ("in_service", "terminating", "terminated")


class InvalidEventError(Exception):
    """What cannot be used; the text says why. Nothing of it was taken."""


def json_digest(told):
    """64 bits of one event or member, the same at every front."""
    return int.from_bytes(blake2b(json.dumps(told, sort_keys=True).encode(), digest_size=8).digest(), "big")


def parse_event(text):
    """Give the event of a text; raise InvalidEventError.

    >>> parse_event('{"seq": 3, "invalidate": {"bucket": 17, "time": 5}}')["seq"]
    3
    >>> for text in ("{", "[]", '{"seq": "x"}', '{"seq": 2, "fleet": {"members": [{"id": ""}]}}',
    ...              '{"seq": 2, "invalidate": {"time": 5}}',
    ...              '{"seq": 2, "invalidate": {"object": "xyz", "time": 5}}'):
    ...     try:
    ...         parse_event(text)
    ...     except InvalidEventError as flaw:
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
        raise InvalidEventError("no JSON") from None
    if not isinstance(told, dict) or type(told.get("seq")) is not int or told["seq"] < 0:
        raise InvalidEventError("no numbered event")
    if "fleet" in told:
        fleet = told["fleet"]
        if not isinstance(fleet, dict) or not isinstance(fleet.get("members"), list):
            raise InvalidEventError("fleet without members")
        for member in fleet["members"]:
            check_member(member)
    elif "invalidate" in told:
        check_purge(told["invalidate"])
    return told


def check_member(member):
    if not isinstance(member, dict):
        raise InvalidEventError("a member that is no object")
    name = member.get("id")
    if not isinstance(name, str) or not 0 < len(name) <= 64:
        raise InvalidEventError(f"member {str(name)[:20]!r}: no id")
    host, _, port = str(member.get("host_port", "")).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise InvalidEventError(f"member {name!r}: no address with a port")
    if member.get("phase") not in PHASES:
        raise InvalidEventError(f"member {name!r}: phase {str(member.get('phase'))[:20]!r}")
    for key in ("locality", "flavor"):
        if not isinstance(member.get(key), str):
            raise InvalidEventError(f"member {name!r}: no {key}")
    for key in ("up_since_ms", "cell", "size"):
        if not isinstance(member.get(key, 0), (int, float)) or not 0 <= member.get(key, 0) < 1 << 53:
            raise InvalidEventError(f"member {name!r}: {key}")


def check_purge(purge):
    if not isinstance(purge, dict) or type(purge.get("time")) is not int:
        raise InvalidEventError("purge without its time")
    if "object" in purge:
        try:
            int(purge["object"], 16)
        except (ValueError, TypeError):
            raise InvalidEventError(f"purge of {str(purge['object'])[:20]!r}") from None
    elif type(purge.get("bucket")) is not int:
        raise InvalidEventError("purge without object and bucket")
