"""Whole numbers as variable-length bytes (unsigned LEB128), and a reader that never passes their end.

Seven bits a byte, the lowest first, the eighth bit on all bytes but the last, and no longer than it has to
be. `CodingError` is what all compact forms of the list raise. Free of I/O.
"""

MAX_VARINT_BYTES = 10  # of the longest: 64 bits


class CodingError(Exception):
    """Bytes that are not taken, or what has no bytes; the text says why."""


class DamagedError(CodingError):
    """Cut, or not what its kind says."""


def encode_varint(value: int) -> bytes:
    """The bytes of a number of at most 64 bits that is not negative."""
    out = bytearray()
    while value > 0x7F:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    out.append(value)
    return bytes(out)


def zigzag_encode(value: int) -> int:
    """A signed number as an unsigned one, small for those near 0 on either side."""
    return value << 1 if value >= 0 else (-value << 1) - 1


def zigzag_decode(value: int) -> int:
    """The signed number of one that `zigzag_encode` gave."""
    return -(value + 1 >> 1) if value & 1 else value >> 1


class ByteReader:
    """Reads bytes from a place on; raises DamagedError where they end too early."""

    def __init__(self, data: bytes, at: int = 0):
        self.data = data
        self.at = at

    def left(self) -> int:
        """How many bytes are left."""
        return len(self.data) - self.at

    def take(self, count: int) -> bytes:
        """The next so many bytes."""
        if count > self.left():
            raise DamagedError("cut")
        self.at += count
        return self.data[self.at - count : self.at]

    def integer(self) -> int:
        """The next number."""
        value = 0
        for place in range(MAX_VARINT_BYTES):
            byte = self.take(1)[0]
            value |= (byte & 0x7F) << 7 * place
            if byte & 0x80:
                continue
            if place and not byte or value >> 64:
                break
            return value
        raise DamagedError("no integer of 64 bits in its shortest form")

    def end(self) -> None:
        """Raise DamagedError where something is left."""
        if self.left():
            raise DamagedError(f"{self.left()} bytes too many")
