"""Commands: what the decisions have a host do, each named in the imperative."""

from typing import NamedTuple


class ForwardRequest(NamedTuple):
    """Begin an attempt: forward a request to an endpoint.

    `source` equal to `endpoint` asks for no fill. `max_age` 0 leaves the age of a copy to the delivery
    service. `send_within` limits how long it may wait to be sent, wherever it waits; 0 leaves that to the
    host.
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
    """Ask parents to keep no copy."""
    revalidate: bool = False
    send_within: int = 0


class RejectRequest(NamedTuple):
    """Answer that the request had no effect and may be repeated after `retry_after` microseconds."""

    request: int
    retry_after: int


class FailRequest(NamedTuple):
    """Answer that the request failed; it may have had an effect."""

    request: int


class CancelAttempt(NamedTuple):
    """Cancel an attempt that is in flight."""

    request: int
    attempt: int


class SendProbe(NamedTuple):
    """Check an endpoint's health.

    Where fronts share results, one that another learnt within the last `max_age` microseconds will do.
    """

    endpoint: int
    max_age: int = 0


class ScheduleWakeup(NamedTuple):
    """Hand in `TimerFired` with the same cookie after `delay` microseconds."""

    cookie: int
    delay: int


class SetSubscription(NamedTuple):
    """Subscribe to changes of the endpoint list, or end that."""

    enabled: bool


class QueryEndpointList(NamedTuple):
    """Poll the endpoint list once."""


class CloseIdleConnections(NamedTuple):
    """Close the idle connections to an endpoint."""

    endpoint: int


class SendPeerMessage(NamedTuple):
    """Send a message to another front's decisions; `peer` is -1 for all."""

    peer: int
    body: bytes


class ReportRequestCounts(NamedTuple):
    """Answer `RequestCountsWanted`: (object, part, count), the highest priority first."""

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
