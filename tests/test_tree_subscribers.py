"""Tests of limepath/discovery/tree_subscribers.py: admission of subscribers, and sending of events."""

from limepath.discovery.bounds import max_children
from limepath.discovery.interface import (
    EventBatch,
    Heartbeat,
    SendToMember,
    Subscribe,
    SubscriptionMode,
)
from tests.discovery_harness import TREE_SETTINGS, TreeHarness, batch, list_at


def test_no_more_children_are_accepted_than_the_limit():
    front = TreeHarness(list_at(3).pack(), fronts=40)
    front.receive(front.parent, Heartbeat("sur", 0, 3, list_at(3).digest, 0, site="a", oldest_available=2))
    for token in front.others:
        front.receive(token, Subscribe("sur", 0, 3, SubscriptionMode.BATCHES, "a", False, 5))
    heartbeats = {
        command.token: command.message
        for command in front.emitted(SendToMember)
        if isinstance(command.message, Heartbeat)
    }
    refused = [token for token, heartbeat in heartbeats.items() if heartbeat.refused]
    assert (
        len(heartbeats) - len(refused)
        == max_children(TREE_SETTINGS)
        == len(front.logic.tree_subscribers.event_subscribers())
    )
    front.commands.clear()
    front.receive(front.parent, batch(4, 5))
    front.run(TREE_SETTINGS.gather)
    sent = {
        command.token for command in front.emitted(SendToMember) if isinstance(command.message, EventBatch)
    }
    assert len(sent) == max_children(TREE_SETTINGS) and not sent & set(refused)
    front.receive(refused[0], Subscribe("sur", 0, 3, SubscriptionMode.HEARTBEATS, "a", False, 5))
    view = front.logic.describe()  # a subscriber for heartbeats only is a follower but is sent no events
    assert view["sends_events_to"] == max_children(TREE_SETTINGS) == view["followers"] - 1


def test_a_child_is_sent_one_datagram_per_tick_and_again_if_not_acknowledged():
    front = TreeHarness(list_at(3).pack())
    child = front.others[0]
    front.receive(front.parent, Heartbeat("sur", 0, 3, list_at(3).digest, 0, site="a", oldest_available=2))
    front.receive(child, Subscribe("sur", 0, 3, SubscriptionMode.BATCHES, "a", False, 77))
    front.receive(front.parent, batch(4, 6))
    front.receive(front.parent, batch(7, 9))
    front.commands.clear()
    front.run(TREE_SETTINGS.gather)
    (message,) = [
        command.message for command in front.emitted(SendToMember) if isinstance(command.message, EventBatch)
    ]
    assert (message.first, message.stamp) == (4, 77) and message.data == batch(4, 9).data
    front.commands.clear()
    front.run(2 * TREE_SETTINGS.gather)
    assert not [command for command in front.emitted(SendToMember) if isinstance(command.message, EventBatch)]
    front.receive(
        child, Subscribe("sur", 0, 3, SubscriptionMode.BATCHES, "a", False, 78)
    )  # the datagram was lost
    front.run(TREE_SETTINGS.gather)
    (resent,) = [
        command.message for command in front.emitted(SendToMember) if isinstance(command.message, EventBatch)
    ]
    assert resent.first == 4


def test_subscribers_that_are_behind_share_a_limited_number_of_datagrams_per_tick():
    front = TreeHarness(list_at(3).pack(), settings=TREE_SETTINGS._replace(window_bytes=10**6))
    front.receive(front.parent, Heartbeat("sur", 0, 3, list_at(3).digest, 0, site="a", oldest_available=2))
    for first in range(4, 4004, 50):
        front.receive(front.parent, batch(first, first + 49))
    for token in front.others[:4]:
        front.receive(token, Subscribe("sur", 0, 3, SubscriptionMode.BATCHES, "a", False, 5))
    for _ in range(6):
        front.commands.clear()
        front.run(TREE_SETTINGS.gather)
        sent = [command for command in front.emitted(SendToMember) if isinstance(command.message, EventBatch)]
        assert len({command.token for command in sent}) == 4 and len(sent) <= 4 + 4


def test_list_chunks_are_shared_evenly_in_any_order_of_requests():
    subscribers = TreeHarness(list_at(3).pack()).logic.tree_subscribers
    chunks = dict.fromkeys(range(8), 0)
    for _ in range(10):
        subscribers.timers.now += TREE_SETTINGS.gather
        for token in chunks:
            chunks[token] += sum(subscribers.may_send_chunk(token) for _ in range(4))
    assert min(chunks.values()) >= 9 and sum(chunks.values()) <= 10 * 8
