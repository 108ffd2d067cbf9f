"""What is kept of the events for fronts that are behind: the latest events, and the purges that still matter.

Both are sized by time. `span` is the longest cut between fronts that is to be bridged without the whole list.
Both have a bound in bytes of what `coding.encode` gave, and tell where it made them forget earlier: never in
silence. Times are whole microseconds and handed in. Free of I/O.
"""

from collections import OrderedDict
from collections.abc import Iterator
from typing import NamedTuple

from limepath.discovery.event_coding import decode_event, encode_event
from limepath.discovery.purge_fields import parse_object_name
from limepath.discovery.varint import (
    ByteReader,
    CodingError,
    DamagedError,
    encode_varint,
    zigzag_decode,
    zigzag_encode,
)


class CompactedError(Exception):
    """Events that are not in the window any more, or not yet."""


class WindowEvent(NamedTuple):
    """`accepted` is when this front accepted it, `digest` its `state.summary`."""

    accepted: int
    encoded: bytes
    digest: int


class EventWindow:
    """The events that were accepted within the last `span`, at most `most_bytes` of them together."""

    def __init__(self, span: int, most_bytes: int):
        self.span = span
        self.most_bytes = most_bytes
        self.events: dict[int, WindowEvent] = {}  # by number, which follow each other
        self.oldest = None
        self.newest = None  # the newest number stays known when its event is not held
        self.bytes = 0
        self.cut = EarlyEviction(span)

    @property
    def reaches(self) -> int | None:
        """The oldest number that is held, or None."""
        return self.oldest

    def __contains__(self, number: int) -> bool:
        return number in self.events

    def digest(self, number: int) -> int | None:
        """The digest of an event that is held, else None."""
        held = self.events.get(number)
        return held.digest if held else None

    def restart(self, number: int) -> None:
        """Begin anew behind this number: another list took the place of the one that the events led to, or
        an event has no bytes.
        """
        self.events = {}
        self.oldest = None
        self.newest = number
        self.bytes = 0

    def add(self, now: int, number: int, encoded: bytes, digest: int) -> None:
        """Take the next event in. ValueError where its number does not follow."""
        if self.newest is not None and number != self.newest + 1:
            raise ValueError(f"event {number} after {self.newest}")
        self.events[number] = WindowEvent(now, encoded, digest)
        self.newest = number
        self.oldest = number if self.oldest is None else self.oldest
        self.bytes += len(encoded)
        self.expire(now)
        while self.bytes > self.most_bytes:
            self.cut.made(self.drop().accepted)

    def expire(self, now: int) -> None:
        """Forget what is older than the span."""
        while self.events and now - self.events[self.oldest].accepted > self.span:
            self.drop()

    def drop(self) -> WindowEvent:
        held = self.events.pop(self.oldest)
        self.bytes -= len(held.encoded)
        self.oldest = self.oldest + 1 if self.events else None
        return held

    def covers(self, number: int) -> bool:
        """Whether all events after this number are held, or there are none."""
        if self.newest is None or number > self.newest:
            return False
        return number == self.newest or self.oldest is not None and number >= self.oldest - 1

    def since(self, number: int, most_bytes: int | None = None) -> tuple[bytes, ...]:
        """The events after this number in order, as many as have `most_bytes` together, but one at the
        least; raise CompactedError where not all of them are held.
        """
        if not self.covers(number):
            raise CompactedError(f"events after {number}: held from {self.oldest} to {self.newest}")
        found, size = [], 0
        for following in range(number + 1, self.newest + 1):
            encoded = self.events[following].encoded
            size += len(encoded)
            if found and most_bytes is not None and size > most_bytes:
                break
            found.append(encoded)
        return tuple(found)

    def cut_short(self, now: int) -> bool:
        """Whether the bound in bytes made it forget an event that the span would still keep."""
        return self.cut.lasts(now)


class EarlyEviction:
    """That a bound in bytes made something be forgotten before its time, which is `span` after `accepted`."""

    def __init__(self, span: int):
        self.span = span
        self.count = 0
        self.accepted = None

    def made(self, accepted: int) -> None:
        self.count += 1
        self.accepted = accepted if self.accepted is None else max(self.accepted, accepted)

    def lasts(self, now: int) -> bool:
        return self.accepted is not None and now - self.accepted <= self.span


class AgedPurge(NamedTuple):
    """`number` is its event's, `age` how long ago the first front that is known to have accepted it did."""

    number: int
    age: int
    encoded: bytes


class RetainedPurge(NamedTuple):
    """`record` is the purge as it is saved: the time when it was accepted, the length of what was encoded,
    and that. It is made once, for there are thousands in a list that is saved every second.
    """

    accepted: int
    number: int
    encoded: bytes
    record: bytes


class RecentPurges:
    """The latest purge of each object and bucket, until its copies are gone everywhere.

    `gone_everywhere` is how long copies last after a purge. A front may hear of it the span of a cut later,
    so that one which asks then has to be told: each is kept for `gone_everywhere + span` after it was
    accepted. What comes from another front brings its age along, else restarts would keep purges for ever.
    """

    def __init__(self, gone_everywhere: int, span: int, most_bytes: int):
        self.kept_for = gone_everywhere + span
        self.most_bytes = most_bytes
        self.purges: OrderedDict[tuple[str, int], RetainedPurge] = OrderedDict()
        self.bytes = 0
        self.cut = EarlyEviction(self.kept_for)

    def __len__(self) -> int:
        return len(self.purges)

    def __contains__(self, told: dict) -> bool:
        """Whether this purge or a later one of the same is kept."""
        held = self.purges.get(purge_target(told))
        return held is not None and held.number >= told["seq"]

    def add(self, now: int, told: dict, text: str, age: int = 0) -> None:
        """Take in a purge whose form was checked, accepted `age` ago by the first that is known; raise
        Oversized.
        """
        self.hold(now, now - age, told, encode_event(told, text))

    def add_kept(self, now: int, kept: AgedPurge) -> None:
        """Take in a purge as another front keeps it; raise CodingError."""
        told = decode_event(kept.encoded).told
        if "invalidate" not in told or told["seq"] != kept.number:
            raise CodingError(f"event {told['seq']} is not purge {kept.number}")
        self.hold(now, now - kept.age, told, kept.encoded)

    def hold(self, now: int, accepted: int, told: dict, encoded: bytes) -> None:
        if self.matters(now, accepted) and told not in self:
            target = purge_target(told)
            if target in self.purges:
                self.drop(target)
            record = encode_varint(zigzag_encode(accepted)) + encode_varint(len(encoded)) + encoded
            self.purges[target] = RetainedPurge(accepted, told["seq"], encoded, record)
            self.bytes += len(encoded)
        self.expire(now)

    def matters(self, now: int, accepted: int) -> bool:
        """Whether copies from before a purge may be left anywhere."""
        return now - accepted <= self.kept_for

    def expire(self, now: int) -> None:
        """Forget the purges whose copies are gone everywhere, and where bytes are short the oldest."""
        while self.purges:
            target, held = next(iter(self.purges.items()))
            if self.matters(now, held.accepted):
                if self.bytes <= self.most_bytes:
                    return
                self.cut.made(held.accepted)
            self.drop(target)

    def drop(self, target: tuple[str, int]) -> None:
        self.bytes -= len(self.purges.pop(target).encoded)

    def clear(self) -> None:
        """Forget all: a list of a later generation takes their place, whose numbers tell nothing of these."""
        self.purges.clear()
        self.bytes = 0

    def kept(self, now: int) -> tuple[AgedPurge, ...]:
        """All purges that matter with their ages, in the order in which they came."""
        self.expire(now)
        those = [held for held in self.purges.values() if self.matters(now, held.accepted)]
        return tuple(AgedPurge(held.number, now - held.accepted, held.encoded) for held in those)

    def image(self, now: int) -> bytes:
        """All purges to be saved: the time now, and a record of each."""
        self.expire(now)
        return encode_varint(zigzag_encode(now)) + b"".join(held.record for held in self.purges.values())

    def load(self, now: int, image: bytes) -> None:
        """Take in what another life of this front saved; raise CodingError, and then nothing of it. The time
        between the lives counts for nothing, so that they are kept for longer than they have to be.
        """
        reader, found = ByteReader(image), []
        saved = zigzag_decode(reader.integer())
        while reader.left():
            accepted = zigzag_decode(reader.integer())
            encoded = reader.take(reader.integer())
            told = decode_event(encoded).told
            if accepted > saved or "invalidate" not in told:
                raise DamagedError(f"event {told['seq']} among the saved purges")
            found.append((saved - accepted, told, encoded))
        for age, told, encoded in found:
            self.hold(now, now - age, told, encoded)

    def values(self) -> Iterator[dict]:
        """The events' JSON objects, in the order in which they came."""
        return (decode_event(held.encoded).told for held in self.purges.values())

    def cut_short(self, now: int) -> bool:
        """Whether the bound in bytes made it forget a purge of which copies may be left."""
        return self.cut.lasts(now)


def purge_target(told: dict) -> tuple[str, int]:
    """What an event purges: one object however its number was written, or a bucket."""
    purge = told["invalidate"]
    if "object" in purge:
        return "object", parse_object_name(purge["object"])
    return "bucket", purge["bucket"]


def bytes_needed(events_a_second: float, span: int, bytes_an_event: int) -> int:
    """What a window or the purges of so long a span take, to be held against their bound."""
    return int(events_a_second * span / 1e6 * bytes_an_event)
