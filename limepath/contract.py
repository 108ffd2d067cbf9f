"""The interface of the decision module: what a host tells a front, and what a front orders.

A host builds one `limepath.choice.Front` per instance from the records under "Told at start", then calls
`front.handle(now, notes)` with the notes under "Notes in" and carries out the returned "Orders out" in
their sequence. Times are whole microseconds; `now` and `Member.started` are on the host's clock, others are
spans.
Caches, parents and the origin are known by a stable integer that is the same at every front.
"""

from enum import IntEnum
from typing import NamedTuple


class Verdict(IntEnum):
    """How a forward or a probe ended."""

    RETURNED = 0
    CANCELLED = 1
    TIMED_OUT = 4
    MISS = 5
    FULL = 8
    MOOT = 9
    RESET = 10
    ERRORED = 13
    CONNECT_FAILED = 14


NEVER_RAN = frozenset((Verdict.FULL, Verdict.CONNECT_FAILED, Verdict.MOOT, Verdict.MISS))


class Hint(IntEnum):
    """What an outcome may tell of the copy or of why a fill ended; NONE where the deployment is silent."""

    NONE = 0
    HIT = 1
    FILLED = 2
    FROM_ORIGIN = 3
    JOINED = 4
    STALE = 5
    SOURCE_REFUSED = 6
    SOURCE_LOST = 7
    SOURCE_LACKS = 8
    NO_FILL_SLOT = 9
    ORIGIN_ERRORED = 10


class Listing(IntEnum):
    """What a roster holds."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    UNAVAILABLE = 3


class Standing(IntEnum):
    """What the roster says of one member."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Repeats(IntEnum):
    """Whether the effect of a GET may happen again."""

    IDEMPOTENT = 0
    TOKENED = 1
    NON_IDEMPOTENT = 2


class Scope(IntEnum):
    """The caches that recognise a repeated token."""

    ALL = 0
    ZONE = 1
    CELL = 2


# Told at start


class DeliveryService(NamedTuple):
    objective: int
    stretch: float
    viewer_timeout: int
    revenue: float
    late_share: float
    repeats: Repeats
    scope: Scope
    window: int
    streamed: bool
    fresh: int
    grace: int
    stale_share: float
    uncacheable: bool
    segmented: bool


class Footprint(NamedTuple):
    """Where this front stands among zones, hubs, links and other fronts."""

    zone: int
    hub_of: tuple
    link_kb_s: tuple
    fronts_in_zone: int
    fronts: int
    parent_kind: int
    origin_kind: int
    flow_kb_s: float
    weighted: bool


class Allowance(NamedTuple):
    """What the deployment permits."""

    forwards: int
    overlap: bool
    withdraw: bool
    probing: bool
    peers: bool
    come_back: int
    direct: bool
    joins: bool
    lateral: str
    subscribe: bool


class Warmup(NamedTuple):
    """Least capacity of a started member, when it is warm, and how much for how long topples it."""

    share: float
    span: int
    factor: float
    window: int


class Grace(NamedTuple):
    """Spans of the rules on answers, drains, purges and subscriptions."""

    answer: int
    drain: int
    purge: int
    purge_gone: int
    ask_within: int


# Notes in


class Member(NamedTuple):
    standing: Standing
    cache: int
    started: int
    cell: int
    zone: int
    kind: int
    weight: float


class Roster(NamedTuple):
    listing: Listing
    version: int
    members: tuple


class Get(NamedTuple):
    id: int
    ds: int
    org: int
    obj: int
    patience: int
    size_kb: float
    group: int
    part: int
    repeat: bool
    write: bool
    keyed: bool = True  # it bears a token, where its delivery service is tokened


class Left(NamedTuple):
    id: int


class ShuttingDown(NamedTuple):
    """This front ends: no open request has more than `within` microseconds left from now on."""

    within: int


class Purge(NamedTuple):
    """`obj` is 0 where the whole group was purged."""

    group: int
    age: int
    obj: int


class Outcome(NamedTuple):
    id: int
    forward: int
    verdict: Verdict
    cache: int
    took: int
    waited: int
    closed: bool
    hint: Hint
    load: dict


class Streaming(NamedTuple):
    id: int
    forward: int
    cache: int
    took: int


class ProbeReport(NamedTuple):
    """`load` maps 'inflight', 'queue', 'util', 'latency_ms', 'qps', 'eps', 'x0', 'x1' as far as told. `age`
    is how long ago another front learnt it; 0 where this front's own probe did.
    """

    cache: int
    verdict: Verdict
    took: int
    load: dict
    age: int = 0


class Room(NamedTuple):
    """Whether there is a way to a member now: a connection, or a turn to open one. There is until it is told
    otherwise.
    """

    cache: int
    way: bool


class Stale(NamedTuple):
    """Whether the list of members and purges is late: drains and purges may be missing from it. It is not
    until that is told.
    """

    late: bool


class Learnt(NamedTuple):
    """What another front has counted: (object, part, count). It weighs as this front's own GETs, of objects
    that it has not counted itself.
    """

    counts: tuple


class AskCounts(NamedTuple):
    """Asks for the table's upper part, `most` entries, as an order Counts with the same cookie."""

    most: int
    cookie: int


class Due(NamedTuple):
    cookie: int


class PeerWord(NamedTuple):
    sender: int
    body: bytes


# Orders out


class Forward(NamedTuple):
    """`source` equal to `cache` asks for no fill; `oldest` 0 leaves the age to the delivery service. With
    `within` it may be sent for that long only, wherever it waits (0: as long as the host lets forwards
    wait).
    """

    id: int
    cache: int
    limit: int
    source: int
    rank: int
    oldest: int
    join: bool = False
    held_only: bool = False
    no_copy_above: bool = False
    renew: bool = False
    within: int = 0


class Shed(NamedTuple):
    id: int
    come_back: int


class Errored(NamedTuple):
    id: int


class Withdraw(NamedTuple):
    id: int
    forward: int


class Probe(NamedTuple):
    """Where fronts share answers, one learnt within the last `oldest` microseconds will do instead."""

    cache: int
    oldest: int = 0


class Wake(NamedTuple):
    cookie: int
    delay: int


class Subscribe(NamedTuple):
    on: bool


class AskRoster(NamedTuple):
    pass


class CloseIdle(NamedTuple):
    cache: int


class Tell(NamedTuple):
    """`peer` is -1 for all."""

    peer: int
    body: bytes


class Counts(NamedTuple):
    """(object, part, count), the highest key first."""

    cookie: int
    counts: tuple


class Report(NamedTuple):
    text: str
