"""Events that a host passes to the decision engine."""

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
    """Cancelled before it was sent, because the endpoint list changed."""
    RESET = 10
    FAILED = 13
    CONNECT_FAILED = 14


NEVER_EXECUTED = frozenset(
    (AttemptOutcome.FULL, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.SUPERSEDED, AttemptOutcome.MISS)
)
"""Outcomes after which the request certainly had no effect."""


class CacheStatus(IntEnum):
    """Where the answer came from, or why a fill failed; NONE if the deployment does not report it."""

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
    """The kind of an endpoint list update."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    """All endpoints, from a list that was saved earlier."""
    UNAVAILABLE = 3


class EndpointState(IntEnum):
    """State of an endpoint in the endpoint list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class Endpoint(NamedTuple):
    """An entry of the endpoint list: a cache, a parent or the origin."""

    state: EndpointState
    id: int
    started_at: int
    """Time on the host's clock, in microseconds; 0 if unknown."""
    cell: int
    zone: int
    kind: int
    weight: float
    """Capacity, in transfers at full rate."""


class EndpointListUpdated(NamedTuple):
    """The endpoint list changed or is unavailable."""

    kind: UpdateKind
    version: int
    endpoints: tuple[Endpoint, ...]


class RequestArrived(NamedTuple):
    """A client's request, of any method, arrived; it needs exactly one final answer."""

    id: int
    service: int
    """Index of its delivery service in the settings."""
    tenant: int
    object: int
    time_left: int
    """Microseconds until the client's deadline."""
    size_kb: float
    """Size of the object; 0 if unknown."""
    group: int
    """Group of objects that are purged together."""
    part: int
    is_repeat: bool
    is_write: bool
    has_key: bool = True
    """Whether it has an idempotency key, if its delivery service is keyed."""
    may_have_run: bool = False
    """Whether an earlier request with the same id may have had an effect."""


class ClientDisconnected(NamedTuple):
    """The client closed its connection or cancelled the request."""

    request: int


class ShutdownStarted(NamedTuple):
    """This front shuts down; the remaining time of each open request is at most `time_left` microseconds."""

    time_left: int


class PurgeAnnounced(NamedTuple):
    """Copies of an object or of a group that are older than `age` microseconds must not be served."""

    group: int
    """The group that is purged; it has no meaning if the purge names an object."""
    age: int
    object: int | None
    """The object that is purged, any number from 0; None if the entire group is."""


class AttemptEnded(NamedTuple):
    """An attempt ended. The attempts of a request are numbered from 0."""

    request: int
    attempt: int
    outcome: AttemptOutcome
    endpoint: int
    duration: int
    queued: int
    """Part of `duration` that the attempt spent in the endpoint's queue."""
    answered: bool
    """Whether the client has its final answer or has disconnected."""
    cache_status: CacheStatus
    load: dict[str, float]
    is_not_modified: bool = False
    """Whether it succeeded by confirming the client's copy, without a transfer of the object."""


class ResponseStarted(NamedTuple):
    """The host has begun to send the answer to the client."""

    request: int
    attempt: int
    endpoint: int
    duration: int


class ProbeEnded(NamedTuple):
    """A health check ended.

    `load` has those of the keys 'inflight', 'queue', 'util', 'latency_ms', 'qps', 'eps', 'x0' and 'x1' that
    the endpoint reported. `age` is the time since another front received the result; 0 for this front's own
    probe.
    """

    endpoint: int
    outcome: AttemptOutcome
    duration: int
    load: dict[str, float]
    age: int = 0


class ConnectionAvailabilityChanged(NamedTuple):
    """An endpoint became reachable or unreachable.

    `available` is true if a connection is open or may be opened; endpoints are available initially.
    """

    endpoint: int
    available: bool


class EndpointListFreshnessChanged(NamedTuple):
    """The endpoint list became stale or fresh; it is fresh initially.

    Drains and purges may be missing from a stale list.
    """

    is_stale: bool


class RequestCountsReceived(NamedTuple):
    """Another front's request counts arrived, as tuples of (object, part, count).

    For objects that this front has not counted itself, they have the weight of its own requests.
    """

    counts: tuple[tuple[int, int, float], ...]


class RequestCountsWanted(NamedTuple):
    """Another front requests the `limit` entries of the frequency table with the highest priorities.

    The engine answers with `ReportRequestCounts` and the same cookie.
    """

    limit: int
    cookie: int


class TimerFired(NamedTuple):
    """The delay of a `ScheduleWakeup` command has passed."""

    cookie: int


class PeerMessageReceived(NamedTuple):
    """The decision engine of another front sent a message."""

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
