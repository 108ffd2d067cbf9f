"""Tests of a connection to a server."""

from types import SimpleNamespace

from limepath.configuration.process_limits import plan_limits
from limepath.front.attempt import Probe
from limepath.front.reference_clock import ReferenceClock
from limepath.front.response_memory import ResponseMemory
from limepath.front.server_connection import ServerConnection


def test_answers_are_parsed_wherever_the_stream_is_split():
    stream = b"aa DONE rev=1,since=2 4\r\nx\r\ny\r\nbb LACK - 0\r\n\r\np7 FIT use=util:0.5 0\r\n\r\n"
    for split in range(len(stream) + 1):
        answers = []
        endpoint = SimpleNamespace(
            limits=plan_limits(1024, 192, 32, open_requests=9),
            send_waiting=lambda: None,
            incarnation=None,
            probe_answered=lambda: None,
            servers=SimpleNamespace(
                end_attempt=lambda attempt, outcome, answer, answers=answers: answers.append(
                    (answer.status, answer.body)
                ),
                connection_limit_reached=False,
                response_memory=ResponseMemory(10**9, lambda *_: None),
                reference=ReferenceClock(100_000),
            ),
        )
        connection = ServerConnection(endpoint)
        attempt = SimpleNamespace(
            request=SimpleNamespace(event=SimpleNamespace(is_write=False)), command=SimpleNamespace(max_age=0)
        )
        endpoint.idle, endpoint.waiting = [], []
        connection.attempts = {b"aa": attempt, b"bb": attempt, b"p7": Probe(1, b"p7", 1)}
        connection.dataReceived(stream[:split])
        connection.dataReceived(stream[split:])
        assert answers == [(b"DONE", b"x\r\ny"), (b"LACK", b""), (b"FIT", b"")], (split, answers)
