"""Tests of the phases of a request: lookup, fill, stale copy, direct attempt, retry."""

from limepath.interface.commands import ForwardRequest, RejectRequest
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


def test_a_miss_is_filled_from_a_parent():
    host = FakeHost()
    (lookup,) = host.request()
    assert lookup.source == lookup.endpoint
    (fill,) = host.end_attempt(lookup, AttemptOutcome.MISS)
    assert fill.endpoint == lookup.endpoint
    assert fill.source in (11, 12)
    assert host.end_attempt(fill, AttemptOutcome.SUCCEEDED, 1, answered=True) == []


def test_the_origin_fills_only_when_no_parent_is_ready():
    host = FakeHost()
    host.update_endpoints(
        make_endpoint(11, PARENT, state=EndpointState.REMOVED),
        make_endpoint(12, PARENT, state=EndpointState.REMOVED),
    )
    (lookup,) = host.request()
    assert host.end_attempt(lookup, AttemptOutcome.MISS)[0].source == 21
    assert ORIGIN == 3


def test_a_full_origin_is_offered_a_request_once():
    host = FakeHost(
        services=(make_service(uncacheable=True),), endpoints=(make_endpoint(21, ORIGIN, weight=1.0),)
    )
    assert {type(command) for _ in range(40) for command in host.request()} == {ForwardRequest, RejectRequest}


def test_a_full_link_accepts_no_more_fills_and_stale_copies_are_used():
    host = FakeHost(services=(make_service(max_age=8 * SECOND, stale_grace=30 * SECOND), make_service()))
    for obj in range(60):
        (lookup,) = host.request(obj, service_index=1)
        commands = host.end_attempt(lookup, AttemptOutcome.MISS)
    assert kinds(commands) == ["RejectRequest"]
    (lookup,) = host.request(70)
    (stale_lookup,) = host.end_attempt(lookup, AttemptOutcome.MISS)
    assert stale_lookup.source == stale_lookup.endpoint
    assert lookup.max_age == 8 * SECOND
    assert stale_lookup.max_age == 38 * SECOND
    assert kinds(host.end_attempt(stale_lookup, AttemptOutcome.MISS, 1)) == ["RejectRequest"]


def test_without_caches_requests_go_directly_to_a_parent_until_the_link_is_full():
    host = FakeHost()
    host.update_endpoints(*(make_endpoint(cache, state=EndpointState.REMOVED) for cache in (1, 2, 3)))
    direct = host.request()[0]
    assert direct.endpoint in (11, 12)
    assert direct.source == 21
    assert any(kinds(host.request(obj)) == ["RejectRequest"] for obj in range(60))


def test_the_origin_fills_once_the_only_parent_is_full():
    host = FakeHost(
        endpoints=tuple(endpoint._replace(weight=40.0) for endpoint in ENDPOINTS[:3]) + ENDPOINTS[4:]
    )
    host.front.fetch_window.max_fills = host.front.fetch_window.size = 100
    sources = [
        host.end_attempt(forwards(host.request(obj))[0], AttemptOutcome.MISS)[0].source for obj in range(50)
    ]
    assert sources[:20] == [12] * 20
    assert 21 in sources


def test_a_broken_connection_to_a_cache_does_not_exclude_the_parent():
    host = FakeHost(endpoints=ENDPOINTS[:3] + ENDPOINTS[4:])
    (lookup,) = host.request()
    (fill,) = host.end_attempt(lookup, AttemptOutcome.MISS)
    host.wait(1000)
    # The first failure is attributed to the connection.
    (lookup,) = host.end_attempt(fill, AttemptOutcome.RESET, 1)
    assert lookup.endpoint == fill.endpoint
    host.wait(1000)
    (lookup,) = host.end_attempt(lookup, AttemptOutcome.RESET, 2)
    assert lookup.endpoint != fill.endpoint
    assert host.end_attempt(lookup, AttemptOutcome.MISS, 3)[0].source == 12


def test_a_superseded_attempt_excludes_no_server():
    host = FakeHost()
    (lookup,) = host.request()
    (retry,) = forwards(host.end_attempt(lookup, AttemptOutcome.SUPERSEDED))
    assert retry.endpoint == lookup.endpoint


def test_a_direct_attempt_is_not_retried_where_the_origin_has_begun_to_drain():
    host = FakeHost()
    host.update_endpoints(*(make_endpoint(cache, state=EndpointState.REMOVED) for cache in (1, 2, 3)))
    direct = host.request()[0]
    assert direct.endpoint in (11, 12)
    assert direct.source == 21
    host.update_endpoints(make_endpoint(21, ORIGIN, state=EndpointState.DRAINING))
    assert kinds(host.end_attempt(direct, AttemptOutcome.CONNECT_FAILED)) == ["RejectRequest"]
