"""Tests of limepath/discovery/scopes.py: how a front learns its zone."""

from limepath.discovery.interface import (
    PeerMessage,
    Role,
    ScopeAnnouncement,
    ScopeQuery,
    ScopeReport,
    SendToMember,
)
from tests.discovery_harness import SECOND, TREE_SETTINGS, EngineHarness, commands_of


def test_a_newcomer_is_asked_by_a_few_of_a_large_fleet():
    asked = 0
    for index in range(60):
        front = EngineHarness(range(1000, 1600), settings=TREE_SETTINGS, me=index + 1)
        front.handle(
            *(PeerMessage(token, ScopeAnnouncement("norte", False, "b")) for token in range(1001, 1600))
        )
        front.run(3 * SECOND)
        front.commands.clear()
        front.run(TREE_SETTINGS.beat)
        asked += sum(isinstance(order.message, ScopeAnnouncement) for order in front.emitted(SendToMember))
    assert asked <= 8  # of 60 fronts in one beat; all of them before


def test_a_front_that_does_not_know_its_zone_yet_is_no_relay_to_the_call_budget():
    front = EngineHarness(range(1000, 1300), settings=TREE_SETTINGS, me=1)
    front.handle(
        *(PeerMessage(token, ScopeAnnouncement(f"z{token % 20}", False, "b")) for token in range(1000, 1040))
    )
    front.run(5 * SECOND)
    assert front.logic.roles.role == Role.RELAY and not front.logic.scopes.is_settled()
    front.handle(PeerMessage(1299, ScopeAnnouncement("sur", False, "a")))
    front.handle(
        *(PeerMessage(token, ScopeAnnouncement(f"z{token % 20}", False, "b")) for token in range(1040, 1140))
    )
    front.handle(PeerMessage(1299, ScopeReport("sur")))  # it knows the same
    front.run(3 * SECOND)
    assert front.logic.scopes.is_settled()


def test_the_fronts_of_a_zone_are_learnt_from_the_reports_of_one_that_knows_them():
    tokens = list(range(10**18, 10**18 + 300))
    knowing = EngineHarness(tokens, settings=TREE_SETTINGS, me=7)
    knowing.handle(
        *(PeerMessage(token, ScopeAnnouncement("sur", False, f"s{token % 5}")) for token in tokens)
    )
    learning = EngineHarness([7, *tokens], settings=TREE_SETTINGS, me=8)
    learning.handle(PeerMessage(7, ScopeAnnouncement("sur", False, "a")))
    learning.logic.scopes.send_query(7)
    asks = [order.message for order in learning.logic.timers.take_commands()]
    for _ in range(10):
        if not asks:
            break
        (page,) = [
            order.message for order in commands_of(knowing.handle(PeerMessage(8, asks.pop())), SendToMember)
        ]
        assert isinstance(page, ScopeReport) and len(page.fronts) <= 100
        asks = [order.message for order in commands_of(learning.handle(PeerMessage(7, page)), SendToMember)]
        asks = [message for message in asks if isinstance(message, ScopeQuery)]
    assert set(tokens) <= set(learning.logic.scopes.zone_members)
