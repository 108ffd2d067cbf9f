"""Attempts of a request: identity, state while active, and result."""

from typing import TYPE_CHECKING, NamedTuple

from limepath.interface.events import AttemptEnded, AttemptOutcome

if TYPE_CHECKING:
    from limepath.decisions.request import PendingRequest
    from limepath.decisions.server import Server


# Work of confirming the client's copy, as a fraction of a transfer's (protocol page, "Copies of its own").
NOT_MODIFIED_WORK = 1 / 20


class AttemptId(NamedTuple):
    """Identifies an attempt by its request and by its number within the request, from 0."""

    request: int
    number: int


class ActiveAttempt(NamedTuple):
    """An attempt that has not ended.

    `server` received the attempt. For a lookup `source` is the same server, for a fill another one. For a
    direct attempt `server` is a parent.
    """

    request: "PendingRequest"
    server: "Server"
    source: "Server"


class AttemptResult(NamedTuple):
    """The result of an attempt, as the router evaluates it."""

    outcome: AttemptOutcome
    duration: int
    """Microseconds."""
    in_time: bool
    """Whether it succeeded within its latency objective, extended in proportion to its sending time."""
    is_overloaded: bool | None
    """Whether the server that sent the answer is overloaded; None if the result does not indicate it."""
    work: float
    """Work of the server that sent the answer, as a fraction of a transfer's."""


def evaluate_attempt(event: AttemptEnded, request: "PendingRequest") -> AttemptResult:
    """Evaluate the end of an attempt, given the time that its request had."""
    service = request.service
    outcome = event.outcome
    if outcome == AttemptOutcome.TIMED_OUT and event.duration < service.latency_objective:
        outcome = AttemptOutcome.CANCELLED  # the client's deadline was too short; no server is at fault
    objective = service.latency_objective + service.objective_stretch * request.sending_time
    succeeded = outcome == AttemptOutcome.SUCCEEDED
    in_time = succeeded and event.duration < objective
    is_overloaded = None
    if succeeded:
        is_overloaded = not in_time
    elif outcome == AttemptOutcome.FULL:
        is_overloaded = True
    work = NOT_MODIFIED_WORK if event.is_not_modified else 1.0
    return AttemptResult(outcome, event.duration, in_time, is_overloaded, work)


def indicates_source_load(ended: ActiveAttempt, outcome: AttemptOutcome) -> bool:
    """Return whether the end of a fill tells anything of the load of its source.

    A late fill indicates overload of its source only if the source has reported overload itself, because the
    delay may arise upstream of the source. A FULL outcome indicates overload only if the source was asked for
    a copy that it holds.
    """
    if outcome == AttemptOutcome.FULL:
        return ended.request.cached_only
    return ended.source.limit.factor < 1
