"""Tests of limepath/discovery/list_replica.py: saved lists, freshness, and forwarded events."""

import json

import pytest

from limepath.discovery.bounds import freshness_limit
from limepath.discovery.interface import (
    ApplyEvent,
    Events,
    Heartbeat,
    ListConfirmed,
    ListFreshnessChanged,
    LogEvent,
    PeerMessage,
    SendToMember,
    StreamEventReceived,
    Subscribe,
)
from tests.discovery_harness import (
    MS,
    SECOND,
    TREE_SETTINGS,
    EngineHarness,
    TreeHarness,
    batch,
    commands_of,
    event_text,
    full_event_text,
    list_at,
)


def test_a_saved_list_is_applied_only_once_it_was_confirmed():
    front = EngineHarness([2], list_at(5).pack()).run(SECOND)
    assert (
        not front.emitted(ApplyEvent)
        and front.logic.replica.list.revision.number == 5
        and front.logic.replica.is_stale()
    )
    commands = front.handle(
        PeerMessage(2, Heartbeat("sur", 0, 5, list_at(5).digest, -1))
    )  # from a front whose list was never confirmed
    assert not commands_of(commands, ApplyEvent)
    commands = front.handle(PeerMessage(2, Heartbeat("sur", 0, 5, list_at(5).digest, 200 * MS)))
    assert (
        commands_of(commands, ApplyEvent)[0].event["fleet"]["complete"]
        and len(commands_of(commands, ApplyEvent)) == 5
        and commands_of(commands, ListConfirmed)
    )
    assert 200 * MS <= front.logic.replica.age() < 300 * MS and not front.logic.replica.is_stale()


def test_a_saved_list_is_brought_up_to_date_by_the_missing_events():
    front = EngineHarness([2], list_at(3).pack()).run(SECOND)
    requests = [
        command.message for command in front.emitted(SendToMember) if isinstance(command.message, Subscribe)
    ]
    assert requests[0] == Subscribe("sur", 0, 3)
    commands = front.handle(PeerMessage(2, Events(0, 4, (event_text(4), event_text(5)), 100 * MS)))
    assert (
        commands_of(commands, ListConfirmed)[0].revision == (0, 5)
        and commands_of(commands, ApplyEvent)[0].event["seq"] == 5
    )


@pytest.mark.parametrize("damaged", [b"", b"LPL1", list_at(3).pack()[:-4], b"LPL1" + list_at(3).pack()[9:]])
def test_a_damaged_saved_list_is_logged_and_not_used(damaged):
    front = EngineHarness([], damaged).run(SECOND)
    assert "begins without" in front.emitted(LogEvent)[0].fields[
        "flaw"
    ] and front.logic.replica.list.revision == (
        0,
        0,
    )
    front.open_stream(full_event_text())
    assert front.emitted(ListConfirmed)[0].revision == (0, 1)


def test_a_purge_is_as_old_as_its_first_receipt_by_a_front():
    """Guards against a purge that counts as older, and is forgotten too early, because of a wrong clock."""
    front = EngineHarness()
    front.open_stream(full_event_text(1))
    front.run(300 * MS)
    (applied,) = commands_of(front.handle(StreamEventReceived(event_text(2))), ApplyEvent)
    assert applied.purge_age == 0
    front.run(700 * MS)
    restarted = TreeHarness(front.logic.replica.list.pack(front.now))
    restarted.run(200 * MS)
    digest = front.logic.replica.list.digest
    restarted.receive(restarted.parent, Heartbeat("sur", 0, 2, digest, 0, site="a", stamp=restarted.now))
    assert [one.purge_age for one in restarted.emitted(ApplyEvent) if one.event["seq"] == 2][
        -1
    ] == 700 * MS + restarted.now


def test_a_front_is_notified_when_its_list_becomes_stale_and_fresh_again():
    front = TreeHarness(list_at(3).pack())
    front.receive(front.parent, Heartbeat("sur", 0, 3, list_at(3).digest, 0, site="a", stamp=front.now))
    limit = freshness_limit(TREE_SETTINGS, front.logic.tree.hops)
    front.run(limit)
    assert not front.emitted(ListFreshnessChanged)
    front.run(1)
    assert front.emitted(ListFreshnessChanged) == [ListFreshnessChanged(True)]
    front.receive(front.parent, Heartbeat("sur", 0, 3, list_at(3).digest, 0, site="a", stamp=front.now))
    assert front.emitted(ListFreshnessChanged) == [ListFreshnessChanged(True), ListFreshnessChanged(False)]


def test_a_window_cut_short_by_its_size_limit_is_reported():
    front = TreeHarness(list_at(3).pack(), settings=TREE_SETTINGS._replace(window_bytes=200))
    front.receive(front.parent, batch(4, 20))
    assert not front.logic.describe()["window_cut_short"] and front.logic.describe()["reaches"] == 4
    front.receive(front.parent, batch(21, 90))
    view = front.logic.describe()
    assert view["window_cut_short"] and view["reaches"] > 4 and view["site"] == "a"


def test_a_purge_is_kept_for_copy_lifetime_and_window_across_a_restart():
    settings = TREE_SETTINGS._replace(window=20 * SECOND, purge_lifetime=7 * SECOND)
    front = TreeHarness(list_at(3).pack(), settings=settings)
    count = 0
    for first in range(4, 5004, 50):  # more than former versions kept
        front.receive(front.parent, batch(first, first + 49))
        front.run(10 * MS)
        count += 50
    purges = front.logic.replica.list.purges
    assert len(purges) == 5000 + 2
    front.run(settings.window + settings.purge_lifetime - 3 * SECOND)
    restarted = TreeHarness(front.logic.replica.list.pack(front.now), settings=settings)
    assert len(restarted.logic.replica.list.purges) == 5002  # all are still in the packed list
    restarted.receive(restarted.parent, batch(5004, 5004))
    restarted.run(3 * SECOND)
    restarted.receive(restarted.parent, batch(5005, 5005))
    assert len(restarted.logic.replica.list.purges) == 2  # the others expired by the ages that were packed


def test_a_list_saved_without_ages_by_an_older_version_is_read():
    import zlib

    packed = json.loads(zlib.decompress(list_at(9).pack()[4:]))
    del packed["ages"]
    older = b"LPL1" + zlib.compress(json.dumps(packed).encode())
    assert len(EngineHarness([2], older).logic.replica.list.purges) == 8
