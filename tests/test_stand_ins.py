"""What the stand-ins promise to the tests that use them."""

from tests import stand_ins
from tests.stand_ins import Site


def test_a_site_does_not_take_the_front_of_another_test_for_its_own(monkeypatch):
    """The port that was found free has gone to another's front before this one's could listen there."""
    free_address = stand_ins.free_address
    with Site() as other:
        addresses = iter((other.where,))
        monkeypatch.setattr(stand_ins, "free_address", lambda: next(addresses, None) or free_address())
        with Site() as site:
            assert site.where != other.where
            viewer = site.viewer().send()
            site.cache.next().answer("DONE", "rev=4be0c1927d55a6f3,since=1764576000123", b"x")
            assert viewer.answer()[2] == b"x" and other.cache.asked.empty()
