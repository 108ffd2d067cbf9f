"""Tests of limepath/discovery/tree_subscribers.py: how many are accepted, and what they are sent."""

from limepath.discovery.bounds import max_children
from limepath.discovery.interface import (
    EventBatch,
    Heartbeat,
    SendToMember,
    Subscribe,
    SubscriptionMode,
)
from tests.discovery_harness import TREE_SETTINGS, TreeHarness, batch, list_at


def test_no_more_children_are_accepted_than_the_bound():
    front = TreeHarness(list_at(3).pack(), fronts=40)
    front.receive(front.parent, Heartbeat("sur", 0, 3, list_at(3).digest, 0, site="a", oldest_available=2))
    for token in front.others:
        front.receive(token, Subscribe("sur", 0, 3, SubscriptionMode.BATCHES, "a", False, 5))
    beats = {
        order.token: order.message
        for order in front.emitted(SendToMember)
        if isinstance(order.message, Heartbeat)
    }
    refused = [token for token, beat in beats.items() if beat.refused]
    assert (
        len(beats) - len(refused)
        == max_children(TREE_SETTINGS)
        == len(front.logic.tree_subscribers.event_subscribers())
    )
    front.commands.clear()
    front.receive(front.parent, batch(4, 5))
    front.run(TREE_SETTINGS.gather)
    sent = {order.token for order in front.emitted(SendToMember) if isinstance(order.message, EventBatch)}
    assert len(sent) == max_children(TREE_SETTINGS) and not sent & set(refused)
    front.receive(refused[0], Subscribe("sur", 0, 3, SubscriptionMode.HEARTBEATS, "a", False, 5))
    shown = front.logic.describe()  # who is sent heartbeats only is a follower, and no cost of events
    assert shown["sends_events_to"] == max_children(TREE_SETTINGS) == shown["followers"] - 1


def test_events_go_to_a_child_in_one_datagram_a_tick_and_again_if_not_acknowledged():
    front = TreeHarness(list_at(3).pack())
    child = front.others[0]
    front.receive(front.parent, Heartbeat("sur", 0, 3, list_at(3).digest, 0, site="a", oldest_available=2))
    front.receive(child, Subscribe("sur", 0, 3, SubscriptionMode.BATCHES, "a", False, 77))
    front.receive(front.parent, batch(4, 6))
    front.receive(front.parent, batch(7, 9))
    front.commands.clear()
    front.run(TREE_SETTINGS.gather)
    (only,) = [
        order.message for order in front.emitted(SendToMember) if isinstance(order.message, EventBatch)
    ]
    assert (only.first, only.stamp) == (4, 77) and only.data == batch(4, 9).data
    front.commands.clear()
    front.run(2 * TREE_SETTINGS.gather)
    assert not [order for order in front.emitted(SendToMember) if isinstance(order.message, EventBatch)]
    front.receive(child, Subscribe("sur", 0, 3, SubscriptionMode.BATCHES, "a", False, 78))  # it was lost
    front.run(TREE_SETTINGS.gather)
    (again,) = [
        order.message for order in front.emitted(SendToMember) if isinstance(order.message, EventBatch)
    ]
    assert again.first == 4


def test_a_subscriber_behind_is_sent_no_more_than_a_set_number_in_a_tick():
    front = TreeHarness(list_at(3).pack(), settings=TREE_SETTINGS._replace(window_bytes=10**6))
    front.receive(front.parent, Heartbeat("sur", 0, 3, list_at(3).digest, 0, site="a", oldest_available=2))
    for first in range(4, 4004, 50):
        front.receive(front.parent, batch(first, first + 49))
    for token in front.others[:4]:
        front.receive(token, Subscribe("sur", 0, 3, SubscriptionMode.BATCHES, "a", False, 5))
    for _ in range(6):
        front.commands.clear()
        front.run(TREE_SETTINGS.gather)
        sent = [order for order in front.emitted(SendToMember) if isinstance(order.message, EventBatch)]
        assert len({order.token for order in sent}) == 4 and len(sent) <= 4 + 4


def test_chunks_of_lists_are_shared_evenly_whoever_asks_first():
    children = TreeHarness(list_at(3).pack()).logic.tree_subscribers
    served = dict.fromkeys(range(8), 0)
    for _ in range(10):
        children.timers.now += TREE_SETTINGS.gather
        for token in served:
            served[token] += sum(children.may_send_chunk(token) for _ in range(4))
    assert min(served.values()) >= 9 and sum(served.values()) <= 10 * 8
