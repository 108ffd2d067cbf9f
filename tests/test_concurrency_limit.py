"""Tests of the concurrency limit of a server."""

from limepath.interface.events import AttemptOutcome, ProbeEnded
from limepath.interface.settings import Idempotency
from tests.fake_host import ENDPOINTS, SECOND, FakeHost, forwards, make_service


def test_a_parent_that_reports_overload_receives_fewer_fills_until_it_recovers():
    def count_fills(utilisations):
        host = FakeHost(
            endpoints=tuple(endpoint._replace(weight=40.0) for endpoint in ENDPOINTS[:3]) + ENDPOINTS[4:]
        )
        host.front.fetch_window.max_fills = host.front.fetch_window.size = 100
        for util in utilisations:
            host.end_probe(12, util=util)
        return sum(
            command.source == 12
            for obj in range(60)
            for command in forwards(host.end_attempt(host.request(obj)[0], AttemptOutcome.MISS))
        )

    assert count_fills([1.0] * 9) < count_fills([]) / 2
    assert count_fills([1.0] * 9 + [0.5] * 40) == count_fills([])


def test_late_answers_lower_the_limit_of_a_cache_and_answers_in_time_restore_it():
    host = FakeHost(endpoints=ENDPOINTS[:1] + ENDPOINTS[3:])
    cache = host.front.endpoints.servers[1]
    for duration in (4 * SECOND,) * 6 + (1000,) * 60:
        for forward in forwards(host.request()):
            host.end_attempt(forward, AttemptOutcome.SUCCEEDED, answered=True, duration=duration)
        assert cache.limit.factor < 1 or duration == 1000
    assert cache.limit.factor == 1


def answer_lookups(host, confirmed_in_ten, transfer_duration, requests):
    """Let a cache answer requests: some confirm the client's copy in time, the others are transfers."""
    for obj in range(requests):
        is_confirmed = obj % 10 >= 10 - confirmed_in_ten
        for forward in forwards(host.request(obj)):
            host.end_attempt(
                forward,
                AttemptOutcome.SUCCEEDED,
                answered=True,
                duration=1000 if is_confirmed else transfer_duration,
                is_not_modified=is_confirmed,
            )


def test_confirmed_copies_of_clients_do_not_hide_that_transfers_are_late():
    """Guards against answers without bytes restoring the limit of a cache whose transfers are all late."""
    host = FakeHost(endpoints=ENDPOINTS[:1] + ENDPOINTS[3:])
    limit = host.front.endpoints.servers[1].limit
    answer_lookups(host, confirmed_in_ten=8, transfer_duration=4 * SECOND, requests=60)
    assert limit.factor < 0.5


def test_confirmed_copies_of_clients_restore_a_lowered_limit_in_the_end():
    host = FakeHost(endpoints=ENDPOINTS[:1] + ENDPOINTS[3:])
    limit = host.front.endpoints.servers[1].limit
    answer_lookups(host, confirmed_in_ten=0, transfer_duration=4 * SECOND, requests=6)
    assert limit.factor < 0.5
    answer_lookups(host, confirmed_in_ten=10, transfer_duration=0, requests=2000)
    assert limit.factor == 1


def test_a_late_confirmation_of_a_clients_copy_indicates_overload():
    host = FakeHost(endpoints=ENDPOINTS[:1] + ENDPOINTS[3:])
    for forward in forwards(host.request()):
        host.end_attempt(
            forward, AttemptOutcome.SUCCEEDED, answered=True, duration=4 * SECOND, is_not_modified=True
        )
    assert host.front.endpoints.servers[1].limit.factor < 1


def test_a_write_is_not_rejected_where_the_limit_of_the_origin_is_lowered_for_fills():
    host = FakeHost(
        services=(make_service(uncacheable=True, idempotency=Idempotency.NON_IDEMPOTENT),), fronts=200
    )
    host.handle(*[ProbeEnded(21, AttemptOutcome.SUCCEEDED, 1000, {"util": 1.0})] * 12)
    assert forwards(host.request())
    assert forwards(host.request())


def test_a_cache_whose_limit_is_under_one_accepts_requests_at_random():
    host, lookups = FakeHost(endpoints=ENDPOINTS[:1] + ENDPOINTS[3:]), 0
    host.handle(*[ProbeEnded(1, AttemptOutcome.FULL, 1000, {})] * 12)
    assert host.front.endpoints.servers[1].limit.factor < 0.1
    for obj in range(40):
        for forward in forwards(host.request(obj)):
            lookups += forward.endpoint == 1
            host.end_attempt(forward, AttemptOutcome.SUCCEEDED, answered=True, duration=4 * SECOND)
    assert 0 < lookups < 20


def test_late_fills_lower_the_limit_of_a_parent_only_after_it_reports_overload():
    host = FakeHost(endpoints=ENDPOINTS[:3] + ENDPOINTS[4:])
    parent, factors = host.front.endpoints.servers[12], []
    for obj in range(2):
        (fill,) = host.end_attempt(host.request(obj)[0], AttemptOutcome.MISS)
        host.end_attempt(fill, AttemptOutcome.SUCCEEDED, 1, answered=True, duration=4 * SECOND)
        factors.append(parent.limit.factor)
        host.end_probe(12, util=1.0)
    assert factors[0] == 1
    assert factors[1] < 0.6
