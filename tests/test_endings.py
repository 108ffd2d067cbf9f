"""Tests of races with the end of a connection, client, endpoint or process.

They use real sockets and force the order of events by suspending the front or by filling accept queues.
"""

import json
import os
import queue
import signal
import socket
import subprocess
import sys
import time
from types import SimpleNamespace

import pytest
from twisted.internet.testing import MemoryReactorClock, StringTransport

from limepath.configuration.platform import Service, front_settings
from limepath.configuration.process_limits import plan_limits
from limepath.front import server_endpoint
from limepath.front.client_connection import ClientConnection
from limepath.front.client_connection_state import ConnectionState
from limepath.front.clients import Clients
from limepath.front.decision_loop import DecisionLoop
from limepath.front.request_head import RequestHead
from limepath.front.server_connection import ServerConnection
from limepath.front.servers import Servers
from limepath.interface.commands import ForwardRequest
from limepath.interface.events import (
    AttemptEnded,
    AttemptOutcome,
    ClientDisconnected,
    EndpointListUpdated,
    EndpointState,
    PurgeAnnounced,
    RequestArrived,
    UpdateKind,
)
from limepath.log import Log
from tests.stand_ins import (
    MS,
    SETTINGS,
    TIMEOUT,
    HttpClient,
    Site,
    StandInChangeLog,
    address,
    configuration,
    free_address,
    open_listener,
    wait_for,
)

COPY_FIELDS = "rev=4be0c1927d55a6f3,since=1764576000123"
# An attempt may wait 5 s for a connection, so that the first SYN retransmission, after 1 s, can succeed.
LONG_WAIT = SETTINGS | {
    "limits": SETTINGS["limits"] | {"connect-timeout": 5000 * MS},
    "safety": SETTINGS["safety"] | {"drain-grace": 5000 * MS},
    "family-info": SETTINGS["family-info"] | {"heed-within": 5000 * MS},
}


def with_write_settings(settings, **changes):
    video, tarea = settings["classes"]
    return settings | {"classes": [video, tarea | changes]}


def suspend_front(site):
    """Stop the front's process with SIGSTOP until `resume_front`."""
    site.process.send_signal(signal.SIGSTOP)
    with open(f"/proc/{site.process.pid}/stat", encoding="ascii") as file:
        wait_for(lambda: file.seek(0) or file.read().rpartition(")")[2].split()[0] == "T")


def resume_front(site):
    site.process.send_signal(signal.SIGCONT)


def established(where):
    """Return how many connections to this address are established."""
    port = f":{int(where.rpartition(':')[2]):04X}"
    with open("/proc/net/tcp", encoding="ascii") as file:
        return sum(line.split()[1].endswith(port) and line.split()[3] == "01" for line in file)


# Requests in the queue for a connection


@pytest.mark.parametrize("effect", ["single_shot", "guarded"])
def test_a_queued_put_is_not_sent_after_its_client_disconnects(effect):
    with Site(settings=with_write_settings(LONG_WAIT, idempotency=effect)) as site:
        site.origin.fill_accept_queue()
        client = site.open_client().send("/invoke/tarea/0000000000000001", b"left")
        site.origin.wait_for_connect_attempt()
        client.close()
        assert site.health()[0] == 200  # a later connection was served, so the disconnect has been read
        site.origin.resume_accepting()
        stays = site.open_client().send("/invoke/tarea/0000000000000002", b"stays", txn="00000000000000fe")
        command = site.origin.next()
        assert (command.id, command.body) == ("00000000000000fe", b"stays")
        command.answer("DONE")
        assert stays.answer()[0] == 200 and site.origin.commands.empty()


def test_a_queued_get_is_not_sent_after_its_client_disconnects_without_cancellation():
    settings = LONG_WAIT | {"limits": LONG_WAIT["limits"] | {"cancel": False}}
    with Site(settings=settings) as site:
        site.cache.fill_accept_queue()
        client = site.open_client().send()
        site.cache.wait_for_connect_attempt()
        client.close()
        assert site.health()[0] == 200
        site.cache.resume_accepting()
        stays = site.open_client().send(txn="00000000000000fe")
        command = site.cache.next()
        assert command.id == "00000000000000fe"
        command.answer("DONE", COPY_FIELDS, b"x")
        assert stays.answer()[2] == b"x"


def test_a_queued_get_is_not_sent_to_an_endpoint_that_begins_to_drain():
    with Site(settings=LONG_WAIT) as site:
        site.log.next_call()
        # One queue for both, to see which of them receives the command.
        site.cache.commands = site.parent.commands = queue.Queue()
        site.cache.fill_accept_queue()
        client = site.open_client().send()
        site.cache.wait_for_connect_attempt()
        site.log.send_event(
            2, fleet={"revision": 2, "complete": False, "members": [site.cache.entry("terminating")]}
        )
        # The gap makes the front reconnect, which shows that it has read the drain.
        site.log.send_event(9, invalidate={"bucket": 3, "time": 0})
        assert site.log.next_call() == 2
        site.cache.resume_accepting()
        command = site.cache.next()
        # By the old command, it would reach the draining cache a second after the drain was published.
        assert command.cache == "p-1"
        command.answer("DONE", COPY_FIELDS, b"x")
        assert client.answer()[2] == b"x"


def test_a_queued_get_is_decided_again_when_its_fill_source_drains():
    with Site(settings=LONG_WAIT) as site:
        site.log.next_call()
        client = site.open_client().send()
        lookup = site.cache.next()
        site.cache.fill_accept_queue()
        lookup.answer("LACK")  # the fill needs another connection: a tag is sent once per connection
        site.cache.wait_for_connect_attempt()
        site.log.send_event(
            2, fleet={"revision": 2, "complete": False, "members": [site.parent.entry("terminating")]}
        )
        site.log.send_event(9, invalidate={"bucket": 3, "time": 0})
        assert site.log.next_call() == 2
        site.cache.resume_accepting()
        again = site.cache.next()
        assert "up" not in again.fields  # a new decision: a lookup, not the fill by the old command
        again.answer("LACK")
        command = site.cache.next()
        assert command.fields["up"] == "o-1"
        command.answer("DONE", COPY_FIELDS, b"x")
        assert client.answer()[2] == b"x"


def test_a_purge_limits_the_age_of_a_get_that_was_queued_before_it():
    with Site(settings=LONG_WAIT) as site:
        site.log.next_call()
        site.cache.fill_accept_queue()
        client = site.open_client().send()
        site.cache.wait_for_connect_attempt()
        now, told_at = int(time.time() * 1000), time.monotonic()
        site.log.send_event(2, invalidate={"bucket": 4, "time": now})
        site.log.send_event(3, invalidate={"bucket": 17, "time": now - 60_000})
        site.log.send_event(9, invalidate={"bucket": 3, "time": 0})
        assert site.log.next_call() == 3
        site.cache.resume_accepting()
        site.parent.commands = site.cache.commands
        command = site.cache.next()
        assert 1 <= int(command.fields["cap"]) <= 1000 * (time.monotonic() - told_at)
        command.answer("DONE", f"rev=4be0,since={int(time.time() * 1000)}", b"x")
        assert client.answer()[2] == b"x"


def test_a_queued_retry_by_idempotency_key_is_not_sent_after_its_window():
    settings = with_write_settings(
        LONG_WAIT, idempotency="guarded", **{"repeat-window": 900 * MS, "key-scope": "all"}
    )
    with Site(settings=settings) as site:
        client = site.open_client().send(
            "/invoke/tarea/0000000000000001", b"once", ttl=4000, X_Txn_Key="91e82ce1"
        )
        command, received_at = site.origin.next(), time.monotonic()
        site.origin.fill_accept_queue()
        command.disconnect()  # the write may have run; its retry has no connection
        site.origin.wait_for_connect_attempt()
        wait_for(lambda: time.monotonic() - received_at > 0.95)
        site.origin.resume_accepting()  # the retry could be sent now, but its window has passed
        assert client.answer()[0] == 503  # the key is valid at all endpoints, so the client may retry
        assert site.origin.commands.empty()


def test_a_retry_by_idempotency_key_is_sent_within_its_window():
    settings = with_write_settings(
        SETTINGS, idempotency="guarded", **{"repeat-window": 60_000 * MS, "key-scope": "all"}
    )
    with Site(settings=settings) as site:
        client = site.open_client().send(
            "/invoke/tarea/0000000000000001", b"once", X_Txn_Key="91e82ce155b7e128e0c16bd0886c0fa7"
        )
        command = site.origin.next()
        # Without the key, the origin could not recognize the retry.
        assert command.fields["uniq"] == "91e82ce155b7e128e0c16bd0886c0fa7"
        command.disconnect()
        command = site.origin.next()
        assert (command.id, command.body, command.fields["uniq"]) == (
            "9b1f03aa5c7e2d41",
            b"once",
            "91e82ce155b7e128e0c16bd0886c0fa7",
        )
        command.answer("DONE")
        assert client.answer()[0] == 200


def test_a_write_without_idempotency_key_is_not_retried_if_it_may_have_run():
    settings = with_write_settings(
        SETTINGS, idempotency="guarded", **{"repeat-window": 60_000 * MS, "key-scope": "all"}
    )
    with Site(settings=settings) as site:
        client = site.open_client().send("/invoke/tarea/0000000000000001", b"once")
        command = site.origin.next()
        assert "uniq" not in command.fields
        command.disconnect()
        assert client.answer()[0] == 502 and site.origin.commands.empty()
        client.send("/invoke/tarea/0000000000000001", b"once", txn="00000000000000fe", X_Txn_Key="a,b=c")
        assert client.answer()[0] == 400


class ForwardingDecisions:
    """Decisions that forward each request to endpoint 1, and record all events."""

    def __init__(self, **command_fields):
        self.command_fields, self.received_events = command_fields, []

    def handle(self, now, events):
        self.received_events += events
        return [
            ForwardRequest(event.id, 1, 0, 1, 0, 0, **self.command_fields)
            for event in events
            if isinstance(event, RequestArrived)
        ]


def build_front(front, reactor=None, **limits):
    """Build a front on an in-memory reactor; return its parts and a function that receives one GET."""
    reactor, limits = (
        reactor or MemoryReactorClock(),
        plan_limits(1024, 192, 32, **{"open_requests": 9} | limits),
    )
    log = Log("n1", 5, 1)
    decision_loop = DecisionLoop(reactor, front, limits, log)
    clients = Clients(reactor, decision_loop, limits, log, {b"video": Service(0, False, 5_000_000, True)})
    servers = Servers(reactor, decision_loop, clients, limits, log, b"INFO")
    decision_loop.connect(clients, servers)
    servers.update_endpoint(1, "s-1", ("127.0.0.1", 9), 0, EndpointState.READY)

    def get():
        clients.accept_request(
            SimpleNamespace(send_response=lambda *_: None, is_disconnected=lambda: False),
            RequestHead(
                b"GET",
                b"/invoke/video/1",
                {b"x-txn": b"9b1f03aa5c7e2d41", b"x-ttl-ms": b"900", b"x-family": b"1"},
                0,
            ),
            b"",
        )
        reactor.advance(0)
        return list(clients.requests.values())[-1]

    return reactor, clients, servers, get


class CacheTransport(StringTransport):
    """Transport of a connection to a cache whose kernel accepts only the first `taken` bytes."""

    def __init__(self, taken=10**9):
        super().__init__()
        self.taken, self.aborted, self._tempDataBuffer, self.offset = taken, False, [], 0

    setTcpNoDelay = staticmethod(lambda on: None)

    @property
    def dataBuffer(self):
        return self.value()[self.taken :]

    def abortConnection(self):
        self.aborted = True


def open_connection(servers, transport=None):
    """Establish a connection to endpoint 1 and return it."""
    endpoint = servers.endpoints[1]
    endpoint.connecting += 1
    servers.connection_count += 1
    connection = ServerConnection(endpoint)
    connection.makeConnection(transport or CacheTransport())
    endpoint.connected(connection)
    return connection


def test_the_wait_limit_is_checked_when_sending_not_only_by_its_timer(monkeypatch):
    front = ForwardingDecisions(send_within=40_000)
    _, _, servers, get = build_front(front)
    waiting = get()
    now = waiting.attempts[0].started_at
    # The process was suspended, so the timer has not been run yet.
    monkeypatch.setattr(server_endpoint, "clock", lambda: now + 41_000)
    connection = open_connection(servers)
    assert connection.transport.value() == b""
    servers.reactor.advance(0)
    assert [event.outcome for event in front.received_events if isinstance(event, AttemptEnded)] == [
        AttemptOutcome.CONNECT_FAILED
    ]


def test_a_connection_to_a_former_incarnation_is_not_used():
    _, _, servers, get = build_front(ForwardingDecisions())
    get()
    endpoint, old = servers.endpoints[1], ServerConnection(servers.endpoints[1])
    # A new incarnation at the same address:
    servers.update_endpoint(1, "s-1", ("127.0.0.1", 9), 7, EndpointState.READY)
    old.makeConnection(CacheTransport())
    endpoint.connected(old)
    assert old.transport.value() == b"" and old.transport.disconnecting
    assert b"ASK" in open_connection(servers).transport.value()


def test_a_partly_sent_attempt_is_aborted_when_its_client_disconnects():
    front = ForwardingDecisions()
    _, clients, servers, get = build_front(front)
    # The cache does not read, so the kernel accepts 20 bytes only.
    connection = open_connection(servers, CacheTransport(taken=20))
    waiting = get()
    assert connection.transport.dataBuffer
    clients.client_disconnected(waiting)
    assert connection.transport.aborted
    servers.reactor.advance(0)
    assert [event.outcome for event in front.received_events if isinstance(event, AttemptEnded)] == [
        AttemptOutcome.SUPERSEDED
    ]


def test_a_partly_sent_attempt_counts_as_not_executed_at_its_deadline():
    front = ForwardingDecisions()
    reactor, clients, servers, get = build_front(front)
    connection = open_connection(servers, CacheTransport(taken=20))
    get()
    reactor.advance(0.9)
    reactor.advance(0)
    assert connection.transport.aborted
    assert [event.outcome for event in front.received_events if isinstance(event, AttemptEnded)] == [
        AttemptOutcome.CONNECT_FAILED
    ]


def test_list_and_purge_events_precede_client_events_of_the_same_iteration():
    front = ForwardingDecisions()
    reactor, clients, _, _ = build_front(front)
    decision_loop = clients.decision_loop
    disconnect, list_update, purge = (
        ClientDisconnected(1),
        EndpointListUpdated(UpdateKind.DELTA, 2, ()),
        PurgeAnnounced(1, 0, None),
    )
    decision_loop.gather(disconnect, list_update)
    decision_loop.gather(purge)
    reactor.advance(0)
    assert front.received_events == [list_update, purge, disconnect]


# Answers of caches


@pytest.mark.parametrize(
    "partial_answer", [b"ID DONE rev=4b,since=1764576000123 10\r\nabc", b"ID DONE rev=4b,si"]
)
def test_a_connection_with_a_truncated_answer_is_not_reused(partial_answer):
    with Site() as site:
        client = site.open_client().send(ttl=300)
        command = site.cache.next()
        command.connection.sendall(partial_answer.replace(b"ID", command.id.encode()))
        assert client.answer()[0] == 503
        other = site.open_client().send(txn="00000000000000fe")
        while (again := site.cache.commands.get(timeout=TIMEOUT)).word != "ASK":
            pass
        assert again.connection is not command.connection
        again.answer("DONE", COPY_FIELDS, b"mine")
        assert other.answer()[2] == b"mine"


def test_a_connection_with_stray_bytes_is_not_used_for_a_later_put():
    with Site() as site:
        client = site.open_client().send("/invoke/tarea/0000000000000001", b"mine")
        command = site.origin.next()
        # A complete answer, and the beginning of a second one.
        command.connection.sendall(b"%s DONE - 0\r\n\r\nID DO" % command.id.encode())
        assert client.answer()[0] == 200
        client.send("/invoke/tarea/0000000000000001", b"next", txn="00000000000000fe")
        again = site.origin.next()
        assert again.connection is not command.connection
        again.answer("DONE")
        # On the first connection, the stray bytes would corrupt the answer, and the client would get 502.
        assert client.answer()[0] == 200


def test_an_answer_read_together_with_the_end_of_the_connection_counts():
    with Site() as site:
        client = site.open_client().send("/invoke/tarea/0000000000000001", b"mine")
        command = site.origin.next()
        suspend_front(site)
        command.answer("DONE")
        command.disconnect()
        resume_front(site)
        assert client.answer()[0] == 200


# Connections of clients


def slow_reader(site, **fields):
    """Return a client with small receive buffers that has sent a GET."""
    host, port = site.listen_address.split(":")
    client = HttpClient.__new__(HttpClient)
    client.socket = socket.socket()
    client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    # With the default segment size, the sender's buffer takes a megabyte.
    client.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)
    client.socket.settimeout(TIMEOUT)
    client.socket.connect((host, int(port)))
    client.stream = client.socket.makefile("rb")
    return client.send(**fields)


def test_bytes_received_after_the_last_request_do_not_truncate_its_response():
    with Site() as site:
        client = slow_reader(site, Connection="close")
        command = site.cache.next()
        suspend_front(site)
        command.answer("DONE", COPY_FIELDS, b"z" * 240_000)
        resume_front(site)
        client.socket.recv(1, socket.MSG_PEEK)  # the response has begun; most of it is buffered
        # Bytes unread at the close would reset the connection.
        client.send_raw("GET /invoke/video/1 HTTP/1.1\r\n")
        wait_for(lambda: site.health()[0] == 200)
        assert client.answer()[2] == b"z" * 240_000 and client.closed_by_server()


def test_a_request_that_crosses_the_close_of_its_connection_is_not_forwarded():
    with Site(limits={"leaving_ms": 200}) as site:
        idle, busy = (
            site.open_client().send(),
            site.open_client().send("/invoke/tarea/1", b"x", txn="00000000000000fe"),
        )
        site.cache.next().answer("DONE", COPY_FIELDS)
        assert idle.answer()[0] == 200
        command = site.origin.next()  # keeps the front running
        site.terminate()
        assert idle.stream.read() == b""  # the front has closed its side
        # Neither a reset nor a response, so that the client may retry elsewhere.
        idle.send("/invoke/tarea/1", b"y", txn="00000000000000ff")
        idle.socket.shutdown(socket.SHUT_WR)
        command.answer("DONE")
        assert busy.answer()[0] == 200
        assert site.process.wait(TIMEOUT) == 0 and site.origin.commands.empty()


def test_a_half_closed_client_receives_its_buffered_response():
    with Site() as site:
        client = slow_reader(site)
        command = site.cache.next()
        command.answer("DONE", COPY_FIELDS, b"z" * 240_000)
        client.socket.recv(1, socket.MSG_PEEK)
        client.socket.shutdown(socket.SHUT_WR)
        wait_for(lambda: site.health()[0] == 200)
        assert client.answer()[2] == b"z" * 240_000


def test_slow_senders_do_not_exhaust_the_connections_of_other_clients():
    with Site(limits={"sockets": 100}) as site:  # 40 connections of clients
        slow_senders = [site.open_client().send_raw("GET /invoke/video/1 HTTP/1.1\r\n") for _ in range(40)]
        wait_for(lambda: established(site.listen_address) >= 40)
        time.sleep(0.4)  # the connections with the oldest incomplete requests are closed first
        others = []
        for number in range(20):
            client = site.open_client().send(txn=f"{number:016x}")
            site.cache.next().answer("DONE", COPY_FIELDS, b"x")
            assert client.answer()[2] == b"x"
            others.append(client)
        assert slow_senders[0].closed_by_server()


# Shutdown and startup of the process


def test_a_connection_in_the_accept_queue_at_shutdown_is_served():
    with Site(limits={"leaving_ms": 300}) as site:
        site.terminate()
        while site.health()[0] == 200:
            pass
        suspend_front(site)
        client, before = site.open_client().send("/invoke/tarea/1", b"mine"), time.monotonic()
        wait_for(lambda: time.monotonic() - before > 0.4)  # `leaving_ms` has passed when the front resumes
        resume_front(site)
        site.origin.next().answer("DONE")
        assert client.answer()[0] == 200
        assert site.process.wait(TIMEOUT) == 0


def test_shutdown_waits_for_a_slow_reader_up_to_the_longest_deadline():
    settings = front_settings(configuration(free_address()), {})
    assert settings.limits.last_answer_read_timeout == max(
        service.deadline for service in settings.arguments["services"]
    )
    reactor, clients, _, _ = build_front(ForwardingDecisions(), last_answer_read_timeout=5_000_000)
    clients.listener.port = SimpleNamespace(
        doRead=lambda: None, stopListening=lambda: None, socket=open_listener()
    )
    slow = ClientConnection(clients)  # its response is buffered
    slow.state = ConnectionState.LINGERING
    clients.connections.add(slow)
    clients.shutdown.start()
    reactor.advance(clients.limits.drain_period / 1e6)
    reactor.advance(0)
    reactor.advance(4.9)
    assert not clients.shutdown.finished.called
    reactor.advance(0.2)
    assert clients.shutdown.finished.called


def test_repeated_sigterm_and_sighup_shut_down_once_without_faults():
    with Site(limits={"leaving_ms": 300}) as site:
        client = site.open_client().send()
        command = site.cache.next()
        suspend_front(site)
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            site.process.send_signal(number)
        resume_front(site)
        wait_for(lambda: any("event=leaving" in line for line in site.log_lines))
        command.answer("DONE", COPY_FIELDS, b"x")
        assert client.answer()[2] == b"x"
        assert site.process.wait(TIMEOUT) == 0
        assert not [line for line in site.log_lines if "fault" in line]


def test_a_hanging_cache_does_not_delay_shutdown_and_retries_are_answered():
    with Site(limits={"leaving_ms": 2000}) as site:
        site.cache.ignores_probes = site.parent.ignores_probes = True
        client = site.open_client().send(ttl=1500)
        site.cache.next()
        site.terminate()
        while site.health()[0] == 200:
            pass
        repeat = site.open_client().send(txn="00000000000000fe", ttl=1500)
        for answer in (client.answer(), repeat.answer()):
            assert answer[0] == 503 and answer[1]["connection"] == "close"
        assert site.process.wait(TIMEOUT) == 0


def test_shutdown_answers_requests_whose_deadline_is_after_the_kill():
    """Two requests with a minute left at a hanging cache: one sent before SIGTERM and one after it."""
    assert front_settings(configuration("127.0.0.1:1", limits={}), {}).limits.last_answer == 3_600_000
    with Site(limits={"leaving_ms": 500, "sockets": 256}) as site:
        clients = [site.open_client().send(), site.open_client()]
        for client in clients:
            client.socket.settimeout(TIMEOUT / 2)  # their own time is TIMEOUT
        site.cache.next()
        site.terminate()
        while site.health()[0] == 200:
            pass
        clients[1].send(txn="00000000000000fe")
        site.cache.next()
        answers = [client.answer() for client in clients]
        assert [answer[0] for answer in answers] == [503, 503]
        assert site.process.wait(TIMEOUT) == 0


def test_a_write_that_may_have_run_is_failed_not_shed_at_shutdown():
    with Site(limits={"leaving_ms": 300, "last_answer_ms": 600}) as site:
        client = site.open_client().send("/invoke/tarea/7f3a9c21e0b4d655", body=b"essay")
        client.socket.settimeout(TIMEOUT / 2)  # the request itself has TIMEOUT seconds
        command = site.origin.next()
        site.terminate()
        assert client.answer()[0] == 502
        assert command.id == "9b1f03aa5c7e2d41"
        assert site.process.wait(TIMEOUT) == 0


def test_shutdown_does_not_extend_shorter_deadlines():
    with Site(limits={"leaving_ms": 300, "last_answer_ms": 1000 * TIMEOUT}) as site:
        client = site.open_client().send(ttl=700)
        site.cache.next()
        site.terminate()
        assert client.answer()[0] == 503
        assert site.process.wait(TIMEOUT) == 0


class ConfigurationPipe:
    """A configuration file, as a named pipe, that blocks the front until the test writes it."""

    def __init__(self, tmp_path):
        self.path = str(tmp_path / "front.json")
        os.mkfifo(self.path)

    def serve_once_opened(self, content, then, seconds=15):
        """Wait until the front has opened the file, call `then`, and write the configuration."""
        end = time.monotonic() + seconds
        while True:
            try:
                opened = os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)
                break
            except OSError:
                assert time.monotonic() < end, "the front does not read its configuration"
                time.sleep(0.005)
        os.set_blocking(opened, True)
        then()
        with os.fdopen(opened, "w") as file:
            json.dump(content, file)


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_a_signal_during_startup_is_handled(tmp_path, number):
    pipe, first, second = ConfigurationPipe(tmp_path), StandInChangeLog(), StandInChangeLog()
    original = configuration(free_address(), changelog=address(first.listener))
    process = subprocess.Popen(
        [sys.executable, "-m", "limepath"],
        stderr=subprocess.DEVNULL,
        env=os.environ | {"ROUTER_CONFIG": pipe.path},
    )
    try:

        def replace_and_signal():  # the front has opened the old file and has not read it
            newer = tmp_path / "newer.json"
            newer.write_text(json.dumps(original | {"changelog": address(second.listener)}))
            os.replace(newer, pipe.path)
            process.send_signal(number)

        pipe.serve_once_opened(original, replace_and_signal)
        if number == signal.SIGHUP:  # if it were lost, the front would watch the old list service forever
            assert second.calls.get(timeout=15) == 0
        else:
            assert process.wait(TIMEOUT) == 0  # connections accepted meanwhile have been answered
    finally:
        process.kill()
        process.wait()
