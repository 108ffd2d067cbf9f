"""The interface of the discovery logic: messages between fronts, events in and commands out.

Times are whole microseconds of the instance's own monotonic clock, ages included; a purge's `time` is the
service's Unix clock in milliseconds and is believed only as far as it fits what this front has seen itself.

The tag of a message and the order of its fields are the wire format; class and field names are not.
"""

from enum import IntEnum, StrEnum
from typing import Any, NamedTuple

import msgspec

from limepath.membership.interface import Message


class Revision(NamedTuple):
    """A version of the endpoint list: the number of its last event, and the generation of those numbers.

    A later generation follows when the service's own numbers ran backwards.
    """

    generation: int = 0
    number: int = 0


class Role(StrEnum):
    """How a front gets the list; the values stand in logs and reports."""

    FOLLOWER = "follows"
    RELAY = "relays"  # one of its zone's first by hash: holds a stream, or tries to
    STANDALONE = "alone"  # no relay that it knows is up to date: calls the service for itself


class SubscriptionMode(IntEnum):
    """What a subscriber wants of a front beside heartbeats."""

    TEXTS = 0  # Events, as an older program reads them
    BATCHES = 1
    HEARTBEATS = 2  # nothing


# Messages between fronts


class ScopeAnnouncement(Message, tag="lw"):
    """The zone and site of the sender; `wants_reply` asks for the receiver's."""

    zone: str
    wants_reply: bool = False
    site: str = ""


class Subscribe(Message, tag="lf"):
    """Renews a subscription from the sender's revision on, and acknowledges all events up to it.

    `resend`: what followed was lost and is to be sent at once. `stamp` is the sender's clock; answers echo
    it, and so bound their own age.
    """

    zone: str
    generation: int
    number: int
    mode: int = SubscriptionMode.TEXTS
    site: str = ""
    resend: bool = False
    stamp: int = 0


class Heartbeat(Message, tag="lb"):
    """The sender's revision, and how long ago the service itself last confirmed it.

    `age` is -1 where the service never did, `failing_for` how long calls to it have failed. `refused`: the
    sender has as many subscribers as it takes. `oldest_available` is the oldest event that it can still
    send, -1 where an older program does not say. `stamp` is of the Subscribe that this answers, else 0.
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
    """Events `first`, `first` + 1, ... as the service worded them; up to date as of `age` ago."""

    generation: int
    first: int
    texts: tuple[str, ...]
    age: int


class EventBatch(Message, tag="lt"):
    """Events coded by `event_coding.encode_batches`; up to date as of `age` ago if it is the last.

    `stamp` is of the receiver's last Subscribe, which had arrived `since_subscribe` before this was sent.
    """

    generation: int
    first: int
    data: bytes
    age: int
    stamp: int = 0
    since_subscribe: int = 0


class ScopeQuery(Message, tag="ls"):
    """Asks which fronts of a zone the receiver knows, with a token above `after`.

    The answer is empty where the receiver's digest of the zone is the same.
    """

    zone: str
    site: str
    digest: int
    after: int = -1


class ScopeReport(Message, tag="lr"):
    """Fronts of a zone in the order of their tokens: (token, index in `sites`); `last`: there are no more."""

    zone: str
    sites: tuple[str, ...] = ()
    fronts: tuple[tuple[int, int], ...] = ()
    last: bool = True


class PageChunkRequest(Message, tag="lc"):
    """Asks for a chunk of a page of one snapshot, or, with number -1, of the newest."""

    generation: int
    number: int
    snapshot_id: int
    page: int
    chunk: int


class PageChunk(Message, tag="ld"):
    """One chunk of a page; `count` is how many the page has, 0 where that snapshot was dropped."""

    generation: int
    number: int
    snapshot_id: int
    page: int
    chunk: int
    count: int
    data: bytes = b""


class SnapshotChunkRequest(Message, tag="lq"):
    """Asks for a chunk of a packed list, or, with number -1, of the newest."""

    generation: int
    number: int
    chunk: int


class SnapshotChunk(Message, tag="lp"):
    """One chunk of a packed list; `count` is 0 where that list was dropped, `digest` that of all chunks."""

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


# Events in


class PeerMessage(NamedTuple):
    """A message of another front, named by its token, has arrived."""

    token: int
    message: msgspec.Struct


class StreamOpened(NamedTuple):
    """The service has accepted the call and begun its answer."""


class StreamActive(NamedTuple):
    """The stream is alive: a comment, or a part of an event."""


class StreamEventReceived(NamedTuple):
    """A watch event of the service; `number` is the stream's own id of it, used in logs only."""

    text: str
    number: str = ""


class StreamClosed(NamedTuple):
    """The stream ended, or the call failed."""

    reason: str


class ServiceMoved(NamedTuple):
    """The service has another address now."""


# Commands out


class OpenStream(NamedTuple):
    """Open a stream; `after` is the last event known, 0 to be sent all."""

    after: int


class CloseStream(NamedTuple):
    """Close the stream, whatever it still brings."""

    reason: str


class SendToMember(NamedTuple):
    """Send a message to the front of that token."""

    token: int
    message: msgspec.Struct


class ApplyEvent(NamedTuple):
    """Apply this event to the front.

    A purge in it is at most `max_purge_age` old, whatever the clocks say; -1: not known.
    """

    event: dict[str, Any]
    max_purge_age: int = -1


class SaveSnapshot(NamedTuple):
    """Store the packed list."""

    data: bytes


class ListConfirmed(NamedTuple):
    """From now on the front may be ready: its list is the service's, as of `age` ago."""

    revision: Revision
    age: int


class FrontReady(NamedTuple):
    """The list was confirmed, and this front's turn among all that start has come."""


class ListFreshnessChanged(NamedTuple):
    """Whether the list is stale: its last confirmation is older than the bound."""

    stale: bool


class LogEvent(NamedTuple):
    """Write a line to the log."""

    event: str
    fields: dict[str, Any]
