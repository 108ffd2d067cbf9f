"""Tests that no value of a client, a list or a peer is taken for one that has a meaning of its own inside."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limepath.front.client_request import MAX_BLOCK, MAX_GROUP
from limepath.interface.commands import ForwardRequest
from limepath.interface.events import AttemptOutcome, RequestArrived
from tests.fake_host import ORIGIN, PARENT, SECOND, FakeHost, make_endpoint
from tests.stand_ins import Site

HIGHEST_64 = (1 << 64) - 1


def edges(highest):
    """Return the values at which a reserved one could hide."""
    return st.sampled_from((0, 1, highest - 1, highest))


@given(
    obj=edges(HIGHEST_64),
    part=edges(MAX_BLOCK),
    group=edges(MAX_GROUP),
    request=edges((1 << 32) - 1),
    cache=st.sampled_from((0, 1, (1 << 48) - 1)),
    purges_object=st.booleans(),
)
def test_requests_and_purges_at_the_edges_of_all_numbers_are_handled_as_any(
    obj, part, group, request, cache, purges_object
):
    """Guards against 0 and the highest numbers as ids of requests, servers, objects, parts and groups."""
    host = FakeHost(endpoints=(make_endpoint(cache), make_endpoint(7, PARENT), make_endpoint(8, ORIGIN)))
    host.purge(obj=obj if purges_object else None, group=group, age=100_000)
    (lookup,) = host.handle(RequestArrived(request, 0, 0, obj, 5 * SECOND, 0.0, group, part, False, False))
    assert isinstance(lookup, ForwardRequest)
    assert (lookup.request, lookup.endpoint, lookup.source) == (request, cache, cache)
    assert 0 < lookup.max_age <= 100_000
    (fill,) = host.end_attempt(lookup, AttemptOutcome.MISS)
    assert (fill.endpoint, fill.source) == (cache, 7)
    assert not host.end_attempt(fill, AttemptOutcome.SUCCEEDED, 1, answered=True)
    assert not host.front.router.open_requests


@pytest.mark.parametrize("name", ["0", "0" * 16, "f" * 16])
@pytest.mark.parametrize("block", [None, 0, MAX_BLOCK])
@pytest.mark.parametrize("txn", ["0" * 16, "f" * 16])
@pytest.mark.parametrize("group", [0, MAX_GROUP])
def test_a_request_at_the_edges_of_all_fields_goes_out_unchanged_and_is_answered(
    edge_site, name, block, txn, group
):
    query = "" if block is None else f"?block={block}"
    client = edge_site.open_client().send(f"/invoke/video/{name}{query}", txn=txn, X_Family=group)
    command = edge_site.cache.next()
    assert (command.id, command.fields["path"]) == (txn, name)
    assert command.fields.get("blk") == (None if block is None else str(block))
    command.answer("DONE", "rev=0,since=0", b"")
    status, fields, body = client.answer()
    assert (status, fields["etag"], body) == (200, '"0"', b"")
    client.close()


@pytest.fixture(scope="module")
def edge_site():
    with Site() as site:
        yield site
