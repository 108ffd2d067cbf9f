"""Events, commands and messages of the membership logic.

Times are whole microseconds of the instance's own clock. Names of classes and fields are not part of the wire
format: a message is encoded as an array of its tag and its fields in their order.
"""

from enum import IntEnum
from typing import Any, NamedTuple

import msgspec

from limepath.hashing import MASK_64, mix64

REFUTATION_BITS = 20
"""Number of low bits of an incarnation that count the refutations of one generation."""

GENERATION_MULTIPLIER = 0x9E3779B97F4A7C15  # 2**64 over the golden ratio (Knuth, multiplicative hashing)

OLDEST_VERSION = 1  # protocol versions
NEWEST_VERSION = 3
DIGEST_VERSION = 2  # first version with the view's digest in pings and acks; 3 added digests by token range


class MemberState(IntEnum):
    """State of a member; within one incarnation, the higher state overrides the lower."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberRecord(NamedTuple):
    """The identity, address and state of one member. Encoded as an array in this order.

    A generation is one start of a member. Its number is kept in the member's store (row "life") and grows at
    each start. An incarnation (SWIM, section 4.2) is (generation << REFUTATION_BITS) plus the number of
    suspicions that the member has refuted in that generation, so that a later start overrides all records of
    earlier ones.
    """

    token: int
    """Identity of the member's store: 63 random bits, drawn when the store is created."""
    name: str
    host: str
    port: int
    incarnation: int
    birth: int
    """Wall-clock time of the member's start, in microseconds since 1970."""
    state: int = 0
    """A MemberState; a plain number, because a later version may send other values."""
    reported_by: int = 0
    """Token of the member that suspects this one or declared it dead."""

    @property
    def generation(self) -> int:
        """Number of the member's start."""
        return self.incarnation >> REFUTATION_BITS

    @property
    def session_token(self) -> int:
        """Identifier of this generation of this member, never 0.

        Each message carries the session token of its intended receiver, so that a message to an earlier
        generation has no effect.
        """
        return mix64(self.token ^ self.generation * GENERATION_MULTIPLIER & MASK_64) or 1

    @property
    def is_live(self) -> bool:
        """Whether the member is alive or suspected."""
        return self.state <= MemberState.SUSPECT


# Messages


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages between instances.

    Later versions add fields at the end only. An older reader ignores them, and a newer reader uses their
    defaults for messages of an older sender.
    """


class Hello(Message, frozen=True, tag="h"):
    """Request for a Welcome, sent when the generation of the receiver or of the sender was not known."""


class Welcome(Message, frozen=True, tag="w"):
    """Answer to Hello, with records that are being disseminated."""

    records: tuple[MemberRecord, ...] = ()


class Ping(Message, frozen=True, tag="p"):
    """Probe of the receiver. With `seq` 0 it only carries records, and its Ack is not awaited."""

    seq: int
    records: tuple[MemberRecord, ...] = ()
    digest: int = 0
    """Digest of the sender's view; 0 from versions before 2."""


class Ack(Message, frozen=True, tag="a"):
    """Answer to a Ping of the same `seq`."""

    seq: int
    records: tuple[MemberRecord, ...] = ()
    digest: int = 0


class IndirectPing(Message, frozen=True, tag="f"):
    """Request to probe `about` on behalf of the sender (ping-req of SWIM, section 3.1)."""

    seq: int
    about: MemberRecord
    records: tuple[MemberRecord, ...] = ()


class Pull(Message, frozen=True, tag="l"):
    """Request for the records of live members with tokens above `after`, in the order of tokens.

    With `buckets`, the sender's digests by token range (version 3), the request is limited to ranges whose
    digests differ.
    """

    after: int = -1
    buckets: tuple[int, ...] = ()


class MemberPage(Message, frozen=True, tag="g"):
    """Answer to Pull; `last` is set if no more records follow."""

    records: tuple[MemberRecord, ...]
    last: bool = False


MESSAGES = (Hello, Welcome, Ping, Ack, IndirectPing, Pull, MemberPage)


# Events


class MessageReceived(NamedTuple):
    """An authentic message that is not a replay."""

    sender: MemberRecord
    to: int
    """Session token of the receiver that the message is addressed to; 0 if the sender did not know it."""
    message: Message


class LeaveRequested(NamedTuple):
    """The host is about to stop, and the instance should leave the group in an orderly way."""


# Commands


class SendMessage(NamedTuple):
    """Send `message` to the address `host`:`port`."""

    host: str
    port: int
    to: int
    """Session token of the receiver that the message is addressed to; 0 if it is not known."""
    message: Message


class MemberJoined(NamedTuple):
    """`member` is live from now on, until MemberLeft."""

    member: MemberRecord


class MemberLeft(NamedTuple):
    """`member` was declared dead, has left, or has restarted; after a restart MemberJoined follows."""

    member: MemberRecord


class YieldIdentity(NamedTuple):
    """`other` keeps running under this instance's identity; this instance must leave the group at once."""

    other: MemberRecord
    reason: str


class MessageRelayed(NamedTuple):
    """A message of another protocol, from a live member."""

    sender: MemberRecord
    message: Message


class LeaveCompleted(NamedTuple):
    """The other members have been notified of the leave; the host may stop."""


class LogEvent(NamedTuple):
    """A line for the log."""

    event: str
    fields: dict[str, Any]
