"""Terms of the operators' notes: system calls fail in the ways that Linux documents, for a moment, and all
rules hold. Each fault is counted where it takes effect.
"""

import json
import signal

import pytest

from tests.stand_ins import BOUND, MS, SETTINGS, Site, StandInChangeLog, address
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
    return site.viewer().send("/invoke/tarea/1", b"once", txn=f"{number:016x}", ttl=BOUND * 1000)


@pytest.mark.parametrize("error", CONNECT_ERRORS)
def test_a_connection_that_cannot_be_made_for_a_moment_proves_that_nothing_ran(error):
    """Once: a write is sent again. Twice in a row: it may be refused (harmless to repeat), not failed."""
    for times in (1, 2):
        with Site(faults={}) as site:
            site.inject(fail={"connect_ex": [error, times]}, ports=[port_of(site.origin)])
            viewer = put(site, 1)
            if times == 1:
                site.origin.next().answer("DONE", "-", b"taken")
            assert viewer.answer()[0] == (200 if times == 1 else 503)
            assert site.origin.asked.empty() and site.injected("connect_ex") == times


@pytest.mark.parametrize("error", ["ENFILE", "ENOBUFS", "ENOMEM", "EMFILE"])
def test_a_socket_that_cannot_be_made_for_a_moment_proves_that_nothing_ran(error):
    with Site(faults={}) as site:
        site.inject(fail={"socket": [error, 1]})
        viewer = put(site, 1)
        site.origin.next().answer("DONE", "-", b"taken")
        assert viewer.answer()[::2] == (200, b"taken")
        assert site.injected("socket") == 1 and site.origin.asked.empty()


@pytest.mark.parametrize(
    "error", ["ECONNABORTED", "ENFILE", "ENOBUFS", "ENOMEM", "EPROTO", "ENETDOWN", "EINTR"]
)
def test_accept_that_fails_for_a_moment_loses_no_connection(error):
    with Site(faults={}) as site:
        site.inject(fail={"accept": [error, 3]})
        viewers = [site.viewer().send(txn=f"{number:016x}") for number in range(3)]
        for _ in viewers:
            site.cache.next().answer("DONE", COPY_FIELDS, b"x")
        assert [viewer.answer()[::2] for viewer in viewers] == [(200, b"x")] * 3
        assert site.injected("accept") == 3


@pytest.mark.parametrize("error", ["ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"])
def test_a_connection_that_breaks_under_a_request_is_one_that_may_have_run(error):
    """A read is sent again, a write is failed, and neither is lost."""
    with Site(faults={}) as site:
        viewer = site.viewer().send()
        asked = site.cache.next()
        site.inject(fail={"recv": [error, 1]})
        asked.answer("DONE", COPY_FIELDS, b"lost on the way")
        again = site.cache.next()
        assert again.connection is not asked.connection
        again.answer("DONE", COPY_FIELDS, b"x")
        assert viewer.answer()[::2] == (200, b"x")
        write = put(site, 2)
        asked = site.origin.next()
        site.inject(fail={"recv": [error, 1]})
        asked.answer("DONE", "-", b"lost on the way")
        assert write.answer()[0] == 502
        assert site.origin.asked.empty() and site.injected("recv") == 2


@pytest.mark.parametrize("error", ["EHOSTUNREACH", "ETIMEDOUT", "EPIPE", "ENOBUFS"])
def test_a_write_that_the_system_did_not_take_has_not_run(error):
    """On a new connection and on a kept one; two errors, as one that broke stays broken."""
    with Site(faults={}) as site:
        for number in range(2):
            site.inject(fail={"send": [error, 2]})
            viewer = put(site, number)
            site.origin.next().answer("DONE", "-", b"taken")
            assert viewer.answer()[::2] == (200, b"taken")
            assert site.origin.asked.empty() and site.injected("send") == 2 * (number + 1)


def test_waits_that_are_interrupted_all_the_time_cost_no_request():
    with Site(faults={}) as site:
        viewer = site.viewer()
        for number in range(30):
            site.process.send_signal(signal.SIGUSR1)
            viewer.send(txn=f"{number:016x}")
            asked = site.cache.next()
            site.process.send_signal(signal.SIGUSR1)
            asked.answer("DONE", COPY_FIELDS, b"x" * 100_000)
            assert viewer.answer()[2] == b"x" * 100_000


@pytest.mark.parametrize("error", ["ENETUNREACH", "EADDRNOTAVAIL", "ENFILE"])
def test_the_change_log_is_followed_again_after_calls_that_failed(error):
    """A new address in the configuration, at which no call succeeds at first."""
    with Site(faults={}) as site:
        other = StandInChangeLog()
        call = "socket" if error == "ENFILE" else "connect_ex"
        site.inject(fail={call: [error, 3]}, ports=[other.listener.getsockname()[1]])
        site.reload(json.dumps(site.configuration | {"changelog": address(other.listener)}))
        assert other.called() == 1
        assert site.injected(call) == 3


def test_a_write_by_key_goes_on_after_a_call_that_failed():
    video, tarea = SETTINGS["classes"]
    with Site(faults={}, settings=SETTINGS | {"classes": [video, tarea | KEYED]}) as site:
        site.inject(fail={"connect_ex": ["EADDRNOTAVAIL", 1]}, ports=[port_of(site.origin)])
        viewer = site.viewer().send("/invoke/tarea/1", b"once", X_Txn_Key="91e8")
        site.origin.next().answer("DONE", "-", b"taken")
        assert viewer.answer()[::2] == (200, b"taken") and site.origin.asked.empty()
