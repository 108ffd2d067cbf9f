"""Tests of the order of servers that a request is offered to."""

import pytest

from limepath.decisions.candidates import Candidates
from tests.fake_host import ORIGIN, PARENT, SECOND, FakeHost, kinds, make_endpoint


class CountingSet(set):
    """A set that counts how often it is asked for a member."""

    lookups = 0

    def __contains__(self, member):
        self.lookups += 1
        return super().__contains__(member)


def test_the_first_server_that_is_not_excluded_is_returned():
    candidates = Candidates("abc")
    excluded = {"b"}
    assert candidates.first_except(excluded) == "a"
    excluded.add("a")
    assert candidates.first_except(excluded) == "c"
    excluded.add("c")
    assert candidates.first_except(excluded) is None
    assert "b" in candidates
    candidates.restart()
    assert candidates.first_except({"a"}) == "b"


@pytest.mark.parametrize("number", [200, 3200])
def test_a_request_that_every_server_declines_costs_one_pass(number):
    """Guards against a cost that grows with the square of the servers."""
    candidates = Candidates(range(number))
    excluded = CountingSet()
    while (server := candidates.first_except(excluded)) is not None:
        excluded.add(server)
    assert len(excluded) == number
    assert excluded.lookups <= 2 * number


def test_a_request_that_all_cold_caches_decline_looks_at_each_a_constant_number_of_times():
    """Guards against the same through the decisions."""
    number = 400
    caches = [make_endpoint(ident, started_at=100 * SECOND, weight=0.001) for ident in range(1, number + 1)]
    upstream = (make_endpoint(10**6, PARENT), make_endpoint(10**6 + 1, ORIGIN))
    host = FakeHost(endpoints=(*caches, *upstream), fronts=1000, fronts_in_zone=500)
    lookups = []
    first_except = Candidates.first_except

    def counted(candidates, excluded):
        counting = CountingSet(excluded)
        try:
            return first_except(candidates, counting)
        finally:
            lookups.append(counting.lookups)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Candidates, "first_except", counted)
        assert kinds(host.request()) in (["RejectRequest"], ["ForwardRequest"])
    assert number < sum(lookups) <= 6 * number
