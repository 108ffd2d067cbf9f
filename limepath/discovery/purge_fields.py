"""The fields of a purge that the compact form holds completely, and the JSON object that they stand for.

An object's name in a purge is a hexadecimal number. Only 16 digits in lower case come back as they were, so
another name, a negative or a huge number, or a field that is not known here has no fields: it goes as text.
"""

from typing import Any, NamedTuple


class PurgeFields(NamedTuple):
    """A purge. `time` is in milliseconds of the Unix clock, `target` the object's number or the bucket."""

    seq: int
    time: int
    target: int
    is_object: bool

    def event(self) -> dict[str, Any]:
        """The event's JSON object."""
        if self.is_object:
            return {"seq": self.seq, "invalidate": {"object": object_name(self.target), "time": self.time}}
        return {"seq": self.seq, "invalidate": {"bucket": self.target, "time": self.time}}

    def is_valid(self) -> bool:
        """Whether it is one that `purge_of` gives."""
        return is_uint63(self.seq) and is_uint63(self.time) and (self.is_object or is_uint63(self.target))


def purge_fields_of(event: dict[str, Any]) -> PurgeFields | None:
    """The fields of an event, None where they would not tell all of it."""
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
    """Whether this is a whole number of 63 bits; True and 1.0 are other JSON than 1."""
    return type(value) is int and 0 <= value < 1 << 63


def object_name(number: int) -> str:
    """The 16 digits of an object\'s number."""
    return f"{number:016x}"


def parse_object_name(name: Any) -> int:
    """The number of an object, however it is written; ValueError or TypeError where it is none."""
    return int(name, 16)


def canonical_object_number(name: object) -> int | None:
    """The number of an object that is named by its 16 digits, else None."""
    try:
        number = parse_object_name(name)
    except (ValueError, TypeError):
        return None
    return number if 0 <= number < 1 << 64 and object_name(number) == name else None
