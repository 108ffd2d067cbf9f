"""Events of the list service to compact bytes and back, and several of them packed for one datagram.

An event is the service's JSON object with its number `seq`. Its bytes are a kind and what the kind holds; an
integer is unsigned LEB128 (`varint`):

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
from typing import Any, NamedTuple

from limepath.discovery.event_checks import InvalidEventError, parse_event
from limepath.discovery.purge_fields import PurgeFields, is_uint63, purge_fields_of
from limepath.discovery.varint import (
    ByteReader,
    CodingError,
    DamagedError,
    encode_varint,
    zigzag_decode,
    zigzag_encode,
)

MAX_TEXT_BYTES = 65_536  # bytes of one event's JSON text; what is longer comes by pages of the list
MAX_BATCH_BYTES = 1000  # bytes of a batch: with envelope and seal it stays under `membership.guard.LARGEST`
RESERVED_KINDS = range(16, 32)  # for changes of configuration
OBJECT_BYTES = 8


class EventKind(IntEnum):
    """The byte that leads."""

    TEXT = 0
    DEFLATED = 1
    PURGE_OBJECT = 2
    PURGE_BUCKET = 3
    BATCH = 4


TEXT_KINDS = (EventKind.TEXT, EventKind.DEFLATED)


class OversizedError(CodingError):
    """An event or a batch over its bound."""


class UnknownKindError(CodingError):
    """A kind of a later program."""

    def __init__(self, kind: int):
        reserved = ", reserved for changes of configuration" if kind in RESERVED_KINDS else ""
        super().__init__(f"kind {kind}{reserved}")
        self.kind = kind


class ServiceEvent(NamedTuple):
    """`body` is the parsed JSON object of `text`."""

    body: dict[str, Any]
    text: str


def encode_event(body: dict[str, Any], text: str) -> bytes:
    """The bytes of an event whose JSON text was parsed to `body`.

    Raise OversizedError where it is too long.
    """
    if purge := purge_fields_of(body):
        kind = EventKind.PURGE_OBJECT if purge.is_object else EventKind.PURGE_BUCKET
        return bytes((kind,)) + encode_varint(purge.seq) + encode_varint(purge.time) + encode_target(purge)
    try:
        plain = text.encode()
    except UnicodeEncodeError:  # half a surrogate pair, which JSON can name and UTF-8 can't
        plain = json.dumps(body).encode()
    if len(plain) > MAX_TEXT_BYTES:
        raise OversizedError(f"an event of {len(plain)} bytes, {MAX_TEXT_BYTES} at the most")
    deflated = zlib.compress(plain, 9)
    if len(deflated) < len(plain):
        return bytes((EventKind.DEFLATED,)) + deflated
    return bytes((EventKind.TEXT,)) + plain


def decode_event(data: bytes) -> ServiceEvent:
    """The event of bytes made by `encode_event`; raise a CodingError."""
    entry = parse_entry(data)
    return event_of_purge(entry.purge) if entry.purge else event_of_text(entry.kind, entry.text)


def encode_batches(encoded: Iterable[bytes], limit: int = MAX_BATCH_BYTES) -> list[bytes]:
    """Coded events in as few batches of at most `limit` bytes as their order allows.

    A batch ends before a number that does not follow. Raise OversizedError where one event alone does not
    fit.
    """
    packed, writer = [], None
    for data in encoded:
        entry = parse_entry(data)
        seq = entry_number(entry)
        if writer and writer.add(seq, entry, limit):
            continue
        if writer:
            packed.append(writer.packed())
        writer = BatchWriter(seq)
        if not writer.add(seq, entry, limit):
            raise OversizedError(f"event {seq} of {len(data)} bytes in a batch of {limit}")
    if writer:
        packed.append(writer.packed())
    return packed


def decode_batch(batch: bytes, limit: int = MAX_BATCH_BYTES) -> tuple[ServiceEvent, ...]:
    """All events of a batch; raise a CodingError, and then none of them counts."""
    if len(batch) > limit:
        raise OversizedError(f"a batch of {len(batch)} bytes, {limit} at the most")
    reader = ByteReader(batch)
    if read_kind(reader) != EventKind.BATCH:
        raise DamagedError("an event in the place of a batch")
    first = reader.integer()
    time = reader.integer()
    count = reader.integer()
    if not 0 < count <= reader.left():
        raise DamagedError(f"{count} events in {reader.left()} bytes")
    events = []
    for seq in range(first, first + count):
        kind = read_kind(reader)
        if kind in TEXT_KINDS:
            events.append(event_of_text(kind, reader.take(reader.integer())))
        else:
            time += zigzag_decode(reader.integer())
            events.append(event_of_purge(read_purge(reader, kind, seq, time)))
        if events[-1].body["seq"] != seq:
            raise DamagedError(f"event {events[-1].body['seq']} told as {seq}")
    reader.end()
    return tuple(events)


def count_events(batch: bytes) -> int:
    """How many events a batch holds, by its head."""
    reader = ByteReader(batch)
    read_kind(reader)
    reader.integer()  # the first number
    reader.integer()  # the base time
    return reader.integer()


# Within a batch


class Entry(NamedTuple):
    """An event between its bytes alone and those in a batch: the fields of a purge, else the text's bytes."""

    kind: EventKind
    purge: PurgeFields | None
    text: bytes


def parse_entry(data: bytes) -> Entry:
    """What the bytes of one event hold; a text is not looked into."""
    reader = ByteReader(data)
    kind = read_kind(reader)
    if kind in TEXT_KINDS:
        return Entry(kind, None, data[1:])
    purge = read_purge(reader, kind, reader.integer(), reader.integer())
    reader.end()
    return Entry(kind, purge, b"")


def entry_number(entry: Entry) -> int:
    """The event's number, which a purge has apart from a text; raise a CodingError."""
    return entry.purge.seq if entry.purge else event_of_text(entry.kind, entry.text).body["seq"]


class BatchWriter:
    """A batch that grows by events that follow each other, the first with the number `first`."""

    def __init__(self, first: int):
        self.first = first
        self.parts: list[bytes] = []
        self.size = 0
        self.base: int | None = None  # time of the first purge here
        self.time: int | None = None  # that of the last

    def add(self, seq: int, entry: Entry, limit: int) -> bool:
        """Add one more event, or return False where it does not follow or the batch would pass `limit`."""
        if seq != self.first + len(self.parts) or not is_uint63(seq):
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
            return kind + encode_varint(len(entry.text)) + entry.text
        since = 0 if self.time is None else entry.purge.time - self.time
        return kind + encode_varint(zigzag_encode(since)) + encode_target(entry.purge)

    def head(self, base: int | None, count: int) -> bytes:
        """The bytes before the events."""
        coded_first = encode_varint(self.first)
        coded_base = encode_varint(base or 0)
        return bytes((EventKind.BATCH,)) + coded_first + coded_base + encode_varint(count)

    def packed(self) -> bytes:
        """The bytes of the batch."""
        return self.head(self.base, len(self.parts)) + b"".join(self.parts)


# Events


def event_of_purge(purge: PurgeFields) -> ServiceEvent:
    """The event of a purge\'s fields; raise DamagedError for fields that can\'t be."""
    if not purge.is_valid():
        raise DamagedError(f"a purge that cannot be: {purge.seq} at {purge.time}")
    body = purge.event()
    return ServiceEvent(body, json.dumps(body))


def event_of_text(kind: EventKind, data: bytes) -> ServiceEvent:
    """The event of a JSON text, checked as one that the service tells itself."""
    if kind == EventKind.DEFLATED:
        data = decompress(data, MAX_TEXT_BYTES)
    elif len(data) > MAX_TEXT_BYTES:
        raise OversizedError(f"an event over {MAX_TEXT_BYTES} bytes")
    try:
        text = data.decode()
        return ServiceEvent(parse_event(text), text)
    except UnicodeDecodeError:
        raise DamagedError("no UTF-8") from None
    except InvalidEventError as error:
        raise DamagedError(str(error)) from None


def decompress(data: bytes, longest: int) -> bytes:
    """The bytes that zlib made `data` of, at most `longest`; no more is unpacked. Raise CodingError."""
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(data, longest + 1)
    except zlib.error:
        raise DamagedError("no zlib data") from None
    if len(plain) > longest:
        raise OversizedError(f"over {longest} bytes")
    if not decompressor.eof or decompressor.unused_data:
        raise DamagedError("cut, or more than one text")
    return plain


def read_kind(reader: ByteReader) -> EventKind:
    """The kind that follows; raise UnknownKindError."""
    kind = reader.take(1)[0]
    try:
        return EventKind(kind)
    except ValueError:
        raise UnknownKindError(kind) from None


def read_purge(reader: ByteReader, kind: EventKind, seq: int, time: int) -> PurgeFields:
    """The purge of which the object or bucket follows."""
    if kind == EventKind.PURGE_OBJECT:
        return PurgeFields(seq, time, int.from_bytes(reader.take(OBJECT_BYTES), "big"), is_object=True)
    if kind == EventKind.PURGE_BUCKET:
        return PurgeFields(seq, time, reader.integer(), is_object=False)
    raise DamagedError("a batch in the place of an event")


def encode_target(purge: PurgeFields) -> bytes:
    """The bytes of a purge\'s object or bucket."""
    if purge.is_object:
        return purge.target.to_bytes(OBJECT_BYTES, "big")
    return encode_varint(purge.target)
