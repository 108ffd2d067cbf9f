"""The control socket answers whatever comes in, and ends a caller that never ends its line."""

import json

from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.testing import StringTransport

from limepath.membership.control import ControlConnection


def caller(shown):
    one = ControlConnection()
    one.factory = type("Factory", (), {"connections": 0, "views": shown})()
    one.setTimeout = lambda span: None
    transport = StringTransport()
    one.makeConnection(transport)
    return one, transport


@given(st.binary(max_size=200))
def test_noise_at_the_control_socket_is_answered_with_an_error_and_the_connection_stays(noise):
    one, transport = caller({"peers": lambda: {"me": 1}})
    one.dataReceived(noise.replace(b"\n", b" ") + b"\n")
    assert "error" in json.loads(transport.value())
    transport.clear()
    one.dataReceived(b'{"show": "peers"}\n')
    assert json.loads(transport.value()) == {"me": 1}


def test_a_line_without_end_closes_the_connection():
    one, transport = caller({})
    one.dataReceived(b"x" * 10_000)
    assert transport.disconnecting and b"error" in transport.value()
