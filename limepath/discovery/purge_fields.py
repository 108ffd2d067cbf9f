"""The fields of a purge in its compact encoding, and their conversion from and to the JSON object.

A purge names an object by a hexadecimal number. Only a name of 16 lower-case digits is restored exactly, so a
purge with another name, a negative number, a number over 63 bits or an unknown field has no compact encoding
and is sent as text.
"""

from typing import Any, NamedTuple


class PurgeFields(NamedTuple):
    """A purge: `time` is in milliseconds of Unix time, `target` is the number of the object or bucket."""

    seq: int
    time: int
    target: int
    is_object: bool

    def event(self) -> dict[str, Any]:
        """Return the event's JSON object."""
        if self.is_object:
            return {"seq": self.seq, "invalidate": {"object": object_name(self.target), "time": self.time}}
        return {"seq": self.seq, "invalidate": {"bucket": self.target, "time": self.time}}

    def is_valid(self) -> bool:
        """Return whether all numbers are in the ranges of the compact encoding."""
        return is_uint63(self.seq) and is_uint63(self.time) and (self.is_object or is_uint63(self.target))


def purge_fields_of(event: dict[str, Any]) -> PurgeFields | None:
    """Return the fields of a purge event, or None if they would not represent the event completely."""
    purge = event.get("invalidate")
    if event.keys() != {"seq", "invalidate"} or not isinstance(purge, dict):
        return None
    if purge.keys() == {"object", "time"}:
        target, is_object = canonical_object_number(purge["object"]), True
    elif purge.keys() == {"bucket", "time"}:
        target, is_object = purge["bucket"], False
    else:
        return None
    fields = PurgeFields(event["seq"], purge["time"], target, is_object)
    return fields if target is not None and fields.is_valid() else None


def is_uint63(value: object) -> bool:
    """Return whether a value is an integer of at most 63 bits.

    True and 1.0 are not, since their JSON differs from that of 1.
    """
    return type(value) is int and 0 <= value < 1 << 63


def object_name(number: int) -> str:
    """Return the canonical name of an object, the 16 hexadecimal digits of its number."""
    return f"{number:016x}"


def parse_object_name(name: Any) -> int:
    """Return the number of an object in any notation; raise ValueError or TypeError if there is none."""
    return int(name, 16)


def canonical_object_number(name: object) -> int | None:
    """Return the number of an object, or None if the name is not canonical."""
    try:
        number = parse_object_name(name)
    except (ValueError, TypeError):
        return None
    return number if 0 <= number < 1 << 64 and object_name(number) == name else None
