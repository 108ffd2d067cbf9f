"""Tests of outlier ejection and health checks."""

from limepath.interface.commands import CancelAttempt, ForwardRequest
from limepath.interface.events import AttemptOutcome
from limepath.interface.settings import Idempotency
from tests.fake_host import ENDPOINTS, SECOND, FakeHost, forwards, make_service, probed_endpoints


def test_a_silent_cache_is_probed_and_its_requests_are_cancelled():
    host = FakeHost()
    (lookup,) = host.request()
    assert not probed_endpoints(host.wait(SECOND))
    assert probed_endpoints(host.wait(SECOND)) == [lookup.endpoint]
    host.end_probe(lookup.endpoint, AttemptOutcome.TIMED_OUT)
    host.wait(SECOND // 2)
    assert CancelAttempt(lookup.request, 0) in host.end_probe(lookup.endpoint, AttemptOutcome.TIMED_OUT)
    (retry,) = forwards(host.end_attempt(lookup, AttemptOutcome.CANCELLED))
    assert retry.endpoint != lookup.endpoint


def test_the_first_broken_connection_moves_no_request_and_three_in_a_row_eject_the_cache():
    host = FakeHost()
    lookups = [host.request()[0] for _ in range(9)]
    usual_cache = lookups[0].endpoint
    for lookup in lookups:  # all fail at the same time, as on one connection: that must not eject the cache
        assert host.end_attempt(lookup, AttemptOutcome.RESET)[0].endpoint == usual_cache
    for _ in range(2):
        host.wait(1000)
        lookup = host.request()[0]
        assert lookup.endpoint == usual_cache
        assert forwards(host.end_attempt(lookup, AttemptOutcome.RESET))[-1].endpoint != usual_cache
    assert host.request()[0].endpoint != usual_cache


def test_a_probe_that_fails_with_its_connection_cancels_nothing():
    host = FakeHost()
    usual_cache = host.request()[0].endpoint
    assert probed_endpoints(host.wait(2 * SECOND)) == [usual_cache]
    assert not host.end_probe(usual_cache, AttemptOutcome.RESET)
    assert host.request()[0].endpoint == usual_cache


def test_a_rejected_probe_indicates_neither_health_nor_silence():
    host = FakeHost()
    (lookup,) = host.request()
    for _ in range(4):
        host.wait(SECOND // 2)
        assert not host.end_probe(lookup.endpoint, AttemptOutcome.FULL)
    assert host.request()[0].endpoint == lookup.endpoint
    for outcome in (AttemptOutcome.TIMED_OUT, AttemptOutcome.TIMED_OUT, AttemptOutcome.FULL):
        host.wait(SECOND // 2)
        host.end_probe(lookup.endpoint, outcome)
    assert host.request()[0].endpoint != lookup.endpoint


def test_a_parent_that_loses_three_fills_in_a_row_is_ejected():
    host = FakeHost(endpoints=ENDPOINTS[:5])
    (lookup,) = host.request()
    usual_parent = host.end_attempt(lookup, AttemptOutcome.MISS)[0].source
    host.end_attempt(
        ForwardRequest(lookup.request, lookup.endpoint, 0, usual_parent, 1, 0),
        AttemptOutcome.TIMED_OUT,
        1,
        duration=SECOND,
    )
    for _ in range(2):
        host.wait(1000)
        (lookup,) = forwards(host.request())
        (fill,) = host.end_attempt(lookup, AttemptOutcome.MISS)
        assert fill.source == usual_parent
        host.end_attempt(fill, AttemptOutcome.TIMED_OUT, 1, duration=SECOND)
    (lookup,) = forwards(host.request())
    assert host.end_attempt(lookup, AttemptOutcome.MISS)[0].source != usual_parent


def test_an_answer_ends_an_ejection_and_after_a_long_silence_slow_start_begins():
    host = FakeHost()
    (lookup,) = host.request()
    for _ in range(6):
        host.wait(2 * SECOND)
        host.end_probe(lookup.endpoint, AttemptOutcome.TIMED_OUT)
    assert host.request()[0].endpoint != lookup.endpoint
    host.wait(SECOND // 2)
    host.end_probe(lookup.endpoint)
    fill = host.request()[0]
    assert fill.endpoint == lookup.endpoint
    assert fill.source in (11, 12)
    host.end_attempt(fill, AttemptOutcome.SUCCEEDED, answered=True)
    host.wait(11 * SECOND)
    assert host.request()[0].source == lookup.endpoint


def test_a_rejected_fill_triggers_a_probe_of_its_source_and_probes_are_spaced():
    host = FakeHost()
    (fill,) = host.end_attempt(host.request()[0], AttemptOutcome.MISS)
    host.end_attempt(fill, AttemptOutcome.FULL, 1)
    assert probed_endpoints(host.wait(SECOND // 10)).count(fill.source) == 1
    host.end_probe(fill.source)
    (retry,) = host.end_attempt(host.request()[0], AttemptOutcome.MISS)
    assert retry.source == fill.source
    assert fill.source not in probed_endpoints(host.wait(SECOND // 2))


def test_with_many_transfers_in_flight_a_short_silence_triggers_a_probe():
    host = FakeHost(endpoints=ENDPOINTS[:1] + ENDPOINTS[3:])
    for obj in range(6):
        host.request(obj)
    assert len(host.front.endpoints.servers[1].active_attempts) == 6
    assert probed_endpoints(host.wait(SECOND // 4 + 50_000)) == [1]


def test_without_probes_a_silent_cache_is_ejected_and_tried_again_with_backoff():
    host = FakeHost(probing=False)
    (lookup,) = host.request(time_left=40 * SECOND)
    # The request is cancelled and no probe is sent.
    (cancelled,) = [command for command in host.wait(12 * SECOND) if isinstance(command, CancelAttempt)]
    assert cancelled.request == lookup.request
    assert not probed_endpoints(host.commands)
    (retry,) = forwards(host.end_attempt(lookup, AttemptOutcome.CANCELLED))
    assert retry.endpoint != lookup.endpoint
    host.end_attempt(retry, AttemptOutcome.SUCCEEDED, 1, answered=True)
    trial_times = []
    for _ in range(300):  # one request every 100 ms
        host.wait(SECOND // 10)
        (forward,) = forwards(host.request())
        if forward.endpoint == lookup.endpoint:
            trial_times.append(host.now)
            host.wait(5 * SECOND)
            host.end_attempt(forward, AttemptOutcome.TIMED_OUT, duration=5 * SECOND, answered=True)
        else:
            host.end_attempt(forward, AttemptOutcome.SUCCEEDED, answered=True)
    assert 2 <= len(trial_times) <= 6  # trials must occur: without them nothing would end the ejection


def test_without_probes_an_answer_to_a_trial_ends_the_ejection():
    host = FakeHost(probing=False)
    (lookup,) = (forward,) = host.request()
    while forward.endpoint == lookup.endpoint:  # connections to the cache break until it is ejected
        number = 0
        while forward.endpoint == lookup.endpoint:
            host.wait(1000)
            (forward,) = forwards(host.end_attempt(forward, AttemptOutcome.RESET, number))
            number += 1
        host.end_attempt(forward, AttemptOutcome.SUCCEEDED, number, answered=True)
        (forward,) = forwards(host.request())
    host.end_attempt(forward, AttemptOutcome.SUCCEEDED, answered=True)
    caches = []
    for _ in range(30):
        host.wait(SECOND // 10)
        (forward,) = forwards(host.request())
        caches.append(forward.endpoint)
        host.end_attempt(forward, AttemptOutcome.SUCCEEDED, answered=True)
    assert caches[0] != lookup.endpoint
    assert caches[-10:] == [lookup.endpoint] * 10
    assert not probed_endpoints(host.commands)


def test_a_request_that_is_not_idempotent_is_never_the_trial_of_an_ejected_server():
    host = FakeHost(probing=False, services=(make_service(idempotency=Idempotency.NON_IDEMPOTENT),))
    (lookup,) = host.request(time_left=20 * SECOND)
    host.wait(6 * SECOND)
    host.end_attempt(lookup, AttemptOutcome.TIMED_OUT, duration=6 * SECOND, answered=True)
    for _ in range(100):
        host.wait(SECOND // 10)
        (forward,) = forwards(host.request())
        assert forward.endpoint != lookup.endpoint
        host.end_attempt(forward, AttemptOutcome.SUCCEEDED, answered=True)
