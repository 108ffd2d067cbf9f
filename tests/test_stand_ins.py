"""Tests of the stand-ins."""

from tests import stand_ins
from tests.stand_ins import Site, StandInChangeLog


def test_site_distinguishes_its_front_from_the_front_of_another_site(monkeypatch):
    """Another front has taken the port, which was free, before this site's front could listen on it."""
    free_address = stand_ins.free_address
    with Site() as other:
        addresses = iter((other.listen_address,))
        monkeypatch.setattr(stand_ins, "free_address", lambda: next(addresses, None) or free_address())
        with Site() as site:
            assert site.listen_address != other.listen_address
            client = site.open_client().send()
            site.cache.next().answer("DONE", "rev=4be0c1927d55a6f3,since=1764576000123", b"x")
            assert client.answer()[2] == b"x" and other.cache.commands.empty()


class ResetConnection:
    """A connection that the client resets after its request."""

    def recv(self, _):
        return b"GET / HTTP/1.1\r\nLast-Event-ID: 0\r\n\r\n"

    def sendall(self, _):
        raise ConnectionResetError


def test_change_log_ignores_a_connection_reset_before_its_answer():
    log = StandInChangeLog()
    assert log.serve(ResetConnection()) is None and log.calls.empty()
    log.listener.close()
