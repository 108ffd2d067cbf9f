"""Commands that the decision engine returns for its host to carry out."""

from typing import NamedTuple


class ForwardRequest(NamedTuple):
    """Begin an attempt: forward a request to an endpoint.

    The attempt is a fill unless `source` equals `endpoint`. With `max_age` 0 the delivery service determines
    the maximum age of a copy. `send_within` limits how long the attempt may wait in queues before it is
    sent; with 0 the host determines the limit.
    """

    request: int
    endpoint: int
    time_limit: int
    source: int
    keep_rank: int
    max_age: int
    join_fill: bool = False
    cached_only: bool = False
    no_copy_above: bool = False
    """Whether parents should keep no copy."""
    revalidate: bool = False
    send_within: int = 0


class RejectRequest(NamedTuple):
    """Answer that the request may safely be repeated after `retry_after` microseconds."""

    request: int
    retry_after: int


class FailRequest(NamedTuple):
    """Answer that the request failed and may have had an effect."""

    request: int


class CancelAttempt(NamedTuple):
    """Cancel an attempt that is in flight."""

    request: int
    attempt: int


class SendProbe(NamedTuple):
    """Check an endpoint's health.

    If fronts share results, the result of another front replaces the probe if it is at most `max_age`
    microseconds old.
    """

    endpoint: int
    max_age: int = 0


class ScheduleWakeup(NamedTuple):
    """Pass a `TimerFired` event with the same cookie to the engine after `delay` microseconds."""

    cookie: int
    delay: int


class SetSubscription(NamedTuple):
    """Subscribe to changes of the endpoint list, or end the subscription."""

    enabled: bool


class QueryEndpointList(NamedTuple):
    """Poll the endpoint list once."""


class CloseIdleConnections(NamedTuple):
    """Close the idle connections to an endpoint."""

    endpoint: int


class SendPeerMessage(NamedTuple):
    """Send a message to the decision engine of another front, or of all fronts if `peer` is -1."""

    peer: int
    body: bytes


class ReportRequestCounts(NamedTuple):
    """Answer `RequestCountsWanted` with tuples of (object, part, count), in descending order of priority."""

    cookie: int
    counts: tuple[tuple[int, int, float], ...]


class WriteLog(NamedTuple):
    """Write a line to the log."""

    text: str


Command = (
    ForwardRequest
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | SendProbe
    | ScheduleWakeup
    | SetSubscription
    | QueryEndpointList
    | CloseIdleConnections
    | SendPeerMessage
    | ReportRequestCounts
    | WriteLog
)
