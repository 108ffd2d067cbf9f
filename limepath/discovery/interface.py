"""Defines the interface of the discovery logic: messages between fronts, input events and output commands.

Times and ages are integers, in microseconds of the instance's own monotonic clock. A purge's `time` is in
milliseconds of the service's Unix clock; it is trusted only within the limits that this front has observed
on its own clock.

The tag of a message and the order of its fields are the wire format; class and field names are not.
"""

from enum import IntEnum, StrEnum
from typing import Any, NamedTuple

import msgspec

from limepath.membership.interface import Message


class Revision(NamedTuple):
    """A version of the endpoint list: the number of its last event, and the generation of the numbering.

    A new generation starts when the service's event numbers run backwards.
    """

    generation: int = 0
    number: int = 0


class Role(StrEnum):
    """How a front gets the list; the values appear in logs and reports."""

    FOLLOWER = "follows"
    RELAY = "relays"  # among the first of its zone by hash: holds a stream or tries to open one
    STANDALONE = "alone"  # calls the service for itself, because no known relay is up to date


class SubscriptionMode(IntEnum):
    """What a front sends to a subscriber in addition to heartbeats."""

    TEXTS = 0  # `Events` messages, which older program versions can read
    BATCHES = 1  # `EventBatch` messages
    HEARTBEATS = 2  # heartbeats only


# Messages between fronts


class ScopeAnnouncement(Message, tag="lw"):
    """Announces the zone and site of the sender; `wants_reply` requests those of the receiver."""

    zone: str
    wants_reply: bool = False
    site: str = ""


class Subscribe(Message, tag="lf"):
    """Renews a subscription from the sender's revision on, and acknowledges all events up to it.

    `resend` requests the later events again, because they were lost. `stamp` is the time of the sender's
    clock; replies echo it, which bounds their age.
    """

    zone: str
    generation: int
    number: int
    mode: int = SubscriptionMode.TEXTS
    site: str = ""
    resend: bool = False
    stamp: int = 0


class Heartbeat(Message, tag="lb"):
    """Reports the sender's revision, and how long ago the service itself last confirmed it.

    `age` is -1 if the service never confirmed the revision. `failing_for` is how long calls to the service
    have been failing. `refused` is set if the sender accepts no more subscribers. `oldest_available` is the
    oldest event that the sender can still send, or -1 from an older program version. `stamp` is copied from
    the Subscribe that this message answers, or 0.
    """

    zone: str
    generation: int
    number: int
    digest: int
    age: int
    failing_for: int = 0
    subscribers: int = 0
    refused: bool = False
    site: str = ""
    oldest_available: int = -1
    stamp: int = 0


class Events(Message, tag="le"):
    """Carries events `first`, `first` + 1, ... in the service's JSON text; up to date as of `age` ago."""

    generation: int
    first: int
    texts: tuple[str, ...]
    age: int


class EventBatch(Message, tag="lt"):
    """Carries events encoded by `event_coding.encode_batches`.

    Up to date as of `age` ago if this is the last batch; -1 otherwise. `stamp` is copied from the receiver's
    last Subscribe, which arrived `since_subscribe` before this message was sent.
    """

    generation: int
    first: int
    data: bytes
    age: int
    stamp: int = 0
    since_subscribe: int = 0


class ScopeQuery(Message, tag="ls"):
    """Requests the fronts of a zone in the receiver's directory whose token is above `after`.

    The reply is empty if the receiver's digest of the zone equals `digest`.
    """

    zone: str
    site: str
    digest: int
    after: int = -1


class ScopeReport(Message, tag="lr"):
    """Lists fronts of a zone by ascending token as (token, index in `sites`); `last` ends the list."""

    zone: str
    sites: tuple[str, ...] = ()
    fronts: tuple[tuple[int, int], ...] = ()
    last: bool = True


class PageChunkRequest(Message, tag="lc"):
    """Requests a chunk of a page of one snapshot, or of the newest snapshot if `number` is -1."""

    generation: int
    number: int
    snapshot_id: int
    page: int
    chunk: int


class PageChunk(Message, tag="ld"):
    """Carries one chunk of a page; `count` is its number of chunks, or 0 if the snapshot was dropped."""

    generation: int
    number: int
    snapshot_id: int
    page: int
    chunk: int
    count: int
    data: bytes = b""


class SnapshotChunkRequest(Message, tag="lq"):
    """Requests a chunk of a packed list, or of the newest one if `number` is -1."""

    generation: int
    number: int
    chunk: int


class SnapshotChunk(Message, tag="lp"):
    """Carries one chunk of a packed list.

    `count` is its number of chunks, or 0 if that list was dropped. `digest` covers all chunks.
    """

    generation: int
    number: int
    chunk: int
    count: int
    digest: bytes = b""
    data: bytes = b""


MESSAGES = (
    ScopeAnnouncement,
    Subscribe,
    Heartbeat,
    Events,
    SnapshotChunkRequest,
    SnapshotChunk,
    EventBatch,
    ScopeQuery,
    ScopeReport,
    PageChunkRequest,
    PageChunk,
)


# Input events


class PeerMessage(NamedTuple):
    """A message from another front, identified by its token, has arrived."""

    token: int
    message: msgspec.Struct


class StreamOpened(NamedTuple):
    """The service has accepted the call and started its response."""


class StreamActive(NamedTuple):
    """The stream has received data other than a complete event: a comment or a part of an event."""


class StreamEventReceived(NamedTuple):
    """A watch event of the service has arrived; `number` is its id in the stream, for logs only."""

    text: str
    number: str = ""


class StreamClosed(NamedTuple):
    """The stream has ended, or the call has failed."""

    reason: str


class ServiceMoved(NamedTuple):
    """The address of the service has changed."""


# Output commands


class OpenStream(NamedTuple):
    """Open a stream that starts after event `after`; 0 requests all events."""

    after: int


class CloseStream(NamedTuple):
    """Close the stream and ignore data that still arrives on it."""

    reason: str


class SendToMember(NamedTuple):
    """Send a message to the front with this token."""

    token: int
    message: msgspec.Struct


class ApplyEvent(NamedTuple):
    """Apply this event to the front.

    `purge_age` is the time since a front first received the purge in it, as far as is known, in microseconds.
    """

    event: dict[str, Any]
    purge_age: int = 0


class SaveSnapshot(NamedTuple):
    """Store the packed list."""

    data: bytes


class ListConfirmed(NamedTuple):
    """The service confirmed the list `age` ago for the first time, so that the front may become ready."""

    revision: Revision
    age: int


class FrontReady(NamedTuple):
    """The list is confirmed, and the delay that spreads the readiness of starting fronts has passed."""


class ListFreshnessChanged(NamedTuple):
    """Report whether the list is stale, that is, its last confirmation is older than the limit."""

    stale: bool


class LogEvent(NamedTuple):
    """Write a line to the log."""

    event: str
    fields: dict[str, Any]
