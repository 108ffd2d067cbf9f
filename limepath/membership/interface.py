"""Events, commands and messages of the membership logic.

Times are whole microseconds of the instance's own clock. Names of classes and fields are not on the wire: a
message is an array of its fields in their order, behind its tag.
"""

from enum import IntEnum
from typing import Any, NamedTuple

import msgspec

from limepath.hashing import MASK_64, mix64

REFUTATION_BITS = 20
"""Low bits of an incarnation, which count the refutations of one generation."""

GENERATION_SPREAD = 0x9E3779B97F4A7C15  # 2**64 over the golden ratio (Knuth, multiplicative hashing)

OLDEST_VERSION = 1  # of the protocol
NEWEST_VERSION = 3
DIGEST_VERSION = 2  # since which pings and acks carry the digest of the view; 3 added digests by token range


class MemberState(IntEnum):
    """What a member is known to be; of one incarnation, the higher state overrides the lower."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberRecord(NamedTuple):
    """What is known of one member. Sent as an array in this order.

    A generation is one start of a member; its number is kept in the member's store (row "life") and grows at
    each start. An incarnation (SWIM, section 4.2) is (generation << REFUTATION_BITS) + the suspicions that
    the member has refuted in that generation, so that any later start overrides all that was said before.
    """

    token: int
    """Identity of the member's store: 63 random bits, drawn when the store is made."""
    name: str
    host: str
    port: int
    incarnation: int
    birth: int
    """Wall clock at the member's start, in microseconds since 1970."""
    state: int = 0
    """A MemberState; a plain number, for a later version may send others."""
    reported_by: int = 0
    """Token of the member that suspects this one or declared it dead."""

    @property
    def generation(self) -> int:
        """Number of the member's start."""
        return self.incarnation >> REFUTATION_BITS

    @property
    def session_token(self) -> int:
        """Name of this generation of this member, never 0.

        Each message carries that of the receiver it is meant for: what was meant for an earlier generation
        changes nothing.
        """
        return mix64(self.token ^ self.generation * GENERATION_SPREAD & MASK_64) or 1

    @property
    def is_live(self) -> bool:
        """Whether the member counts as alive; a suspect does."""
        return self.state <= MemberState.SUSPECT


# Messages


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages between instances.

    Later versions add fields at the end only: an older reader ignores them, and a newer reader takes their
    defaults from an older sender.
    """


class Hello(Message, frozen=True, tag="h"):
    """Request for a Welcome: the sender does not know the receiver's generation, or was not known by it."""


class Welcome(Message, frozen=True, tag="w"):
    """Answer to Hello, with records that are being disseminated."""

    records: tuple[MemberRecord, ...] = ()


class Ping(Message, frozen=True, tag="p"):
    """Probe of the receiver; `seq` 0 disseminates only and is acknowledged too, but nobody waits for it."""

    seq: int
    records: tuple[MemberRecord, ...] = ()
    digest: int = 0
    """Digest of the sender's view; 0 before version 2."""


class Ack(Message, frozen=True, tag="a"):
    """Answer to a Ping of the same `seq`."""

    seq: int
    records: tuple[MemberRecord, ...] = ()
    digest: int = 0


class IndirectPing(Message, frozen=True, tag="f"):
    """Request to probe `about` in the sender's stead (ping-req of SWIM, section 3.1)."""

    seq: int
    about: MemberRecord
    records: tuple[MemberRecord, ...] = ()


class Pull(Message, frozen=True, tag="l"):
    """Request for the records of live members, in the order of tokens, after token `after`.

    With `buckets`, the sender's digests by token range (version 3), only for ranges whose digests differ.
    """

    after: int = -1
    buckets: tuple[int, ...] = ()


class MemberPage(Message, frozen=True, tag="g"):
    """Answer to Pull; `last` if no record is left behind it."""

    records: tuple[MemberRecord, ...]
    last: bool = False


MESSAGES = (Hello, Welcome, Ping, Ack, IndirectPing, Pull, MemberPage)


# Events


class MessageReceived(NamedTuple):
    """A message that is authentic and no replay."""

    sender: MemberRecord
    to: int
    """Session token of the receiver that the sender meant; 0 if the sender knew none."""
    message: Message


class LeaveRequested(NamedTuple):
    """The host is about to stop: leave the group in an orderly way."""


# Commands


class SendMessage(NamedTuple):
    """Send `message` to an address."""

    host: str
    port: int
    to: int
    """Session token of the receiver that is meant; 0 if it is not known."""
    message: Message


class MemberJoined(NamedTuple):
    """`member` counts as alive from now on, until MemberLeft."""

    member: MemberRecord


class MemberLeft(NamedTuple):
    """`member` was declared dead, has left, or has started again (MemberJoined follows then)."""

    member: MemberRecord


class YieldIdentity(NamedTuple):
    """`other` goes on under this instance's identity; this instance must take no further part."""

    other: MemberRecord
    why: str


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
