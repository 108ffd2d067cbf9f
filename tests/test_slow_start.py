"""Tests of slow start at one front and at a few fronts; `test_cold_ramp` tests many fronts."""

from limepath.hashing import mix64
from limepath.interface.events import AttemptOutcome, EndpointState
from tests.fake_host import (
    ENDPOINTS,
    ORIGIN,
    PARENT,
    SECOND,
    FakeHost,
    forwards,
    kinds,
    make_endpoint,
    make_service,
)


def test_a_started_cache_receives_no_more_than_its_budget():
    host = FakeHost()
    host.update_endpoints(make_endpoint(1, started_at=host.now))
    sent = 0
    for obj in range(200):
        commands = host.request(obj)
        sent += any(command.endpoint == 1 for command in forwards(commands))
        for forward in forwards(commands):
            host.end_attempt(forward, AttemptOutcome.SUCCEEDED, answered=True, duration=600_000)
    assert 0 < sent <= 3  # 0.8 x (2 x 0.2 x 6) transfers during 1 s, 0.6 s each


def test_confirmed_copies_of_clients_do_not_lower_the_price_of_a_transfer():
    """Guards against a budget counted in answers without bytes, which topples a cold cache with transfers."""
    host = FakeHost()
    for obj in range(300):
        for forward in forwards(host.request(obj)):
            confirms = obj % 10 < 7  # clients often have a copy
            duration = 30_000 if confirms else 600_000
            host.end_attempt(
                forward,
                AttemptOutcome.SUCCEEDED,
                answered=True,
                duration=duration,
                is_not_modified=confirms,
            )
    host.update_endpoints(make_endpoint(1, started_at=host.now))
    sent = 0
    for obj in range(200):
        for forward in forwards(host.request(obj)):
            sent += forward.endpoint == 1
            host.end_attempt(forward, AttemptOutcome.SUCCEEDED, answered=True, duration=600_000)
    assert 0 < sent <= 3


def test_a_request_whose_parents_have_no_budget_left_is_rejected_once():
    host = FakeHost()
    host.update_endpoints(*(make_endpoint(cache, state=EndpointState.REMOVED) for cache in (1, 2, 3)))
    host.update_endpoints(
        *(make_endpoint(parent, PARENT, started_at=host.now, weight=1.0) for parent in (11, 12))
    )
    assert kinds(host.request()) == ["RejectRequest"]


def test_a_budget_ends_with_the_slow_start():
    host = FakeHost(
        endpoints=(
            make_endpoint(1, started_at=100 * SECOND),
            make_endpoint(11, PARENT),
            make_endpoint(21, ORIGIN),
        )
    )
    host.wait(11 * SECOND)
    assert [host.request(obj)[0].endpoint for obj in range(8)] == [1] * 8
    assert not host.front.budgets.warmups


def test_an_origin_has_no_slow_start_after_a_silence():
    host = FakeHost(services=(make_service(uncacheable=True),))
    (direct,) = host.request()
    for _ in range(8):
        host.wait(SECOND // 2)
        host.end_probe(direct.endpoint, AttemptOutcome.TIMED_OUT)
    assert kinds(host.request())[-1] == "RejectRequest"
    host.wait(SECOND // 2)
    host.end_probe(direct.endpoint)
    assert all(forwards(host.request(obj)) for obj in range(8))


def test_a_cache_without_budget_is_excluded_and_the_sources_of_its_fill_are_not():
    host = FakeHost()
    host.update_endpoints(make_endpoint(1, started_at=host.now))
    attempts = [host.request(obj)[0] for obj in range(30)]
    assert 0 < sum(attempt.endpoint == 1 for attempt in attempts) <= 3
    assert all(forwards(attempts))


def test_many_fronts_spend_a_budget_together_and_stay_within_it():
    def send_times(seed):
        host = FakeHost(seed=mix64(seed), fronts=40, fronts_in_zone=20, endpoints=ENDPOINTS[1:])
        host.update_endpoints(make_endpoint(1, started_at=host.now))
        times = []
        for obj in range(400):
            host.wait(25_000)
            for forward in forwards(host.request(1000 * seed + obj)):
                times += [host.now] * (forward.endpoint == 1)
                host.end_attempt(forward, AttemptOutcome.SUCCEEDED, answered=True, duration=600_000)
        return times

    sent_at = sorted(time for seed in range(20) for time in send_times(seed))
    capacities = [6 * (0.2 + 0.8 * (time - 100 * SECOND) / (10 * SECOND)) for time in sent_at]
    assert len(sent_at) > 20
    # With 0.6 s per transfer, every window of 1 s has at most twice the work that the capacity allows.
    assert all(
        0.6 * sum(end - SECOND < moment <= end for moment in sent_at) <= 2 * capacity
        for end, capacity in zip(sent_at, capacities, strict=True)
    )
