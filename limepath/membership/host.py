"""The datagram socket of an instance: datagrams are opened by the guard, events handed on, commands sent."""

import os
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from twisted.internet.error import MessageLengthError
from twisted.internet.protocol import DatagramProtocol

from limepath.log import Log
from limepath.membership.guard import (
    ACCEPTED,
    DatagramRejectedError,
    Guard,
    Key,
    KeyFileError,
    parse_keys,
)
from limepath.membership.interface import MemberRecord, Message, MessageReceived, SendMessage

REJECTION_SPAN = 50_000  # microseconds in which rejected datagrams are counted together
MAX_REJECTED = 400  # in one span; then the socket is left unread until the span is over
MAX_READ_BYTES = 2048  # of one datagram; more than the guard accepts, so that it sees an oversized one
OTHERS_MODE_BITS = 0o077

UNREAD_SPANS = "left unread"  # counts beside those of the guard, as the control socket names them
UNSENT = "unsent"


class StartError(Exception):
    """The keys or the socket cannot be had; the text names which."""


class FileVersion(NamedTuple):
    """Whether a file has changed is seen by this."""

    modified_ns: int
    size: int

    @classmethod
    def of(cls, status: os.stat_result) -> "FileVersion":
        """Return the version of a file, given its status."""
        return cls(status.st_mtime_ns, status.st_size)


class KeyFile(NamedTuple):
    """The keys of a file, and the file's version when they were read."""

    keys: tuple[Key, ...]
    version: FileVersion


def read_keys(path: str) -> KeyFile:
    """Read a key file; raise StartError where it cannot be read, or others than its owner could."""
    try:
        status = os.stat(path)
        if status.st_mode & OTHERS_MODE_BITS:
            raise StartError(f"{path}: open to others; its mode should be 600")
        with open(path, encoding="ascii") as file:
            return KeyFile(parse_keys(file.read()), FileVersion.of(status))
    except OSError as error:
        raise StartError(f"{path}: {error.strerror}") from None
    except (KeyFileError, UnicodeDecodeError) as error:
        raise StartError(f"{path}: {error}") from None


class DatagramSocket(DatagramProtocol):
    """One UDP socket, for all protocols between instances."""

    def __init__(
        self,
        reactor: Any,
        address: tuple[str, int],
        keys: str,
        types: Iterable[type[Message]],
        log: Log,
        gather: Callable[[MessageReceived], None],
    ) -> None:
        """Listen at `address` once opened; `keys` is the key file's path. Raise StartError.

        `gather(event)` takes each accepted message.
        """
        self.reactor = reactor
        self.address = address
        self.path = keys
        self.log = log
        self.gather = gather
        key_file = read_keys(keys)
        self.key_file_version = key_file.version
        self.guard = Guard(key_file.keys, types)
        self.port: Any = None
        """Twisted's listening port, or None while closed."""
        self.reported: Counter[str] = Counter()
        """The guard's counts at the last report."""
        self.sent = 0
        """Datagrams sent."""
        self.rejected_in_span = 0
        self.is_span_open = False

    def open(self) -> None:
        """Start to listen; raise twisted's CannotListenError."""
        host, port = self.address
        self.port = self.reactor.listenUDP(port, self, host, maxPacketSize=MAX_READ_BYTES)

    def close(self) -> None:
        """Listen and send no more."""
        if self.port:
            self.port.stopListening()
        self.port = None

    def datagramReceived(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Hand an accepted message on; count a rejected datagram."""
        try:
            opened = self.guard.open(datagram)
        except DatagramRejectedError:
            self._count_rejected()
            return
        self.gather(MessageReceived(opened.sender, opened.to, opened.message))

    def send(self, me: MemberRecord, order: SendMessage) -> None:
        """Seal and send a message; one that cannot be sent is counted and logged."""
        if self.port is None:
            return
        try:
            datagram = self.guard.seal(me, order.to, order.message)
            self.port.write(datagram, (order.host, order.port))
            self.sent += 1
        except (OSError, MessageLengthError, ValueError) as error:
            self.guard.counts[UNSENT] += 1
            self.log.say("peers-unsent", str(error), to=f"{order.host}:{order.port}")

    def reread(self) -> None:
        """Take the key file's keys if it has changed; a file that cannot be used leaves the old ones."""
        try:
            if FileVersion.of(os.stat(self.path)) == self.key_file_version:
                return
            keys, self.key_file_version = read_keys(self.path)
        except (OSError, StartError) as error:
            self.log.say("peers-keys", f"{error}; the old keys stay")
            return
        if keys != self.guard.keys:
            self.guard.keys = keys
            self.log.say("peers-keys", "read anew", keys=len(keys), seals=keys[0].name.hex())

    def report(self) -> None:
        """Log one line for all that was rejected or not sent since the last report."""
        counts = self.guard.counts
        increases = {
            reason.replace(" ", "_"): count - self.reported[reason]
            for reason, count in counts.items()
            if reason != ACCEPTED and count > self.reported[reason]
        }
        self.reported = Counter(counts)
        if increases:
            self.log.say("peers-dropped", **increases)

    def _count_rejected(self) -> None:
        """Leave the socket unread for the rest of the span if too much is rejected.

        So a flood takes a part of a core only: the system drops what its buffer cannot hold.
        """
        self.rejected_in_span += 1
        if not self.is_span_open:
            self.is_span_open = True
            self.reactor.callLater(REJECTION_SPAN / 1e6, self._end_span)
        elif self.rejected_in_span == MAX_REJECTED:
            self.guard.counts[UNREAD_SPANS] += 1
            self.port.stopReading()

    def _end_span(self) -> None:
        if self.rejected_in_span >= MAX_REJECTED and self.port:
            self.port.startReading()
        self.rejected_in_span = 0
        self.is_span_open = False
