"""Tests of the way of a request: lookup, fill, stale copy, direct attempt, retry."""

from limepath.interface.commands import ForwardRequest, RejectRequest
from limepath.interface.events import AttemptOutcome, EndpointState
from tests.fake_host import FLEET, ORIGIN, PARENT, SECOND, FakeHost, forwards, kinds, member, service


def test_a_miss_is_filled_from_the_parent_that_rendezvous_hashing_names():
    host = FakeHost()
    (lookup,) = host.get()
    assert lookup.source == lookup.endpoint
    (fill,) = host.end(lookup, AttemptOutcome.MISS)
    assert fill.endpoint == lookup.endpoint
    assert fill.source in (11, 12)
    assert host.end(fill, AttemptOutcome.SUCCEEDED, 1, closed=True) == []


def test_the_origin_fills_only_when_no_parent_is_ready():
    host = FakeHost()
    host.roster(
        member(11, PARENT, standing=EndpointState.REMOVED), member(12, PARENT, standing=EndpointState.REMOVED)
    )
    (lookup,) = host.get()
    assert host.end(lookup, AttemptOutcome.MISS)[0].source == 21
    assert ORIGIN == 3


def test_a_full_origin_is_offered_a_request_once():
    host = FakeHost(services=(service(uncacheable=True),), fleet=(member(21, ORIGIN, weight=1.0),))
    assert {type(command) for _ in range(40) for command in host.get()} == {ForwardRequest, RejectRequest}


def test_a_full_link_takes_no_more_fills_and_a_stale_copy_will_do():
    host = FakeHost(services=(service(max_age=8 * SECOND, stale_grace=30 * SECOND), service()))
    for obj in range(60):
        (lookup,) = host.get(obj, ds=1)
        last = host.end(lookup, AttemptOutcome.MISS)
    assert kinds(last) == ["RejectRequest"]
    (lookup,) = host.get(70)
    (aged,) = host.end(lookup, AttemptOutcome.MISS)
    assert aged.source == aged.endpoint
    assert lookup.max_age == 8 * SECOND
    assert aged.max_age == 38 * SECOND
    assert kinds(host.end(aged, AttemptOutcome.MISS, 1)) == ["RejectRequest"]


def test_with_no_cache_left_requests_go_directly_to_a_parent_until_the_link_is_full():
    host = FakeHost()
    host.roster(*(member(cache, standing=EndpointState.REMOVED) for cache in (1, 2, 3)))
    straight = host.get()[0]
    assert straight.endpoint in (11, 12)
    assert straight.source == 21
    assert any(kinds(host.get(obj)) == ["RejectRequest"] for obj in range(60))


def test_the_origin_fills_once_the_only_parent_is_full():
    host = FakeHost(fleet=tuple(m._replace(weight=40.0) for m in FLEET[:3]) + FLEET[4:])
    host.front.fetch_window.max_fills = host.front.fetch_window.size = 100
    sources = [host.end(forwards(host.get(obj))[0], AttemptOutcome.MISS)[0].source for obj in range(50)]
    assert sources[:20] == [12] * 20
    assert 21 in sources


def test_a_broken_connection_to_a_cache_does_not_exclude_the_parent():
    host = FakeHost(fleet=FLEET[:3] + FLEET[4:])
    (lookup,) = host.get()
    (fill,) = host.end(lookup, AttemptOutcome.MISS)
    host.wait(1000)
    (lookup,) = host.end(fill, AttemptOutcome.RESET, 1)  # the first break is the connection's
    assert lookup.endpoint == fill.endpoint
    host.wait(1000)
    (lookup,) = host.end(lookup, AttemptOutcome.RESET, 2)
    assert lookup.endpoint != fill.endpoint
    assert host.end(lookup, AttemptOutcome.MISS, 3)[0].source == 12


def test_a_superseded_attempt_excludes_no_server():
    host = FakeHost()
    (lookup,) = host.get()
    (again,) = forwards(host.end(lookup, AttemptOutcome.SUPERSEDED))
    assert again.endpoint == lookup.endpoint


def test_a_direct_attempt_is_not_retried_where_the_origin_has_begun_to_drain():
    host = FakeHost()
    host.roster(*(member(cache, standing=EndpointState.REMOVED) for cache in (1, 2, 3)))
    direct = host.get()[0]
    assert direct.endpoint in (11, 12)
    assert direct.source == 21
    host.roster(member(21, ORIGIN, standing=EndpointState.DRAINING))
    assert kinds(host.end(direct, AttemptOutcome.CONNECT_FAILED)) == ["RejectRequest"]
