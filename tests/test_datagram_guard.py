"""Tests of `limepath.membership.guard`: seals, keys, versions and replays of datagrams."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from limepath.duties.interface import MESSAGES as DUTY_MESSAGES
from limepath.membership.guard import (
    MAX_DATAGRAM_BYTES,
    DatagramRejectedError,
    Guard,
    KeyFileError,
    ReplayWindow,
    parse_keys,
)
from limepath.membership.interface import (
    MESSAGES,
    Ack,
    Hello,
    MemberPage,
    MemberRecord,
    Message,
    Ping,
    Pull,
    Welcome,
)
from tests.membership_group import receive, record, started_members

OLD_KEY = "ab" * 32
NEW_KEY = "cd" * 32
SESSION = 7


class UnknownMessage(Message, tag="zz"):
    """A message type of a later version."""

    number: int


class LongerPing(Message, tag="p"):
    """A Ping of a later version, with an additional last field."""

    seq: int
    records: tuple
    digest: int
    more: str


@pytest.fixture
def receiver() -> Guard:
    """Return a guard that accepts the messages of membership."""
    return Guard(parse_keys(OLD_KEY))


@pytest.fixture
def sender() -> Guard:
    """Return a guard with the same key that can also seal a message of a later version."""
    return Guard(parse_keys(OLD_KEY), (*MESSAGES, UnknownMessage))


def sealed_ping(guard: Guard) -> bytes:
    """Return a sealed Ping from member 2."""
    return guard.seal(record(2), SESSION, Ping(1))


def message_or_reason(guard: Guard, datagram: bytes) -> Message | str:
    """Return the message that the guard opens, or the text of its rejection."""
    try:
        return guard.open(datagram).message
    except DatagramRejectedError as error:
        return str(error)


def with_flipped_bit(datagram: bytes) -> bytes:
    """Return the datagram with one bit of its body inverted."""
    changed = bytearray(datagram)
    changed[20] ^= 1
    return bytes(changed)


def test_a_sealed_datagram_is_opened_once_and_counted(receiver: Guard, sender: Guard) -> None:
    datagram = sealed_ping(sender)
    assert receiver.open(datagram) == (record(2), SESSION, Ping(1))
    assert message_or_reason(receiver, datagram) == "replayed"
    assert receiver.counts == {"taken": 1, "replayed": 1}


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        pytest.param(with_flipped_bit, "forged", id="one bit inverted"),
        pytest.param(lambda datagram: datagram[:-1], "forged", id="truncated by one byte"),
        pytest.param(lambda datagram: datagram[:9], "noise", id="truncated after the header"),
        pytest.param(lambda datagram: b"x" * 1000, "noise", id="no header"),
        pytest.param(lambda datagram: b"x" * (MAX_DATAGRAM_BYTES + 1), "oversized", id="too long"),
        pytest.param(lambda datagram: b"LP" + bytes((0x21,)) + datagram[3:], "version", id="version"),
    ],
)
def test_a_changed_datagram_is_rejected_and_counted(receiver, sender, change, reason) -> None:
    datagram = sealed_ping(sender)
    assert message_or_reason(receiver, datagram) == Ping(1)
    assert message_or_reason(receiver, change(datagram)) == reason
    assert receiver.counts == {"taken": 1, reason: 1}


def test_a_datagram_sealed_with_an_unknown_key_is_rejected(receiver: Guard) -> None:
    other_guard = Guard(parse_keys(NEW_KEY))
    assert message_or_reason(receiver, sealed_ping(other_guard)) == "unknown key"


@pytest.mark.parametrize(
    ("member", "message", "reason"),
    [
        pytest.param(record(2), UnknownMessage(1), "unknown message", id="tag"),
        pytest.param(record(2), Ping("x"), "unknown message", id="type of a field"),
        pytest.param(record(2)._replace(port=70_000), Ping(1), "unreadable", id="port"),
    ],
)
def test_an_authentic_message_that_is_unknown_or_unreadable_is_rejected(
    receiver, sender, member, message, reason
) -> None:
    assert message_or_reason(receiver, sender.seal(member, SESSION, message)) == reason


def test_an_additional_field_of_a_later_version_is_ignored(receiver: Guard, sender: Guard) -> None:
    datagram = sender.seal(record(2), SESSION, LongerPing(4, (), 0, "more"))
    assert message_or_reason(receiver, datagram) == Ping(4)


def test_a_message_that_would_be_oversized_is_not_sealed(sender: Guard) -> None:
    with pytest.raises(ValueError, match="a Ping of "):
        sender.seal(record(2), SESSION, Ping(1, tuple(record(token) for token in range(200))))


def test_the_longest_messages_of_membership_fit_a_datagram() -> None:
    widest = MemberRecord(
        2**63 - 1, "n" * 32, "2001:db8:1234:5678:9abc:def0:1234:5678", 65_535, 2**60, 2**60, 1, 2**63
    )
    members = started_members(others=())
    for token in range(100):
        members.updates.apply(widest._replace(token=2**62 + token))
    ping = Ping(2**40, members.records_for(2**62), 2**64 - 1)
    answers = [command.message for command in receive(members, record(2), Pull())]
    (page,) = [message for message in answers if isinstance(message, MemberPage)]
    assert len(ping.records) == 8
    assert len(page.records) == 12
    guard = Guard(parse_keys(OLD_KEY))
    for message in (ping, page):
        assert len(guard.seal(widest, 2**64 - 1, message)) <= MAX_DATAGRAM_BYTES


@given(st.binary(max_size=1500))
def test_random_bytes_are_rejected_with_and_without_a_valid_header(noise: bytes) -> None:
    guard = Guard(parse_keys(OLD_KEY), MESSAGES + DUTY_MESSAGES)
    with pytest.raises(DatagramRejectedError):
        guard.open(noise)
    header = b"LP" + bytes((0x12,)) + guard.keys[0].name
    with pytest.raises(DatagramRejectedError):
        guard.open(header + noise)


def test_datagrams_are_accepted_during_a_key_rotation() -> None:
    one = Guard(parse_keys(OLD_KEY))
    other = Guard(parse_keys(OLD_KEY))
    assert message_or_reason(other, one.seal(record(1), 0, Hello())) == Hello()
    other.keys = parse_keys(OLD_KEY + "\n" + NEW_KEY)
    assert message_or_reason(one, other.seal(record(2), 0, Hello())) == Hello()  # sealed with the old key
    one.keys = parse_keys(NEW_KEY + "\n" + OLD_KEY)
    assert message_or_reason(other, one.seal(record(1), 0, Hello())) == Hello()
    other.keys = parse_keys(NEW_KEY)
    assert message_or_reason(one, other.seal(record(2), 0, Hello())) == Hello()
    old = Guard(parse_keys(OLD_KEY))
    assert message_or_reason(other, old.seal(record(3), 0, Hello())) == "unknown key"


@pytest.mark.parametrize(
    "message",
    [
        Ping(1, (record(3),), 5),
        Ack(2),
        MemberPage((record(4),), last=True),
        Pull(6),
        Welcome((record(7),)),
    ],
    ids=lambda message: type(message).__name__,
)
def test_a_message_is_the_same_after_encoding_and_decoding(message: Message) -> None:
    guard = Guard(parse_keys(OLD_KEY), MESSAGES + DUTY_MESSAGES)
    assert guard.message_decoder.decode(msgspec.msgpack.Encoder().encode(message)) == message


def test_keys_are_parsed_one_per_line() -> None:
    keys = parse_keys("# new\n" + NEW_KEY + "\n" + OLD_KEY)
    assert [len(key.secret) for key in keys] == [32, 32]
    with pytest.raises(KeyFileError) as error:
        parse_keys("abc")
    assert str(error.value) == "line 1: not a hexadecimal key"


def test_a_counter_is_new_once_and_only_inside_the_window() -> None:
    window = ReplayWindow()
    answers = [window.is_new(counter) for counter in (0, 3, 1, 3, 1, 2, 400, 100, 399)]
    assert answers == [True, True, True, False, False, True, True, False, True]
