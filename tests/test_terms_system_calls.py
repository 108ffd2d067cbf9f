"""Tests of the operators' rule that system calls may fail temporarily with any error that Linux documents.

Each injected error is counted when it takes effect.
"""

import json
import signal

import pytest

from tests.stand_ins import MS, SETTINGS, TIMEOUT, Site, StandInChangeLog, address
from tests.test_endings import COPY_FIELDS

CONNECT_ERRORS = (
    "ENETUNREACH",
    "EADDRNOTAVAIL",
    "ENOBUFS",
    "EHOSTUNREACH",
    "ETIMEDOUT",
    "ECONNREFUSED",
    "EINTR",
)
KEYED = {"idempotency": "guarded", "key-scope": "all", "repeat-window": 60_000 * MS}


def port_of(member):
    return member.listener.getsockname()[1]


def put(site, number):
    return site.open_client().send("/invoke/tarea/1", b"once", txn=f"{number:016x}", ttl=TIMEOUT * 1000)


@pytest.mark.parametrize("error", CONNECT_ERRORS)
def test_temporary_connect_error_counts_as_not_sent(error):
    """After one error a write is retried; after two it may be shed (safe to repeat), but not failed."""
    for times in (1, 2):
        with Site(faults={}) as site:
            site.inject(fail={"connect_ex": [error, times]}, ports=[port_of(site.origin)])
            client = put(site, 1)
            if times == 1:
                site.origin.next().answer("DONE", "-", b"taken")
            assert client.answer()[0] == (200 if times == 1 else 503)
            assert site.origin.commands.empty() and site.count_injected("connect_ex") == times


@pytest.mark.parametrize("error", ["ENFILE", "ENOBUFS", "ENOMEM", "EMFILE"])
def test_temporary_socket_error_counts_as_not_sent(error):
    with Site(faults={}) as site:
        site.inject(fail={"socket": [error, 1]})
        client = put(site, 1)
        site.origin.next().answer("DONE", "-", b"taken")
        assert client.answer()[::2] == (200, b"taken")
        assert site.count_injected("socket") == 1 and site.origin.commands.empty()


@pytest.mark.parametrize(
    "error", ["ECONNABORTED", "ENFILE", "ENOBUFS", "ENOMEM", "EPROTO", "ENETDOWN", "EINTR"]
)
def test_temporary_accept_error_loses_no_connection(error):
    with Site(faults={}) as site:
        site.inject(fail={"accept": [error, 3]})
        clients = [site.open_client().send(txn=f"{number:016x}") for number in range(3)]
        for _ in clients:
            site.cache.next().answer("DONE", COPY_FIELDS, b"x")
        assert [client.answer()[::2] for client in clients] == [(200, b"x")] * 3
        assert site.count_injected("accept") == 3


def test_a_lack_of_descriptors_at_accept_loses_no_connection():
    """Guards against Twisted's reserve descriptor, which accepts all waiting connections and closes them."""
    with Site(faults={}) as site:
        site.inject(fail={"accept": ["EMFILE", 1]})
        clients = [site.open_client().send(txn=f"{number:016x}") for number in range(3)]
        for _ in clients:
            site.cache.next().answer("DONE", COPY_FIELDS, b"x")
        assert [client.answer()[::2] for client in clients] == [(200, b"x")] * 3
        assert site.count_injected("accept") == 1


@pytest.mark.parametrize("error", ["ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"])
def test_request_on_a_broken_connection_counts_as_possibly_executed(error):
    """A read is retried, a write is failed, and both get an answer."""
    with Site(faults={}) as site:
        client = site.open_client().send()
        command = site.cache.next()
        site.inject(fail={"recv": [error, 1]})
        command.answer("DONE", COPY_FIELDS, b"lost on the way")
        again = site.cache.next()
        assert again.connection is not command.connection
        again.answer("DONE", COPY_FIELDS, b"x")
        assert client.answer()[::2] == (200, b"x")
        write = put(site, 2)
        command = site.origin.next()
        site.inject(fail={"recv": [error, 1]})
        command.answer("DONE", "-", b"lost on the way")
        assert write.answer()[0] == 502
        assert site.origin.commands.empty() and site.count_injected("recv") == 2


@pytest.mark.parametrize("error", ["EHOSTUNREACH", "ETIMEDOUT", "EPIPE", "ENOBUFS"])
def test_failed_send_counts_as_not_sent(error):
    """On a new and on a kept connection. Two errors, because a broken connection fails again.

    Without probes: the first failure calls for one, and where a busy machine lets the stand-in answer it
    late, the server rightly counts as away for the second write.
    """
    settings = SETTINGS | {"limits": SETTINGS["limits"] | {"probing": False}}
    with Site(faults={}, settings=settings) as site:
        for number in range(2):
            site.inject(fail={"send": [error, 2]})
            client = put(site, number)
            site.origin.next().answer("DONE", "-", b"taken")
            assert client.answer()[::2] == (200, b"taken")
            assert site.origin.commands.empty() and site.count_injected("send") == 2 * (number + 1)


def test_interrupted_waits_lose_no_request():
    with Site(faults={}) as site:
        client = site.open_client()
        for number in range(30):
            site.process.send_signal(signal.SIGUSR1)
            client.send(txn=f"{number:016x}")
            command = site.cache.next()
            site.process.send_signal(signal.SIGUSR1)
            command.answer("DONE", COPY_FIELDS, b"x" * 100_000)
            assert client.answer()[2] == b"x" * 100_000


@pytest.mark.parametrize("error", ["ENETUNREACH", "EADDRNOTAVAIL", "ENFILE"])
def test_change_log_is_reconnected_after_failed_calls(error):
    """The configuration names a new address, to which the first connections fail."""
    with Site(faults={}) as site:
        other = StandInChangeLog()
        call = "socket" if error == "ENFILE" else "connect_ex"
        site.inject(fail={call: [error, 3]}, ports=[other.listener.getsockname()[1]])
        site.reload(json.dumps(site.configuration | {"changelog": address(other.listener)}))
        assert other.next_call() == 1
        assert site.count_injected(call) == 3


def test_keyed_write_is_retried_after_a_failed_connect():
    video, tarea = SETTINGS["classes"]
    with Site(faults={}, settings=SETTINGS | {"classes": [video, tarea | KEYED]}) as site:
        site.inject(fail={"connect_ex": ["EADDRNOTAVAIL", 1]}, ports=[port_of(site.origin)])
        client = site.open_client().send("/invoke/tarea/1", b"once", X_Txn_Key="91e8")
        site.origin.next().answer("DONE", "-", b"taken")
        assert client.answer()[::2] == (200, b"taken") and site.origin.commands.empty()
