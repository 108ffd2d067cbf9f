"""Tests of what a front does while its endpoint list is stale."""

from limepath.interface.commands import ForwardRequest
from limepath.interface.events import AttemptOutcome, EndpointListFreshnessChanged
from tests.fake_host import FakeHost


def test_a_front_with_a_stale_list_forwards_nothing_to_a_cache():
    host = FakeHost()
    (look,) = host.request(5)
    assert look.endpoint != 21
    host.end_attempt(look, AttemptOutcome.SUCCEEDED, answered=True)
    host.handle(EndpointListFreshnessChanged(True))
    asked = [order for obj in range(50) for order in host.request(obj) if isinstance(order, ForwardRequest)]
    assert {order.endpoint for order in asked} <= {21} and {order.source for order in asked} <= {21}
    host.handle(EndpointListFreshnessChanged(False))
    assert host.request(99)[0].endpoint != 21


def test_a_fill_that_is_due_while_the_list_is_stale_is_not_sent():
    host = FakeHost()
    (look,) = host.request(5)
    host.handle(EndpointListFreshnessChanged(True))
    later = host.end_attempt(look, AttemptOutcome.MISS)
    assert not [order for order in later if isinstance(order, ForwardRequest) and order.endpoint != 21]
