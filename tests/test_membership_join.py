"""Tests of `limepath.membership.join`."""

from limepath.membership.interface import Hello, MemberState, Welcome
from limepath.membership.members import Members
from tests.membership_group import HOST, TIMEOUTS, receive, record, started_members

SEED = (HOST, 1002)


def test_a_hello_is_answered_and_its_sender_is_not_added() -> None:
    members = started_members()
    (welcome,) = receive(members, record(9), Hello(), to=0)
    assert isinstance(welcome.message, Welcome)
    assert welcome.to == record(9).session_token
    assert 9 not in members.table


def test_a_seed_is_contacted_while_no_live_member_has_its_address() -> None:
    members = Members(record(1), [SEED], TIMEOUTS, 1)
    contacted: list[tuple[str, int]] = []
    members.join_protocol.send_hello = lambda *address: contacted.append(address)
    members.join_protocol.contact_lost_members()
    assert contacted == [SEED]
    members.updates.apply(record(2))
    members.updates.apply(record(2, generation=2, port=1009))  # it has moved
    members.join_protocol.contact_lost_members()
    assert contacted == [SEED] * 2
    members.updates.apply(record(2, generation=3))
    members.join_protocol.contact_lost_members()
    assert contacted == [SEED] * 2
    members.updates.apply(record(2, generation=3, state=MemberState.LEFT))
    members.join_protocol.contact_lost_members()
    assert contacted == [SEED] * 3
