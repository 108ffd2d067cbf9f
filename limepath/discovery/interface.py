"""The interface of the listing logic: what it is told at start, notes in, orders out, and messages between
fronts.

Times are whole microseconds of the instance's own monotonic clock, ages included; a purge's `time` is the
service's Unix clock in milliseconds and is believed only as far as it fits what this front has seen itself.
"""

from enum import IntEnum
from typing import NamedTuple

import msgspec

from limepath.membership.interface import Message


class Revision(NamedTuple):
    """Where a list stands: a later generation follows when the service's own numbers ran backwards."""

    generation: int = 0
    number: int = 0


class Role(IntEnum):
    FOLLOWS = 0
    RELAYS = 1  # one of its zone's first by hash: holds a stream, or tries to
    ALONE = 2  # hears of no relay that is up to date: calls for itself


class SubscriptionMode(IntEnum):
    """What a subscriber wants of a front beside heartbeats."""

    TEXTS = 0  # Events, as an older program reads them
    BATCHES = 1
    HEARTBEATS = 2  # nothing


# Messages


class ScopeAnnouncement(Message, tag="lw"):
    """In which zone and site I am; `asks` for the same."""

    zone: str
    asks: bool = False
    site: str = ""


class Subscribe(Message, tag="lf"):
    """Go on telling me, from where I am, which acknowledges all up to there. `lacks`: what came next was
    lost, so send it at once. `stamp` is the sender's clock; answers echo it, and so bound their own age.
    """

    zone: str
    generation: int
    number: int
    reads: int = SubscriptionMode.TEXTS
    site: str = ""
    lacks: bool = False
    stamp: int = 0


class Heartbeat(Message, tag="lb"):
    """Where my list stands, and how long ago the service itself last confirmed that (-1: never). `tries`: how
    long I have been calling in vain. `followers` share me. `refused`: I have as many children as I take, ask
    another. `reaches` is the oldest event that I can still send, -1 where that is not told.
    """

    zone: str
    generation: int
    number: int
    digest: int
    age: int
    tries: int = 0
    followers: int = 0
    refused: bool = False
    site: str = ""
    reaches: int = -1
    stamp: int = 0  # of the Follow that this answers, 0 for none


class Events(Message, tag="le"):
    """Events `first`, `first` + 1, ... as the service worded them; up to date as of `age` ago."""

    generation: int
    first: int
    texts: tuple[str, ...]
    age: int


class EventBatch(Message, tag="lt"):
    """Events coded by `coding.batches`; up to date as of `age` ago if it is the last. `stamp` is of the
    receiver's last Follow, which had come `since` ago when this was sent.
    """

    generation: int
    first: int
    data: bytes
    age: int
    stamp: int = 0
    since: int = 0


class ScopeQuery(Message, tag="ls"):
    """Whom do you know in this zone, with a token above `after`? Nothing, if your digest is the same."""

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
    """A chunk of a page of the snapshot at that place with that mark; with number -1, of the newest."""

    generation: int
    number: int
    mark: int
    page: int
    chunk: int


class PageChunk(Message, tag="ld"):
    """`count` is how many chunks the page has, 0 where that snapshot is not held any more."""

    generation: int
    number: int
    mark: int
    page: int
    chunk: int
    count: int
    data: bytes = b""


class SnapshotChunkRequest(Message, tag="lq"):
    """A piece of the whole list; from the one at that place, or, with number -1, from the newest."""

    generation: int
    number: int
    piece: int


class SnapshotChunk(Message, tag="lp"):
    """`of` is how many there are, 0 where that list is not held any more; `mark` is the digest of all
    together.
    """

    generation: int
    number: int
    piece: int
    of: int
    mark: bytes = b""
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


# Notes in


class PeerMessage(NamedTuple):
    token: int
    message: msgspec.Struct


class StreamOpened(NamedTuple):
    """The service has accepted the call and begun its answer."""


class StreamActive(NamedTuple):
    """It is alive: a comment, or a part of an event."""


class StreamEventReceived(NamedTuple):
    """`number` is the stream's own word for it, told in the log only."""

    text: str
    number: str = ""


class StreamClosed(NamedTuple):
    why: str


class ServiceMoved(NamedTuple):
    """The service has another address now."""


# Orders out


class OpenStream(NamedTuple):
    """Open a stream; `after` is the last event known, 0 to be told all."""

    after: int


class CloseStream(NamedTuple):
    why: str


class SendToMember(NamedTuple):
    token: int
    message: msgspec.Struct


class ApplyEvent(NamedTuple):
    """Give this event to the front. A purge in it is at most `oldest` old, whatever the clocks say; -1: not
    known.
    """

    told: dict
    oldest: int = -1


class SaveSnapshot(NamedTuple):
    data: bytes


class ListConfirmed(NamedTuple):
    """From now on the front may be ready: its list is the service's, `age` microseconds ago."""

    place: Revision
    age: int


class FrontReady(NamedTuple):
    """The list was confirmed, and this front's turn among all that start has come."""


class ListFreshnessChanged(NamedTuple):
    """Whether the list is late: its last confirmation is older than the bound."""

    late: bool


class LogEvent(NamedTuple):
    event: str
    fields: dict
