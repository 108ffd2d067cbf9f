"""Attempts of a request: their identity, what is known while they are active, and what their end says."""

from typing import TYPE_CHECKING, NamedTuple

from limepath.interface.events import AttemptEnded, AttemptOutcome

if TYPE_CHECKING:
    from limepath.decisions.request import PendingRequest
    from limepath.decisions.server import Server


class AttemptId(NamedTuple):
    """An attempt: the request and its number within the request, from 0."""

    request: int
    number: int


class ActiveAttempt(NamedTuple):
    """An attempt that has not ended.

    Without a fill `server`, which was asked, and `source` are the same. Of a direct attempt the server is a
    parent.
    """

    request: "PendingRequest"
    server: "Server"
    source: "Server"


class AttemptResult(NamedTuple):
    """How an attempt ended, as the router judges it."""

    outcome: AttemptOutcome
    duration: int
    """Microseconds."""
    in_time: bool
    """Whether it succeeded within its latency objective, stretched by its sending time."""
    is_overloaded: bool | None
    """What it says of the load of the server that sent the answer; None where it says nothing."""


def judge_attempt(event: AttemptEnded, request: "PendingRequest") -> AttemptResult:
    """What the end of an attempt says, in view of the time that its request had."""
    service = request.service
    outcome = event.outcome
    if outcome == AttemptOutcome.TIMED_OUT and event.duration < service.latency_objective:
        outcome = AttemptOutcome.CANCELLED  # the request's own time was short: no server is at fault
    limit = service.latency_objective + service.objective_stretch * request.sending_time
    succeeded = outcome == AttemptOutcome.SUCCEEDED
    in_time = succeeded and event.duration < limit
    is_overloaded = None
    if succeeded:
        is_overloaded = not in_time
    elif outcome == AttemptOutcome.FULL:
        is_overloaded = True
    return AttemptResult(outcome, event.duration, in_time, is_overloaded)
