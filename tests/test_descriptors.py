"""Tests that idle clients use only the descriptors for clients, even while the change log is unreachable."""

import os
import re
import resource
import socket

import pytest

from limepath.configuration.platform import Service
from limepath.configuration.process_limits import (
    ACCEPTED_AT_ONCE,
    MAX_EXCESS_CONNECTIONS,
    RESERVED_DESCRIPTORS,
    available_descriptors,
    plan_limits,
)
from tests.stand_ins import TIMEOUT, Site, StandInCache, accept_in_thread, wait_for
from tests.test_client_disconnects import driven  # noqa: F401 (a fixture)
from tests.test_endings import COPY_FIELDS, resume_front, suspend_front

SOCKETS = 120
FLOOD = 300
CLIENTS = plan_limits(SOCKETS, 192, 32, open_requests=9).client_connections


def stop_change_log(log):
    """Stop the change log, so that it refuses connections; return its address."""
    where = log.listener.getsockname()
    log.disconnect()
    log.listener.shutdown(socket.SHUT_RDWR)
    log.listener.close()
    return where


def restart_change_log(site, where):
    """Restart the change log at its address."""
    site.log.listener = socket.create_server(where)
    accept_in_thread(site.log.listener, site.log.serve)


def connect_clients(site, sends_request):
    """Return FLOOD clients that stay connected; with `sends_request`, each has had one answer."""
    host, port = site.listen_address.split(":")
    clients = []
    for _ in range(FLOOD):
        client = socket.socket()
        client.setblocking(False)
        client.connect_ex((host, int(port)))
        clients.append(client)
        if sends_request:
            client.setblocking(True)
            client.sendall(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
            assert b"200 OK" in client.recv(4096)
            client.setblocking(False)
    return clients


def count_open(clients):
    return sum(not is_closed(client) for client in clients)


def is_closed(client):
    try:
        return client.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def max_logged_clients(site):
    """Return the maximum number of client connections that the front has logged."""
    matches = [re.search(r"event=descriptors clients=(\d+)", line) for line in site.log_lines]
    return max(int(match[1]) for match in matches if match)


def descriptors(site):
    return len(os.listdir(f"/proc/{site.process.pid}/fd"))


@pytest.mark.parametrize("sends_request", [False, True])
@pytest.mark.parametrize("burst", [False, True])
def test_idle_clients_fill_their_descriptors_while_the_list_service_is_down(sends_request, burst):
    with Site(descriptors=SOCKETS, limits={"sockets": SOCKETS}) as site:
        site.log.next_call()
        log_address = stop_change_log(site.log)
        site.next_log_line("event=changelog")
        if burst and not sends_request:
            suspend_front(site)
        clients = connect_clients(site, sends_request)
        if burst and not sends_request:
            resume_front(site)
        wait_for(lambda: site.health()[0] == 200)  # accepted after all of them
        wait_for(lambda: count_open(clients) <= CLIENTS)
        assert site.health()[0] == 200  # two more iterations, so that the excess is closed
        assert site.health()[0] == 200
        assert count_open(clients) >= CLIENTS - ACCEPTED_AT_ONCE  # not many more were closed than necessary
        assert max_logged_clients(site) <= CLIENTS + ACCEPTED_AT_ONCE
        restart_change_log(site, log_address)
        assert site.log.next_call() == 1
        site.log.send_event(
            2, fleet={"revision": 2, "complete": False, "members": [site.parent.entry("terminating")]}
        )
        # A gap causes a reconnect; the drain was read.
        site.log.send_event(9, invalidate={"bucket": 3, "time": 0})
        assert site.log.next_call() == 2
        assert site.health()[0] == 200
        other_client = site.open_client().send()
        site.cache.next().answer("LACK")
        fill = site.cache.next()
        assert fill.fields["up"] == "o-1"
        fill.answer("DONE", COPY_FIELDS, b"x")
        assert other_client.answer()[2] == b"x"
        assert descriptors(site) <= SOCKETS
        assert not [
            line for line in site.log_lines if "fault" in line or "EMFILE" in line or "open files" in line
        ]
        for client in clients:
            client.close()


def test_descriptor_limit_of_the_process_overrides_the_settings():
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    assert available_descriptors(soft + 1) == soft and available_descriptors(64) == 64
    with Site(descriptors=SOCKETS, limits={"sockets": 5000}) as site:
        site.log.next_call()
        log_address = stop_change_log(site.log)
        clients = connect_clients(site, sends_request=False)
        wait_for(lambda: site.health()[0] == 200)
        assert max_logged_clients(site) <= CLIENTS + ACCEPTED_AT_ONCE
        restart_change_log(site, log_address)
        assert site.log.next_call() == 1
        other_client = site.open_client().send()
        site.cache.next().answer("DONE", COPY_FIELDS, b"x")
        assert other_client.answer()[2] == b"x"
        assert not [line for line in site.log_lines if "open files" in line or "EMFILE" in line]
        for client in clients:
            client.close()


@pytest.mark.parametrize("sockets", [120, 256, 1024, 5000, 12_500, 65_536])
def test_descriptor_shares_do_not_exceed_the_total(sockets):
    limits = plan_limits(sockets, 192, 32, open_requests=9)
    assert limits.client_connections + limits.all_cache_connections + RESERVED_DESCRIPTORS <= sockets
    crossing = ACCEPTED_AT_ONCE + MAX_EXCESS_CONNECTIONS
    # A front that cooperates with others holds fewer than 24 other descriptors.
    assert crossing <= RESERVED_DESCRIPTORS - 24


class Answering(StandInCache):
    """A cache that answers a given number of requests."""

    def __init__(self, name):
        super().__init__(name, "box", "sur")

    def answer_all(self, number):
        for _ in range(number):
            self.next().answer("DONE", COPY_FIELDS)


def test_idle_cache_connections_are_replaced_within_the_reserved_descriptors(driven):  # noqa: F811
    number = 2 * MAX_EXCESS_CONNECTIONS
    # Timeouts that a slow machine does not reach.
    front = driven(open_requests=number, connection_wait=TIMEOUT * 1_000_000, connect=TIMEOUT * 1_000_000)
    front.clients.services[b"video"] = Service(0, False, TIMEOUT * 1_000_000, True)
    front.servers.limits = front.servers.limits._replace(all_cache_connections=number)
    first, second = Answering("s-1"), Answering("s-2")
    clients, most = [front.open_client() for _ in range(number)], 0

    def ask(member, cache, start):
        nonlocal most
        front.front.member = member
        front.servers.update_endpoint(member, cache.name, cache.listener.getsockname(), 0, front.ready)
        for i, client in enumerate(clients):
            client.send(txn=f"{start + i:016x}", ttl=TIMEOUT * 1000)
        front.passes_until(lambda: len(front.clients.requests) == number)

        def all_asked():
            nonlocal most
            most = max(most, front.servers.connection_count)
            return cache.commands.qsize() == number

        front.passes_until(all_asked)
        cache.answer_all(number)
        front.passes_until(lambda: not front.clients.requests)

    ask(1, first, 0)
    assert front.servers.connection_count == number and len(front.servers.idle_connections()) == number
    ask(2, second, 1000)  # more in one iteration than may be opened before idle ones are closed
    assert number < most <= number + MAX_EXCESS_CONNECTIONS


def test_the_front_counts_its_descriptors_by_use():
    with Site(descriptors=SOCKETS, limits={"sockets": SOCKETS}) as site:
        site.log.next_call()
        clients = [site.open_client() for _ in range(CLIENTS)]
        clients[0].send()
        site.cache.next().answer("DONE", COPY_FIELDS, b"x")
        assert clients[0].answer()[2] == b"x"
        counts = re.findall(
            r"(\w+)=(\d+)", site.next_log_line("event=descriptors-by-use").partition("event=")[2]
        )
        use = {name: int(value) for name, value in counts}
        assert (use["clients"], use["caches"]) == (CLIENTS, 1)
        assert use["clients"] + use["caches"] + use["other"] == descriptors(site)
        assert use["planned"] == SOCKETS - RESERVED_DESCRIPTORS
        for client in clients:
            client.close()
