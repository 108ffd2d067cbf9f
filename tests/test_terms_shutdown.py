"""Tests of the operators' rules for a planned restart.

SIGKILL follows SIGTERM after the longest deadline (3 s at most) and a further 0.7 s at the earliest, which is
soon if deadlines are short. Until then clients send requests on open connections.
"""

import select
import time

from limepath.configuration.platform import front_settings
from tests.stand_ins import MS, SETTINGS, TIMEOUT, Site, configuration, wait_for
from tests.test_endings import COPY_FIELDS

ARRIVAL_PERIOD = 600_000  # microseconds after SIGTERM: 0.4 s for new connections, 0.2 s more on open ones
CLOSE_RACE = 0.05  # seconds around the close in which a request may get no answer


def with_deadline(milliseconds):
    classes = [entry | {"aim": 50 * MS, "deadline": milliseconds * MS} for entry in SETTINGS["classes"]]
    return SETTINGS | {"classes": classes}


def wait_until(since, seconds):
    wait_for(lambda: time.monotonic() - since >= seconds)


def test_front_stops_accepting_before_it_may_be_killed():
    for deadline in (20, 100, 300, 1000, 2990, 3000, 5000):
        document = configuration("127.0.0.1:9", settings=with_deadline(deadline), limits={})
        limits = front_settings(document, {}).limits
        killed_after = (min(deadline, 3000) + 700) * 1000
        assert ARRIVAL_PERIOD < limits.drain_period <= killed_after - 100_000, deadline
        assert limits.drain_period <= limits.last_answer <= killed_after - 100_000, deadline


def test_no_request_is_unanswered_at_sigkill_with_short_deadlines():
    """Idle clients send one after another until the earliest possible SIGKILL; the caches do not answer."""
    deadline = 0.3
    with Site(settings=with_deadline(300), limits={"sockets": 256}) as site:
        clients = [site.open_client() for _ in range(40)]
        assert all(client.send_raw("GET /_health HTTP/1.1\r\n\r\n").answer()[0] == 200 for client in clients)
        site.terminate()
        terminated_at, sent_times, first_close_at = time.monotonic(), {}, None
        for number, client in enumerate(clients):
            wait_until(terminated_at, number * (deadline + 0.7 - 0.02) / len(clients))
            if not select.select([client.socket], [], [], 0)[0]:
                client.send(txn=f"{number:016x}", ttl=300)
                sent_times[client] = time.monotonic()
            elif first_close_at is None:  # closed by the front while it was idle
                first_close_at = time.monotonic()
        wait_until(terminated_at, deadline + 0.7)
        site.process.kill()
        site.process.wait()
        assert first_close_at
        for client, sent_at in sent_times.items():
            assert answer_unless_reset(client) or abs(first_close_at - sent_at) < CLOSE_RACE, (
                sent_at - terminated_at
            )


def answer_unless_reset(client):
    try:
        return client.answer()
    except ConnectionResetError:
        return None


def test_temporary_accept_errors_during_shutdown_lose_no_connection():
    """Connections in the kernel's accept queue count as accepted; the error outlasts `leaving_ms`."""
    for error in ("ECONNABORTED", "ENFILE"):
        with Site(faults={}, limits={"leaving_ms": 700, "last_answer_ms": 1000 * TIMEOUT}) as site:
            site.inject(fail={"accept": [error, 10**9]})
            clients = [site.open_client().send(txn=f"{number:016x}") for number in range(3)]
            site.terminate()
            terminated_at = time.monotonic()
            wait_until(terminated_at, 1.0)
            assert site.count_injected("accept") > 2
            site.inject(fail={})
            for _ in clients:
                site.cache.next().answer("DONE", COPY_FIELDS, b"x")
            assert [client.answer()[::2] for client in clients] == [(200, b"x")] * 3, error
            assert site.process.wait(TIMEOUT) == 0
