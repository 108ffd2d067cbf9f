"""Tests which kinds of answers enter which mean, limit or window of the decisions (docs/means.md)."""

from typing import NamedTuple

import pytest

from limepath.interface.events import AttemptOutcome
from tests.fake_host import ENDPOINTS, SECOND, FakeHost, make_service

IN_TIME, LATE = 100_000, 4 * SECOND  # durations; the objective is 0.6 s and 1.6 times the sending time
CACHE, PARENT = 1, 12


class Answer(NamedTuple):
    """A kind of answer to an attempt."""

    is_fill: bool
    outcome: AttemptOutcome
    duration: int = IN_TIME
    is_not_modified: bool = False


class Means(NamedTuple):
    """What the decisions have learnt; each value moves only by the kinds of answers that may enter it."""

    sending_time: int
    cache_limit: float
    parent_limit: float
    window: float


def means_of(host):
    servers = host.front.endpoints.servers
    return Means(
        host.front.sending_times.by_service[0],
        servers[CACHE].limit.factor,
        servers[PARENT].limit.factor,
        host.front.fetch_window.size,
    )


def moved_by(answer):
    """Return the names of the means that this answer moves, and whether each rises or falls."""
    host = FakeHost(services=(make_service(),), endpoints=(ENDPOINTS[0], *ENDPOINTS[4:]))
    host.front.endpoints.servers[CACHE].limit.factor = 0.6  # over OVERLOADED_CACHE_FACTOR
    host.front.fetch_window.size = 4.0
    (attempt,) = host.request()
    number = 0
    if answer.is_fill:
        (attempt,) = host.end_attempt(attempt, AttemptOutcome.MISS)
        number = 1
    before = means_of(host)
    host.end_attempt(
        attempt,
        answer.outcome,
        number,
        answered=True,
        duration=answer.duration,
        is_not_modified=answer.is_not_modified,
    )
    pairs = zip(Means._fields, before, means_of(host), strict=True)
    return {name: "rises" if new > old else "falls" for name, old, new in pairs if new != old}


SUCCEEDED = AttemptOutcome.SUCCEEDED


@pytest.mark.parametrize(
    ("answer", "moved"),
    [
        (Answer(False, SUCCEEDED), {"sending_time": "falls", "cache_limit": "rises"}),
        (Answer(False, SUCCEEDED, LATE), {"sending_time": "rises", "cache_limit": "falls"}),
        (Answer(False, SUCCEEDED, IN_TIME, True), {"cache_limit": "rises"}),
        (Answer(False, SUCCEEDED, LATE, True), {"cache_limit": "falls"}),
        (Answer(False, AttemptOutcome.MISS), {}),
        (Answer(False, AttemptOutcome.FULL), {"cache_limit": "falls"}),
        (Answer(False, AttemptOutcome.FAILED), {}),
        (Answer(False, AttemptOutcome.TIMED_OUT, LATE), {}),
        (Answer(False, AttemptOutcome.CANCELLED), {}),
        (Answer(False, AttemptOutcome.RESET), {}),
        (Answer(False, AttemptOutcome.CONNECT_FAILED), {}),
        (Answer(False, AttemptOutcome.SUPERSEDED), {}),
        (Answer(True, SUCCEEDED), {"window": "rises"}),
        (Answer(True, SUCCEEDED, LATE), {"window": "falls"}),
        (Answer(True, SUCCEEDED, IN_TIME, True), {"window": "rises"}),
        (Answer(True, AttemptOutcome.MISS), {}),
        (Answer(True, AttemptOutcome.FULL), {"window": "falls"}),
        (Answer(True, AttemptOutcome.FAILED), {"window": "falls"}),
        (Answer(True, AttemptOutcome.TIMED_OUT, LATE), {"window": "falls"}),
        (Answer(True, AttemptOutcome.CANCELLED), {}),
        (Answer(True, AttemptOutcome.RESET), {}),
        (Answer(True, AttemptOutcome.CONNECT_FAILED), {}),
        (Answer(True, AttemptOutcome.SUPERSEDED), {}),
    ],
)
def test_an_answer_moves_the_means_that_its_kind_may_enter_and_no_other(answer, moved):
    """Guards against an answer of one kind that is counted as one of another (review case 7)."""
    assert moved_by(answer) == moved


@pytest.mark.parametrize("outcome", AttemptOutcome)
def test_every_attempt_is_charged_to_a_slow_start_whatever_comes_of_it(outcome):
    host = FakeHost(endpoints=(ENDPOINTS[0]._replace(started_at=100 * SECOND), *ENDPOINTS[4:]))
    (fill,) = host.request()
    charged = [charge.work for charge in host.front.budgets.warmups[CACHE].charges]
    host.end_attempt(fill, outcome, answered=True)
    assert charged == [host.front.sending_times.by_service[0]] == [600_000]
    assert [charge.work for charge in host.front.budgets.warmups[CACHE].charges] == charged


def test_every_request_is_counted_once_whatever_comes_of_it():
    host = FakeHost()
    for outcome in AttemptOutcome:
        before = host.front.frequency_table._requests_counted
        (lookup,) = host.request()
        host.end_attempt(lookup, outcome, answered=True)
        assert host.front.frequency_table._requests_counted == before + 1
