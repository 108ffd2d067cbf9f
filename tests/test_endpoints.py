"""Tests of the endpoint list in the decision engine."""

from limepath.interface.commands import ForwardRequest, RejectRequest
from tests.fake_host import ENDPOINTS, FakeHost, make_endpoint


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
