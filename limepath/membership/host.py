"""Datagrams between instances, on a socket: opened by the guard, gathered for one `handle`, orders sent."""

import os
from collections import Counter

from twisted.internet.error import MessageLengthError
from twisted.internet.protocol import DatagramProtocol

from limepath.membership.guard import DatagramRejectedError, Guard, KeyFileError, parse_keys
from limepath.membership.interface import MessageReceived

SLICE, TAKEN = (
    50_000,
    400,
)  # microseconds; datagrams that may be dropped in one before it is left unread to its end


class StartError(Exception):
    """The keys or the socket can't be had; the text names which."""


def read_keys(path):
    """(keys, the file's mark: when it was changed and its size)."""
    try:
        mark = os.stat(path)
        if mark.st_mode & 0o077:
            raise StartError(f"{path}: open to others; its mode should be 600")
        with open(path, encoding="ascii") as file:
            return parse_keys(file.read()), (mark.st_mtime_ns, mark.st_size)
    except OSError as error:
        raise StartError(f"{path}: {error.strerror}") from None
    except (KeyFileError, UnicodeDecodeError) as error:
        raise StartError(f"{path}: {error}") from None


class DatagramSocket(DatagramProtocol):
    """One socket. `gather(note)` takes what was heard."""

    def __init__(self, reactor, address, keys, types, log, gather):
        self.reactor, self.address, self.path, self.log, self.gather = reactor, address, keys, log, gather
        told, self.mark = read_keys(keys)
        self.guard = Guard(told, types)
        self.port, self.reported, self.sent = None, Counter(), 0
        self.bad, self.sliced = 0, False

    def open(self):
        self.port = self.reactor.listenUDP(self.address[1], self, self.address[0], maxPacketSize=2048)

    def close(self):
        if self.port:
            self.port.stopListening()
        self.port = None

    def datagramReceived(self, datagram, address):
        try:
            self.gather(MessageReceived(*self.guard.open(datagram)))
        except DatagramRejectedError:
            self.bad += 1  # counted by kind there, told by `report`
            if not self.sliced:
                self.sliced = True
                self.reactor.callLater(SLICE / 1e6, self.sliced_over)
            elif self.bad == TAKEN:
                self.guard.counts["left unread"] += 1  # slices
                self.port.stopReading()

    def sliced_over(self):
        """Whoever floods the port takes a part of a core, not all; the system drops what it has no room
        for.
        """
        if self.bad >= TAKEN and self.port:
            self.port.startReading()
        self.bad, self.sliced = 0, False

    def send(self, me, order):
        if self.port is None:
            return
        try:
            self.port.write(self.guard.seal(me, order.to, order.message), (order.host, order.port))
            self.sent += 1
        except (OSError, MessageLengthError, ValueError) as error:
            self.guard.counts["unsent"] += 1
            self.log.say("peers-unsent", str(error), to=f"{order.host}:{order.port}")

    def reread(self):
        """Take the key file's new keys; a file that can't be used leaves the old ones."""
        try:
            mark = os.stat(self.path)
            if (mark.st_mtime_ns, mark.st_size) == self.mark:
                return
            keys, self.mark = read_keys(self.path)
        except (OSError, StartError) as error:
            self.log.say("peers-keys", f"{error}; the old keys stay")
            return
        if keys != self.guard.keys:
            self.guard.keys = keys
            self.log.say("peers-keys", "read anew", keys=len(keys), seals=keys[0].name.hex())

    def report(self):
        """One line for all that was dropped since the last."""
        news = {
            kind.replace(" ", "_"): count - self.reported[kind]
            for kind, count in self.guard.counts.items()
            if kind != "taken" and count > self.reported[kind]
        }
        self.reported = Counter(self.guard.counts)
        if news:
            self.log.say("peers-dropped", **news)
