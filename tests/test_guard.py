"""Tests of the safety rules on final answers, repeated effects and drains."""

from limepath.interface.commands import FailRequest, RejectRequest
from limepath.interface.events import AttemptOutcome, ClientDisconnected, EndpointState, RequestArrived
from limepath.interface.settings import Idempotency, KeyScope
from tests.fake_host import PARENT, SECOND, FakeHost, forwards, kinds, make_endpoint, make_service


def forward_past_router(host, request, cache=1):
    """Request an attempt from the guard that the router would not request; return what it forwards."""
    front = host.front
    front.queue.commands = []
    front.guard.forward(request, front.endpoints.servers[cache], front.endpoints.servers[cache])
    return forwards(front.queue.commands)


def test_a_request_has_one_final_answer_and_no_attempt_after_it():
    host = FakeHost()
    (lookup,) = host.request()
    host.handle(ClientDisconnected(lookup.request))
    assert not forwards(host.end_attempt(lookup, AttemptOutcome.CANCELLED))
    assert not forwards(host.wait(6 * SECOND))
    assert not any(isinstance(command, (RejectRequest, FailRequest)) for command in host.commands)


def test_a_non_idempotent_request_that_may_have_had_its_effect_fails():
    host = FakeHost(services=(make_service(idempotency=Idempotency.NON_IDEMPOTENT, uncacheable=True),))
    (write,) = host.request()
    assert write.endpoint == 21
    assert write.keep_rank == 0
    assert kinds(host.end_attempt(write, AttemptOutcome.RESET)) == ["FailRequest"]
    host = FakeHost(services=(make_service(idempotency=Idempotency.NON_IDEMPOTENT, uncacheable=True),))
    (other_write,) = host.request()
    assert kinds(host.end_attempt(other_write, AttemptOutcome.FULL)) == ["RejectRequest"]


def test_a_draining_endpoint_receives_no_new_attempt_and_is_not_used_as_source():
    host = FakeHost()
    host.update_endpoints(
        make_endpoint(1, state=EndpointState.DRAINING), make_endpoint(11, PARENT, state=EndpointState.REMOVED)
    )
    for obj in range(60):
        (lookup,) = host.request(obj)
        (fill,) = host.end_attempt(lookup, AttemptOutcome.MISS)
        host.end_attempt(fill, AttemptOutcome.SUCCEEDED, 1, answered=True)
        assert 1 not in (lookup.endpoint, fill.endpoint)
        assert fill.source == 12


def test_a_keyed_request_is_retried_only_within_its_scope_and_window():
    keyed_service = make_service(
        idempotency=Idempotency.KEYED, key_scope=KeyScope.CELL, retry_window=SECOND // 10
    )
    host = FakeHost(services=(keyed_service,))
    (lookup,) = host.request()
    assert forwards(host.end_attempt(lookup, AttemptOutcome.FAILED))
    (lookup,) = host.request()
    host.wait(SECOND // 5)
    assert kinds(host.end_attempt(lookup, AttemptOutcome.FAILED)) == ["FailRequest"]
    endpoints = tuple(
        endpoint._replace(cell=endpoint.id)
        for endpoint in (make_endpoint(1), make_endpoint(2), make_endpoint(3))
    )
    host = FakeHost(services=(keyed_service,), endpoints=endpoints)
    (lookup,) = host.request()
    assert kinds(host.end_attempt(lookup, AttemptOutcome.FAILED)) == ["FailRequest"]
    (lookup,) = host.request()
    assert forwards(host.end_attempt(lookup, AttemptOutcome.FULL))


def test_there_is_no_attempt_beside_one_in_flight_and_none_after_the_deadline():
    host = FakeHost()
    (lookup,) = host.request(time_left=SECOND)
    assert not forwards(host.wait(SECOND * 2))
    assert kinds(host.end_attempt(lookup, AttemptOutcome.TIMED_OUT)) == ["RejectRequest"]


def test_the_guard_alone_prevents_what_a_rule_forbids():
    host = FakeHost(services=(make_service(), make_service(idempotency=Idempotency.NON_IDEMPOTENT)))
    (lookup,) = host.request(time_left=SECOND)
    request = host.front.router.open_requests[lookup.request]
    assert not forward_past_router(host, request)  # another attempt is in flight
    request.active_attempt = None
    assert forward_past_router(host, request)
    request.active_attempt, request.is_answered = None, True
    assert not forward_past_router(host, request)  # the request is answered
    request.is_answered, host.front.queue.now = False, host.now + SECOND
    assert not forward_past_router(host, request)  # the deadline has passed
    (lookup,) = forwards(host.request(service_index=1))
    request = host.front.router.open_requests[lookup.request]
    request.active_attempt = None
    assert not forward_past_router(host, request)  # the first attempt may have had its effect
    (lookup,) = forwards(host.request())
    request = host.front.router.open_requests[lookup.request]
    request.active_attempt = None
    host.update_endpoints(make_endpoint(1, state=EndpointState.DRAINING))
    assert not forward_past_router(host, request)
    assert forward_past_router(host, request, 2)
    host.front.queue.commands = []
    host.front.guard.finish(request, 0)
    host.front.guard.finish(request, 0)
    assert kinds(host.front.queue.commands) == ["RejectRequest"]


def test_a_keyed_service_does_not_retry_a_request_without_its_key():
    keyed_service = make_service(idempotency=Idempotency.KEYED, retry_window=60 * SECOND)
    for has_key in (False, True):
        host = FakeHost(services=(keyed_service,))
        (lookup,) = host.handle(RequestArrived(1, 0, 0, 5, 5 * SECOND, 0.0, 0, 0, False, False, has_key))
        commands = host.end_attempt(lookup, AttemptOutcome.RESET)
        assert kinds(commands) == (["ForwardRequest"] if has_key else ["FailRequest"])
        assert not has_key or 0 < commands[0].send_within <= 60 * SECOND
