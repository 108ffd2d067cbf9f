"""Encodes events of the list service as compact bytes and decodes them, alone or in batches for a datagram.

An event is the service's JSON object with its number `seq`. Its encoding is a byte for the kind, followed by
the fields of the kind. Integers are unsigned LEB128 (`varint`):

    TEXT            the JSON text in UTF-8
    DEFLATED        the JSON text compressed by zlib (RFC 1950), used if that is shorter
    PURGE_OBJECT    seq, time in milliseconds, the object's eight bytes
    PURGE_BUCKET    seq, time in milliseconds, bucket

The purge of an object takes 20 bytes until number 2**35 and the year 2109. Events without a compact encoding,
such as those with unknown fields, are sent as text, so that no data is lost.

    BATCH           first seq, base time, count, then each event without its number: its kind and either
                    the time since the previous purge (zigzag) and the purge, or a length and the text

The numbers of the events in a batch are consecutive. Kinds from 16 on are reserved for configuration changes;
in a batch each of them must include its length. Data that contains an unknown kind is refused completely.

The encoding does not detect bytes that were changed into another valid event; the seal of `membership/guard`
does. Performs no I/O.
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

MAX_TEXT_BYTES = 65_536  # of one event's JSON text; longer events are transferred with the pages of the list
MAX_BATCH_BYTES = 1000  # less than `membership.guard.MAX_DATAGRAM_BYTES` with envelope and seal
RESERVED_KINDS = range(16, 32)  # for configuration changes
OBJECT_BYTES = 8


class EventKind(IntEnum):
    """The first byte of an encoded event or batch."""

    TEXT = 0
    DEFLATED = 1
    PURGE_OBJECT = 2
    PURGE_BUCKET = 3
    BATCH = 4


TEXT_KINDS = (EventKind.TEXT, EventKind.DEFLATED)


class OversizedError(CodingError):
    """An event or a batch exceeds its size limit."""


class UnknownKindError(CodingError):
    """A kind is not known to this version of the program."""

    def __init__(self, kind: int):
        reserved = ", which is reserved for configuration changes" if kind in RESERVED_KINDS else ""
        super().__init__(f"unknown kind {kind}{reserved}")
        self.kind = kind


class ServiceEvent(NamedTuple):
    """An event of the list service: its JSON text and `body`, the JSON object parsed from it."""

    body: dict[str, Any]
    text: str


def encode_event(body: dict[str, Any], text: str) -> bytes:
    """Encode an event whose JSON text was parsed to `body`; raise OversizedError if it is too long."""
    if purge := purge_fields_of(body):
        kind = EventKind.PURGE_OBJECT if purge.is_object else EventKind.PURGE_BUCKET
        return bytes((kind,)) + encode_varint(purge.seq) + encode_varint(purge.time) + encode_target(purge)
    try:
        plain = text.encode()
    except UnicodeEncodeError:  # a lone surrogate, which JSON can escape but UTF-8 cannot encode
        plain = json.dumps(body).encode()
    if len(plain) > MAX_TEXT_BYTES:
        raise OversizedError(f"the event has {len(plain)} bytes; at most {MAX_TEXT_BYTES} are allowed")
    deflated = zlib.compress(plain, 9)
    if len(deflated) < len(plain):
        return bytes((EventKind.DEFLATED,)) + deflated
    return bytes((EventKind.TEXT,)) + plain


def decode_event(data: bytes) -> ServiceEvent:
    """Decode the bytes of an event; raise CodingError if they are invalid."""
    entry = parse_entry(data)
    return decode_purge(entry.purge) if entry.purge else decode_text(entry.kind, entry.text)


def encode_batches(encoded: Iterable[bytes], limit: int = MAX_BATCH_BYTES) -> list[bytes]:
    """Combine encoded events, in their order, into as few batches of at most `limit` bytes as possible.

    A gap between numbers starts a new batch. Raise OversizedError if a single event does not fit a batch.
    """
    batches, writer = [], None
    for data in encoded:
        entry = parse_entry(data)
        seq = entry_number(entry)
        if writer and writer.add(seq, entry, limit):
            continue
        if writer:
            batches.append(writer.encoded())
        writer = BatchWriter(seq)
        if not writer.add(seq, entry, limit):
            raise OversizedError(
                f"event {seq} has {len(data)} bytes and does not fit a batch of {limit} bytes"
            )
    if writer:
        batches.append(writer.encoded())
    return batches


def decode_batch(batch: bytes, limit: int = MAX_BATCH_BYTES) -> tuple[ServiceEvent, ...]:
    """Decode all events of a batch; raise CodingError if any of them is invalid."""
    if len(batch) > limit:
        raise OversizedError(f"the batch has {len(batch)} bytes; at most {limit} are allowed")
    reader = ByteReader(batch)
    if read_kind(reader) != EventKind.BATCH:
        raise DamagedError("expected a batch, found an event")
    first = reader.integer()
    time = reader.integer()
    count = reader.integer()
    if not 0 < count <= reader.left():
        raise DamagedError(f"{count} events do not fit into the remaining {reader.left()} bytes")
    events = []
    for seq in range(first, first + count):
        kind = read_kind(reader)
        if kind in TEXT_KINDS:
            events.append(decode_text(kind, reader.take(reader.integer())))
        else:
            time += zigzag_decode(reader.integer())
            events.append(decode_purge(read_purge(reader, kind, seq, time)))
        if events[-1].body["seq"] != seq:
            raise DamagedError(f"event {events[-1].body['seq']} at the position of event {seq}")
    reader.end()
    return tuple(events)


def count_events(batch: bytes) -> int:
    """Return the number of events in a batch, as its header states it."""
    reader = ByteReader(batch)
    read_kind(reader)
    reader.integer()  # the first number
    reader.integer()  # the base time
    return reader.integer()


# Entries of a batch


class Entry(NamedTuple):
    """An event to be added to a batch: the fields of a purge, or the encoded text of any other event."""

    kind: EventKind
    purge: PurgeFields | None
    text: bytes


def parse_entry(data: bytes) -> Entry:
    """Parse an encoded event without decoding its text; raise CodingError if it is invalid."""
    reader = ByteReader(data)
    kind = read_kind(reader)
    if kind in TEXT_KINDS:
        return Entry(kind, None, data[1:])
    purge = read_purge(reader, kind, reader.integer(), reader.integer())
    reader.end()
    return Entry(kind, purge, b"")


def entry_number(entry: Entry) -> int:
    """Return the event's number, for which a text must be decoded; raise CodingError if that fails."""
    return entry.purge.seq if entry.purge else decode_text(entry.kind, entry.text).body["seq"]


class BatchWriter:
    """Builds a batch of events with consecutive numbers that start at `first`."""

    def __init__(self, first: int):
        self.first = first
        self.parts: list[bytes] = []  # the encoded events
        self.size = 0  # total bytes of `parts`
        self.base: int | None = None  # time of the first purge in the batch
        self.time: int | None = None  # time of the last purge in the batch

    def add(self, seq: int, entry: Entry, limit: int) -> bool:
        """Add an event; return False if its number is not the next or the batch would exceed `limit`."""
        if seq != self.first + len(self.parts) or not is_uint63(seq):
            return False
        base, time = self.base, self.time
        if entry.purge:
            time = entry.purge.time
            base = time if base is None else base
        part = self.encode_entry(entry)
        if len(self.header(base, len(self.parts) + 1)) + self.size + len(part) > limit:
            return False
        self.base = base
        self.time = time
        self.parts.append(part)
        self.size += len(part)
        return True

    def encode_entry(self, entry: Entry) -> bytes:
        """Encode an event for this batch; the time of a purge is relative to that of the previous purge."""
        kind = bytes((entry.kind,))
        if not entry.purge:
            return kind + encode_varint(len(entry.text)) + entry.text
        elapsed = 0 if self.time is None else entry.purge.time - self.time
        return kind + encode_varint(zigzag_encode(elapsed)) + encode_target(entry.purge)

    def header(self, base: int | None, count: int) -> bytes:
        """Return the bytes that precede the events."""
        encoded_first = encode_varint(self.first)
        encoded_base = encode_varint(base or 0)
        return bytes((EventKind.BATCH,)) + encoded_first + encoded_base + encode_varint(count)

    def encoded(self) -> bytes:
        """Return the bytes of the batch."""
        return self.header(self.base, len(self.parts)) + b"".join(self.parts)


# Events


def decode_purge(purge: PurgeFields) -> ServiceEvent:
    """Return the event of a purge's fields; raise DamagedError if a field is out of range."""
    if not purge.is_valid():
        raise DamagedError(
            f"purge {purge.seq} with time {purge.time} and target {purge.target} is out of range"
        )
    body = purge.event()
    return ServiceEvent(body, json.dumps(body))


def decode_text(kind: EventKind, data: bytes) -> ServiceEvent:
    """Decode the text of an event and validate it like an event received from the service."""
    if kind == EventKind.DEFLATED:
        data = decompress(data, MAX_TEXT_BYTES)
    elif len(data) > MAX_TEXT_BYTES:
        raise OversizedError(f"the event has {len(data)} bytes; at most {MAX_TEXT_BYTES} are allowed")
    try:
        text = data.decode()
        return ServiceEvent(parse_event(text), text)
    except UnicodeDecodeError:
        raise DamagedError("the event is not valid UTF-8") from None
    except InvalidEventError as error:
        raise DamagedError(str(error)) from None


def decompress(data: bytes, max_bytes: int) -> bytes:
    """Decompress zlib data without producing more than `max_bytes` + 1 bytes.

    Raise OversizedError if the result is longer than `max_bytes`, and DamagedError if the data is invalid.
    """
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(data, max_bytes + 1)
    except zlib.error:
        raise DamagedError("the data is not valid zlib data") from None
    if len(plain) > max_bytes:
        raise OversizedError(f"the decompressed data exceeds {max_bytes} bytes")
    if not decompressor.eof or decompressor.unused_data:
        raise DamagedError("the zlib data is truncated or followed by other data")
    return plain


def read_kind(reader: ByteReader) -> EventKind:
    """Read a kind; raise UnknownKindError if it is unknown."""
    kind = reader.take(1)[0]
    try:
        return EventKind(kind)
    except ValueError:
        raise UnknownKindError(kind) from None


def read_purge(reader: ByteReader, kind: EventKind, seq: int, time: int) -> PurgeFields:
    """Read the target of a purge and return the purge with the number and time that were read before."""
    if kind == EventKind.PURGE_OBJECT:
        return PurgeFields(seq, time, int.from_bytes(reader.take(OBJECT_BYTES), "big"), is_object=True)
    if kind == EventKind.PURGE_BUCKET:
        return PurgeFields(seq, time, reader.integer(), is_object=False)
    raise DamagedError("expected an event, found a batch")


def encode_target(purge: PurgeFields) -> bytes:
    """Encode the number of a purge's object or bucket."""
    if purge.is_object:
        return purge.target.to_bytes(OBJECT_BYTES, "big")
    return encode_varint(purge.target)
