"""Tests of the limit on the bytes of requests that the front holds."""

import socket

import pytest

from limepath.configuration.process_limits import plan_limits
from limepath.front.request_memory import RequestMemory
from tests.stand_ins import Site, wait_for

MEMORY_MB = 64
CLIENTS = 400
BODY = b"w" * 48_000
HEAD = (
    b"PUT /invoke/tarea/%016x HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %016x\r\nX-Ttl-Ms: 60000\r\nX-Family: 1\r\n"
    b"Content-Length: 48000\r\n\r\n"
)
MANY_FIELDS = b"GET /invoke/video/1 HTTP/1.1\r\n" + b"a:\r\n" * 2000  # the head goes on


class FakeConnection:
    """Records that its incomplete request was rejected, and reports the end of its input."""

    def __init__(self, memory):
        self.memory = memory
        self.is_rejected = False

    def reject_incomplete_request(self):
        self.is_rejected = True
        self.memory.set_incomplete(self, 0)


def make_connections(memory, sizes):
    connections = [FakeConnection(memory) for _ in sizes]
    for connection, size in zip(connections, sizes, strict=True):
        memory.set_incomplete(connection, size)
    return connections


def test_the_incomplete_requests_that_began_first_are_rejected_first():
    memory = RequestMemory(100)
    first, second, third = make_connections(memory, (40, 40, 20))
    memory.set_incomplete(third, 30)
    assert [first.is_rejected, second.is_rejected, third.is_rejected] == [True, False, False]
    assert memory.total == 70


def test_a_connection_that_begins_another_request_is_the_last_in_order():
    memory = RequestMemory(100)
    first, second = make_connections(memory, (40, 40))
    memory.set_incomplete(first, 0)
    memory.set_incomplete(first, 70)
    assert second.is_rejected
    assert not first.is_rejected


def test_complete_bodies_take_the_place_of_incomplete_requests_and_not_of_each_other():
    memory = RequestMemory(100)
    (slow,) = make_connections(memory, (60,))
    assert memory.add_body(50)
    assert slow.is_rejected
    assert not memory.add_body(1)
    assert memory.add_body(0)
    memory.remove_body(50)
    assert memory.add_body(50)
    assert memory.total == 50


def test_requests_can_arrive_beside_as_many_bodies_as_fit():
    """Guards against requests that are rejected because they come in pieces while many writes are open."""
    memory = RequestMemory(100)
    while memory.add_body(10):
        pass
    first, second = make_connections(memory, (25, 25))
    assert not first.is_rejected
    memory.set_incomplete(second, 26)
    assert first.is_rejected
    assert not second.is_rejected


def test_the_limit_follows_from_the_memory_that_the_program_leaves():
    assert plan_limits(1024, 192, 32, open_requests=9).request_bytes == 38_000_000
    assert plan_limits(1024, 64, 32, open_requests=9, resident_mb=46).request_bytes == 3_000_000
    assert plan_limits(1024, 32, 32, open_requests=9, resident_mb=46).request_bytes == 500_000


def peak_bytes(process):
    """Return the highest resident memory of the process since its start, in bytes (proc(5))."""
    with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
        (line,) = [line for line in file if line.startswith("VmHWM")]
    return int(line.split()[1]) * 1024


def send_what_is_taken(client, data):
    """Send until the front's machine takes no more or the front has closed."""
    try:
        client.sendall(data)
    except OSError:
        return


def send_half_requests(clients):
    """Let each client send its request but for the last byte, and stop."""
    for number, client in enumerate(clients):
        send_what_is_taken(client, HEAD % (number, number) + BODY[:-1])


def send_slowly(clients):
    """Let all clients send their requests a kilobyte each at a time, without ever completing one."""
    for number, client in enumerate(clients):
        send_what_is_taken(client, HEAD % (number, number))
    for _ in range(len(BODY) // 1000 - 1):
        for client in clients:
            send_what_is_taken(client, BODY[:1000])


def send_many_fields(clients):
    """Let each client send a head of many short fields, without its end."""
    for client in clients:
        send_what_is_taken(client, MANY_FIELDS)


@pytest.mark.parametrize("send", [send_half_requests, send_slowly, send_many_fields])
def test_hundreds_of_clients_with_incomplete_requests_do_not_exceed_the_memory(send):
    """Guards against a front that is killed for its memory by clients that write slowly or stop half way."""
    with Site(limits={"memory_mb": MEMORY_MB, "sockets": 1024}) as site:
        host, port = site.listen_address.split(":")
        clients = [socket.create_connection((host, int(port))) for _ in range(CLIENTS)]
        for client in clients:
            client.settimeout(1)
        send(clients)
        write = site.open_client().send("/invoke/tarea/00000000000000aa", BODY, txn="f" * 16)
        command = site.origin.next()
        assert command.body == BODY
        command.answer("DONE")
        assert write.answer()[0] == 200
        assert peak_bytes(site.process) <= MEMORY_MB * 1_000_000
        for client in clients:
            client.close()


def test_a_rejected_incomplete_request_is_answered_with_503():
    """Guards against a request that is complete by the time it is rejected, and would be lost by a close."""
    with Site(limits={"memory_mb": MEMORY_MB, "sockets": 1024}) as site:
        first = site.open_client().send_raw((HEAD % (1, 1)).decode(), BODY[:-1])
        wait_for(lambda: site.health()[0] == 200)
        others = [site.open_client() for _ in range(CLIENTS)]
        for number, other in enumerate(others, 2):
            send_what_is_taken(other.socket, HEAD % (number, number) + BODY[:-1])
        send_what_is_taken(first.socket, BODY[-1:])
        status, fields, _ = first.answer()
        assert (status, fields["connection"]) == (503, "close")
        assert site.origin.commands.empty()
        for client in (first, *others):
            client.close()


def test_the_bodies_of_released_requests_are_not_counted():
    with Site(limits={"memory_mb": MEMORY_MB, "sockets": 1024}) as site:
        client = site.open_client()
        for number in range(120):  # more bytes than the limit, one after another
            client.send("/invoke/tarea/00000000000000aa", BODY, txn=f"{number:016x}")
            site.origin.next().answer("DONE")
            assert client.answer()[0] == 200


def test_a_connection_without_incomplete_request_has_no_bytes_counted():
    memory = RequestMemory(100)
    connection = FakeConnection(memory)
    memory.set_incomplete(connection, 0)
    assert memory.total == 0
    assert not memory.incomplete
