"""Frames of the wire protocol: read a batch from a stream, decode its fields, write a reply."""

import struct

HEADER = struct.Struct(">IIQ")
REPLY = struct.Struct(">III")


class WireError(Exception):
    """The input is malformed; the message describes the error and its position."""


def read_frame(stream):
    """Return (sequence, clock in ns, records) of the next batch, or None at the end of the stream.

    Raises:
        WireError: the stream ends within a frame, or a length is invalid.
    """
    header = stream.read(HEADER.size)
    if not header:
        return None
    if len(header) < HEADER.size:
        raise WireError(f"truncated frame: {len(header)} of {HEADER.size} header bytes")
    sequence, length, clock = HEADER.unpack(header)
    if length < HEADER.size:
        raise WireError(
            f"batch {sequence}: wrong length {length}; expected at least {HEADER.size} (the header)"
        )
    body = stream.read(length - HEADER.size)
    if len(body) < length - HEADER.size:
        raise WireError(f"batch {sequence}: truncated frame, {len(body) + HEADER.size} of {length} bytes")
    return sequence, clock, body


def write_frame(stream, sequence, records):
    body = b"".join(records)
    stream.write(REPLY.pack(sequence, len(records), REPLY.size + len(body)) + body)
    stream.flush()


class Cursor:
    """Decodes the records of one batch field by field.

    Attributes:
        sequence: sequence number of the batch.
        position: offset of the next field, in bytes from the end of the frame's header.
    """

    def __init__(self, sequence, data):
        self.sequence, self.data, self.position = sequence, data, 0

    def __bool__(self):
        return self.position < len(self.data)

    def take(self, layout):
        end = self.position + layout.size
        if end > len(self.data):
            raise WireError(f"batch {self.sequence}: record cut short at byte {HEADER.size + self.position}")
        values = layout.unpack_from(self.data, self.position)
        self.position = end
        return values

    def bytes(self, count):
        end = self.position + count
        if end > len(self.data):
            raise WireError(
                f"batch {self.sequence}: wrong length {count} at byte {HEADER.size + self.position}"
            )
        chunk = self.data[self.position : end]
        self.position = end
        return chunk
