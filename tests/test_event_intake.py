"""Tests of limepath/discovery/event_intake.py: heartbeats and events from other fronts."""

import json

import pytest

from limepath.discovery.event_coding import encode_batches, encode_event
from limepath.discovery.interface import (
    EventBatch,
    Events,
    Heartbeat,
    PeerMessage,
    Role,
    SubscriptionMode,
)
from limepath.discovery.upstream import BAD_PEER_EXCLUSION_US
from tests.discovery_harness import (
    MS,
    SECOND,
    STAR_SETTINGS,
    EngineHarness,
    TreeHarness,
    batch,
    event_text,
    full_event_text,
    list_at,
)


def test_two_relays_with_different_lists_are_passed_over_and_the_service_is_called():
    front = EngineHarness([2, 3], list_at(4).pack(), STAR_SETTINGS._replace(fronts=3)).run(SECOND)
    front.handle(PeerMessage(2, Heartbeat("sur", 0, 4, list_at(4).digest, 10 * MS)))
    assert front.logic.roles.role != Role.STANDALONE and not front.logic.roles.contradiction_seen
    front.handle(PeerMessage(3, Heartbeat("sur", 0, 4, list_at(4).digest ^ 1, 10 * MS)))
    assert (
        front.logic.roles.contradiction_seen
        and front.logic.upstream.fault_of(front.logic.upstream.sources[3]) == "bad"
    )
    front.open_stream(full_event_text(1), event_text(2), event_text(3), event_text(4))
    assert not front.logic.roles.contradiction_seen and front.logic.replica.list.digest == list_at(4).digest


def test_a_relay_that_says_it_is_up_to_date_and_stays_behind_is_passed_over():
    front = EngineHarness([2, 3], list_at(6).pack(), STAR_SETTINGS._replace(relays=3)).run(SECOND)
    for _ in range(6):
        front.handle(
            PeerMessage(2, Heartbeat("sur", 0, 6, list_at(6).digest, 400 * MS)),
            PeerMessage(3, Heartbeat("sur", 0, 4, list_at(4).digest, 10 * MS)),
        )
        front.run(STAR_SETTINGS.beat)
    assert front.logic.upstream.fault_of(
        front.logic.upstream.sources[3]
    ) == "bad" and not front.logic.upstream.fault_of(front.logic.upstream.sources[2])
    front.run(BAD_PEER_EXCLUSION_US)
    assert front.logic.upstream.fault_of(front.logic.upstream.sources[3]) != "bad"


@pytest.mark.parametrize(
    "invalid",
    [
        Events(0, 4, ("{",), 0),
        Events(0, 4, (event_text(9),), 0),
        Events(0, 4, (event_text(4, fleet={"members": [{"id": ""}]}),), 0),
    ],
)
def test_invalid_events_of_a_relay_are_logged_and_none_is_applied(invalid):
    front = EngineHarness([2], list_at(3).pack()).run(SECOND)
    front.handle(PeerMessage(2, invalid))
    assert (
        front.logic.replica.list.revision.number == 3
        and front.logic.counts["nonsense"] == 1
        and front.logic.upstream.fault_of(front.logic.upstream.sources[2]) == "bad"
    )
    assert front.logic.replica.list.digest == list_at(3).digest


def test_messages_of_a_front_that_is_no_source_are_ignored():
    front = EngineHarness([2], list_at(3).pack()).run(SECOND)
    front.handle(
        PeerMessage(9, Events(0, 4, (event_text(4),), 0)), PeerMessage(9, Heartbeat("sur", 0, 9, 1, 0))
    )
    assert front.logic.replica.list.revision.number == 3 and not front.logic.snapshot_transfer.download


@pytest.mark.parametrize(
    "invalid",
    [
        EventBatch(0, 4, b"", 0),
        EventBatch(0, 4, b"\x10abc", 0),  # an event kind of a later program version
        EventBatch(0, 5, batch(4, 5).data, 0),
        EventBatch(0, 4, batch(4, 5).data[:-3], 0),
    ],
)
def test_an_invalid_batch_is_logged_not_applied_and_its_parent_passed_over(invalid):
    front = TreeHarness(list_at(3).pack())
    front.receive(front.parent, invalid)
    front.run(front.logic.settings.beat)
    assert front.logic.replica.list.revision.number == 3 and front.logic.counts["nonsense"] == 1
    assert front.subscriptions_to(front.position.candidates[1])[-1].mode == SubscriptionMode.BATCHES


def test_events_of_an_older_generation_are_ignored():
    front = TreeHarness(list_at(3, generation=1).pack())
    front.receive(front.parent, batch(4, 5, generation=0))
    assert front.logic.replica.list.revision == (1, 3)


def test_the_sender_of_a_contradicting_event_is_passed_over():
    front = TreeHarness(list_at(3).pack())
    front.receive(front.parent, batch(4, 5))
    other = json.dumps({"seq": 5, "invalidate": {"bucket": 77, "time": 5}})
    front.receive(
        front.parent, EventBatch(0, 5, encode_batches([encode_event(json.loads(other), other)])[0], 0)
    )
    assert front.logic.upstream.fault_of(front.logic.upstream.sources[front.parent]) == "bad"
    assert front.logic.replica.list.revision.number == 5


def test_missing_events_are_requested_after_a_gap_but_not_after_reordering():
    front = TreeHarness(list_at(3).pack())
    front.receive(front.parent, batch(6, 7))
    front.receive(front.parent, batch(4, 5))
    assert front.logic.replica.list.revision.number == 7 and not front.logic.counts["gaps"]
    front.commands.clear()
    front.receive(front.parent, batch(9, 9))
    front.run(60 * MS)
    (request,) = front.subscriptions_to(front.parent)[-1:]
    assert request.resend and request.number == 7 and front.logic.counts["gaps"] == 1


def test_a_delayed_heartbeat_does_not_reduce_the_age_of_the_list():
    front = TreeHarness(list_at(3).pack())
    stamp = front.subscriptions_to(front.parent)[-1].stamp
    subscribed_at = front.now
    front.run(3 * SECOND)
    front.receive(front.parent, Heartbeat("sur", 0, 3, list_at(3).digest, 0, site="a", stamp=stamp))
    assert front.logic.replica.age() >= 3 * SECOND and stamp <= subscribed_at
