"""Events of the list service: their form, checked before anything of them is used, and their digests.

An event is the service's JSON object: `seq` with `fleet` (members, `complete` for a whole list) or
`invalidate`. Free of I/O.
"""

import json
from hashlib import blake2b
from typing import Any

PHASES = ("in_service", "terminating", "terminated")
MAX_NAME_LENGTH = 64  # characters of a member's id
PORT_END = 65_536
NUMBER_END = 1 << 53  # numbers below are the same in every JSON reader
DIGEST_BYTES = 8
QUOTED = 20  # characters of a bad value in an error's text


class InvalidEventError(Exception):
    """An event or list that cannot be used; the text says why. Nothing of it was applied."""


def json_digest(value: Any) -> int:
    """64 bits of one event or member, the same at every front."""
    text = json.dumps(value, sort_keys=True)
    return int.from_bytes(blake2b(text.encode(), digest_size=DIGEST_BYTES).digest(), "big")


def parse_event(text: str) -> dict[str, Any]:
    """The event of a JSON text; raise InvalidEventError where its form is not that of the service."""
    try:
        event = json.loads(text)
    except (ValueError, RecursionError):
        raise InvalidEventError("no JSON") from None
    if not isinstance(event, dict) or type(event.get("seq")) is not int or event["seq"] < 0:
        raise InvalidEventError("no numbered event")
    if "fleet" in event:
        fleet = event["fleet"]
        if not isinstance(fleet, dict) or not isinstance(fleet.get("members"), list):
            raise InvalidEventError("fleet without members")
        for member in fleet["members"]:
            check_member(member)
    elif "invalidate" in event:
        check_purge(event["invalidate"])
    return event


def check_member(member: Any) -> None:
    """Raise InvalidEventError for what is no member of a list."""
    if not isinstance(member, dict):
        raise InvalidEventError("a member that is no object")
    name = member.get("id")
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_LENGTH:
        raise InvalidEventError(f"member {str(name)[:QUOTED]!r}: no id")
    host, _, port = str(member.get("host_port", "")).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < PORT_END:
        raise InvalidEventError(f"member {name!r}: no address with a port")
    if member.get("phase") not in PHASES:
        raise InvalidEventError(f"member {name!r}: phase {str(member.get('phase'))[:QUOTED]!r}")
    for key in ("locality", "flavor"):
        if not isinstance(member.get(key), str):
            raise InvalidEventError(f"member {name!r}: no {key}")
    for key in ("up_since_ms", "cell", "size"):
        if not isinstance(member.get(key, 0), (int, float)) or not 0 <= member.get(key, 0) < NUMBER_END:
            raise InvalidEventError(f"member {name!r}: {key}")


def check_purge(purge: Any) -> None:
    """Raise InvalidEventError for what is no purge of an object or a bucket."""
    if not isinstance(purge, dict) or type(purge.get("time")) is not int:
        raise InvalidEventError("purge without its time")
    if "object" in purge:
        try:
            int(purge["object"], 16)
        except (ValueError, TypeError):
            raise InvalidEventError(f"purge of {str(purge['object'])[:QUOTED]!r}") from None
    elif type(purge.get("bucket")) is not int:
        raise InvalidEventError("purge without object and bucket")
