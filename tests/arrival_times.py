"""When bytes arrived at a socket, as the system stamped them (SO_TIMESTAMPNS, socket(7)): a reader that gets
no processor for a while does not take its own lateness for the sender's.
"""

import io
import math
import socket
import ssl
import struct
import time
from typing import NamedTuple

SO_TIMESTAMPNS = 35  # asm-generic/socket.h; Python does not name it
TIMESPEC = struct.Struct("qq")  # seconds, nanoseconds
READ_SIZE = 1 << 16
CLOCK_READINGS = 5


def stamp_arrivals(connection):
    """Have the system stamp what arrives here; a listener passes this on to what it accepts."""
    connection.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


def receive(connection, size=READ_SIZE):
    """Give (data, the time at which the last byte of it arrived) of one read, in seconds of the monotonic
    clock. Behind TLS there is no stamp: the time is that of the reading.
    """
    if isinstance(connection, ssl.SSLSocket):
        return connection.recv(size), time.monotonic()
    data, ancillary, *_ = connection.recvmsg(size, socket.CMSG_SPACE(TIMESPEC.size))
    return data, arrival_time(ancillary)


def arrival_time(ancillary):
    """The system's stamp among the ancillary data, on the monotonic clock; now, where there is none."""
    for level, kind, stamp in ancillary:
        if (level, kind) == (socket.SOL_SOCKET, SO_TIMESTAMPNS):
            seconds, nanoseconds = TIMESPEC.unpack(stamp)
            return seconds + nanoseconds / 1e9 - wall_clock_ahead()
    return time.monotonic()


def wall_clock_ahead():
    """Seconds that the wall clock is ahead of the monotonic one. Of a few readings that counts which took the
    shortest: the process may lose the processor within one.
    """
    readings = [(time.monotonic(), time.time(), time.monotonic()) for _ in range(CLOCK_READINGS)]
    before, wall, after = min(readings, key=lambda reading: reading[2] - reading[0])
    return wall - (before + after) / 2


class Arrival(NamedTuple):
    """When the last byte of a command arrived. Where later bytes were read along with it, the system has kept
    only the time of these: then the command arrived between `earliest` and `latest`.
    """

    earliest: float
    latest: float


class CommandReader:
    """Reads a cache's commands from a connection, each with its arrival."""

    def __init__(self, connection):
        self.connection, self.buffer = connection, bytearray()
        self.previous = self.latest = -math.inf  # when the last bytes of the last two reads arrived

    def next(self):
        """Give (words, body, arrival) of the next whole command, or None at the end of the connection."""
        while (end := self.buffer.find(b"\r\n")) < 0:
            if not self.read_more():
                return None
        words = self.buffer[:end].decode().split()
        start = end + 2
        size = start + (int(words[3]) + 2 if words[0] == "ASK" else 0)
        while len(self.buffer) < size:
            if not self.read_more():
                return None
        body = bytes(self.buffer[start : size - 2])
        del self.buffer[:size]
        return words, body, Arrival(self.previous if self.buffer else self.latest, self.latest)

    def read_more(self):
        """Read all that has arrived by now; whether that was anything."""
        data, arrived_at = receive(self.connection)
        self.buffer += data
        self.previous, self.latest = self.latest, arrived_at
        return bool(data)


class StampedStream(io.RawIOBase):
    """The bytes of a plain connection; `latest` is when the last of those read arrived."""

    def __init__(self, connection):
        super().__init__()
        stamp_arrivals(connection)
        self.connection, self.latest = connection, -math.inf

    def readable(self):
        """As io.BufferedReader asks."""
        return True

    def readinto(self, buffer):
        """Fill the buffer as far as bytes are there."""
        data, arrived_at = receive(self.connection, len(buffer))
        buffer[: len(data)] = data
        if data:
            self.latest = arrived_at
        return len(data)
