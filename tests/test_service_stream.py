"""Tests of limepath/discovery/service_stream.py: replays, gaps, and a restored service."""

import json

from limepath.discovery.bounds import QUIET_SPAN_US
from limepath.discovery.interface import (
    ApplyEvent,
    CloseStream,
    ListConfirmed,
    LogEvent,
    OpenStream,
    SaveSnapshot,
    StreamActive,
    StreamClosed,
    StreamEventReceived,
    StreamOpened,
)
from limepath.discovery.service_stream import StreamState
from tests.discovery_harness import (
    MS,
    SECOND,
    STAR_SETTINGS,
    TREE_SETTINGS,
    EngineHarness,
    TreeHarness,
    batch,
    commands_of,
    event_text,
    full_event_text,
    list_at,
)


def test_a_front_without_peers_takes_the_list_of_the_service_and_saves_it():
    front = EngineHarness()
    front.open_stream(full_event_text(1), event_text(2))
    assert front.emitted(OpenStream) == [OpenStream(0)] and front.emitted(ListConfirmed)[0].revision == (0, 2)
    front.run(2 * SECOND)
    restarted = EngineHarness(saved=front.emitted(SaveSnapshot)[-1].data)
    assert (
        restarted.logic.replica.list.revision == (0, 2)
        and restarted.logic.replica.list.digest == front.logic.replica.list.digest
    )


def test_a_service_restored_from_an_older_state_is_detected_though_it_sends_nothing():
    front = EngineHarness()
    front.open_stream(full_event_text(1), event_text(2), event_text(3))
    front.handle(StreamEventReceived(event_text(4)))
    front.handle(StreamClosed("the stream ended"))
    while len(front.emitted(OpenStream)) < 2:
        front.run(100 * MS)
    assert front.emitted(OpenStream)[-1] == OpenStream(3)  # requests its last event again
    front.handle(StreamOpened())
    front.run(QUIET_SPAN_US)  # the restored service is at event 2 and sends nothing
    front.handle(StreamActive())
    assert "not sent again" in front.emitted(CloseStream)[-1].reason
    while len(front.emitted(OpenStream)) < 3:
        front.run(100 * MS)
    assert front.emitted(OpenStream)[-1] == OpenStream(0)
    front.handle(StreamOpened(), StreamEventReceived(full_event_text(1)), StreamEventReceived(event_text(2)))
    front.run(QUIET_SPAN_US)
    assert front.logic.replica.list.revision == (0, 4)  # the replay may only be slow
    front.run(STAR_SETTINGS.stream_timeout - QUIET_SPAN_US - 1)
    front.handle(StreamActive())
    front.run(10)
    assert front.logic.replica.list.revision == (1, 2) and any(
        entry.event == "list-backwards" for entry in front.emitted(LogEvent)
    )


def test_an_event_sent_again_with_different_content_is_not_a_duplicate():
    front = EngineHarness()
    front.open_stream(full_event_text(1), event_text(2))
    front.handle(StreamEventReceived(event_text(3)))
    assert not commands_of(front.handle(StreamEventReceived(event_text(3))), CloseStream)
    assert commands_of(
        front.handle(StreamEventReceived(event_text(3, invalidate={"bucket": 99, "time": 6}))), CloseStream
    )


def test_a_gap_in_the_stream_leads_to_a_replay():
    front = EngineHarness()
    front.open_stream(full_event_text(1), event_text(2))
    assert (
        "5 comes after 2"
        in commands_of(front.handle(StreamEventReceived(event_text(5))), CloseStream)[0].reason
    )
    assert front.logic.replica.list.revision.number == 2 and front.logic.stream.replay_needed


def test_an_event_that_is_invalid_twice_is_skipped_and_logged():
    front = EngineHarness()
    front.open_stream(full_event_text(1), event_text(2))
    for _ in range(2):
        front.handle(StreamEventReceived('{"seq": 3, "fleet": {"members": [{"id": "s-9"}]}}', "3"))
        while front.logic.stream.state == StreamState.CLOSED:
            front.run(100 * MS)
    assert any(
        entry.event == "list-event" and "s-9" in entry.fields["skipped"] for entry in front.emitted(LogEvent)
    )
    assert front.logic.replica.list.revision.number == 2


def test_a_stream_catches_up_while_events_arrive_continuously():
    front = EngineHarness(settings=TREE_SETTINGS._replace(site="", fronts=1))
    front.open_stream(full_event_text())
    front.logic.stream.caught_up = False
    number, base = 1, 50_000
    for step in range(80):
        number += 1
        event = {"seq": number, "invalidate": {"bucket": 1, "time": base + step * 28}}
        front.handle(StreamEventReceived(json.dumps(event)))
        front.run(28 * MS)
    assert front.logic.stream.caught_up


def test_a_restored_service_with_other_purges_begins_a_new_generation():
    front = TreeHarness(list_at(3).pack())
    front.receive(front.parent, batch(4, 6))
    front.logic.roles.contradiction_seen = True
    while front.logic.stream.state == StreamState.CLOSED:
        front.run(100 * MS)
    other = [
        json.dumps({"seq": number, "invalidate": {"bucket": 70 + number, "time": 5}}) for number in (5, 6, 7)
    ]
    texts = [full_event_text(), *map(event_text, range(2, 5)), *other]
    front.handle(StreamOpened(), *(StreamEventReceived(text) for text in texts))
    front.run(500 * MS)
    front.handle(StreamActive())
    purged = [
        command.event["invalidate"]["bucket"]
        for command in front.emitted(ApplyEvent)
        if "invalidate" in command.event
    ]
    assert {75, 76, 77} <= set(purged)


def test_a_replay_that_matches_our_list_appends_only_the_later_events():
    front = TreeHarness(list_at(3).pack())
    front.logic.roles.contradiction_seen = True
    while front.logic.stream.state == StreamState.CLOSED:
        front.run(100 * MS)
    front.handle(
        StreamOpened(),
        *(StreamEventReceived(text) for text in [full_event_text(), *map(event_text, range(2, 7))]),
    )
    front.run(500 * MS)
    front.handle(StreamActive())
    assert front.logic.replica.list.revision == (0, 6) and front.logic.replica.window.oldest == 4
    assert [command.event["seq"] for command in front.emitted(ApplyEvent)][-3:] == [4, 5, 6]
