"""Keeps the purges whose purged copies may still be cached at some front.

Purges are kept for a period of time, up to a total size as encoded by `event_coding.encode_event`; the class
reports whether the size limit evicted purges early. Times are integers in microseconds, passed in by the
caller. Performs no I/O.
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
    """The target of a purge: `kind` is "object" or "bucket", `number` is that of the object or bucket."""

    kind: str
    number: int


class AgedPurge(NamedTuple):
    """A purge, its event number and its age: the time since a front first accepted it, as far as known."""

    number: int
    age: int
    encoded: bytes


class RetainedPurge(NamedTuple):
    """A purge and its record in the saved list.

    `record` contains the time when the purge was accepted, the length of `encoded`, and `encoded`. It is
    encoded only once, because a list of thousands of purges is saved every second.
    """

    accepted: int
    number: int
    encoded: bytes
    record: bytes


class RecentPurges:
    """The latest purge of each object and bucket, until its copies are gone from all caches.

    `copy_lifetime` is how long copies remain after a purge. A front may receive a purge up to `span` late,
    the longest partition, and must be able to get it then: each purge is kept for `copy_lifetime + span`
    after it was accepted. Purges from another front keep their age, since restarts would otherwise keep them
    forever.
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
        """Return whether this purge or a later one of the same target is kept."""
        purge = self.purges.get(purge_target(event))
        return purge is not None and purge.number >= event["seq"]

    def add(self, now: int, event: dict[str, Any], text: str, age: int = 0) -> None:
        """Add a validated purge that a front first accepted `age` microseconds ago, as far as known.

        Raise OversizedError if it is too long.
        """
        self._store(now, now - age, event, encode_event(event, text))

    def add_aged(self, now: int, purge: AgedPurge) -> None:
        """Add a purge that another front sent; raise CodingError if it is invalid."""
        event = decode_event(purge.encoded).body
        if "invalidate" not in event or event["seq"] != purge.number:
            raise CodingError(f"event {event['seq']} is not a purge with number {purge.number}")
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
        """Return whether copies from before a purge may remain at any front."""
        return now - accepted <= self.retention

    def expire(self, now: int) -> None:
        """Drop the purges whose copies are gone, and the oldest purges while the size limit is exceeded."""
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
        """Drop all purges, because the numbers of a list of a later generation are unrelated to theirs."""
        self.purges.clear()
        self.bytes = 0

    def retained(self, now: int) -> tuple[AgedPurge, ...]:
        """Return the relevant purges with their ages, in the order in which they were added."""
        self.expire(now)
        relevant = [purge for purge in self.purges.values() if self._is_relevant(now, purge.accepted)]
        return tuple(AgedPurge(purge.number, now - purge.accepted, purge.encoded) for purge in relevant)

    def image(self, now: int) -> bytes:
        """Return the purges in saved form: the current time, followed by the record of each purge."""
        self.expire(now)
        saved_at = encode_varint(zigzag_encode(now))
        return saved_at + b"".join(purge.record for purge in self.purges.values())

    def load(self, now: int, image: bytes) -> None:
        """Add the purges that an earlier run of this front saved; raise CodingError without adding any.

        The time between the runs is not added to the ages, so that purges may be kept longer than necessary.
        """
        reader = ByteReader(image)
        loaded = []
        saved_at = zigzag_decode(reader.integer())
        while reader.left():
            accepted = zigzag_decode(reader.integer())
            encoded = reader.take(reader.integer())
            event = decode_event(encoded).body
            if accepted > saved_at or "invalidate" not in event:
                raise DamagedError(
                    f"saved event {event['seq']} is not a purge, or it was accepted after it was saved"
                )
            loaded.append((saved_at - accepted, event, encoded))
        for age, event, encoded in loaded:
            self._store(now, now - age, event, encoded)

    def values(self) -> Iterator[dict[str, Any]]:
        """Return the JSON objects of the events, in the order in which they were added."""
        return (decode_event(purge.encoded).body for purge in self.purges.values())

    def is_cut_short(self, now: int) -> bool:
        """Return whether the size limit evicted a purge whose copies may remain."""
        return self.evictions.is_current(now)


def purge_target(event: dict[str, Any]) -> PurgeTarget:
    """Return the target of a purge; all notations of an object's number give the same target."""
    purge = event["invalidate"]
    if "object" in purge:
        return PurgeTarget("object", parse_object_name(purge["object"]))
    return PurgeTarget("bucket", purge["bucket"])
