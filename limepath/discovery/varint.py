"""Variable-length integers (unsigned LEB128), and a bounds-checked reader of bytes.

Each byte contains seven bits of the integer, the least significant first; the eighth bit is set in all bytes
but the last. Only the shortest encoding of an integer is valid. All encodings of the list raise
`CodingError`. Performs no I/O.
"""

MAX_VARINT_BYTES = 10  # enough for 64 bits


class CodingError(Exception):
    """Bytes cannot be decoded or a value cannot be encoded; the message gives the reason."""


class DamagedError(CodingError):
    """The bytes are truncated or invalid."""


def encode_varint(value: int) -> bytes:
    """Encode a non-negative integer of at most 64 bits."""
    out = bytearray()
    while value > 0x7F:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    out.append(value)
    return bytes(out)


def zigzag_encode(value: int) -> int:
    """Map a signed integer to an unsigned one, so that values near 0 have short encodings."""
    return value << 1 if value >= 0 else (-value << 1) - 1


def zigzag_decode(value: int) -> int:
    """Return the signed integer that `zigzag_encode` mapped to `value`."""
    return -(value + 1 >> 1) if value & 1 else value >> 1


class ByteReader:
    """Reads bytes from an offset on; raises DamagedError if they end too early."""

    def __init__(self, data: bytes, offset: int = 0):
        self.data = data
        self.offset = offset

    def left(self) -> int:
        """Return the number of bytes that are left."""
        return len(self.data) - self.offset

    def take(self, count: int) -> bytes:
        """Read the next `count` bytes."""
        if count > self.left():
            raise DamagedError(f"truncated: {count} bytes expected, {self.left()} left")
        self.offset += count
        return self.data[self.offset - count : self.offset]

    def integer(self) -> int:
        """Read a variable-length integer."""
        value = 0
        for index in range(MAX_VARINT_BYTES):
            byte = self.take(1)[0]
            value |= (byte & 0x7F) << 7 * index
            if byte & 0x80:
                continue
            if index and not byte or value >> 64:
                break
            return value
        raise DamagedError("integer exceeds 64 bits or is not in its shortest encoding")

    def end(self) -> None:
        """Raise DamagedError if bytes are left."""
        if self.left():
            raise DamagedError(f"{self.left()} bytes after the end of the data")
