"""Tests of `limepath.membership.member_table`."""

import pytest

from limepath.membership.interface import MemberState
from limepath.membership.member_table import MAX_REMEMBERED_DEAD, MemberTable
from limepath.timer_queue import TimerQueue
from tests.membership_group import record


@pytest.fixture
def table() -> MemberTable:
    """A table of the members 2, 3 and 4; member 3 died at time 0 and member 2 at time 1."""
    table = MemberTable(record(1), TimerQueue(1))
    for token in (2, 3, 4):
        table.put(record(token))
    for now, token in enumerate((3, 2)):
        table.timers.now = now
        table.put(record(token, state=MemberState.DEAD))
    table.timers.now = 10
    return table


def test_dead_members_older_than_the_maximum_age_are_removed(table: MemberTable) -> None:
    table.forget_dead(10)
    assert list(table.dead) == [3, 2]
    table.forget_dead(9)
    assert list(table.dead) == list(table.dead_since) == [2]
    assert set(table.table) == {2, 4}


def test_the_oldest_dead_members_beyond_the_maximum_number_are_removed(table: MemberTable) -> None:
    table.forget_dead(9)
    for token in range(10, 10 + MAX_REMEMBERED_DEAD):
        table.put(record(token, state=MemberState.DEAD))
    table.forget_dead(100)
    assert len(table.dead) == len(table.dead_since) == MAX_REMEMBERED_DEAD
    assert 2 not in table.table
    assert table.ring == [4]
