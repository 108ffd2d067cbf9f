"""Events of the list service to compact bytes and back, and several of them packed for one datagram.

An event is the service's JSON object with its number `seq`. Its bytes are a kind and what the kind holds; an
integer is unsigned LEB128 (`integers`):

    TEXT            the JSON text in UTF-8
    DEFLATED        the same by zlib (RFC 1950), taken where it is smaller
    PURGE_OBJECT    seq, time in milliseconds, the object's eight bytes
    PURGE_BUCKET    seq, time in milliseconds, bucket

The object's purge takes 20 bytes until number 2**35 and the year 2109. What has no compact form, such as a
field that this program does not know, goes as text, so that nothing is lost.

    BATCH           first seq, base time, count, then each event without its number: its kind and either
                    the time since the former purge (zigzag) and the purge, or a length and the text

Numbers in a batch follow each other. Kinds from 16 on are reserved for changes of configuration; in a batch
each of them is to carry its length. A reader that meets a kind that it does not know refuses the whole.

Nothing here detects bytes that were changed into those of another valid event; the seal of
`membership/guard` does. Free of I/O.
"""

import json
import zlib
from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

from limepath.discovery.events import BadList, parsed
from limepath.discovery.integers import CodingError, Damaged, Reader, integer, unzigzag, zigzag
from limepath.discovery.purge_fields import PurgeFields, fits, purge_of

LONGEST_TEXT = 65_536  # bytes of one event's JSON text; what is longer comes by pages of the list
BATCH_LIMIT = 1000  # bytes of a batch: with envelope and seal it stays under `peers.guard.LARGEST`
RESERVED_KINDS = range(16, 32)  # for changes of configuration
OBJECT_BYTES = 8


class Kind(IntEnum):
    """The byte that leads."""

    TEXT = 0
    DEFLATED = 1
    PURGE_OBJECT = 2
    PURGE_BUCKET = 3
    BATCH = 4


TEXT_KINDS = (Kind.TEXT, Kind.DEFLATED)


class Oversized(CodingError):
    """An event or a batch over its bound."""


class UnknownKind(CodingError):
    """A kind of a later program."""

    def __init__(self, kind: int):
        reserved = ", reserved for changes of configuration" if kind in RESERVED_KINDS else ""
        super().__init__(f"kind {kind}{reserved}")
        self.kind = kind


class Event(NamedTuple):
    """`told` is the parsed JSON object of `text`."""

    told: dict
    text: str


def encode(told: dict, text: str) -> bytes:
    """The bytes of an event whose JSON text was parsed to `told`; raise Oversized where it is too long."""
    if purge := purge_of(told):
        kind = Kind.PURGE_OBJECT if purge.is_object else Kind.PURGE_BUCKET
        return bytes((kind,)) + integer(purge.seq) + integer(purge.time) + target_bytes(purge)
    try:
        plain = text.encode()
    except UnicodeEncodeError:  # half a surrogate pair, which JSON can name and UTF-8 can't
        plain = json.dumps(told).encode()
    if len(plain) > LONGEST_TEXT:
        raise Oversized(f"an event of {len(plain)} bytes, {LONGEST_TEXT} at the most")
    deflated = zlib.compress(plain, 9)
    if len(deflated) < len(plain):
        return bytes((Kind.DEFLATED,)) + deflated
    return bytes((Kind.TEXT,)) + plain


def decode(data: bytes) -> Event:
    """The event of bytes made by `encode`; raise a CodingError."""
    entry = entry_of(data)
    return purge_event(entry.purge) if entry.purge else text_event(entry.kind, entry.text)


def batches(encoded: Iterable[bytes], limit: int = BATCH_LIMIT) -> list[bytes]:
    """Events as `encode` made them, packed in their order into as few byte strings of at most `limit` bytes
    as go in that order. A batch ends before a number that does not follow. Raise Oversized where one event
    alone does not fit.
    """
    packed, writer = [], None
    for data in encoded:
        entry = entry_of(data)
        seq = sequence_of(entry)
        if writer and writer.add(seq, entry, limit):
            continue
        if writer:
            packed.append(writer.packed())
        writer = BatchWriter(seq)
        if not writer.add(seq, entry, limit):
            raise Oversized(f"event {seq} of {len(data)} bytes in a batch of {limit}")
    if writer:
        packed.append(writer.packed())
    return packed


def events_of(batch: bytes, limit: int = BATCH_LIMIT) -> tuple[Event, ...]:
    """All events of a batch; raise a CodingError, and then none of them counts."""
    if len(batch) > limit:
        raise Oversized(f"a batch of {len(batch)} bytes, {limit} at the most")
    reader = Reader(batch)
    if kind_from(reader) != Kind.BATCH:
        raise Damaged("an event in the place of a batch")
    first, time, count = reader.integer(), reader.integer(), reader.integer()
    if not 0 < count <= reader.left():
        raise Damaged(f"{count} events in {reader.left()} bytes")
    events = []
    for seq in range(first, first + count):
        kind = kind_from(reader)
        if kind in TEXT_KINDS:
            events.append(text_event(kind, reader.take(reader.integer())))
        else:
            time += unzigzag(reader.integer())
            events.append(purge_event(purge_from(reader, kind, seq, time)))
        if events[-1].told["seq"] != seq:
            raise Damaged(f"event {events[-1].told['seq']} told as {seq}")
    reader.end()
    return tuple(events)


# Within a batch


class Entry(NamedTuple):
    """An event between its bytes alone and those in a batch: the fields of a purge, else the text's bytes."""

    kind: Kind
    purge: PurgeFields | None
    text: bytes


def entry_of(data: bytes) -> Entry:
    """What the bytes of one event hold; a text is not looked into."""
    reader = Reader(data)
    kind = kind_from(reader)
    if kind in TEXT_KINDS:
        return Entry(kind, None, data[1:])
    purge = purge_from(reader, kind, reader.integer(), reader.integer())
    reader.end()
    return Entry(kind, purge, b"")


def sequence_of(entry: Entry) -> int:
    """The event's number, which is in its text where it is no purge; raise a CodingError."""
    return entry.purge.seq if entry.purge else text_event(entry.kind, entry.text).told["seq"]


class BatchWriter:
    """A batch that grows by events that follow each other, the first with the number `first`."""

    def __init__(self, first: int):
        self.first = first
        self.parts = []
        self.size = 0
        self.base = None
        self.time = None  # of the first purge here and of the last

    def add(self, seq: int, entry: Entry, limit: int) -> bool:
        """Take one more event in, or give False where it does not follow or the batch would pass `limit`."""
        if seq != self.first + len(self.parts) or not fits(seq):
            return False
        base, time = self.base, self.time
        if entry.purge:
            time = entry.purge.time
            base = time if base is None else base
        part = self.part(entry)
        if len(self.head(base, len(self.parts) + 1)) + self.size + len(part) > limit:
            return False
        self.base = base
        self.time = time
        self.parts.append(part)
        self.size += len(part)
        return True

    def part(self, entry: Entry) -> bytes:
        """The bytes of an event here; a purge's time counts from that of the purge before."""
        kind = bytes((entry.kind,))
        if not entry.purge:
            return kind + integer(len(entry.text)) + entry.text
        since = 0 if self.time is None else entry.purge.time - self.time
        return kind + integer(zigzag(since)) + target_bytes(entry.purge)

    def head(self, base: int | None, count: int) -> bytes:
        return bytes((Kind.BATCH,)) + integer(self.first) + integer(base or 0) + integer(count)

    def packed(self) -> bytes:
        return self.head(self.base, len(self.parts)) + b"".join(self.parts)


# Events


def purge_event(purge: PurgeFields) -> Event:
    if not purge.valid():
        raise Damaged(f"a purge that cannot be: {purge.seq} at {purge.time}")
    told = purge.told()
    return Event(told, json.dumps(told))


def text_event(kind: Kind, data: bytes) -> Event:
    """The event of a JSON text, checked as one that the service tells itself."""
    if kind == Kind.DEFLATED:
        data = inflated(data, LONGEST_TEXT)
    elif len(data) > LONGEST_TEXT:
        raise Oversized(f"an event over {LONGEST_TEXT} bytes")
    try:
        text = data.decode()
        return Event(parsed(text), text)
    except UnicodeDecodeError:
        raise Damaged("no UTF-8") from None
    except BadList as error:
        raise Damaged(str(error)) from None


def inflated(data: bytes, longest: int) -> bytes:
    """The bytes that zlib made `data` of, at most `longest`; no more is unpacked. Raise CodingError."""
    opening = zlib.decompressobj()
    try:
        plain = opening.decompress(data, longest + 1)
    except zlib.error:
        raise Damaged("no zlib data") from None
    if len(plain) > longest:
        raise Oversized(f"over {longest} bytes")
    if not opening.eof or opening.unused_data:
        raise Damaged("cut, or more than one text")
    return plain


def kind_from(reader: Reader) -> Kind:
    kind = reader.take(1)[0]
    try:
        return Kind(kind)
    except ValueError:
        raise UnknownKind(kind) from None


def purge_from(reader: Reader, kind: Kind, seq: int, time: int) -> PurgeFields:
    """The purge of which the object or bucket follows."""
    if kind == Kind.PURGE_OBJECT:
        return PurgeFields(seq, time, int.from_bytes(reader.take(OBJECT_BYTES), "big"), is_object=True)
    if kind == Kind.PURGE_BUCKET:
        return PurgeFields(seq, time, reader.integer(), is_object=False)
    raise Damaged("a batch in the place of an event")


def target_bytes(purge: PurgeFields) -> bytes:
    if purge.is_object:
        return purge.target.to_bytes(OBJECT_BYTES, "big")
    return integer(purge.target)
