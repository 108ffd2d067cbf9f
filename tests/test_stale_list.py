"""Tests of a front whose endpoint list is stale."""

from limepath.interface.commands import ForwardRequest
from limepath.interface.events import AttemptOutcome, EndpointListFreshnessChanged
from tests.fake_host import FakeHost


def test_a_front_with_a_stale_list_forwards_nothing_to_a_cache():
    host = FakeHost()
    (lookup,) = host.request(5)
    assert lookup.endpoint != 21
    host.end_attempt(lookup, AttemptOutcome.SUCCEEDED, answered=True)
    host.handle(EndpointListFreshnessChanged(True))
    attempts = [
        attempt for obj in range(50) for attempt in host.request(obj) if isinstance(attempt, ForwardRequest)
    ]
    assert {attempt.endpoint for attempt in attempts} <= {21} and {
        attempt.source for attempt in attempts
    } <= {21}
    host.handle(EndpointListFreshnessChanged(False))
    assert host.request(99)[0].endpoint != 21


def test_no_fill_is_sent_while_the_list_is_stale():
    host = FakeHost()
    (lookup,) = host.request(5)
    host.handle(EndpointListFreshnessChanged(True))
    commands = host.end_attempt(lookup, AttemptOutcome.MISS)
    assert not [
        attempt for attempt in commands if isinstance(attempt, ForwardRequest) and attempt.endpoint != 21
    ]
