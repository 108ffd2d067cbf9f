"""Datagrams to messages and back: authentic, new, of a known version and a bounded size, or dropped and
counted.

A datagram is b"LP", a version byte (generation and version within it), four bytes that name the key, the body
in msgpack, and 16 bytes of keyed BLAKE2b (RFC 7693) over all before. The body names the sender (its News),
the life that is meant, a counter and the message. A counter that was there is a replay: a window of WINDOW
behind the highest is kept for each life that speaks. What was recorded before this life began names another
door and changes nothing (`members` sees to that). Versions of one generation read each other: fields are
added at the end of messages only, unknown messages are dropped. Free of I/O.
"""

from collections import Counter, OrderedDict
from hashlib import blake2b
from hmac import compare_digest
from typing import NamedTuple, Union

import msgspec

from limepath.membership.interface import MESSAGES, NEWEST_VERSION, OLDEST_VERSION, MemberRecord

MAX_DATAGRAM_BYTES = 1400  # bytes of a datagram: no fragments on an Ethernet
SEAL_BYTES, HEADER_BYTES, REPLAY_WINDOW, MAX_SENDERS = 16, 7, 256, 4096
MIN_KEY_BYTES = 16


class DatagramRejectedError(Exception):
    """Its text is the kind, as counted."""


class KeyFileError(Exception):
    """A key file that can't be used; the text names the line."""


class Key(NamedTuple):
    name: bytes
    secret: bytes


def parse_keys(text):
    """The keys of a file: one a line in hexadecimal; the first one seals, all of them open."""
    keys = []
    for number, line in enumerate(text.splitlines(), 1):
        line = line.partition("#")[0].strip()
        if not line:
            continue
        try:
            secret = bytes.fromhex(line)
        except ValueError:
            raise KeyFileError(f"line {number}: no hexadecimal key") from None
        if not MIN_KEY_BYTES <= len(secret) <= 64:
            raise KeyFileError(f"line {number}: a key has {MIN_KEY_BYTES} to 64 bytes")
        key = Key(blake2b(secret, digest_size=4, person=b"limepath").digest(), secret)
        if key in keys:
            raise KeyFileError(f"line {number}: this key stands twice")
        keys.append(key)
    if not keys:
        raise KeyFileError("no key")
    return tuple(keys)


class ReplayWindow:
    """Which counters of one life were there."""

    __slots__ = ("top", "bits")

    def __init__(self):
        self.top, self.bits = -1, 0

    def is_new(self, counter):
        """Whether a number comes for the first time, as far as the window reaches."""
        if counter > self.top:
            self.bits = (self.bits << min(REPLAY_WINDOW, counter - self.top) | 1) & (1 << REPLAY_WINDOW) - 1
            self.top = counter
            return True
        behind = self.top - counter
        if behind >= REPLAY_WINDOW or self.bits >> behind & 1:
            return False
        self.bits |= 1 << behind
        return True


class Guard:
    """`types` are all messages that this instance takes; `speaks` is its newest version."""

    def __init__(self, keys, types=MESSAGES, speaks=NEWEST_VERSION):
        self.keys, self.speaks, self.counter = keys, speaks, 0
        self.windows, self.counts = OrderedDict(), Counter()
        self.encoder = msgspec.msgpack.Encoder()
        body = tuple[MemberRecord, int, int, msgspec.Raw]
        self.envelope = msgspec.msgpack.Decoder(body)
        self.message = msgspec.msgpack.Decoder(Union[tuple(types)])  # noqa: UP007 (made from a tuple)

    def seal(self, me, to, message):
        """The datagram's bytes; ValueError when they would be too many."""
        key = self.keys[0]
        body = self.encoder.encode((me, to, self.counter, message))
        self.counter += 1
        if len(body) + HEADER_BYTES + SEAL_BYTES > MAX_DATAGRAM_BYTES:
            raise ValueError(f"a {type(message).__name__} of {len(body)} bytes")
        head = b"LP" + bytes((OLDEST_VERSION << 4 | self.speaks,)) + key.name + body
        return head + blake2b(head, key=key.secret, digest_size=SEAL_BYTES).digest()

    def open(self, datagram):
        """Give (sender, to, message); raise Dropped."""
        try:
            opened = self.opened(datagram)
        except DatagramRejectedError as error:
            self.counts[str(error)] += 1
            raise
        self.counts["taken"] += 1
        return opened

    def opened(self, datagram):
        if len(datagram) > MAX_DATAGRAM_BYTES:
            raise DatagramRejectedError("oversized")
        if len(datagram) <= HEADER_BYTES + SEAL_BYTES or datagram[:2] != b"LP":
            raise DatagramRejectedError("noise")
        if datagram[2] >> 4 != OLDEST_VERSION:
            raise DatagramRejectedError("version")
        name = datagram[3:7]
        key = next((key for key in self.keys if key.name == name), None)
        if key is None:
            raise DatagramRejectedError("unknown key")
        told = blake2b(datagram[:-SEAL_BYTES], key=key.secret, digest_size=SEAL_BYTES).digest()
        if not compare_digest(told, datagram[-SEAL_BYTES:]):
            raise DatagramRejectedError("forged")
        try:
            sender, to, counter, raw = self.envelope.decode(datagram[HEADER_BYTES:-SEAL_BYTES])
            message = self.message.decode(raw)
        except msgspec.ValidationError:
            raise DatagramRejectedError("unknown message") from None
        except (msgspec.DecodeError, UnicodeDecodeError):
            raise DatagramRejectedError("unreadable") from None
        if counter < 0 or not 0 <= sender.port < 65_536 or len(sender.name) > 32:
            raise DatagramRejectedError("unreadable")
        if not self.window(sender).is_new(counter):
            raise DatagramRejectedError("replayed")
        return sender, to, message

    def window(self, sender):
        """The window of the life that speaks; the one unheard for longest goes where there are too many."""
        key = sender.token, sender.birth, sender.generation
        if key in self.windows:
            self.windows.move_to_end(key)
        else:
            if len(self.windows) >= MAX_SENDERS:
                self.windows.popitem(last=False)
            self.windows[key] = ReplayWindow()
        return self.windows[key]
