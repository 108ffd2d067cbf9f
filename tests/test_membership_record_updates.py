"""Tests of `limepath.membership.record_updates`: refutation, generations, and conflicts of identity."""

from limepath.membership.interface import REFUTATION_BITS, Hello, MemberState, Ping
from limepath.membership.members import NAME_IN_USE
from limepath.membership.record_updates import IDENTITY_REPLACED
from tests.membership_group import SECOND, receive, record, started_members, yields


def test_a_suspected_member_refutes_and_is_alive_again() -> None:
    members = started_members()
    ack = receive(members, record(2), Ping(9, (record(1, state=MemberState.SUSPECT),)))[0].message
    assert members.me.incarnation == (1 << REFUTATION_BITS) + 1
    assert members.me in ack.records
    other = started_members(token=3, others=(1, 2))
    other.updates.apply(record(1, state=MemberState.SUSPECT))
    assert other.table[1].state == MemberState.SUSPECT
    other.updates.apply(members.me)
    assert other.table[1].state == MemberState.ALIVE
    other.updates.apply(record(1, state=MemberState.DEAD))  # of the previous incarnation
    assert other.table[1].state == MemberState.ALIVE


def test_a_dead_member_is_notified_and_is_live_again_only_with_a_newer_incarnation() -> None:
    members = started_members()
    members.updates.apply(record(2, state=MemberState.DEAD))
    ack = receive(members, record(2), Ping(4))[0].message
    assert record(2, state=MemberState.DEAD) in ack.records
    assert 2 not in members.ring
    receive(members, record(2, refutations=1), Ping(5))
    assert 2 in members.ring


def test_a_message_to_a_former_generation_has_no_effect_and_is_answered_by_one_hello() -> None:
    members = started_members(generation=2)
    before = dict(members.table)
    former_session = record(1, generation=1).session_token
    ping = Ping(1, (record(2, state=MemberState.DEAD),))
    commands = receive(members, record(9), ping, to=former_session)
    assert members.table == before
    assert [type(command.message) for command in commands] == [Hello]
    assert members.counts["misaddressed"] == 1
    assert (
        receive(members, record(9), Ping(2), to=5) == []
    )  # at most one Hello per address and direct timeout


def test_a_late_message_from_a_former_generation_has_no_effect() -> None:
    members = started_members(generation=2)
    receive(members, record(2, generation=5), Ping(3))
    receive(members, record(2, generation=4), Ping(4, (record(3, state=MemberState.LEFT),)))
    assert members.table[2].generation == 5
    assert 3 in members.ring
    assert members.counts["former"] == 1


def test_of_two_members_with_one_name_the_younger_leaves_and_yields() -> None:
    younger = started_members(birth=5)
    *notifications, command = receive(younger, record(7, name="n1", birth=3), Ping(1))
    assert {notification.message.records[0].state for notification in notifications} == {MemberState.LEFT}
    assert command.reason == NAME_IN_USE
    assert younger.handle(2 * SECOND, ()) == []


def test_of_two_members_with_one_name_the_older_keeps_running() -> None:
    older = started_members(birth=2)
    assert not yields(receive(older, record(7, name="n1", birth=3), Ping(1)))


def test_a_member_restarted_with_a_new_store_replaces_its_former_record() -> None:
    members = started_members(token=3, others=(1, 2))
    receive(members, record(1), Ping(1))
    receive(members, record(70, name="n1", port=1001), Ping(1))
    assert members.table[1].state == MemberState.DEAD
    assert 70 in members.ring


def test_an_instance_suspended_while_a_later_generation_started_yields() -> None:
    resumed = started_members(generation=1, birth=1)
    (command,) = yields(receive(resumed, record(2), Ping(1, (record(1, generation=2, birth=9),))))
    assert command.reason == IDENTITY_REPLACED


def test_of_two_instances_on_copies_of_one_store_the_later_start_yields() -> None:
    later = started_members(generation=4, birth=9)
    (command,) = yields(receive(later, record(1, generation=4, birth=8), Ping(1)))
    assert command.other.birth == 8
    earlier = started_members(generation=4, birth=8)
    assert not yields(receive(earlier, record(1, generation=4, birth=9), Ping(1)))


def test_a_restarted_instance_does_not_yield_to_its_former_generation() -> None:
    restarted = started_members(generation=4, birth=9)
    assert not yields(receive(restarted, record(2), Ping(1, (record(1, generation=3, birth=8),))))
