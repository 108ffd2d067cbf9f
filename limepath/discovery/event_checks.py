"""Validates the events of the list service before they are applied, and computes their digests.

An event is a JSON object with `seq` and either `fleet` (`members`, and `complete` for a whole list) or
`invalidate`. Performs no I/O.
"""

import json
from hashlib import blake2b
from typing import Any

PHASES = ("in_service", "terminating", "terminated")
MAX_NAME_LENGTH = 64  # characters of a member's id
PORT_END = 65_536
EXACT_INT_END = 1 << 53  # smaller integers are exact in every JSON parser
DIGEST_BYTES = 8
MAX_QUOTE_LENGTH = 20  # maximum number of characters of an invalid value in an error message


class InvalidEventError(Exception):
    """Raised for an invalid event or list, of which nothing was applied; the message states the reason."""


def json_digest(value: Any) -> int:
    """Return a 64-bit digest of an event or member, which is the same on every front."""
    text = json.dumps(value, sort_keys=True)
    return int.from_bytes(blake2b(text.encode(), digest_size=DIGEST_BYTES).digest(), "big")


def parse_event(text: str) -> dict[str, Any]:
    """Parse and validate an event; raise InvalidEventError if it is malformed."""
    try:
        event = json.loads(text)
    except (ValueError, RecursionError):
        raise InvalidEventError("event is not valid JSON") from None
    if not isinstance(event, dict) or type(event.get("seq")) is not int or event["seq"] < 0:
        raise InvalidEventError("event without 'seq', an integer of 0 or more")
    if "fleet" in event:
        fleet = event["fleet"]
        if not isinstance(fleet, dict) or not isinstance(fleet.get("members"), list):
            raise InvalidEventError("'fleet' without a list of 'members'")
        for member in fleet["members"]:
            check_member(member)
    elif "invalidate" in event:
        check_purge(event["invalidate"])
    return event


def check_member(member: Any) -> None:
    """Raise InvalidEventError if a member of a list is malformed."""
    if not isinstance(member, dict):
        raise InvalidEventError("member is not a JSON object")
    name = member.get("id")
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_LENGTH:
        raise InvalidEventError(
            f"member {str(name)[:MAX_QUOTE_LENGTH]!r}: "
            f"'id' is not a string of 1 to {MAX_NAME_LENGTH} characters"
        )
    host, _, port = str(member.get("host_port", "")).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < PORT_END:
        raise InvalidEventError(f"member {name!r}: 'host_port' is not an address with a port")
    if member.get("phase") not in PHASES:
        raise InvalidEventError(
            f"member {name!r}: unknown phase {str(member.get('phase'))[:MAX_QUOTE_LENGTH]!r}"
        )
    for key in ("locality", "flavor"):
        if not isinstance(member.get(key), str):
            raise InvalidEventError(f"member {name!r}: {key!r} is not a string")
    for key in ("up_since_ms", "cell", "size"):
        if not isinstance(member.get(key, 0), (int, float)) or not 0 <= member.get(key, 0) < EXACT_INT_END:
            raise InvalidEventError(f"member {name!r}: {key!r} is not a number from 0 to 2**53 - 1")


def check_purge(purge: Any) -> None:
    """Raise InvalidEventError if a purge names no object or bucket, or has no time."""
    if not isinstance(purge, dict) or type(purge.get("time")) is not int:
        raise InvalidEventError("purge without 'time', an integer")
    if "object" in purge:
        try:
            int(purge["object"], 16)
        except (ValueError, TypeError):
            raise InvalidEventError(
                f"purge: object {str(purge['object'])[:MAX_QUOTE_LENGTH]!r} is not a hexadecimal number"
            ) from None
    elif type(purge.get("bucket")) is not int:
        raise InvalidEventError("purge with neither 'object' nor 'bucket'")
