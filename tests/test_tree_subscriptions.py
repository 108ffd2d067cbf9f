"""Tests of limepath/discovery/tree.py: selection of the parent and the backup."""

from limepath.discovery.interface import (
    Heartbeat,
    SubscriptionMode,
)
from tests.discovery_harness import MS, SECOND, TREE_SETTINGS, TreeHarness, list_at


def test_a_front_subscribes_to_its_parent_for_events_and_its_backup_for_heartbeats():
    front = TreeHarness(list_at(3).pack())
    assert front.subscriptions_to(front.parent)[-1].mode == SubscriptionMode.BATCHES
    assert front.subscriptions_to(front.backup)[-1].mode == SubscriptionMode.HEARTBEATS
    others = set(front.others) - {front.parent, front.backup}
    front.commands.clear()
    front.keep_alive(2 * SECOND, front.parent, front.backup)
    assert not [token for token in others if front.subscriptions_to(token)]


def test_a_silent_parent_is_passed_over_until_it_answers_again():
    front = TreeHarness(list_at(3).pack())
    grandparent = front.position.candidates[1]
    front.keep_alive(3 * SECOND, front.backup, grandparent)
    assert front.subscriptions_to(grandparent)[-1].mode == SubscriptionMode.BATCHES
    assert front.subscriptions_to(front.parent)[-1].mode == SubscriptionMode.HEARTBEATS
    front.keep_alive(SECOND, front.parent, front.backup, grandparent)
    assert front.subscriptions_to(front.parent)[-1].mode == SubscriptionMode.BATCHES


def test_a_front_that_refuses_is_passed_over():
    front = TreeHarness(list_at(3).pack())
    front.receive(front.parent, Heartbeat("sur", 0, 3, 0, 0, refused=True, site="a"))
    front.run(front.logic.settings.beat)
    assert front.subscriptions_to(front.position.candidates[1])[-1].mode == SubscriptionMode.BATCHES
    assert front.subscriptions_to(front.parent)[-1].mode == SubscriptionMode.HEARTBEATS


def test_events_that_the_parent_does_not_send_are_requested_from_the_backup():
    front = TreeHarness(list_at(3).pack())
    limit = (front.logic.tree.hops * (TREE_SETTINGS.gather + 100 * MS)) + 2 * TREE_SETTINGS.beat
    for _ in range(limit // TREE_SETTINGS.beat + 1):
        front.receive(
            front.parent, Heartbeat("sur", 0, 3, list_at(3).digest, 50 * MS, site="a", oldest_available=2)
        )
        front.receive(front.backup, Heartbeat("sur", 0, 9, 1, 50 * MS, site="a", oldest_available=2))
        front.run(TREE_SETTINGS.beat)
    assert SubscriptionMode.BATCHES in [message.mode for message in front.subscriptions_to(front.backup)]
