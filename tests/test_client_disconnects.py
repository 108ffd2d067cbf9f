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

from limepath.configuration.process_limits import plan_limits
from limepath.front import client_disconnects
from limepath.front.client_connection import ClientConnection
from limepath.front.clients import Clients
from limepath.front.clock import clock
from limepath.interface.events import EndpointState
from limepath.log import Log
from tests.stand_ins import BOUND, Site, Viewer, connections, listening, until
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


def disconnect_for_long(viewer, disconnect=None):
    """Disconnect the client and return once its FIN or reset has waited at the front for LATE seconds."""
    client_port = f":{viewer.socket.getsockname()[1]:04X}"
    (disconnect or viewer.close)()
    until(
        lambda: (
            not any(
                words[2].endswith(client_port) and words[3] == "01"  # TCP_ESTABLISHED
                for words in connections()
            )
        )
    )
    since = time.monotonic()
    until(lambda: time.monotonic() - since > LATE)


def first_request_id(site, server):
    """Return the id of the first request that this server receives, after another client sent OTHER_ID."""
    other_client = site.viewer().send(txn=OTHER_ID)
    asked = server.next()
    asked.answer("DONE", COPY_FIELDS, b"x")
    assert other_client.answer()[2] == b"x"
    return asked.id


def open_idle_connections(site, member, target, body=None, number=1):
    """Give the front this number of idle connections to a server, so that no attempt waits for one."""
    viewers = [
        site.viewer().send(target, body, txn=f"{i:016x}")  # an id can be used once per connection
        for i in range(number)
    ]
    for asked in [member.next() for _ in viewers]:
        asked.answer("DONE", COPY_FIELDS if body is None else "-")
    assert [viewer.answer()[0] for viewer in viewers] == [200] * number
    assert member.connected == number


@pytest.mark.parametrize("connected", [True, False])
@pytest.mark.parametrize("reset", [True, False])
def test_request_and_disconnect_are_read_in_one_late_iteration(connected, reset):
    with Site() as site:
        open_idle_connections(site, site.cache, "/invoke/video/1")
        viewer = site.viewer() if connected else None
        if connected:
            assert viewer.raw("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n").answer()[0] == 200
        suspend_front(site)
        viewer = viewer or site.viewer()  # accepted by the kernel while the front is stopped
        if reset:
            viewer.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        viewer.send()
        disconnect_for_long(viewer)
        resume_front(site)
        assert first_request_id(site, site.cache) == OTHER_ID
        assert site.cache.asked.empty()


def test_put_and_disconnect_are_read_in_one_late_iteration():
    with Site() as site:
        open_idle_connections(site, site.origin, "/invoke/tarea/1", b"x")
        suspend_front(site)
        viewer = site.viewer().send("/invoke/tarea/0000000000000001", b"mine")
        disconnect_for_long(viewer)
        resume_front(site)
        other_client = site.viewer().send("/invoke/tarea/0000000000000002", b"stays", txn=OTHER_ID)
        asked = site.origin.next()
        assert asked.id == OTHER_ID
        asked.answer("DONE")
        assert other_client.answer()[0] == 200 and site.origin.asked.empty()


def test_miss_and_disconnect_are_read_in_one_late_iteration():
    with Site() as site:
        open_idle_connections(site, site.cache, "/invoke/video/1", number=2)
        viewer = site.viewer().send()
        asked = site.cache.next()
        suspend_front(site)
        asked.answer("LACK")  # leads to a fill
        disconnect_for_long(viewer)
        resume_front(site)
        assert first_request_id(site, site.cache) == OTHER_ID


def test_connection_is_freed_for_a_request_whose_client_has_disconnected():
    with Site(settings=LONG_WAIT) as site:
        first = site.viewer().send()
        asked = site.cache.next()
        site.cache.crowd()
        waiting = site.viewer().send(txn="00000000000000aa")
        site.cache.called_in_vain()
        suspend_front(site)
        asked.answer("DONE", COPY_FIELDS, b"x")  # read before the FIN, in the same iteration
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
        member.crowd()
        waiting = site.viewer().send(target, body, txn="00000000000000aa")
        member.called_in_vain()
        suspend_front(site)
        crowding_ports = {f":{connection.getsockname()[1]:04X}" for connection in member.crowding}
        port = f":{member.listener.getsockname()[1]:04X}"
        member.uncrowd()
        until(
            lambda: any(  # established in the kernel, unknown to the front
                words[2].endswith(port) and words[3] == "01" and words[1][-5:] not in crowding_ports
                for words in connections()
            )
        )
        disconnect_for_long(waiting)
        resume_front(site)
        other_client = site.viewer().send(target, body, txn=OTHER_ID)
        asked = member.next()
        assert asked.id == OTHER_ID
        asked.answer("DONE", COPY_FIELDS if effect == "free" else "-", b"")
        assert other_client.answer()[0] == 200 and member.asked.empty()


def test_request_is_not_opened_while_output_is_blocked():
    body = b"z" * 240_000
    with Site() as site:
        viewer = slow_reader(site)
        asked = site.cache.next()
        answer = b"%s DONE %s %d\r\n%s\r\n" % (asked.id.encode(), COPY_FIELDS.encode(), len(body), body)
        asked.connection.sendall(answer[:-2])
        cache_port = asked.connection.getsockname()[1]
        until(lambda: unread_bytes(cache_port) == 0)
        suspend_front(site)
        asked.connection.sendall(answer[-2:])  # completes the answer, which blocks the output to the client
        viewer.send(txn="00000000000000aa")  # read in the same iteration
        until(lambda: unread_bytes(viewer.socket.getsockname()[1]) > 0)
        resume_front(site)
        viewer.socket.recv(1, socket.MSG_PEEK)
        assert site.health()[0] == 200
        assert site.cache.asked.empty()  # the request waits while a disconnect would go unnoticed
        assert viewer.answer()[2] == body
        again = site.cache.next()
        assert again.id == "00000000000000aa"
        viewer.close()
        assert site.cache.next("QUIT").id == again.id


def unread_bytes(port):
    """Return the number of bytes from this port in receive queues of the kernel."""
    return sum(
        int(words[4].partition(":")[2], 16) for words in connections() if words[2].endswith(f":{port:04X}")
    )


def test_half_close_counts_as_disconnect():
    with Site() as site:
        open_idle_connections(site, site.cache, "/invoke/video/1")
        suspend_front(site)
        viewer = site.viewer().send()
        disconnect_for_long(viewer, lambda: viewer.socket.shutdown(socket.SHUT_WR))
        resume_front(site)
        assert viewer.ended()  # no answer, although the client could still read one
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
        self.clients.services[b"tarea"] = (1, True, 5_000_000)
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.listener.settimeout(BOUND)
        self.servers.update_endpoint(1, "s-1", self.listener.getsockname(), 0, EndpointState.READY)
        self.clients.listen(TCP4ServerEndpoint(self.reactor, 0, interface="127.0.0.1"))

    def viewer(self):
        return Viewer(f"127.0.0.1:{self.clients.listener.port.getHost().port}")

    def passes_until(self, holds):
        def passed():
            """Run pending calls; poll the sockets again only if `holds` is still false."""
            self.reactor.runUntilCurrent()
            if not (held := holds()):
                self.reactor.doIteration(0.01)
            return held

        until(passed)

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
    first = front.viewer().send(ttl=5000)
    cache = front.accept()
    front.passes_until(lambda: select.select([cache], [], [], 0)[0])
    cache.recv(4096)
    cache.sendall(b"9b1f03aa5c7e2d41 DONE %b 0\r\n\r\n" % COPY_FIELDS.encode())
    front.passes_until(lambda: not front.clients.requests)
    front.passes_until(lambda: select.select([first.socket], [], [], 0)[0])
    assert first.answer()[0] == 200
    viewer = front.viewer().send(txn="00000000000000aa", ttl=5000)
    front.passes_until(front.attempts)  # the commands were executed; the iteration has not ended
    disconnect_for_long(viewer)
    cache.setblocking(False)
    assert cache.recv(4096).startswith(b"ASK 00000000000000aa ")  # it started before the disconnect


def test_attempt_behind_blocked_output_is_not_sent_after_its_client_disconnects(driven):
    front = driven(cache_connections=1, connection_wait=5_000_000)
    body, sent, cache = b"z" * 40_000, [], None
    while cache is None or not front.servers.endpoints[1].connections[0].unsent_bytes():
        sent.append(front.viewer().send("/invoke/tarea/1", body, txn=f"{len(sent):016x}", ttl=5000))
        cache = cache or front.accept()  # does not read
        front.passes_until(lambda: len(front.attempts()) == len(sent))
        for _ in range(5):
            front.reactor.iterate(0)
        assert len(sent) < 9
    viewer = front.viewer().send("/invoke/tarea/2", b"mine", txn="00000000000000aa", ttl=5000)
    front.passes_until(lambda: len(front.attempts()) == len(sent) + 1)
    other_client = front.viewer().send("/invoke/tarea/3", b"stays", txn="00000000000000bb", ttl=5000)
    front.passes_until(lambda: len(front.attempts()) == len(sent) + 2)
    disconnect_for_long(viewer)
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
    with listening() as listener:
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
        until(lambda: client_disconnects.has_ended(far))
        until(lambda: clock() - before > 150_000)
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
        until(lambda: client_disconnects.has_ended(far))
        until(lambda: clock() - before > 150_000)
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
        disconnect_for_long(site.viewer().send())
        resume_front(site)
        line = site.heard("event=client-gone")
        assert "attempt=first" in line and "begun=no" in line
        assert int(line.partition("late_ms=")[2].split()[0]) >= 1000 * LATE - 10
