"""Tests of purges: the maximum age of a copy, and the names that a purge may bear."""

from types import SimpleNamespace

import pytest

from limepath.front.servers import Servers
from limepath.interface.events import PurgeAnnounced
from tests.fake_host import SECOND, FakeHost
from tests.stand_ins import Site

HIGHEST_OBJECT = (1 << 64) - 1
HIGHEST_GROUP = 255


def test_copies_older_than_a_purge_are_not_accepted():
    host = FakeHost()
    host.purge(obj=5, age=200_000)
    assert 0 < host.request(5)[0].max_age <= 200_000
    assert host.request(6)[0].max_age == 0
    host.purge(group=4)
    assert 0 < host.request(6, group=4)[0].max_age <= 10
    host.wait(7 * SECOND)
    assert host.request(5, group=4)[0].max_age == 0


@pytest.mark.parametrize("obj", [0, 1, HIGHEST_OBJECT])
def test_the_purge_of_an_object_concerns_that_object_whatever_its_number(obj):
    """Guards against object 0, a name like any other, meaning a whole group."""
    host = FakeHost()
    host.purge(obj=obj, age=200_000)
    assert 0 < host.request(obj, group=4)[0].max_age <= 200_000
    assert host.request(7, group=0)[0].max_age == 0


@pytest.mark.parametrize("group", [0, 1, HIGHEST_GROUP])
def test_the_purge_of_a_group_concerns_the_whole_group_whatever_its_number(group):
    """Guards against a group's purge being taken for that of one object."""
    host = FakeHost()
    host.purge(group=group, age=200_000)
    assert 0 < host.request(7, group=group)[0].max_age <= 200_000
    assert host.request(0, group=7)[0].max_age == 0


@pytest.mark.parametrize("obj", [0, 1, HIGHEST_OBJECT])
def test_the_purge_of_an_object_concerns_its_queued_attempts_whatever_its_number(obj, monkeypatch):
    """Guards against attempts for object 0 that wait for a connection and go out with the former `cap`."""
    conditions = []
    monkeypatch.setattr(Servers, "cancel_waiting", lambda _, is_concerned: conditions.append(is_concerned))
    Servers.apply_purge(object.__new__(Servers), PurgeAnnounced(group=0, age=0, object=obj))

    def is_concerned(number, group):
        request = SimpleNamespace(event=SimpleNamespace(object=number, group=group))
        return conditions[0](None, request)

    assert is_concerned(obj, group=9)
    assert not is_concerned(7, group=0)


@pytest.mark.parametrize("name", ["0" * 16, "0" * 15 + "1", "f" * 16])
def test_a_get_sent_after_the_purge_of_its_object_limits_the_age_of_the_copy(name):
    """Guards against answers from before the purge of object 0, through the real front."""
    with Site() as site:
        site.log.next_call()
        client = site.open_client()

        def ask(target, number):
            client.send(target, txn=f"{number:016x}", X_Family=0)
            command = site.cache.next()
            command.answer("LACK")
            fill = site.cache.next()
            fill.answer("DONE", "rev=4be0,since=0")
            assert client.answer()[0] == 200
            return fill

        assert "cap" not in ask(f"/invoke/video/{name}", 1).fields
        site.log.send_event(2, invalidate={"object": name, "time": 0})
        site.log.send_event(9, invalidate={"bucket": 3, "time": 0})  # the gap shows that event 2 was read
        assert site.log.next_call() == 2
        assert "cap" not in ask("/invoke/video/00000000000000a1", 2).fields
        client.send(f"/invoke/video/{name}", txn=f"{3:016x}")
        assert "cap" in site.cache.next().fields
