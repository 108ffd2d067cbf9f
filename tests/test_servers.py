"""Tests of what the front reports to the decisions about the attempts at its servers."""

from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock

from limepath.configuration.process_limits import plan_limits
from limepath.front.attempt import Attempt
from limepath.front.server_protocol import Answer
from limepath.front.servers import Servers
from limepath.interface.commands import ForwardRequest
from limepath.interface.events import AttemptOutcome
from limepath.log import Log


@pytest.mark.parametrize(("status", "is_not_modified"), [(b"DONE", False), (b"KEEP", True), (b"LACK", False)])
def test_the_decisions_are_told_whether_an_answer_confirmed_the_clients_copy(status, is_not_modified):
    """Guards against answers without bytes that the decisions take for transfers."""
    events = []
    servers = Servers(
        Clock(),
        SimpleNamespace(gather=events.append),
        SimpleNamespace(
            answer_with_copy=lambda *_: None,
            attempt_not_executed=lambda _: None,
            release_if_done=lambda _: None,
        ),
        plan_limits(1024, 192, 32, open_requests=9),
        Log("n1", 0, 1),
        b"INFO",
    )
    request = SimpleNamespace(
        transaction_id=b"9b1f03aa5c7e2d41", attempt_count=0, attempts={}, deadline=0, is_open=False
    )
    attempt = Attempt(request, ForwardRequest(1, 5, 0, 5, 0, 0), {}, 0, 1)
    outcome = AttemptOutcome.MISS if status == b"LACK" else AttemptOutcome.SUCCEEDED
    servers.end_attempt(attempt, outcome, Answer(attempt.tag, status, {}, b""))
    servers.end_attempt(attempt, AttemptOutcome.RESET)
    assert [event.is_not_modified for event in events] == [is_not_modified, False]
