"""Tests of slow start, of one front and of a few; `test_cold_ramp` has those of many."""

from limepath.hashing import mix64
from limepath.interface.events import AttemptOutcome, EndpointState
from tests.fake_host import FLEET, ORIGIN, PARENT, SECOND, FakeHost, forwards, kinds, member, service


def test_a_started_cache_receives_no_more_than_its_budget():
    host = FakeHost()
    host.roster(member(1, started=host.now))
    sent = 0
    for obj in range(200):
        commands = host.get(obj)
        sent += any(command.endpoint == 1 for command in forwards(commands))
        for forward in forwards(commands):
            host.end(forward, AttemptOutcome.SUCCEEDED, closed=True, took=600_000)
    assert 0 < sent <= 3  # 0.8 of 2 x 0.2 x 6 lanes for 1 s, at 0.6 s each


def test_a_request_whose_parents_have_no_budget_left_is_rejected_once():
    host = FakeHost()
    host.roster(*(member(cache, standing=EndpointState.REMOVED) for cache in (1, 2, 3)))
    host.roster(*(member(ident, PARENT, started=host.now, weight=1.0) for ident in (11, 12)))
    assert kinds(host.get()) == ["RejectRequest"]


def test_a_budget_ends_with_the_slow_start():
    host = FakeHost(fleet=(member(1, started=100 * SECOND), member(11, PARENT), member(21, ORIGIN)))
    host.wait(11 * SECOND)
    assert [host.get(obj)[0].endpoint for obj in range(8)] == [1] * 8
    assert not host.front.budgets.warmups


def test_an_origin_that_was_silent_has_no_slow_start():
    host = FakeHost(services=(service(uncacheable=True),))
    (straight,) = host.get()
    for _ in range(8):
        host.wait(SECOND // 2)
        host.probe_report(straight.endpoint, AttemptOutcome.TIMED_OUT)
    assert kinds(host.get())[-1] == "RejectRequest"
    host.wait(SECOND // 2)
    host.probe_report(straight.endpoint)
    assert all(forwards(host.get(obj)) for obj in range(8))


def test_a_cache_without_budget_is_excluded_and_the_sources_of_its_fill_are_not():
    host = FakeHost()
    host.roster(member(1, started=host.now))
    firsts = [host.get(obj)[0] for obj in range(30)]
    assert 0 < sum(first.endpoint == 1 for first in firsts) <= 3
    assert all(forwards(firsts))


def test_many_fronts_spend_a_budget_together_and_stay_within_it():
    def sent(seed):
        host = FakeHost(seed=mix64(seed), fronts=40, nearby=20, fleet=FLEET[1:])
        host.roster(member(1, started=host.now))
        times = []
        for obj in range(400):
            host.wait(25_000)
            for forward in forwards(host.get(1000 * seed + obj)):
                times += [host.now] * (forward.endpoint == 1)
                host.end(forward, AttemptOutcome.SUCCEEDED, closed=True, took=600_000)
        return times

    told = sorted(time for seed in range(20) for time in sent(seed))
    able = [6 * (0.2 + 0.8 * (time - 100 * SECOND) / (10 * SECOND)) for time in told]
    assert len(told) > 20  # at 0.6 s each, under 2 x what it can do, in every window of a second
    assert all(
        0.6 * sum(then - SECOND < t <= then for t in told) <= 2 * can
        for then, can in zip(told, able, strict=True)
    )
