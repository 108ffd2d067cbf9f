"""Tests of the limit on the bytes of answers that clients do not read."""

import contextlib
import selectors
import socket
import threading
import time

import pytest

from limepath.configuration.process_limits import plan_limits
from limepath.front.clock import clock
from limepath.front.transport_output import unsent_bytes
from tests.stand_ins import SETTINGS, TIMEOUT, Site
from tests.test_answer_delivery import BODY, CLIENT_TIME, slow_client
from tests.test_client_disconnects import driven  # noqa: F401 (a fixture)
from tests.test_endings import resume_front, suspend_front
from tests.test_request_memory import peak_bytes

CLIENTS = 300
CACHES = 10  # enough for a connection each request
SENT_WITHIN = 1.0  # seconds in which the system takes all answers that it has room for
MORE_THAN_THE_KERNEL_HOLDS = b"z" * 16_000_000
READ_MEANWHILE = 1_000_000  # bytes
ROOMY = SETTINGS | {
    "weight-kind": "nominal",
    "family-info": SETTINGS["family-info"] | {"pipe-kb-per-s": [9_000_000.0, 0.0]},
}
GET = (
    b"GET /invoke/video/%016x HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %016x\r\nX-Ttl-Ms: 30000\r\n"
    b"X-Family: 1\r\n\r\n"
)


def roomy_site(memory_mb):
    """Return a site whose servers have room for all clients at once, and one queue of commands."""
    names = tuple(f"s-{number}" for number in range(CACHES))
    site = Site(names, settings=ROOMY, limits={"memory_mb": memory_mb, "sockets": 1024})
    for cache in site.caches:
        cache.commands = site.cache.commands
    for member in site.changes["known"]["results"][0]["fleet"]["members"]:
        member["size"] = 1000
    return site


def answer_all(commands):
    """Answer commands of one connection with the largest objects, as far as the front reads them."""
    for command in commands:
        with contextlib.suppress(OSError):
            command.answer("DONE", "rev=4be0,since=0", BODY)


def answer_together(site, number):
    """Let the servers wait for `number` requests, and answer all of them while the front stands still.

    The front then reads all answers in the same iterations of its event loop.
    """
    by_connection = {}
    for command in [site.cache.next() for _ in range(number)]:
        by_connection.setdefault(command.connection, []).append(command)
    suspend_front(site)
    threads = [
        threading.Thread(target=answer_all, args=(commands,), daemon=True)
        for commands in by_connection.values()
    ]
    for thread in threads:
        thread.start()
    end = time.monotonic() + SENT_WITHIN
    for thread in threads:
        thread.join(max(0, end - time.monotonic()))
    resume_front(site)


def send_together(site, number):
    """Let clients send a GET each, and return their sockets."""
    host, port = site.listen_address.split(":")
    clients = [socket.create_connection((host, int(port))) for _ in range(number)]
    for index, client in enumerate(clients, 1):
        client.sendall(GET % (index, index))
    return clients


def read_together(clients):
    """Read all answers at full speed; return the number of bytes that each client got."""
    counts = dict.fromkeys(clients, 0)
    with selectors.DefaultSelector() as selector:
        for client in clients:
            client.setblocking(False)
            selector.register(client, selectors.EVENT_READ)
        end = time.monotonic() + TIMEOUT
        while selector.get_map() and time.monotonic() < end:
            for key, _ in selector.select(0.1):
                try:
                    data = key.fileobj.recv(1 << 20)
                except ConnectionResetError:
                    data = b""
                counts[key.fileobj] += len(data)
                if not data or counts[key.fileobj] > len(BODY):
                    selector.unregister(key.fileobj)
    return list(counts.values())


@pytest.mark.parametrize("memory_mb", [64, 128, 192])
def test_clients_that_read_lose_no_answer_when_hundreds_come_together(memory_mb):
    """Guards against clients that are reset because answers are large, although all of them read (case 6)."""
    with roomy_site(memory_mb) as site:
        clients = send_together(site, CLIENTS)
        answer_together(site, CLIENTS)
        assert all(count > len(BODY) for count in read_together(clients))
        assert peak_bytes(site.process) <= memory_mb * 1_000_000


def test_hundreds_of_clients_that_do_not_read_delay_no_other_client():
    with roomy_site(64) as site:
        clients = send_together(site, CLIENTS)
        answer_together(site, CLIENTS)
        usual = site.open_client().send("/invoke/video/00000000000000aa", txn="f" * 16)
        site.cache.next().answer("DONE", "rev=4be0,since=0", b"x")
        assert usual.answer()[2] == b"x"
        assert peak_bytes(site.process) <= 64_000_000
        for client in clients:
            client.close()


def blocked_connections(front, number):
    """Return connections whose clients read nothing, with more output than the kernel accepts."""
    connections = [blocked_connection(front) for _ in range(number)]
    front.clients.output_memory.enforce()  # looks at what the kernel accepted until now
    return connections


def blocked_connection(front):
    client, connection = slow_client(front)
    front.silent_clients = [*getattr(front, "silent_clients", ()), client]  # stay open
    connection.client_deadline = clock() + CLIENT_TIME
    connection.send_response(200, b"", MORE_THAN_THE_KERNEL_HOLDS)
    assert unsent_bytes(connection.transport)
    return connection


def enforce(front, undrained_bytes, later):
    """Enforce a limit on the bytes that clients do not read, as if `later` microseconds had passed."""
    memory = front.clients.output_memory
    for progress in memory.blocked.values():
        progress.since -= later
    front.clients.limits = front.clients.limits._replace(undrained_bytes=undrained_bytes)
    memory.enforce()


def test_a_client_has_time_to_read_before_it_is_closed_for_its_unread_answer(driven):  # noqa: F811
    """Guards against a client that counts as not reading because the kernel was not asked again yet."""
    front = driven()
    (connection,) = blocked_connections(front, 1)
    enforce(front, undrained_bytes=0, later=front.clients.limits.unread_grace // 2)
    front.reactor.iterate(0)
    assert connection in front.clients.connections
    enforce(front, undrained_bytes=0, later=front.clients.limits.unread_grace)
    front.passes_until(lambda: connection not in front.clients.connections)
    assert not front.clients.output_memory.blocked


def test_a_client_that_read_while_the_front_stood_still_is_not_closed(driven):  # noqa: F811
    """Guards against a client that counts as not reading because the process was stopped meanwhile."""
    front = driven()
    (connection,) = blocked_connections(front, 1)
    (client,) = front.silent_clients
    read = 0
    while read < READ_MEANWHILE:
        read += len(client.socket.recv(READ_MEANWHILE))
    enforce(front, undrained_bytes=0, later=front.clients.limits.unread_grace)
    front.reactor.iterate(0)
    assert connection in front.clients.connections


def test_only_as_many_clients_are_closed_as_the_memory_needs(driven):  # noqa: F811
    front = driven()
    connections = blocked_connections(front, 3)
    unsent = [unsent_bytes(connection.transport) for connection in connections]
    front.clients.output_memory.blocked[connections[1]].since -= 1_000_000  # unread for longest
    enforce(front, undrained_bytes=unsent[0] + unsent[2], later=front.clients.limits.unread_grace)
    front.passes_until(lambda: connections[1] not in front.clients.connections)
    assert {connections[0], connections[2]} <= front.clients.connections


def test_clients_that_no_longer_wait_are_closed_before_those_that_do(driven):  # noqa: F811
    """Guards against an answer that is cut off in its client's time while others are overdue."""
    front = driven()
    connections = blocked_connections(front, 2)
    front.clients.output_memory.blocked[connections[0]].since -= 1_000_000  # unread for longest
    connections[1].client_deadline -= 2 * CLIENT_TIME
    enforce(
        front,
        undrained_bytes=unsent_bytes(connections[0].transport),
        later=front.clients.limits.unread_grace,
    )
    front.passes_until(lambda: connections[1] not in front.clients.connections)
    assert connections[0] in front.clients.connections


def test_the_limit_follows_from_the_memory_that_the_program_leaves():
    def limits(memory_mb, resident_mb=0):
        planned = plan_limits(1024, memory_mb, 32, open_requests=9, resident_mb=resident_mb)
        return planned.response_bytes, planned.undrained_bytes

    assert limits(192) == (76_000_000, 38_000_000)
    assert limits(64) == (12_000_000, 6_000_000)
    assert limits(64, resident_mb=46) == (6_000_000, 3_000_000)
    assert limits(32) == (2_000_000, 1_000_000)
