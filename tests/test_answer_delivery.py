"""Tests that an answer reaches a slow client whole although the kernel, not the front, still holds it."""

import select
import socket

import pytest

from limepath.front.answer_delivery import is_delivered
from limepath.front.client_connection_state import ConnectionState
from limepath.front.clock import clock
from tests.stand_ins import TIMEOUT, HttpClient
from tests.test_client_disconnects import driven  # noqa: F401 (a fixture)

BODY = b"z" * 240_000
REQUEST = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"
LATER = 30_000_000  # microseconds; beyond each timeout of a client connection
CLIENT_TIME = 5_000_000  # microseconds that the client waits for its answer


def slow_client(front):
    """Return a client with a small receive buffer that reads nothing yet, and the front's end of it."""
    known = set(front.clients.connections)
    client = HttpClient.__new__(HttpClient)
    client.socket = socket.socket()
    client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.socket.settimeout(TIMEOUT)
    client.socket.connect(("127.0.0.1", front.clients.listener.port.getHost().port))
    client.stream = client.socket.makefile("rb")
    front.passes_until(lambda: front.clients.connections - known)
    (connection,) = front.clients.connections - known
    return client, connection


def write_answer(front, connection, is_persistent):
    """Let the front write a large answer; the kernel accepts it whole, and the FIN if it is the last one."""
    connection.has_requested = True
    connection.is_persistent = is_persistent
    connection.client_deadline = clock() + CLIENT_TIME
    connection.send_response(200, b"", BODY)
    front.passes_until(lambda: not (connection.transport.dataBuffer or connection.transport._tempDataBuffer))
    if not is_persistent:
        front.passes_until(lambda: connection.state is ConnectionState.HALF_CLOSED)
    assert not is_delivered(connection.transport)


def pass_time(connection, microseconds):
    """Make all that happened on the connection longer ago, and the client's deadline closer."""
    connection.last_activity_at -= microseconds
    connection.client_deadline -= microseconds


def enforce_limit(front, limit):
    front.clients.limits = front.clients.limits._replace(client_connections=limit)
    front.clients.connection_limit.enforce()


def read_answer(front, client):
    """Read an answer while the front runs; return its body."""
    data = b""
    client.socket.setblocking(False)

    def has_read():
        nonlocal data
        while select.select([client.socket], [], [], 0)[0]:
            if not (part := client.socket.recv(65_536)):
                return True
            data += part
        return b"\r\n\r\n" in data and len(data.partition(b"\r\n\r\n")[2]) >= len(BODY)

    front.passes_until(has_read)
    return data.partition(b"\r\n\r\n")[2]


def test_a_crowd_of_idle_clients_does_not_cut_off_the_last_answer_of_a_slow_client(driven):  # noqa: F811
    """Guards against a reset that discards an answer in the kernel's send queue (review case 2)."""
    front = driven()
    client, connection = slow_client(front)
    write_answer(front, connection, is_persistent=False)
    idle = [front.open_client() for _ in range(3)]
    front.passes_until(lambda: len(front.clients.connections) == 1 + len(idle))
    enforce_limit(front, 3)
    assert connection in front.clients.connections
    enforce_limit(front, 1)  # all idle ones are closed first
    front.passes_until(lambda: len(front.clients.connections) == 1)
    enforce_limit(front, 0)
    assert read_answer(front, client) == BODY


@pytest.mark.parametrize("is_persistent", [True, False])
def test_the_connection_limit_does_not_cut_off_an_answer_that_the_kernel_holds(driven, is_persistent):  # noqa: F811
    """Guards against a reset where no other connection can be closed."""
    front = driven()
    client, connection = slow_client(front)
    write_answer(front, connection, is_persistent)
    enforce_limit(front, 0)
    assert read_answer(front, client) == BODY


@pytest.mark.parametrize("is_persistent", [True, False])
@pytest.mark.parametrize("next_request", ["", "GET /invoke/video/1 HTTP/1.1\r\n"])
def test_a_sweep_does_not_cut_off_an_answer_on_a_slow_link(driven, is_persistent, next_request):  # noqa: F811
    """Guards against a reset a second after the FIN was handed to the kernel (review case 3).

    It is the same if the client has sent a part of its next request already.
    """
    front = driven()
    client, connection = slow_client(front)
    write_answer(front, connection, is_persistent)
    if next_request:
        client.send_raw(next_request)
        front.passes_until(lambda: connection.buffer or connection.discarded_bytes)
    pass_time(connection, CLIENT_TIME - 1_000_000)
    front.clients.sweep()
    assert read_answer(front, client) == BODY


def test_a_client_that_never_reads_its_last_answer_is_closed(driven):  # noqa: F811
    """Guards against a wait for a client that has no end, and against one that is cut off in its time."""
    front = driven()
    client, connection = slow_client(front)
    write_answer(front, connection, is_persistent=False)
    pass_time(connection, LATER)
    connection.client_deadline += 2 * LATER
    front.clients.sweep()
    front.reactor.iterate(0)
    assert connection in front.clients.connections  # its time is not over
    pass_time(connection, 2 * LATER)
    front.clients.sweep()
    front.passes_until(lambda: connection not in front.clients.connections)
    assert client.closed_by_server()


def test_a_client_that_has_its_last_answer_and_does_not_close_is_closed_soon(driven):  # noqa: F811
    """The wait for the client's FIN begins when the answer is delivered, not when it is handed over."""
    front = driven()
    client, connection = slow_client(front)
    write_answer(front, connection, is_persistent=False)
    pass_time(connection, 2 * front.clients.limits.half_close_timeout)
    assert read_answer(front, client) == BODY
    front.passes_until(lambda: is_delivered(connection.transport))
    front.clients.sweep()
    front.reactor.iterate(0)
    assert connection in front.clients.connections
    pass_time(connection, 2 * front.clients.limits.half_close_timeout)
    front.clients.sweep()
    front.passes_until(lambda: connection not in front.clients.connections)
