"""Tests of the guarantees that hold even if the front's process is suspended for a while.

The deadline of a request counts from the arrival of its last byte, not from when it is read. Received watch
events are handled before later decisions. A connection with an unread request is not idle.
"""

import select
import socket
import time

from limepath.front import (
    attempt,
    client_connection,
    client_request,
    clients,
    decision_loop,
    server_endpoint,
    server_protocol,
)
from limepath.front.endpoint_watch import EndpointWatch
from limepath.front.poll_times import measure_read_delay
from limepath.interface.events import AttemptEnded, AttemptOutcome, PurgeAnnounced, RequestArrived
from tests.stand_ins import SETTINGS, Site, StandInChangeLog, wait_for
from tests.test_client_disconnects import driven  # noqa: F401 (a fixture)
from tests.test_endings import (
    COPY_FIELDS,
    ForwardingDecisions,
    build_front,
    open_connection,
    resume_front,
    suspend_front,
)

SLACK_MS = 150  # by which the time sent to a server may exceed the client's remaining time (operators' notes)


def wait_until_elapsed(since, seconds):
    wait_for(lambda: time.monotonic() - since >= seconds)


def budget_of(command):
    return int(command.fields["budget"])


def connect_and_warm_up(site):
    """Return a client's connection that was answered, so that the front is connected to the cache."""
    client = site.open_client().send(txn="00000000000000aa")
    site.cache.next().answer("DONE", COPY_FIELDS, b"x")
    assert client.answer()[0] == 200
    return client


def send_while_suspended(site, client, case):
    """Send a request to the suspended front, and resume the front after a second.

    Return the client, when the request was sent, and for how many seconds the front was suspended after that.
    """
    head = "GET /invoke/video/2 HTTP/1.1\r\nX-Txn: 00000000000000ab\r\nX-Ttl-Ms: 2000\r\n"
    if case == "in two pieces":
        # With Nagle's algorithm, the second piece waits for the acknowledgement of the first, after `sent`.
        client.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client.send_raw(head)
    suspend_front(site)
    if case == "new connection":
        client = site.open_client()
    client.send_raw("X-Family: 17\r\n\r\n" if case == "in two pieces" else head + "X-Family: 17\r\n\r\n")
    sent = time.monotonic()
    wait_until_elapsed(sent, 1)
    suspended_for = time.monotonic() - sent
    resume_front(site)
    return client, sent, suspended_for


def test_the_budget_sent_to_a_server_excludes_the_time_the_front_was_suspended():
    """In all cases, and the response arrives within the client's deadline."""
    for case in ("kept connection", "new connection", "in two pieces", "further attempt"):
        with Site() as site:
            client, sent, suspended_for = send_while_suspended(site, connect_and_warm_up(site), case)
            command = site.cache.next()
            assert budget_of(command) <= 2000 - 1000 * suspended_for + SLACK_MS, case
            if case == "further attempt":
                command.answer("LACK")
                assert budget_of(site.cache.next()) <= 2000 - 1000 * suspended_for + SLACK_MS
            client.socket.settimeout(5)
            assert client.answer()[0] in (502, 503, 504)
            assert client.last_arrival() - sent < 2 + 0.5, case  # a later response would be lost


def test_an_unread_request_prevents_the_idle_timeout():
    """The idle timeout expires while the request is unread.

    It is 2 s for a connection without any request, and 5 s for an idle connection after a request.
    """
    for asked_before in (False, True):
        with Site() as site:
            client = connect_and_warm_up(site) if asked_before else site.open_client()
            connected = time.monotonic()
            wait_until_elapsed(connected, 3 if asked_before else 0.3)
            suspend_front(site)
            client.send(txn="00000000000000ab")
            wait_until_elapsed(connected, 5.4 if asked_before else 2.6)
            resume_front(site)
            site.cache.next().answer("DONE", COPY_FIELDS, b"y")
            assert client.answer()[::2] == (200, b"y"), asked_before


def test_a_drain_received_while_suspended_applies_to_later_requests():
    """The front is suspended for longer than the limit on silence and the grace period of drains."""
    with Site(("s-1", "s-2")) as site:
        site.log.next_call()
        site.cache.commands = site.caches[1].commands  # one queue for both
        http_clients = [site.open_client() for _ in range(8)]
        for number, client in enumerate(http_clients):
            client.send(f"/invoke/video/{number}", txn=f"{number:016x}")
            site.cache.next().answer("DONE", COPY_FIELDS, b"x")
            assert client.answer()[0] == 200
        suspend_front(site)
        began = time.monotonic()
        drained = [site.cache.entry("terminating")]
        site.log.send_event(2, fleet={"revision": 2, "complete": False, "members": drained})
        wait_until_elapsed(began, 2.9)
        for number, client in enumerate(http_clients):
            client.send(f"/invoke/video/{number}", txn=f"{number + 100:016x}")
        resume_front(site)
        for _ in http_clients:
            command = site.cache.next()
            assert command.cache == "s-2"
            command.answer("DONE", COPY_FIELDS, b"x")


def test_without_socket_times_a_late_iteration_counts_against_the_deadline(
    driven,  # noqa: F811
    monkeypatch,
):
    monkeypatch.setattr(client_connection, "since_last_data", lambda connected: 0)
    for connected in (True, False):
        front = driven()
        front.clients.read_delay = measure_read_delay(front.reactor)
        http_clients = []
        if connected:
            http_clients.append(front.open_client())
            front.passes_until(lambda front=front: front.clients.connections)

        def delay_iteration(front=front, http_clients=http_clients):
            began = time.monotonic()
            http_clients[:] = http_clients or [front.open_client()]
            http_clients[0].send(ttl=2000)
            wait_until_elapsed(began, 0.5)

        front.reactor.callLater(0, delay_iteration)
        front.passes_until(lambda front=front: front.clients.requests)
        (request,) = front.clients.requests.values()
        assert request.event.time_left <= 1_500_000, connected


def test_unread_watch_events_are_handled_before_a_late_decision(driven):  # noqa: F811
    """The process is suspended between the iteration that read a request and the decision on it."""
    front, log = driven(), StandInChangeLog()
    watch = EndpointWatch(
        front.reactor,
        front.clients.decision_loop,
        front.servers,
        front.clients.limits,
        front.clients.log,
        SETTINGS,
        7,
    )
    watch.follow(*log.listener.getsockname())
    front.passes_until(lambda: watch.stream and watch.stream.is_accepted)
    client = front.open_client()
    front.passes_until(lambda: front.clients.connections)
    client.send(ttl=5000)
    wait_for(lambda: front.reactor.doIteration(0.01) or front.clients.requests)
    began = time.monotonic()
    log.send_event(1, invalidate={"bucket": 17, "time": 1})
    wait_for(lambda: select.select([watch.stream.transport.socket], [], [], 0)[0])
    wait_until_elapsed(began, 0.1)
    front.passes_until(
        lambda: any(isinstance(event, RequestArrived) for event in front.front.received_events)
    )
    kinds = [type(event) for event in front.front.received_events]
    assert kinds.index(PurgeAnnounced) < kinds.index(RequestArrived)


class SlowDecisions(ForwardingDecisions):
    """Decisions that take `duration` microseconds on the clock `now`."""

    def __init__(self, now, duration, **command_fields):
        super().__init__(**command_fields)
        self.now, self.duration = now, duration

    def handle(self, now, events):
        commands = super().handle(now, events)
        self.now[0] += self.duration
        return commands


def test_an_attempt_with_a_send_limit_is_not_sent_after_a_late_decision(monkeypatch):
    """Even if a connection is idle, because a retry by idempotency key after its window could run twice."""
    for duration, sent in ((39_000, True), (41_000, False)):
        now = [10**12]
        for module in (attempt, server_endpoint, server_protocol, client_request, clients, decision_loop):
            monkeypatch.setattr(module, "clock", lambda now=now: now[0])
        front = SlowDecisions(now, duration, send_within=40_000)
        _, _, servers, get = build_front(front)
        connection = open_connection(servers)
        get()
        assert (connection.transport.value() != b"") == sent
        if not sent:
            servers.reactor.advance(0)
            outcomes = [event.outcome for event in front.received_events if isinstance(event, AttemptEnded)]
            assert outcomes == [AttemptOutcome.SUPERSEDED]  # neither the client nor the server failed


def test_the_connection_limit_does_not_close_a_connection_with_an_unread_request(driven):  # noqa: F811
    """In one iteration, the limit is exceeded and the connection that was idle longest sends a request."""
    front = driven()
    limits = front.clients.limits._replace(client_connections=4)
    front.clients.limits = limits
    idle_clients = []
    for _ in range(limits.client_connections):
        idle_clients.append(front.open_client().send_raw("GET /_health HTTP/1.1\r\n\r\n"))
        front.passes_until(lambda: select.select([idle_clients[-1].socket], [], [], 0)[0])
        assert idle_clients[-1].answer()[0] == 200
    newcomers = [front.open_client() for _ in range(2)]
    wait_for(
        lambda: front.reactor.doIteration(0.01) or len(front.clients.connections) > limits.client_connections
    )
    idle_clients[0].send(ttl=5000)
    front.passes_until(lambda: len(front.clients.connections) <= limits.client_connections)
    front.passes_until(lambda: front.clients.requests)
    assert len(newcomers) == 2


def connect_idle(front, asked):
    """Return a client with an idle connection, and the front's ClientConnection for it."""
    client = front.open_client()
    front.passes_until(lambda: front.clients.connections)
    if asked:
        client.send_raw("GET /_health HTTP/1.1\r\n\r\n")
        front.passes_until(lambda: select.select([client.socket], [], [], 0)[0])
        assert client.answer()[0] == 200
    (connection,) = front.clients.connections
    return client, connection


CLOSE_REASONS = ("connection limit", "idle too long", "silent too long", "shutdown")


def close_idle(front, connection, reason):
    if reason == "connection limit":
        front.clients.limits = front.clients.limits._replace(client_connections=0)
        front.clients.connection_limit.enforce()
    elif reason == "shutdown":
        front.clients.shutdown.close_idle_connections()
    else:
        connection.last_activity_at -= 60_000_000
        front.clients.sweep()


def test_the_close_of_an_idle_connection_is_sent_immediately(driven):  # noqa: F811
    """Not an iteration later, because a request that arrives during a long iteration would be lost."""
    for reason in CLOSE_REASONS:
        front = driven()
        client, connection = connect_idle(front, asked=reason != "silent too long")
        close_idle(front, connection, reason)
        # Without an iteration of the front:
        wait_for(lambda client=client: select.select([client.socket], [], [], 0)[0])
        assert client.closed_by_server()
        if reason in ("idle too long", "shutdown"):  # lingering: a request that crosses the close is read
            client.send(ttl=5000)
            iterations = iter(range(5))
            front.passes_until(lambda iterations=iterations: next(iterations, None) is None)
            assert connection in front.clients.connections and connection.discarded_bytes
            client.socket.shutdown(socket.SHUT_WR)  # no reset


def test_an_unread_request_keeps_its_idle_connection_open(driven):  # noqa: F811
    for reason in CLOSE_REASONS[1:]:
        front = driven()
        client, connection = connect_idle(front, asked=reason != "silent too long")
        client.send(ttl=5000)
        wait_for(lambda connection=connection: select.select([connection.transport.socket], [], [], 0)[0])
        close_idle(front, connection, reason)
        front.passes_until(lambda front=front: front.clients.requests)


def test_a_suspension_between_reading_socket_time_and_clock_adds_no_time(driven, monkeypatch):  # noqa: F811
    def suspend_after_reading(connected):
        wait_until_elapsed(time.monotonic(), 0.3)
        return 0

    monkeypatch.setattr(client_connection, "since_last_data", suspend_after_reading)
    front = driven()
    client = front.open_client()
    front.passes_until(lambda: front.clients.connections)
    client.send(ttl=2000)
    front.passes_until(lambda: front.clients.requests)
    (request,) = front.clients.requests.values()
    assert request.event.time_left <= 1_700_000
