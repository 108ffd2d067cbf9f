"""The interface of the membership logic: what it is told at start, notes in, orders out, and the messages.

Times are whole microseconds of the instance's own clock. A generation is one start of an instance: its number
is kept in the store (row "life") and grows at each start. An incarnation is (generation << REFUTATION_BITS) +
the number of suspicions refuted in that generation.
"""

from enum import IntEnum
from typing import NamedTuple

import msgspec

from limepath.hashing import MASK_64, mix64

REFUTATION_BITS = 20  # bits
OLDEST_VERSION, NEWEST_VERSION = (
    1,
    3,
)  # of what is spoken; version 2 brought the digest of the view, 3 digests by range


class MemberState(IntEnum):
    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberRecord(NamedTuple):
    """What is known of one instance; `token` is drawn when its store is made, `birth` at each start."""

    token: int
    name: str
    host: str
    port: int
    incarnation: int
    birth: int
    state: int = 0
    reported_by: int = 0  # the token of who suspects or declares

    @property
    def generation(self):
        return self.incarnation >> REFUTATION_BITS

    @property
    def session_token(self):
        """Names this generation of this instance; a message carries that of the instance it is meant for."""
        return mix64(self.token ^ self.generation * 0x9E3779B97F4A7C15 & MASK_64) or 1


# Messages


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Later versions add fields at the end; an older reader leaves them out, an older sender has the
    defaults.
    """


class Hello(Message, tag="h"):
    """From one that does not know the life that it speaks to, or was not known by it."""


class Welcome(Message, tag="w"):
    records: tuple[MemberRecord, ...] = ()


class Ping(Message, tag="p"):
    seq: int
    records: tuple[MemberRecord, ...] = ()
    digest: int = 0


class Ack(Message, tag="a"):
    seq: int
    records: tuple[MemberRecord, ...] = ()
    digest: int = 0


class IndirectPing(Message, tag="f"):
    """Check that one in my stead."""

    seq: int
    about: MemberRecord
    records: tuple[MemberRecord, ...] = ()


class Pull(Message, tag="l"):
    """Tell me whom you know alive, in the order of tokens, after this one; where I tell my digests by range
    of tokens (version 3), only what lies in ranges that differ.
    """

    after: int = -1
    buckets: tuple[int, ...] = ()


class MemberPage(Message, tag="g"):
    records: tuple[MemberRecord, ...]
    last: bool = False


MESSAGES = (Hello, Welcome, Ping, Ack, IndirectPing, Pull, MemberPage)


# Notes in


class MessageReceived(NamedTuple):
    """A message that is authentic and new; `to` is the door that its sender meant, 0 if it knew none."""

    sender: MemberRecord
    to: int
    message: Message


class LeaveRequested(NamedTuple):
    """Leave in an orderly way."""


# Orders out


class SendMessage(NamedTuple):
    host: str
    port: int
    to: int
    message: Message


class MemberJoined(NamedTuple):
    """Counts as alive from now on, until Parted."""

    member: MemberRecord


class MemberLeft(NamedTuple):
    member: MemberRecord


class YieldIdentity(NamedTuple):
    """Another holds this identity; this instance must stop sharing."""

    other: MemberRecord
    why: str


class MessageRelayed(NamedTuple):
    """A message of another logic, from one that lives."""

    sender: MemberRecord
    message: Message


class LeaveCompleted(NamedTuple):
    """The others have been told; the host may go."""


class LogEvent(NamedTuple):
    """For the log."""

    event: str
    fields: dict
