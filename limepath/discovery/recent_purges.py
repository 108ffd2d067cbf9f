"""The purges whose old copies may still be cached somewhere.

Sized by time, bounded in bytes of what `event_coding.encode_event` gave; it says where that bound made it
forget purges early. Times are whole microseconds and handed in. Free of I/O.
"""

from collections import OrderedDict
from collections.abc import Iterator
from typing import Any, NamedTuple

from limepath.discovery.event_coding import decode_event, encode_event
from limepath.discovery.event_window import EarlyEviction
from limepath.discovery.purge_fields import parse_object_name
from limepath.discovery.varint import (
    ByteReader,
    CodingError,
    DamagedError,
    encode_varint,
    zigzag_decode,
    zigzag_encode,
)


class PurgeTarget(NamedTuple):
    """What a purge removes: `kind` is "object" or "bucket", `number` that of either."""

    kind: str
    number: int


class AgedPurge(NamedTuple):
    """`number` is its event's, `age` how long ago the first front that is known to have accepted it did."""

    number: int
    age: int
    encoded: bytes


class RetainedPurge(NamedTuple):
    """A purge with the bytes in which it is saved.

    `record` holds the time when it was accepted, the length of `encoded`, and `encoded`. It is made once,
    for there are thousands in a list that is saved every second.
    """

    accepted: int
    number: int
    encoded: bytes
    record: bytes


class RecentPurges:
    """The latest purge of each object and bucket, until its copies are gone everywhere.

    `copy_lifetime` is how long copies last after a purge. A front may hear of it the span of a cut later,
    so that one which asks then has to be sent it: each is kept for `copy_lifetime + span` after it was
    accepted. What comes from another front brings its age along, else restarts would keep purges for ever.
    """

    def __init__(self, copy_lifetime: int, span: int, max_bytes: int):
        self.retention: int = copy_lifetime + span
        self.max_bytes = max_bytes
        self.purges: OrderedDict[PurgeTarget, RetainedPurge] = OrderedDict()
        self.bytes: int = 0
        self.evictions = EarlyEviction(self.retention)

    def __len__(self) -> int:
        return len(self.purges)

    def __contains__(self, event: dict[str, Any]) -> bool:
        """Whether this purge or a later one of the same target is kept."""
        purge = self.purges.get(purge_target(event))
        return purge is not None and purge.number >= event["seq"]

    def add(self, now: int, event: dict[str, Any], text: str, age: int = 0) -> None:
        """Add a purge whose form was checked, accepted `age` ago by the first front that is known to have.

        Raise OversizedError where it is too long.
        """
        self._store(now, now - age, event, encode_event(event, text))

    def add_aged(self, now: int, purge: AgedPurge) -> None:
        """Add a purge as another front keeps it; raise CodingError."""
        event = decode_event(purge.encoded).body
        if "invalidate" not in event or event["seq"] != purge.number:
            raise CodingError(f"event {event['seq']} is not purge {purge.number}")
        self._store(now, now - purge.age, event, purge.encoded)

    def _store(self, now: int, accepted: int, event: dict[str, Any], encoded: bytes) -> None:
        if self._is_relevant(now, accepted) and event not in self:
            target = purge_target(event)
            if target in self.purges:
                self._drop(target)
            record = encode_varint(zigzag_encode(accepted)) + encode_varint(len(encoded)) + encoded
            self.purges[target] = RetainedPurge(accepted, event["seq"], encoded, record)
            self.bytes += len(encoded)
        self.expire(now)

    def _is_relevant(self, now: int, accepted: int) -> bool:
        """Whether copies from before a purge may be left anywhere."""
        return now - accepted <= self.retention

    def expire(self, now: int) -> None:
        """Drop the purges whose copies are gone everywhere, and where bytes are short the oldest."""
        while self.purges:
            target, purge = next(iter(self.purges.items()))
            if self._is_relevant(now, purge.accepted):
                if self.bytes <= self.max_bytes:
                    return
                self.evictions.record(purge.accepted)
            self._drop(target)

    def _drop(self, target: PurgeTarget) -> None:
        self.bytes -= len(self.purges.pop(target).encoded)

    def clear(self) -> None:
        """Drop all: a list of a later generation takes their place, whose numbers say nothing of these."""
        self.purges.clear()
        self.bytes = 0

    def retained(self, now: int) -> tuple[AgedPurge, ...]:
        """All purges that are relevant with their ages, in the order in which they came."""
        self.expire(now)
        relevant = [purge for purge in self.purges.values() if self._is_relevant(now, purge.accepted)]
        return tuple(AgedPurge(purge.number, now - purge.accepted, purge.encoded) for purge in relevant)

    def image(self, now: int) -> bytes:
        """All purges to be saved: the time now, and a record of each."""
        self.expire(now)
        saved_at = encode_varint(zigzag_encode(now))
        return saved_at + b"".join(purge.record for purge in self.purges.values())

    def load(self, now: int, image: bytes) -> None:
        """Add what an earlier run of this front saved; raise CodingError, and then nothing of it is added.

        The time between the runs counts for nothing, so that they are kept for longer than they have to be.
        """
        reader = ByteReader(image)
        found = []
        saved_at = zigzag_decode(reader.integer())
        while reader.left():
            accepted = zigzag_decode(reader.integer())
            encoded = reader.take(reader.integer())
            event = decode_event(encoded).body
            if accepted > saved_at or "invalidate" not in event:
                raise DamagedError(f"event {event['seq']} among the saved purges")
            found.append((saved_at - accepted, event, encoded))
        for age, event, encoded in found:
            self._store(now, now - age, event, encoded)

    def values(self) -> Iterator[dict[str, Any]]:
        """The events' JSON objects, in the order in which they came."""
        return (decode_event(purge.encoded).body for purge in self.purges.values())

    def is_cut_short(self, now: int) -> bool:
        """Whether the bound in bytes evicted a purge of which copies may be left."""
        return self.evictions.is_current(now)


def purge_target(event: dict[str, Any]) -> PurgeTarget:
    """What an event purges: one object however its number was written, or a bucket."""
    purge = event["invalidate"]
    if "object" in purge:
        return PurgeTarget("object", parse_object_name(purge["object"]))
    return PurgeTarget("bucket", purge["bucket"])
