"""Seals messages into datagrams and opens received ones.

A datagram is rejected if it is not authentic, is a replay, has an unknown version or exceeds the size limit.
Its layout is

    b"LP" | version | key name | body | seal
    2       1         4          n      16 bytes

The version byte holds the oldest version that the sender reads (high four bits) and the version that it sends
(low four bits). The key name identifies the key of the seal. The body is msgpack: the sender's record, the
session token of the intended receiver, a counter and the message. The seal is a keyed BLAKE2b hash (RFC 7693)
over all preceding bytes.

A counter that was received before marks a replay. For each sending generation, a window of counters below the
highest one is kept. A datagram recorded before this instance's generation began carries another session
token, and `members` ignores it. Versions with the same oldest version can read each other, because fields are
added only at the end of messages and unknown messages are rejected. This module does no I/O.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterable
from enum import StrEnum
from hashlib import blake2b
from hmac import compare_digest
from typing import Any, NamedTuple, Union

import msgspec

from limepath.membership.interface import (
    MESSAGES,
    NEWEST_VERSION,
    OLDEST_VERSION,
    MemberRecord,
    Message,
)

MAX_DATAGRAM_BYTES = 1400  # not fragmented on Ethernet
MAGIC = b"LP"
VERSION_OFFSET = len(MAGIC)
KEY_NAME_OFFSET = VERSION_OFFSET + 1
KEY_NAME_BYTES = 4
HEADER_BYTES = KEY_NAME_OFFSET + KEY_NAME_BYTES
SEAL_BYTES = 16

REPLAY_WINDOW = 256  # counters, from the highest one down, that the window covers
MAX_SENDERS = 4096  # sending generations whose windows are kept

MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64  # limit of BLAKE2b
MAX_NAME_CHARACTERS = 32
MAX_PORT = 65_535

ACCEPTED = "taken"  # name of the count of accepted datagrams in the control socket's views


class RejectionReason(StrEnum):
    """Why a datagram was rejected; the values name the counts in views and logs."""

    OVERSIZED = "oversized"
    NOISE = "noise"
    VERSION = "version"
    UNKNOWN_KEY = "unknown key"
    FORGED = "forged"
    UNKNOWN_MESSAGE = "unknown message"
    UNREADABLE = "unreadable"
    REPLAYED = "replayed"


class DatagramRejectedError(Exception):
    """A received datagram was rejected; the text is the value of the reason."""

    def __init__(self, reason: RejectionReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class DatagramTooLargeError(ValueError):
    """A message is too long for one datagram; the text names its type and size."""


class KeyFileError(Exception):
    """A key file is invalid; the text names the line, if the fault is in one line."""


class Key(NamedTuple):
    """A shared secret, and the name that identifies it in datagrams."""

    name: bytes
    secret: bytes


class OpenedDatagram(NamedTuple):
    """The contents of an accepted datagram; `to` is the session token of the intended receiver."""

    sender: MemberRecord
    to: int
    message: Any
    """A message of one of the types that the guard accepts."""


def parse_keys(text: str) -> tuple[Key, ...]:
    """Parse the text of a key file: one hexadecimal key per line, with `#` comments.

    The first key seals datagrams; all keys open them. Raises KeyFileError.
    """
    keys: list[Key] = []
    for number, line in enumerate(text.splitlines(), 1):
        content = line.partition("#")[0].strip()
        if not content:
            continue
        key = _parse_key(content, number)
        if key in keys:
            raise KeyFileError(f"line {number}: this key is listed twice")
        keys.append(key)
    if not keys:
        raise KeyFileError("the file contains no key")
    return tuple(keys)


def _parse_key(content: str, line_number: int) -> Key:
    try:
        secret = bytes.fromhex(content)
    except ValueError:
        raise KeyFileError(f"line {line_number}: not a hexadecimal key") from None
    if not MIN_KEY_BYTES <= len(secret) <= MAX_KEY_BYTES:
        raise KeyFileError(f"line {line_number}: a key must have {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes")
    name = blake2b(secret, digest_size=KEY_NAME_BYTES, person=b"limepath").digest()
    return Key(name, secret)


class ReplayWindow:
    """The received counters of one generation (the anti-replay window of RFC 4303, section 3.4.3)."""

    __slots__ = ("highest", "received")

    def __init__(self) -> None:
        self.highest = -1
        self.received = 0
        """Bit set of received counters: bit n stands for the counter `highest` - n."""

    def is_new(self, counter: int) -> bool:
        """Return whether a counter is received for the first time, and record it.

        Counters below the window count as received.
        """
        if counter > self.highest:
            shift = min(REPLAY_WINDOW, counter - self.highest)
            self.received = (self.received << shift | 1) & (1 << REPLAY_WINDOW) - 1
            self.highest = counter
            return True
        distance = self.highest - counter
        if distance >= REPLAY_WINDOW or self.received >> distance & 1:
            return False
        self.received |= 1 << distance
        return True


class Guard:
    """Seals and opens datagrams, and counts accepted and rejected ones."""

    def __init__(
        self,
        keys: tuple[Key, ...],
        types: Iterable[type[Message]] = MESSAGES,
        version: int = NEWEST_VERSION,
    ) -> None:
        """Accept messages of `types`, which are those of all protocols on the socket; send `version`."""
        self.keys = keys
        self.version = version
        self.counter = 0
        """Counter of the next sealed datagram."""
        self.windows: OrderedDict[tuple[int, int, int], ReplayWindow] = OrderedDict()
        """Replay windows by token, birth and generation of the sender, the least recently used first."""
        self.counts: Counter[str] = Counter()
        """Number of accepted datagrams, and of rejected ones by reason."""
        self.encoder = msgspec.msgpack.Encoder()
        body = tuple[MemberRecord, int, int, msgspec.Raw]
        self.body_decoder = msgspec.msgpack.Decoder(body)
        self.message_decoder = msgspec.msgpack.Decoder(Union[tuple(types)])  # noqa: UP007 (built from a tuple)

    def seal(self, me: MemberRecord, to: int, message: Message) -> bytes:
        """Return the sealed datagram of a message to the session `to`; raise DatagramTooLargeError."""
        key = self.keys[0]
        body = self.encoder.encode((me, to, self.counter, message))
        self.counter += 1
        if len(body) + HEADER_BYTES + SEAL_BYTES > MAX_DATAGRAM_BYTES:
            raise DatagramTooLargeError(
                f"a {type(message).__name__} of {len(body)} bytes is too large for a datagram"
            )
        version = bytes((OLDEST_VERSION << 4 | self.version,))
        sealed = MAGIC + version + key.name + body
        return sealed + _seal_of(sealed, key)

    def open(self, datagram: bytes) -> OpenedDatagram:
        """Return the contents of a datagram, and count it; raise DatagramRejectedError."""
        try:
            opened = self._open(datagram)
        except DatagramRejectedError as error:
            self.counts[error.reason.value] += 1
            raise
        self.counts[ACCEPTED] += 1
        return opened

    def _open(self, datagram: bytes) -> OpenedDatagram:
        self._authenticate(datagram)
        sender, to, counter, message = self._decode(datagram)
        has_valid_sender = 0 <= sender.port <= MAX_PORT and len(sender.name) <= MAX_NAME_CHARACTERS
        if counter < 0 or not has_valid_sender:
            raise DatagramRejectedError(RejectionReason.UNREADABLE)
        if not self._window_of(sender).is_new(counter):
            raise DatagramRejectedError(RejectionReason.REPLAYED)
        return OpenedDatagram(sender, to, message)

    def _authenticate(self, datagram: bytes) -> None:
        """Check the size, the version and the seal of a datagram; raise DatagramRejectedError."""
        if len(datagram) > MAX_DATAGRAM_BYTES:
            raise DatagramRejectedError(RejectionReason.OVERSIZED)
        if len(datagram) <= HEADER_BYTES + SEAL_BYTES or not datagram.startswith(MAGIC):
            raise DatagramRejectedError(RejectionReason.NOISE)
        if datagram[VERSION_OFFSET] >> 4 != OLDEST_VERSION:
            raise DatagramRejectedError(RejectionReason.VERSION)
        name = datagram[KEY_NAME_OFFSET:HEADER_BYTES]
        key = next((key for key in self.keys if key.name == name), None)
        if key is None:
            raise DatagramRejectedError(RejectionReason.UNKNOWN_KEY)
        expected = _seal_of(datagram[:-SEAL_BYTES], key)
        if not compare_digest(expected, datagram[-SEAL_BYTES:]):
            raise DatagramRejectedError(RejectionReason.FORGED)

    def _decode(self, datagram: bytes) -> tuple[MemberRecord, int, int, Any]:
        """Return sender, session token, counter and message of an authentic datagram."""
        try:
            sender, to, counter, raw = self.body_decoder.decode(datagram[HEADER_BYTES:-SEAL_BYTES])
            return sender, to, counter, self.message_decoder.decode(raw)
        except msgspec.ValidationError:
            raise DatagramRejectedError(RejectionReason.UNKNOWN_MESSAGE) from None
        except (msgspec.DecodeError, UnicodeDecodeError):
            raise DatagramRejectedError(RejectionReason.UNREADABLE) from None

    def _window_of(self, sender: MemberRecord) -> ReplayWindow:
        """Return the replay window of the sender's generation.

        If there is none, create it, and remove the least recently used one beyond MAX_SENDERS.
        """
        key = (sender.token, sender.birth, sender.generation)
        window = self.windows.get(key)
        if window is not None:
            self.windows.move_to_end(key)
            return window
        if len(self.windows) >= MAX_SENDERS:
            self.windows.popitem(last=False)
        window = ReplayWindow()
        self.windows[key] = window
        return window


def _seal_of(data: bytes, key: Key) -> bytes:
    return blake2b(data, key=key.secret, digest_size=SEAL_BYTES).digest()
