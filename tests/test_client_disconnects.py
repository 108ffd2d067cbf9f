"""A client that has gone gets no further work done: no attempt, first or further, begins for it. On real
sockets; each crossing is forced while the front stands still, and waits longer than is allowed.
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

LATE = 0.15  # seconds that a client has been gone when the front wakes; 0.1 are allowed
OTHER = "00000000000000fe"


def gone_for_long(viewer, leave=None):
    """The client goes; by the time of return its end has waited at the front for LATE."""
    near = f":{viewer.socket.getsockname()[1]:04X}"
    (leave or viewer.close)()
    until(
        lambda: (
            not any(
                words[2].endswith(near) and words[3] == "01"  # established no more
                for words in connections()
            )
        )
    )
    since = time.monotonic()
    until(lambda: time.monotonic() - since > LATE)


def asked_first(site, where):
    """Who is asked first at this member: the one that stays, or the one that has gone."""
    stays = site.viewer().send(txn=OTHER)
    asked = where.next()
    asked.answer("DONE", COPY_FIELDS, b"x")
    assert stays.answer()[2] == b"x"
    return asked.id


def warmed(site, member, target, body=None, number=1):
    """The front has so many idle connections to this member, so that nothing has to wait for one."""
    viewers = [
        site.viewer().send(target, body, txn=f"{one:016x}")  # other ids: one goes out once on a connection
        for one in range(number)
    ]
    for asked in [member.next() for _ in viewers]:
        asked.answer("DONE", COPY_FIELDS if body is None else "-")
    assert [viewer.answer()[0] for viewer in viewers] == [200] * number
    assert member.connected == number


@pytest.mark.parametrize("connected", [True, False])
@pytest.mark.parametrize("reset", [True, False])
def test_a_request_and_the_end_behind_it_wait_for_a_late_pass(connected, reset):
    with Site() as site:
        warmed(site, site.cache, "/invoke/video/1")
        viewer = site.viewer() if connected else None
        if connected:
            assert viewer.raw("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n").answer()[0] == 200
        suspend_front(site)
        viewer = viewer or site.viewer()  # else the system has accepted it, and the front does so late
        if reset:
            viewer.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        viewer.send()
        gone_for_long(viewer)
        resume_front(site)
        assert asked_first(site, site.cache) == OTHER
        assert site.cache.asked.empty()


def test_a_put_and_the_end_behind_it_wait_for_a_late_pass():
    with Site() as site:
        warmed(site, site.origin, "/invoke/tarea/1", b"x")
        suspend_front(site)
        viewer = site.viewer().send("/invoke/tarea/0000000000000001", b"mine")
        gone_for_long(viewer)
        resume_front(site)
        stays = site.viewer().send("/invoke/tarea/0000000000000002", b"stays", txn=OTHER)
        asked = site.origin.next()
        assert asked.id == OTHER
        asked.answer("DONE")
        assert stays.answer()[0] == 200 and site.origin.asked.empty()


def test_an_answer_that_leads_to_a_further_attempt_comes_with_the_end_of_its_client():
    with Site() as site:
        warmed(site, site.cache, "/invoke/video/1", number=2)
        viewer = site.viewer().send()
        asked = site.cache.next()
        suspend_front(site)
        asked.answer("LACK")  # a fill follows
        gone_for_long(viewer)
        resume_front(site)
        assert asked_first(site, site.cache) == OTHER


def test_an_answer_frees_the_connection_that_another_waits_for_whose_client_has_gone():
    with Site(settings=LONG_WAIT) as site:
        first = site.viewer().send()
        asked = site.cache.next()
        site.cache.crowd()
        waits = site.viewer().send(txn="00000000000000aa")
        site.cache.called_in_vain()
        suspend_front(site)
        asked.answer("DONE", COPY_FIELDS, b"x")  # is read before the end, in one pass
        gone_for_long(waits)
        resume_front(site)
        assert first.answer()[2] == b"x"
        assert asked_first(site, site.cache) == OTHER


@pytest.mark.parametrize("effect", ["free", "single_shot", "guarded"])
def test_a_connection_comes_up_together_with_the_end_of_the_client_whose_request_waits_for_it(effect):
    with Site(settings=with_write_settings(LONG_WAIT, idempotency=effect)) as site:
        target, member, body = (
            ("/invoke/video/1", site.cache, None)
            if effect == "free"
            else ("/invoke/tarea/1", site.origin, b"mine")
        )
        member.crowd()
        waits = site.viewer().send(target, body, txn="00000000000000aa")
        member.called_in_vain()
        suspend_front(site)
        others = {f":{one.getsockname()[1]:04X}" for one in member.crowding}
        port = f":{member.listener.getsockname()[1]:04X}"
        member.uncrowd()
        until(
            lambda: any(  # the system has it up, the front does not know
                words[2].endswith(port) and words[3] == "01" and words[1][-5:] not in others
                for words in connections()
            )
        )
        gone_for_long(waits)
        resume_front(site)
        stays = site.viewer().send(target, body, txn=OTHER)
        asked = member.next()
        assert asked.id == OTHER
        asked.answer("DONE", COPY_FIELDS if effect == "free" else "-", b"")
        assert stays.answer()[0] == 200 and member.asked.empty()


def test_a_request_behind_an_answer_that_gets_stuck_is_not_open_on_a_connection_that_is_not_read():
    body = b"z" * 240_000
    with Site() as site:
        viewer = slow_reader(site)
        asked = site.cache.next()
        whole = b"%s DONE %s %d\r\n%s\r\n" % (asked.id.encode(), COPY_FIELDS.encode(), len(body), body)
        asked.connection.sendall(whole[:-2])
        read = asked.connection.getsockname()[1]
        until(lambda: unread_at_the_front(read) == 0)
        suspend_front(site)
        asked.connection.sendall(whole[-2:])  # the answer is whole, and gets stuck as it is written,
        viewer.send(txn="00000000000000aa")  # in the pass that brings this one
        until(lambda: unread_at_the_front(viewer.socket.getsockname()[1]) > 0)
        resume_front(site)
        viewer.socket.recv(1, socket.MSG_PEEK)
        assert site.health()[0] == 200
        assert site.cache.asked.empty()  # it waits as long as nobody would see its client go
        assert viewer.answer()[2] == body
        again = site.cache.next()
        assert again.id == "00000000000000aa"
        viewer.close()
        assert site.cache.next("QUIT").id == again.id


def unread_at_the_front(far):
    """Bytes that the system holds for the front from this port."""
    return sum(
        int(words[4].partition(":")[2], 16) for words in connections() if words[2].endswith(f":{far:04X}")
    )


def test_half_closed_is_taken_for_gone():
    with Site() as site:
        warmed(site, site.cache, "/invoke/video/1")
        suspend_front(site)
        viewer = site.viewer().send()
        gone_for_long(viewer, lambda: viewer.socket.shutdown(socket.SHUT_WR))
        resume_front(site)
        assert viewer.ended()  # no answer, though it could have been taken
        assert asked_first(site, site.cache) == OTHER


# A late pass, driven by hand


class OrderingAt(ForwardingDecisions):
    """Forwards each request to the member that is set."""

    member = 1

    def handle(self, now, notes):
        return [
            order._replace(endpoint=self.member, source=self.member) for order in super().handle(now, notes)
        ]


class DrivenFront:
    """The front's parts on a reactor of the test's own, which passes when it is told to; one cache."""

    def __init__(self, **limits):
        self.front, self.reactor, self.ready = OrderingAt(), EPollReactor(), EndpointState.READY
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
            """What the last look at the sockets brought is carried out; sockets are looked at once more
            only if that was not it.
            """
            self.reactor.runUntilCurrent()
            if not (held := holds()):
                self.reactor.doIteration(0.01)
            return held

        until(passed)

    def attempts(self):
        """Those that have been ordered and have not ended."""
        return [attempt for get in self.clients.requests.values() for attempt in get.attempts.values()]

    def accept(self):
        """The cache's end of the next connection."""
        self.passes_until(lambda: self.servers.endpoints[1].connections)
        connection, _ = self.listener.accept()
        return connection


@pytest.fixture
def driven():
    made = []

    def make(**limits):
        made.append(DrivenFront(**limits))
        return made[-1]

    yield make
    for one in made:
        one.listener.close()
        for reader in one.reactor.removeAll():
            reader.connectionLost(Failure(ConnectionDone()))


def test_an_attempt_goes_out_in_the_step_that_looked_for_its_client_not_a_pass_later(driven):
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
    front.passes_until(front.attempts)  # the orders of this pass are carried out; it drags on
    gone_for_long(viewer)
    cache.setblocking(False)
    assert cache.recv(4096).startswith(b"ASK 00000000000000aa ")  # it began while the client was there


def test_an_attempt_does_not_wait_behind_what_its_cache_does_not_read_until_its_client_has_gone(driven):
    front = driven(cache_connections=1, wait=5_000_000)
    body, sent, cache = b"z" * 40_000, [], None
    while cache is None or not front.servers.endpoints[1].connections[0].unsent_bytes():
        sent.append(front.viewer().send("/invoke/tarea/1", body, txn=f"{len(sent):016x}", ttl=5000))
        cache = cache or front.accept()  # reads nothing
        front.passes_until(lambda: len(front.attempts()) == len(sent))
        for _ in range(5):
            front.reactor.iterate(0)
        assert len(sent) < 9
    viewer = front.viewer().send("/invoke/tarea/2", b"mine", txn="00000000000000aa", ttl=5000)
    front.passes_until(lambda: len(front.attempts()) == len(sent) + 1)
    stays = front.viewer().send("/invoke/tarea/3", b"stays", txn="00000000000000bb", ttl=5000)
    front.passes_until(lambda: len(front.attempts()) == len(sent) + 2)
    gone_for_long(viewer)
    cache.setblocking(False)
    cache.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)  # now it reads, and fast
    read = bytearray()

    def all_read():
        with contextlib.suppress(BlockingIOError):
            while data := cache.recv(1 << 20):
                read.extend(data)
        return b"ASK 00000000000000bb " in read  # as soon as there is room, and not at the next answer

    front.passes_until(all_read)
    assert b"ASK 0000000000000000 " in read and b"00000000000000aa" not in read
    stays.close()


# The count


def connected_pair():
    with listening() as listener:
        near = socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
    return near, far


def test_the_system_tells_an_end_behind_unread_bytes_and_how_long_ago_it_came():
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
        assert far.recv(9) == b"unread"  # nothing was read by asking


def test_an_attempt_that_began_after_its_client_had_gone_is_counted_with_how_late(capsys):
    limits = plan_limits(1024, 192, 32, open_requests=9)
    decision_loop = SimpleNamespace(gather=lambda *notes: None)
    log = Log("n1", 5, 10_000_000)
    clients = Clients(None, decision_loop, limits, log, {})
    clients.servers = SimpleNamespace(cancel_unsent=lambda get: None)
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
    counted = clients.disconnects
    assert (
        counted.begun == 1 and 140_000 <= counted.latest <= clock() - before + client_disconnects.RESOLUTION
    )
    assert "event=client-gone attempt=further" in capsys.readouterr().err


def test_an_attempt_held_back_is_counted_and_told():
    with Site() as site:
        suspend_front(site)
        gone_for_long(site.viewer().send())
        resume_front(site)
        line = site.heard("event=client-gone")
        assert "attempt=first" in line and "begun=no" in line
        assert int(line.partition("late_ms=")[2].split()[0]) >= 1000 * LATE - 10
