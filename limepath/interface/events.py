"""Events: what a host tells the decisions, each named for what happened."""

from enum import IntEnum
from typing import NamedTuple


class AttemptOutcome(IntEnum):
    """How an attempt or a probe ended."""

    SUCCEEDED = 0
    CANCELLED = 1
    TIMED_OUT = 4
    MISS = 5
    FULL = 8
    SUPERSEDED = 9
    """Cancelled by an endpoint update before it was sent."""
    RESET = 10
    FAILED = 13
    CONNECT_FAILED = 14


NEVER_EXECUTED = frozenset(
    (AttemptOutcome.FULL, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.SUPERSEDED, AttemptOutcome.MISS)
)
"""Outcomes that prove that the request had no effect."""


class CacheStatus(IntEnum):
    """What an attempt told of the copy or of why a fill ended; NONE where the deployment is silent."""

    NONE = 0
    HIT = 1
    FILLED = 2
    FROM_ORIGIN = 3
    JOINED = 4
    STALE = 5
    SOURCE_REFUSED = 6
    SOURCE_LOST = 7
    SOURCE_MISS = 8
    NO_FILL_SLOT = 9
    ORIGIN_FAILED = 10


class UpdateKind(IntEnum):
    """What an endpoint update holds."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    """All endpoints, from a list saved earlier."""
    UNAVAILABLE = 3


class EndpointState(IntEnum):
    """State of an endpoint in the endpoint list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class Endpoint(NamedTuple):
    """A cache, a parent or the origin, as the endpoint list tells of it."""

    state: EndpointState
    id: int
    started_at: int
    """On the host's clock, in microseconds; 0 where no start is known."""
    cell: int
    zone: int
    kind: int
    weight: float
    """Capacity, in transfers at full rate."""


class EndpointListUpdated(NamedTuple):
    """The endpoint list changed, or cannot be had."""

    kind: UpdateKind
    version: int
    endpoints: tuple[Endpoint, ...]


class RequestArrived(NamedTuple):
    """A client's request, of any method, is owed a final answer from now on."""

    id: int
    service: int
    """Index of its delivery service in the settings."""
    tenant: int
    object: int
    time_left: int
    """Microseconds until the client's deadline."""
    size_kb: float
    """Size of the object; 0 where it is not known."""
    group: int
    """Group of objects that are purged together."""
    part: int
    is_repeat: bool
    is_write: bool
    has_key: bool = True
    """Whether it carries an idempotency key, where its delivery service is keyed."""


class ClientDisconnected(NamedTuple):
    """The client of a request has closed its connection or cancelled."""

    request: int


class ShutdownStarted(NamedTuple):
    """This front shuts down: no open request has more than `time_left` microseconds from now on."""

    time_left: int


class PurgeAnnounced(NamedTuple):
    """Copies older than `age` microseconds must not be served; `object` is 0 for a whole group."""

    group: int
    age: int
    object: int


class AttemptEnded(NamedTuple):
    """An attempt ended. Attempts of a request are numbered from 0."""

    request: int
    attempt: int
    outcome: AttemptOutcome
    endpoint: int
    duration: int
    queued: int
    """Part of `duration` that it waited at the endpoint."""
    answered: bool
    """Whether the client has its final answer, or is gone."""
    cache_status: CacheStatus
    load: dict[str, float]


class ResponseStarted(NamedTuple):
    """The answer to an attempt has begun to go to the client."""

    request: int
    attempt: int
    endpoint: int
    duration: int


class ProbeEnded(NamedTuple):
    """A health check ended.

    `load` maps 'inflight', 'queue', 'util', 'latency_ms', 'qps', 'eps', 'x0', 'x1' as far as reported. `age`
    is how long ago another front learnt the result; 0 where this front's own probe did.
    """

    endpoint: int
    outcome: AttemptOutcome
    duration: int
    load: dict[str, float]
    age: int = 0


class ConnectionAvailabilityChanged(NamedTuple):
    """Whether an endpoint can be reached now: a connection is open, or may be opened.

    It can until an event says otherwise.
    """

    endpoint: int
    available: bool


class EndpointListFreshnessChanged(NamedTuple):
    """Whether drains and purges may be missing from the endpoint list. None are until an event says so."""

    is_stale: bool


class RequestCountsReceived(NamedTuple):
    """Another front's request counts: (object, part, count).

    They weigh as this front's own requests, for objects that it has not counted itself.
    """

    counts: tuple[tuple[int, int, float], ...]


class RequestCountsWanted(NamedTuple):
    """Another front asks for the upper part of the frequency table.

    `ReportRequestCounts` answers with the same cookie.
    """

    limit: int
    cookie: int


class TimerFired(NamedTuple):
    """The time of a `ScheduleWakeup` has come."""

    cookie: int


class PeerMessageReceived(NamedTuple):
    """Another front's decisions sent a message."""

    sender: int
    body: bytes


Event = (
    EndpointListUpdated
    | RequestArrived
    | ClientDisconnected
    | ShutdownStarted
    | PurgeAnnounced
    | AttemptEnded
    | ResponseStarted
    | ProbeEnded
    | ConnectionAvailabilityChanged
    | EndpointListFreshnessChanged
    | RequestCountsReceived
    | RequestCountsWanted
    | TimerFired
    | PeerMessageReceived
)
