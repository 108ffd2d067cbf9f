"""Tests of `limepath.membership.control`: invalid requests get an error, overlong lines close the socket."""

import json

from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.testing import StringTransport

from limepath.membership.control import ControlConnection


def connect(views):
    connection = ControlConnection()
    connection.factory = type("Factory", (), {"connections": 0, "views": views})()
    connection.setTimeout = lambda timeout: None
    transport = StringTransport()
    connection.makeConnection(transport)
    return connection, transport


@given(st.binary(max_size=200))
def test_an_invalid_request_is_answered_with_an_error_and_the_connection_stays_open(noise):
    connection, transport = connect({"peers": lambda: {"me": 1}})
    connection.dataReceived(noise.replace(b"\n", b" ") + b"\n")
    assert "error" in json.loads(transport.value())
    transport.clear()
    connection.dataReceived(b'{"show": "peers"}\n')
    assert json.loads(transport.value()) == {"me": 1}


def test_an_overlong_line_closes_the_connection():
    connection, transport = connect({})
    connection.dataReceived(b"x" * 10_000)
    assert transport.disconnecting and b"error" in transport.value()
