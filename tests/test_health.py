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
    (again,) = forwards(host.end_attempt(lookup, AttemptOutcome.CANCELLED))
    assert again.endpoint != lookup.endpoint


def test_a_first_broken_connection_moves_no_request_and_three_in_a_row_eject_the_cache():
    host = FakeHost()
    lookups = [host.request()[0] for _ in range(9)]
    home = lookups[0].endpoint
    for lookup in lookups:  # all on one connection: three such requests once ejected their cache
        assert host.end_attempt(lookup, AttemptOutcome.RESET)[0].endpoint == home
    for _ in range(2):
        host.wait(1000)
        lookup = host.request()[0]
        assert lookup.endpoint == home
        assert forwards(host.end_attempt(lookup, AttemptOutcome.RESET))[-1].endpoint != home
    assert host.request()[0].endpoint != home


def test_a_probe_that_breaks_with_its_connection_cancels_nothing():
    host = FakeHost()
    home = host.request()[0].endpoint
    assert probed_endpoints(host.wait(2 * SECOND)) == [home]
    assert not host.end_probe(home, AttemptOutcome.RESET)
    assert host.request()[0].endpoint == home


def test_a_rejected_probe_proves_neither_health_nor_silence():
    host = FakeHost()
    (lookup,) = host.request()
    for _ in range(4):
        host.wait(SECOND // 2)
        assert not host.end_probe(lookup.endpoint, AttemptOutcome.FULL)
    assert host.request()[0].endpoint == lookup.endpoint
    for verdict in (AttemptOutcome.TIMED_OUT, AttemptOutcome.TIMED_OUT, AttemptOutcome.FULL):
        host.wait(SECOND // 2)
        host.end_probe(lookup.endpoint, verdict)
    assert host.request()[0].endpoint != lookup.endpoint


def test_a_parent_that_loses_three_fills_in_a_row_is_ejected():
    host = FakeHost(endpoints=ENDPOINTS[:5])
    (lookup,) = host.request()
    home = host.end_attempt(lookup, AttemptOutcome.MISS)[0].source
    host.end_attempt(
        ForwardRequest(lookup.request, lookup.endpoint, 0, home, 1, 0),
        AttemptOutcome.TIMED_OUT,
        1,
        duration=SECOND,
    )
    for _ in range(2):
        host.wait(1000)
        (lookup,) = forwards(host.request())
        (fill,) = host.end_attempt(lookup, AttemptOutcome.MISS)
        assert fill.source == home
        host.end_attempt(fill, AttemptOutcome.TIMED_OUT, 1, duration=SECOND)
    (lookup,) = forwards(host.request())
    assert host.end_attempt(lookup, AttemptOutcome.MISS)[0].source != home


def test_an_answer_ends_an_ejection_and_after_a_long_silence_slow_start_begins():
    host = FakeHost()
    (lookup,) = host.request()
    for _ in range(6):
        host.wait(2 * SECOND)
        host.end_probe(lookup.endpoint, AttemptOutcome.TIMED_OUT)
    assert host.request()[0].endpoint != lookup.endpoint
    host.wait(SECOND // 2)
    host.end_probe(lookup.endpoint)
    back = host.request()[0]
    assert back.endpoint == lookup.endpoint
    assert back.source in (11, 12)
    host.end_attempt(back, AttemptOutcome.SUCCEEDED, answered=True)
    host.wait(11 * SECOND)
    assert host.request()[0].source == lookup.endpoint


def test_a_rejected_fill_calls_for_a_probe_of_its_source_and_probes_are_paced():
    host = FakeHost()
    (fill,) = host.end_attempt(host.request()[0], AttemptOutcome.MISS)
    host.end_attempt(fill, AttemptOutcome.FULL, 1)
    assert probed_endpoints(host.wait(SECOND // 10)).count(fill.source) == 1
    host.end_probe(fill.source)
    (again,) = host.end_attempt(host.request()[0], AttemptOutcome.MISS)
    assert again.source == fill.source
    assert fill.source not in probed_endpoints(host.wait(SECOND // 2))


def test_with_many_transfers_in_flight_a_short_silence_calls_for_a_probe():
    host = FakeHost(endpoints=ENDPOINTS[:1] + ENDPOINTS[3:])
    for obj in range(6):
        host.request(obj)
    assert len(host.front.endpoints.servers[1].active_attempts) == 6
    assert probed_endpoints(host.wait(SECOND // 4 + 50_000)) == [1]


def test_without_probes_a_silent_cache_is_ejected_and_tried_again_more_and_more_seldom():
    host = FakeHost(probing=False)
    (lookup,) = host.request(time_left=40 * SECOND)
    (back,) = [
        command for command in host.wait(12 * SECOND) if isinstance(command, CancelAttempt)
    ]  # its request is cancelled, nothing probed
    assert back.request == lookup.request
    assert not probed_endpoints(host.commands)
    (again,) = forwards(host.end_attempt(lookup, AttemptOutcome.CANCELLED))
    assert again.endpoint != lookup.endpoint
    host.end_attempt(again, AttemptOutcome.SUCCEEDED, 1, answered=True)
    tried = []
    for _ in range(300):  # a request each tenth of a second
        host.wait(SECOND // 10)
        (forward,) = forwards(host.request())
        if forward.endpoint == lookup.endpoint:
            tried.append(host.now)
            host.wait(5 * SECOND)
            host.end_attempt(forward, AttemptOutcome.TIMED_OUT, duration=5 * SECOND, answered=True)
        else:
            host.end_attempt(forward, AttemptOutcome.SUCCEEDED, answered=True)
    assert 2 <= len(tried) <= 6  # never, where only a probe brought a server back


def test_without_probes_an_answer_to_a_trial_ends_the_ejection():
    host = FakeHost(probing=False)
    (lookup,) = (forward,) = host.request()
    while forward.endpoint == lookup.endpoint:  # its connections break until it is ejected
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
