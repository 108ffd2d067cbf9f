"""Arrival times of bytes at a socket, as stamped by the kernel (SO_TIMESTAMPNS, socket(7)).

A reader that was not scheduled for a while would otherwise attribute its own delay to the sender.
"""

import io
import math
import socket
import ssl
import struct
import time
from typing import NamedTuple

SO_TIMESTAMPNS = 35  # asm-generic/socket.h; missing from Python's socket module
TIMESPEC = struct.Struct("qq")  # seconds, nanoseconds
READ_SIZE = 1 << 16
CLOCK_READINGS = 5
READ_DELAY = 0.005  # seconds from the arrival of a trial datagram to its read
MAX_TRIALS = 1000
_stamped_sockets = []  # one that stays open, so that the kernel goes on stamping


def stamp_arrivals(connection):
    """Enable kernel timestamps on a socket; connections accepted by a listener inherit the option."""
    if not _stamped_sockets:
        _stamped_sockets.append(_open_stamped_socket())
    connection.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


def _open_stamped_socket():
    """Return a socket with timestamps, once the kernel stamps what arrives.

    It begins to do so some time after the first socket of the machine has asked for it. Until then it gives
    the time of the read in place of that of the arrival.
    """
    receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    receiver.bind(("127.0.0.1", 0))
    receiver.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for _ in range(MAX_TRIALS):
            sender.sendto(b"x", receiver.getsockname())
            time.sleep(READ_DELAY)
            before_read = time.monotonic()
            if receive(receiver)[1] < before_read - READ_DELAY / 2:
                return receiver
    raise AssertionError("the kernel does not stamp arrivals")


def receive(connection, size=READ_SIZE):
    """Read once; return the data and the arrival time of its last byte, in seconds of the monotonic clock.

    With TLS there is no timestamp, and the time of the read is returned.
    """
    if isinstance(connection, ssl.SSLSocket):
        return connection.recv(size), time.monotonic()
    data, ancillary, *_ = connection.recvmsg(size, socket.CMSG_SPACE(TIMESPEC.size))
    return data, arrival_time(ancillary)


def arrival_time(ancillary):
    """Return the kernel's timestamp in the ancillary data, on the monotonic clock; now if there is none."""
    for level, kind, stamp in ancillary:
        if (level, kind) == (socket.SOL_SOCKET, SO_TIMESTAMPNS):
            seconds, nanoseconds = TIMESPEC.unpack(stamp)
            return seconds + nanoseconds / 1e9 - wall_clock_ahead()
    return time.monotonic()


def wall_clock_ahead():
    """Return by how many seconds the wall clock is ahead of the monotonic clock.

    The shortest of a few readings is used, because the process may be descheduled during a reading.
    """
    readings = [(time.monotonic(), time.time(), time.monotonic()) for _ in range(CLOCK_READINGS)]
    before, wall, after = min(readings, key=lambda reading: reading[2] - reading[0])
    return wall - (before + after) / 2


class Arrival(NamedTuple):
    """Bounds on the arrival time of a command's last byte, in seconds of the monotonic clock.

    If later bytes were read together with the command, the kernel has kept only their timestamp.
    """

    earliest: float
    latest: float


class CommandReader:
    """Reads the commands to a cache from a connection, each with its arrival time."""

    def __init__(self, connection):
        self.connection, self.buffer = connection, bytearray()
        self.previous = self.latest = -math.inf  # arrival times of the last two reads

    def next(self):
        """Return (words, body, arrival) of the next complete command, or None at the connection's end."""
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
        """Read the bytes that have arrived; return False at the end of the connection."""
        data, arrived_at = receive(self.connection)
        self.buffer += data
        self.previous, self.latest = self.latest, arrived_at
        return bool(data)


class StampedStream(io.RawIOBase):
    """The bytes of a connection without TLS; `latest` is the arrival time of the last byte read."""

    def __init__(self, connection):
        super().__init__()
        stamp_arrivals(connection)
        self.connection, self.latest = connection, -math.inf

    def readable(self):
        """Return True, as io.BufferedReader requires."""
        return True

    def readinto(self, buffer):
        """Read available bytes into the buffer and return their number."""
        data, arrived_at = receive(self.connection, len(buffer))
        buffer[: len(data)] = data
        if data:
            self.latest = arrived_at
        return len(data)
