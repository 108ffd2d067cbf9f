"""Tests of limepath/discovery/scopes.py: how a front discovers the fronts of its zone."""

from limepath.discovery.interface import (
    PeerMessage,
    Role,
    ScopeAnnouncement,
    ScopeQuery,
    ScopeReport,
    SendToMember,
)
from tests.discovery_harness import SECOND, TREE_SETTINGS, EngineHarness, commands_of


def test_only_a_few_fronts_of_a_large_fleet_query_a_new_front():
    queries = 0
    for index in range(60):
        front = EngineHarness(range(1000, 1600), settings=TREE_SETTINGS, me=index + 1)
        front.handle(
            *(PeerMessage(token, ScopeAnnouncement("norte", False, "b")) for token in range(1001, 1600))
        )
        front.run(3 * SECOND)
        front.commands.clear()
        front.run(TREE_SETTINGS.beat)
        queries += sum(
            isinstance(command.message, ScopeAnnouncement) for command in front.emitted(SendToMember)
        )
    assert queries <= 8  # by 60 fronts in one heartbeat round; without sampling, every front sent one


def test_scopes_are_not_settled_before_a_front_knows_its_zone():
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
    front.handle(PeerMessage(1299, ScopeReport("sur")))  # its digest is equal
    front.run(3 * SECOND)
    assert front.logic.scopes.is_settled()


def test_a_front_learns_its_zone_from_the_reports_of_another_front():
    tokens = list(range(10**18, 10**18 + 300))
    sender = EngineHarness(tokens, settings=TREE_SETTINGS, me=7)
    sender.handle(*(PeerMessage(token, ScopeAnnouncement("sur", False, f"s{token % 5}")) for token in tokens))
    receiver = EngineHarness([7, *tokens], settings=TREE_SETTINGS, me=8)
    receiver.handle(PeerMessage(7, ScopeAnnouncement("sur", False, "a")))
    receiver.logic.scopes.send_query(7)
    queries = [command.message for command in receiver.logic.timers.take_commands()]
    for _ in range(10):
        if not queries:
            break
        (report,) = [
            command.message
            for command in commands_of(sender.handle(PeerMessage(8, queries.pop())), SendToMember)
        ]
        assert isinstance(report, ScopeReport) and len(report.fronts) <= 100
        queries = [
            command.message for command in commands_of(receiver.handle(PeerMessage(7, report)), SendToMember)
        ]
        queries = [message for message in queries if isinstance(message, ScopeQuery)]
    assert set(tokens) <= set(receiver.logic.scopes.zone_members)
