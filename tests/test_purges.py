"""Tests of purges: the maximum age of a copy."""

from tests.fake_host import SECOND, FakeHost


def test_copies_older_than_a_purge_are_not_accepted():
    host = FakeHost()
    host.purge(obj=5, age=200_000)
    assert 0 < host.request(5)[0].max_age <= 200_000
    assert host.request(6)[0].max_age == 0
    host.purge(group=4)
    assert 0 < host.request(6, group=4)[0].max_age <= 10
    host.wait(7 * SECOND)
    assert host.request(5, group=4)[0].max_age == 0
