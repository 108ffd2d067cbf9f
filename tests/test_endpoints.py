"""Tests of the endpoint list in the decision engine."""

from limepath.decisions.concurrency_limit import MIN_ATTEMPTS
from limepath.interface.commands import ForwardRequest, RejectRequest
from limepath.interface.events import AttemptOutcome, EndpointState
from tests.fake_host import CACHE, ENDPOINTS, PARENT, SECOND, FakeHost, forwards, make_endpoint


def test_every_endpoint_list_leads_to_answers_and_caches_in_other_zones_are_not_used():
    for endpoints in ((), ENDPOINTS[5:], ENDPOINTS[3:], ENDPOINTS[:3], (make_endpoint(4)._replace(zone=1),)):
        assert [type(command) for command in FakeHost(endpoints=endpoints).request()] in (
            [ForwardRequest],
            [RejectRequest],
        )
    host = FakeHost(endpoints=(*ENDPOINTS, make_endpoint(4)._replace(zone=1)))
    assert 4 not in host.front.endpoints.servers
    host.update_endpoints(make_endpoint(1)._replace(zone=1))
    assert all(host.request(obj)[0].endpoint != 1 for obj in range(20))


def test_a_parent_of_unknown_capacity_has_an_equal_share_of_all_links():
    host = FakeHost(weighted=False)
    assert [host.front.endpoints.servers[ident].limit.base_concurrency for ident in (11, 12)] == [4.5, 4.5]


def test_an_endpoint_that_changes_its_kind_gets_the_limits_and_the_slow_start_of_the_new_kind():
    """Guards against a parent with the limit and the ramp of the cache that it was listed as before."""
    host = FakeHost()
    server = host.front.endpoints.servers[1]
    cache_limit = server.limit.base_limit()
    for _ in range(5):
        server.limit.record_outcome(is_overloaded=True, active_attempts=0)
    host.update_endpoints(make_endpoint(1, PARENT, started_at=host.now))
    assert server.is_upstream
    assert server.limit.factor == 1
    assert server.limit.base_limit() == cache_limit / 2  # two fronts share a parent, one a cache
    server.limit.base_concurrency = 0  # the least limit of a parent is one more than that of a cache
    assert server.limit.base_limit() == MIN_ATTEMPTS + 1
    assert server.slow_start_duration == 20 * SECOND
    assert server.warming_until == host.now + 20 * SECOND
    host.update_endpoints(make_endpoint(1, CACHE, started_at=host.now))
    assert server.limit.base_limit() == cache_limit
    assert server.slow_start_duration == 10 * SECOND


def test_a_waiting_request_is_not_sent_to_the_former_state_of_an_endpoint_that_was_listed_again():
    """Guards against attempts that no limit counts, because a request still refers to the dropped state."""
    for obj in range(20):
        host = FakeHost()
        (first,) = forwards(host.request(obj))
        others = [make_endpoint(ident) for ident in (1, 2, 3) if ident != first.endpoint]
        host.update_endpoints(*(other._replace(state=EndpointState.REMOVED) for other in others))
        host.update_endpoints(*others)
        (retry,) = forwards(host.end_attempt(first, AttemptOutcome.FULL))
        servers = host.front.endpoints.servers
        for ident in {retry.endpoint, retry.source}:
            assert len(servers[ident].active_attempts) == 1
