"""Frames of the wire: reading a batch from a stream, walking its records, writing a reply."""

import struct

HEADER = struct.Struct(">IIQ")
REPLY = struct.Struct(">III")


class WireError(Exception):
    """Malformed input; its text says what and where."""


def read_frame(stream):
    """Give (sequence, clock in ns, records) of the next batch, or None at a clean end."""
    head = stream.read(HEADER.size)
    if not head:
        return None
    if len(head) < HEADER.size:
        raise WireError(f"truncated frame: {len(head)} of {HEADER.size} header bytes")
    sequence, length, clock = HEADER.unpack(head)
    if length < HEADER.size:
        raise WireError(f"batch {sequence}: wrong length {length}, a header alone takes {HEADER.size}")
    body = stream.read(length - HEADER.size)
    if len(body) < length - HEADER.size:
        raise WireError(f"batch {sequence}: truncated frame, {len(body) + HEADER.size} of {length} bytes")
    return sequence, clock, body


def write_frame(stream, sequence, records):
    body = b"".join(records)
    stream.write(REPLY.pack(sequence, len(records), REPLY.size + len(body)) + body)
    stream.flush()


class Cursor:
    """Takes fields one after another from the records of one batch."""

    def __init__(self, sequence, data):
        self.sequence, self.data, self.at = sequence, data, 0

    def __bool__(self):
        return self.at < len(self.data)

    def take(self, layout):
        end = self.at + layout.size
        if end > len(self.data):
            raise WireError(f"batch {self.sequence}: record cut short at byte {HEADER.size + self.at}")
        values = layout.unpack_from(self.data, self.at)
        self.at = end
        return values

    def bytes(self, count):
        end = self.at + count
        if end > len(self.data):
            raise WireError(f"batch {self.sequence}: wrong length {count} at byte {HEADER.size + self.at}")
        chunk = self.data[self.at : end]
        self.at = end
        return chunk
