"""The interface of the listing logic: what it is told at start, notes in, orders out, and messages between
fronts.

Times are whole microseconds of the instance's own monotonic clock, ages included; a purge's `time` is the
service's Unix clock in milliseconds and is believed only as far as it fits what this front has seen itself.
"""

from enum import IntEnum
from typing import NamedTuple

import msgspec

from limepath.membership.interface import Message


class Place(NamedTuple):
    """Where a list stands: a later generation follows when the service's own numbers ran backwards."""

    generation: int = 0
    number: int = 0


class Terms(NamedTuple):
    """What the settings tell. `rate` is calls a second of the whole fleet at the list service, `fronts` how
    many share it at the least; a zone has `relays`.
    """

    zone: str = ""
    fronts: int = 1
    rate: float = 20.0
    relays: int = 2
    beat: int = 500_000
    patience: int = 1_500_000
    silence: int = 2_500_000
    save: int = 1_000_000
    longest: int = 4_000_000  # bytes of a list, unpacked
    ready: float = 0.0  # fronts that become ready a second, of the whole fleet; 0: each at once
    region: str = ""
    site: str = ""  # empty: this front subscribes to the relays of its zone and stands in no tree
    fan_out: int = 4  # children of a front in its own site's tree, and of a site's head in that of sites
    gather: int = 250_000  # for which events are gathered before they go to children
    window: int = 300_000_000  # events kept for those behind: so long, ...
    window_bytes: int = 1_000_000  # ... and at most so many bytes of them, coded
    gone: int = 60_000_000  # after a purge, until its copies are gone everywhere


class Role(IntEnum):
    FOLLOWS = 0
    RELAYS = 1  # one of its zone's first by hash: holds a stream, or tries to
    ALONE = 2  # hears of no relay that is up to date: calls for itself


class Reads(IntEnum):
    """What a subscriber wants of a front beside heartbeats."""

    TEXTS = 0  # Events, as an older program reads them
    BATCHES = 1
    HEARTBEATS = 2  # nothing


# Messages


class Where(Message, tag="lw"):
    """In which zone and site I am; `asks` for the same."""

    zone: str
    asks: bool = False
    site: str = ""


class Follow(Message, tag="lf"):
    """Go on telling me, from where I am, which acknowledges all up to there. `lacks`: what came next was
    lost, so send it at once. `stamp` is the sender's clock; answers echo it, and so bound their own age.
    """

    zone: str
    generation: int
    number: int
    reads: int = Reads.TEXTS
    site: str = ""
    lacks: bool = False
    stamp: int = 0


class Beat(Message, tag="lb"):
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


class Batch(Message, tag="lt"):
    """Events coded by `coding.batches`; up to date as of `age` ago if it is the last. `stamp` is of the
    receiver's last Follow, which had come `since` ago when this was sent.
    """

    generation: int
    first: int
    data: bytes
    age: int
    stamp: int = 0
    since: int = 0


class AskScopes(Message, tag="ls"):
    """Whom do you know in this zone, with a token above `after`? Nothing, if your digest is the same."""

    zone: str
    site: str
    digest: int
    after: int = -1


class Scopes(Message, tag="lr"):
    """Fronts of a zone in the order of their tokens: (token, index in `sites`); `last`: there are no more."""

    zone: str
    sites: tuple[str, ...] = ()
    fronts: tuple[tuple[int, int], ...] = ()
    last: bool = True


class AskChunk(Message, tag="lc"):
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


class AskPiece(Message, tag="lq"):
    """A piece of the whole list; from the one at that place, or, with number -1, from the newest."""

    generation: int
    number: int
    piece: int


class Piece(Message, tag="lp"):
    """`of` is how many there are, 0 where that list is not held any more; `mark` is the digest of all
    together.
    """

    generation: int
    number: int
    piece: int
    of: int
    mark: bytes = b""
    data: bytes = b""


MESSAGES = (Where, Follow, Beat, Events, AskPiece, Piece, Batch, AskScopes, Scopes, AskChunk, PageChunk)


# Notes in


class FromPeer(NamedTuple):
    token: int
    message: msgspec.Struct


class StreamUp(NamedTuple):
    """The service has accepted the call and begun its answer."""


class StreamSays(NamedTuple):
    """It is alive: a comment, or a part of an event."""


class StreamEvent(NamedTuple):
    """`number` is the stream's own word for it, told in the log only."""

    text: str
    number: str = ""


class StreamLost(NamedTuple):
    why: str


class Moved(NamedTuple):
    """The service has another address now."""


# Orders out


class Call(NamedTuple):
    """Open a stream; `after` is the last event known, 0 to be told all."""

    after: int


class HangUp(NamedTuple):
    why: str


class Reach(NamedTuple):
    token: int
    message: msgspec.Struct


class Take(NamedTuple):
    """Give this event to the front. A purge in it is at most `oldest` old, whatever the clocks say; -1: not
    known.
    """

    told: dict
    oldest: int = -1


class Save(NamedTuple):
    data: bytes


class Confirmed(NamedTuple):
    """From now on the front may be ready: its list is the service's, `age` microseconds ago."""

    place: Place
    age: int


class Ready(NamedTuple):
    """The list was confirmed, and this front's turn among all that start has come."""


class Stale(NamedTuple):
    """Whether the list is late: its last confirmation is older than the bound."""

    late: bool


class Say(NamedTuple):
    event: str
    fields: dict
