"""Tests of `limepath.membership.failure_detector`."""

import pytest

from limepath.membership.bounds import detection_time
from limepath.membership.failure_detector import SequenceWithoutIndex
from limepath.membership.interface import Ack, IndirectPing, MemberState, Ping, SendMessage
from tests.membership_group import FIRST_PORT, SECOND, TIMEOUTS, receive, record, started_members

STEP = SECOND // 20
SILENT = 2


def test_a_silent_member_is_pinged_indirectly_then_suspected_then_declared_dead() -> None:
    members = started_members()
    sent: list[SendMessage] = []
    declared_at = None
    now = 0
    while declared_at is None:
        now += STEP
        commands = [emitted for emitted in members.handle(now, ()) if isinstance(emitted, SendMessage)]
        sent += commands
        for command in commands:
            token = command.port - FIRST_PORT
            if isinstance(command.message, Ping) and token != SILENT:
                receive(members, record(token), Ack(command.message.seq), now)
        if members.table[SILENT].state == MemberState.DEAD:
            declared_at = now
    requests = [command.message for command in sent if isinstance(command.message, IndirectPing)]
    assert {request.about.token for request in requests} == {SILENT}
    assert len(requests) >= 2
    assert declared_at <= detection_time(TIMEOUTS, 4)
    assert members.ring == [3, 4]


@pytest.mark.parametrize("omitted", range(4))
def test_a_sequence_without_an_index_has_all_other_items_in_order(omitted: int) -> None:
    items = [1, 2, 3, 4]
    others = SequenceWithoutIndex(items, omitted)
    assert list(others) == [item for item in items if item != items[omitted]]
    assert len(others) == 3
