"""The datagram socket of an instance, which opens received datagrams and seals sent messages by the guard."""

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

REJECTION_INTERVAL = 50_000  # microseconds; rejected datagrams are counted per interval of this length
MAX_REJECTED = 400  # rejected datagrams per interval; then reading stops until the interval ends
MAX_READ_BYTES = 2048  # per datagram; more than the guard accepts, so that it can detect an oversized one
OTHERS_MODE_BITS = 0o077

# Names of counts in addition to those of the guard, as the control socket shows them
UNREAD_INTERVALS = "left unread"
UNSENT = "unsent"


class StartError(Exception):
    """An instance cannot start, because a file or socket cannot be used; the text names it."""


class FileVersion(NamedTuple):
    """Modification time and size of a file, which are compared to detect a change."""

    modified_ns: int
    size: int

    @classmethod
    def of(cls, status: os.stat_result) -> "FileVersion":
        """Return the version of the file with this status."""
        return cls(status.st_mtime_ns, status.st_size)


class KeyFile(NamedTuple):
    """The keys of a key file, and the version of the file when they were read."""

    keys: tuple[Key, ...]
    version: FileVersion


def read_keys(path: str) -> KeyFile:
    """Read a key file; raise StartError if it is unreadable, invalid or open to other users."""
    try:
        status = os.stat(path)
        if status.st_mode & OTHERS_MODE_BITS:
            raise StartError(f"{path}: the key file is open to others; its mode must be 600")
        with open(path, encoding="ascii") as file:
            return KeyFile(parse_keys(file.read()), FileVersion.of(status))
    except OSError as error:
        raise StartError(f"{path}: {error.strerror}") from None
    except (KeyFileError, UnicodeDecodeError) as error:
        raise StartError(f"{path}: {error}") from None


class DatagramSocket(DatagramProtocol):
    """The UDP socket for all protocols between instances."""

    def __init__(
        self,
        reactor: Any,
        address: tuple[str, int],
        keys: str,
        types: Iterable[type[Message]],
        log: Log,
        on_message: Callable[[MessageReceived], None],
    ) -> None:
        """Prepare to listen at `address`; raise StartError.

        `keys` is the path of the key file, `types` are the accepted types of messages. `on_message(event)` is
        called with each accepted message.
        """
        self.reactor = reactor
        self.address = address
        self.key_path = keys
        self.log = log
        self.on_message = on_message
        key_file = read_keys(keys)
        self.key_file_version = key_file.version
        self.guard = Guard(key_file.keys, types)
        self.port: Any = None
        """Twisted's listening port, or None while closed."""
        self.reported_counts: Counter[str] = Counter()
        """Counts of the guard at the last report."""
        self.sent = 0
        """Number of datagrams sent."""
        self.rejected_in_interval = 0
        self.is_interval_open = False

    def open(self) -> None:
        """Start listening; raise Twisted's CannotListenError."""
        host, port = self.address
        self.port = self.reactor.listenUDP(port, self, host, maxPacketSize=MAX_READ_BYTES)

    def close(self) -> None:
        """Stop listening and sending."""
        if self.port:
            self.port.stopListening()
        self.port = None

    def datagramReceived(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Pass an accepted message on, or count a rejected datagram."""
        try:
            opened = self.guard.open(datagram)
        except DatagramRejectedError:
            self._count_rejected()
            return
        self.on_message(MessageReceived(opened.sender, opened.to, opened.message))

    def send(self, me: MemberRecord, command: SendMessage) -> None:
        """Seal and send a message; count and log a message that cannot be sent."""
        if self.port is None:
            return
        try:
            datagram = self.guard.seal(me, command.to, command.message)
            self.port.write(datagram, (command.host, command.port))
            self.sent += 1
        except (OSError, MessageLengthError, ValueError) as error:
            self.guard.counts[UNSENT] += 1
            self.log.info("peers-unsent", str(error), to=f"{command.host}:{command.port}")

    def reload_keys(self) -> None:
        """Load the keys if the key file has changed; keep the old keys if the file cannot be used."""
        try:
            if FileVersion.of(os.stat(self.key_path)) == self.key_file_version:
                return
            keys, self.key_file_version = read_keys(self.key_path)
        except (OSError, StartError) as error:
            self.log.info("peers-keys", f"{error}; the old keys stay")
            return
        if keys != self.guard.keys:
            self.guard.keys = keys
            self.log.info("peers-keys", "keys reloaded", keys=len(keys), seals=keys[0].name.hex())

    def report(self) -> None:
        """Log one line with the counts of datagrams rejected or not sent since the last report."""
        counts = self.guard.counts
        increases = {
            reason.replace(" ", "_"): count - self.reported_counts[reason]
            for reason, count in counts.items()
            if reason != ACCEPTED and count > self.reported_counts[reason]
        }
        self.reported_counts = Counter(counts)
        if increases:
            self.log.info("peers-dropped", **increases)

    def _count_rejected(self) -> None:
        """Count a rejected datagram, and stop reading for the rest of the interval beyond the maximum.

        A flood of invalid datagrams then uses only a part of a CPU core, because the kernel drops datagrams
        that exceed the socket buffer.
        """
        self.rejected_in_interval += 1
        if not self.is_interval_open:
            self.is_interval_open = True
            self.reactor.callLater(REJECTION_INTERVAL / 1e6, self._end_interval)
        elif self.rejected_in_interval == MAX_REJECTED:
            self.guard.counts[UNREAD_INTERVALS] += 1
            self.port.stopReading()

    def _end_interval(self) -> None:
        if self.rejected_in_interval >= MAX_REJECTED and self.port:
            self.port.startReading()
        self.rejected_in_interval = 0
        self.is_interval_open = False
