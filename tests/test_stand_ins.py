"""What the stand-ins promise to the tests that use them."""

from tests import stand_ins
from tests.stand_ins import Site, StandInChangeLog


def test_a_site_does_not_take_the_front_of_another_test_for_its_own(monkeypatch):
    """The port that was found free has gone to another's front before this one's could listen there."""
    free_address = stand_ins.free_address
    with Site() as other:
        addresses = iter((other.listen_address,))
        monkeypatch.setattr(stand_ins, "free_address", lambda: next(addresses, None) or free_address())
        with Site() as site:
            assert site.listen_address != other.listen_address
            client = site.open_client().send()
            site.cache.next().answer("DONE", "rev=4be0c1927d55a6f3,since=1764576000123", b"x")
            assert client.answer()[2] == b"x" and other.cache.commands.empty()


class LetGo:
    """A connection whose other side is reset once its call has been read."""

    def recv(self, _):
        return b"GET / HTTP/1.1\r\nLast-Event-ID: 0\r\n\r\n"

    def sendall(self, _):
        raise ConnectionResetError


def test_a_change_log_outlives_a_call_that_is_let_go_before_its_answer():
    log = StandInChangeLog()
    assert log.serve(LetGo()) is None and log.calls.empty()
    log.listener.close()
