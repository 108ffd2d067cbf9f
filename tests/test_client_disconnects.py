"""Tests that no attempt, first or further, starts for a client that has disconnected.

They use real sockets. Each race is forced while the front is stopped, and the disconnect waits there for
longer than an attempt may be late.
"""

import contextlib
import select
import socket
import time
from types import SimpleNamespace

import pytest
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from limepath.configuration.platform import Service
from limepath.configuration.process_limits import plan_limits
from limepath.front import client_disconnects
from limepath.front.client_connection import ClientConnection
from limepath.front.clients import Clients
from limepath.front.clock import clock
from limepath.interface.events import EndpointState
from limepath.log import Log
from tests.stand_ins import TIMEOUT, HttpClient, Site, connections, open_listener, wait_for
from tests.test_endings import (
    COPY_FIELDS,
    LONG_WAIT,
    ForwardingDecisions,
    build_front,
    resume_front,
    slow_reader,
    suspend_front,
    with_write_settings,
)

LATE = 0.15  # seconds from a client's disconnect until the front continues; an attempt may be 0.1 s late
OTHER_ID = "00000000000000fe"


def disconnect_for_long(client, disconnect=None):
    """Disconnect the client and return once its FIN or reset has waited at the front for LATE seconds."""
    client_port = f":{client.socket.getsockname()[1]:04X}"
    front_port = f":{client.socket.getpeername()[1]:04X}"
    (disconnect or client.close)()
    wait_for(
        lambda: (
            not any(
                columns[1].endswith(front_port)
                and columns[2].endswith(client_port)
                and columns[3] == "01"  # TCP_ESTABLISHED
                for columns in connections()
            )
        )
    )
    since = time.monotonic()
    wait_for(lambda: time.monotonic() - since > LATE)


def test_a_disconnect_is_detected_beside_another_connection_with_the_same_client_port():
    """The system may give one port to several connections, also to those of tests that run in parallel."""
    with Site() as site, open_listener() as other_listener:
        host, port = site.listen_address.split(":")
        client, other = socket.socket(), socket.socket()
        with client, other:
            for connection in (client, other):
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            other.bind(("127.0.0.1", 0))
            client.bind(other.getsockname())
            other.connect(other_listener.getsockname())
            client.connect((host, int(port)))
            disconnect_for_long(SimpleNamespace(socket=client), client.close)


def first_request_id(site, server):
    """Return the id of the first request that this server receives, after another client sent OTHER_ID."""
    other_client = site.open_client().send(txn=OTHER_ID)
    command = server.next()
    command.answer("DONE", COPY_FIELDS, b"x")
    assert other_client.answer()[2] == b"x"
    return command.id


def open_idle_connections(site, member, target, body=None, number=1):
    """Give the front this number of idle connections to a server, so that no attempt waits for one."""
    clients = [
        site.open_client().send(target, body, txn=f"{i:016x}")  # an id can be used once per connection
        for i in range(number)
    ]
    for command in [member.next() for _ in clients]:
        command.answer("DONE", COPY_FIELDS if body is None else "-")
    assert [client.answer()[0] for client in clients] == [200] * number
    assert member.connection_count == number


@pytest.mark.parametrize("connected", [True, False])
@pytest.mark.parametrize("reset", [True, False])
def test_request_and_disconnect_are_read_in_one_late_iteration(connected, reset):
    with Site() as site:
        open_idle_connections(site, site.cache, "/invoke/video/1")
        client = site.open_client() if connected else None
        if connected:
            assert client.send_raw("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n").answer()[0] == 200
        suspend_front(site)
        client = client or site.open_client()  # accepted by the kernel while the front is stopped
        if reset:
            client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        client.send()
        disconnect_for_long(client)
        resume_front(site)
        assert first_request_id(site, site.cache) == OTHER_ID
        assert site.cache.commands.empty()


def test_put_and_disconnect_are_read_in_one_late_iteration():
    with Site() as site:
        open_idle_connections(site, site.origin, "/invoke/tarea/1", b"x")
        suspend_front(site)
        client = site.open_client().send("/invoke/tarea/0000000000000001", b"mine")
        disconnect_for_long(client)
        resume_front(site)
        other_client = site.open_client().send("/invoke/tarea/0000000000000002", b"stays", txn=OTHER_ID)
        command = site.origin.next()
        assert command.id == OTHER_ID
        command.answer("DONE")
        assert other_client.answer()[0] == 200 and site.origin.commands.empty()


def test_miss_and_disconnect_are_read_in_one_late_iteration():
    with Site() as site:
        open_idle_connections(site, site.cache, "/invoke/video/1", number=2)
        client = site.open_client().send()
        command = site.cache.next()
        suspend_front(site)
        command.answer("LACK")  # leads to a fill
        disconnect_for_long(client)
        resume_front(site)
        assert first_request_id(site, site.cache) == OTHER_ID


def test_connection_is_freed_for_a_request_whose_client_has_disconnected():
    with Site(settings=LONG_WAIT) as site:
        first = site.open_client().send()
        command = site.cache.next()
        site.cache.fill_accept_queue()
        waiting = site.open_client().send(txn="00000000000000aa")
        site.cache.wait_for_connect_attempt()
        suspend_front(site)
        command.answer("DONE", COPY_FIELDS, b"x")  # read before the FIN, in the same iteration
        disconnect_for_long(waiting)
        resume_front(site)
        assert first.answer()[2] == b"x"
        assert first_request_id(site, site.cache) == OTHER_ID


@pytest.mark.parametrize("effect", ["free", "single_shot", "guarded"])
def test_connection_is_established_for_a_request_whose_client_has_disconnected(effect):
    with Site(settings=with_write_settings(LONG_WAIT, idempotency=effect)) as site:
        target, member, body = (
            ("/invoke/video/1", site.cache, None)
            if effect == "free"
            else ("/invoke/tarea/1", site.origin, b"mine")
        )
        member.fill_accept_queue()
        waiting = site.open_client().send(target, body, txn="00000000000000aa")
        member.wait_for_connect_attempt()
        suspend_front(site)
        crowding_ports = {f":{connection.getsockname()[1]:04X}" for connection in member.queued_connections}
        port = f":{member.listener.getsockname()[1]:04X}"
        member.resume_accepting()
        wait_for(
            lambda: any(  # established in the kernel, unknown to the front
                columns[2].endswith(port) and columns[3] == "01" and columns[1][-5:] not in crowding_ports
                for columns in connections()
            )
        )
        disconnect_for_long(waiting)
        resume_front(site)
        other_client = site.open_client().send(target, body, txn=OTHER_ID)
        command = member.next()
        assert command.id == OTHER_ID
        command.answer("DONE", COPY_FIELDS if effect == "free" else "-", b"")
        assert other_client.answer()[0] == 200 and member.commands.empty()


def test_request_is_not_opened_while_output_is_blocked():
    body = b"z" * 240_000
    with Site() as site:
        client = slow_reader(site)
        command = site.cache.next()
        answer = b"%s DONE %s %d\r\n%s\r\n" % (command.id.encode(), COPY_FIELDS.encode(), len(body), body)
        command.connection.sendall(answer[:-2])
        cache_port = command.connection.getsockname()[1]
        wait_for(lambda: unread_bytes(cache_port) == 0)
        suspend_front(site)
        command.connection.sendall(answer[-2:])  # completes the answer, which blocks the output to the client
        client.send(txn="00000000000000aa")  # read in the same iteration
        wait_for(lambda: unread_bytes(client.socket.getsockname()[1]) > 0)
        resume_front(site)
        client.socket.recv(1, socket.MSG_PEEK)
        assert site.health()[0] == 200
        assert site.cache.commands.empty()  # the request waits while a disconnect would go unnoticed
        assert client.answer()[2] == body
        again = site.cache.next()
        assert again.id == "00000000000000aa"
        client.close()
        assert site.cache.next("QUIT").id == again.id


def unread_bytes(port):
    """Return the number of bytes from this port in receive queues of the kernel."""
    return sum(
        int(columns[4].partition(":")[2], 16)
        for columns in connections()
        if columns[2].endswith(f":{port:04X}")
    )


def test_half_close_counts_as_disconnect():
    with Site() as site:
        open_idle_connections(site, site.cache, "/invoke/video/1")
        suspend_front(site)
        client = site.open_client().send()
        disconnect_for_long(client, lambda: client.socket.shutdown(socket.SHUT_WR))
        resume_front(site)
        assert client.closed_by_server()  # no answer, although the client could still read one
        assert first_request_id(site, site.cache) == OTHER_ID


# Late iterations, run step by step


class ForwardingTo(ForwardingDecisions):
    """A decision engine that forwards each request to `member`."""

    member = 1

    def handle(self, now, events):
        return [
            command._replace(endpoint=self.member, source=self.member)
            for command in super().handle(now, events)
        ]


class DrivenFront:
    """The parts of a front on a reactor that the test runs step by step, with one cache."""

    def __init__(self, **limits):
        self.front, self.reactor, self.ready = ForwardingTo(), EPollReactor(), EndpointState.READY
        _, self.clients, self.servers, _ = build_front(self.front, self.reactor, **limits)
        self.clients.services[b"tarea"] = Service(1, True, 5_000_000, False)
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.listener.settimeout(TIMEOUT)
        self.servers.update_endpoint(1, "s-1", self.listener.getsockname(), 0, EndpointState.READY)
        self.clients.listen(TCP4ServerEndpoint(self.reactor, 0, interface="127.0.0.1"))

    def open_client(self):
        return HttpClient(f"127.0.0.1:{self.clients.listener.port.getHost().port}")

    def passes_until(self, holds):
        def passed():
            """Run pending calls; poll the sockets again only if `holds` is still false."""
            self.reactor.runUntilCurrent()
            if not (held := holds()):
                self.reactor.doIteration(0.01)
            return held

        wait_for(passed)

    def attempts(self):
        """Return the attempts in flight."""
        return [
            attempt for request in self.clients.requests.values() for attempt in request.attempts.values()
        ]

    def accept(self):
        """Return the cache's side of the next connection."""
        self.passes_until(lambda: self.servers.endpoints[1].connections)
        connection, _ = self.listener.accept()
        return connection


@pytest.fixture
def driven():
    fronts = []

    def make(**limits):
        fronts.append(DrivenFront(**limits))
        return fronts[-1]

    yield make
    for front in fronts:
        front.listener.close()
        for reader in front.reactor.removeAll():
            reader.connectionLost(Failure(ConnectionDone()))


def test_attempt_is_written_in_the_same_step_as_the_disconnect_check(driven):
    front = driven()
    first = front.open_client().send(ttl=5000)
    cache = front.accept()
    front.passes_until(lambda: select.select([cache], [], [], 0)[0])
    cache.recv(4096)
    cache.sendall(b"9b1f03aa5c7e2d41 DONE %b 0\r\n\r\n" % COPY_FIELDS.encode())
    front.passes_until(lambda: not front.clients.requests)
    front.passes_until(lambda: select.select([first.socket], [], [], 0)[0])
    assert first.answer()[0] == 200
    client = front.open_client().send(txn="00000000000000aa", ttl=5000)
    front.passes_until(front.attempts)  # the commands were executed; the iteration has not ended
    disconnect_for_long(client)
    cache.setblocking(False)
    assert cache.recv(4096).startswith(b"ASK 00000000000000aa ")  # it started before the disconnect


def test_attempt_behind_blocked_output_is_not_sent_after_its_client_disconnects(driven):
    front = driven(cache_connections=1, connection_wait=5_000_000)
    body, sent, cache = b"z" * 40_000, [], None
    while cache is None or not front.servers.endpoints[1].connections[0].unsent_bytes():
        sent.append(front.open_client().send("/invoke/tarea/1", body, txn=f"{len(sent):016x}", ttl=5000))
        cache = cache or front.accept()  # does not read
        front.passes_until(lambda: len(front.attempts()) == len(sent))
        for _ in range(5):
            front.reactor.iterate(0)
        assert len(sent) < 9
    client = front.open_client().send("/invoke/tarea/2", b"mine", txn="00000000000000aa", ttl=5000)
    front.passes_until(lambda: len(front.attempts()) == len(sent) + 1)
    other_client = front.open_client().send("/invoke/tarea/3", b"stays", txn="00000000000000bb", ttl=5000)
    front.passes_until(lambda: len(front.attempts()) == len(sent) + 2)
    disconnect_for_long(client)
    cache.setblocking(False)
    cache.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)  # now it reads
    read = bytearray()

    def all_read():
        with contextlib.suppress(BlockingIOError):
            while data := cache.recv(1 << 20):
                read.extend(data)
        return b"ASK 00000000000000bb " in read  # sent once there is room, not only at the next answer

    front.passes_until(all_read)
    assert b"ASK 0000000000000000 " in read and b"00000000000000aa" not in read
    other_client.close()


# Counting


def connected_pair():
    with open_listener() as listener:
        near = socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
    return near, far


def test_tcp_info_shows_a_fin_behind_unread_bytes_and_its_age():
    near, far = connected_pair()
    with near, far:
        near.sendall(b"unread")
        assert not client_disconnects.has_ended(far)
        before = clock()
        near.shutdown(socket.SHUT_WR)
        wait_for(lambda: client_disconnects.has_ended(far))
        wait_for(lambda: clock() - before > 150_000)
        ago = client_disconnects.since_last_packet(far)
        assert (
            150_000 - client_disconnects.RESOLUTION <= ago <= clock() - before + client_disconnects.RESOLUTION
        )
        assert far.recv(9) == b"unread"  # the queries read nothing


def test_attempt_started_after_the_disconnect_is_counted_with_its_delay(capsys):
    limits = plan_limits(1024, 192, 32, open_requests=9)
    decision_loop = SimpleNamespace(gather=lambda *events: None)
    log = Log("n1", 5, 10_000_000)
    clients = Clients(None, decision_loop, limits, log, {})
    clients.servers = SimpleNamespace(cancel_unsent=lambda request: None)
    near, far = connected_pair()
    with near, far:
        connection = ClientConnection(clients)
        connection.transport = SimpleNamespace(
            socket=far, unregisterProducer=lambda: None, abortConnection=lambda: None
        )
        before = clock()
        near.close()
        wait_for(lambda: client_disconnects.has_ended(far))
        wait_for(lambda: clock() - before > 150_000)
        connection.request = SimpleNamespace(
            id=1,
            transaction_id=b"aa",
            attempts={},
            timer=None,
            attempt_start_times=[before - 50_000, clock()],
            end=lambda state: None,
        )
        connection.readConnectionLost()
    disconnects = clients.disconnects
    assert (
        disconnects.begun == 1
        and 140_000 <= disconnects.max_delay <= clock() - before + client_disconnects.RESOLUTION
    )
    assert "event=client-gone attempt=further" in capsys.readouterr().err


def test_prevented_attempt_is_counted_and_logged():
    with Site() as site:
        suspend_front(site)
        disconnect_for_long(site.open_client().send())
        resume_front(site)
        line = site.next_log_line("event=client-gone")
        assert "attempt=first" in line and "begun=no" in line
        assert int(line.partition("late_ms=")[2].split()[0]) >= 1000 * LATE - 10
