"""Tests of limepath/discovery/coding.py: list events as compact bytes, several in a datagram."""

import json
import tracemalloc
import zlib

import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from limepath.discovery import coding
from limepath.discovery.coding import (
    BATCH_LIMIT,
    LONGEST_TEXT,
    RESERVED_KINDS,
    Kind,
    Oversized,
    UnknownKind,
    batches,
    decode,
    encode,
    events_of,
)
from limepath.discovery.events import parsed, summary
from limepath.discovery.integers import CodingError, Damaged, Reader, integer, unzigzag, zigzag
from limepath.membership.guard import HEADER_BYTES, MAX_DATAGRAM_BYTES, SEAL_BYTES
from limepath.membership.interface import MemberRecord

NOW_MS = 1_796_000_000_000  # December 2026
HUGE = (1 << 64) - 1

repeatable = settings(deadline=None, derandomize=True)


def purge(seq, time=NOW_MS, **told):
    return {
        "seq": seq,
        "invalidate": (told or {"object": f"{seq * 0x9E3779B97F4A7C15 % 2**64:016x}"}) | {"time": time},
    }


def member(name="s-1", **told):
    return {
        "id": name,
        "host_port": "10.0.0.1:8080",
        "locality": "sur",
        "flavor": "box",
        "phase": "in_service",
    } | told


def fleet(seq, *members):
    return {"seq": seq, "fleet": {"complete": False, "revision": seq, "members": list(members or [member()])}}


def encoded(told):
    return encode(told, json.dumps(told))


numbers = st.integers(0, 1 << 70)
names = st.one_of(
    st.integers(0, HUGE).map(lambda number: f"{number:016x}"),
    st.integers(-(1 << 70), 1 << 70).map(lambda number: f"{number:x}"),
    st.sampled_from(["0x00000000000000", "00000000000000FF", " 0000000000000ff", "1_2", "ff"]),
)
times = st.one_of(st.integers(NOW_MS, NOW_MS + 10_000_000), st.integers(-(1 << 70), 1 << 70))
buckets = st.integers(-(1 << 70), 1 << 70)
more = st.dictionaries(
    st.sampled_from(["by", "why", "bucket"]), st.one_of(st.booleans(), st.text(max_size=5)), max_size=1
)
purges = st.one_of(
    st.builds(lambda name, time, beside: beside | {"object": name, "time": time}, names, times, more),
    st.builds(lambda bucket, time: {"bucket": bucket, "time": time}, buckets, times),
)
members = st.builds(
    lambda name, phase, size: member(name, phase=phase, size=size),
    st.text(min_size=1, max_size=64),
    st.sampled_from(["in_service", "terminating", "terminated"]),
    st.one_of(st.integers(0, 99), st.floats(0, 99)),
)
kinds = st.one_of(
    purges.map(lambda told: {"invalidate": told}),
    st.lists(members, max_size=3).map(lambda told: {"fleet": {"members": told}}),
    more.map(lambda told: {"note": told}),
)
events = st.builds(lambda seq, told: {"seq": seq} | told, numbers, kinds)
usual = st.one_of(
    st.builds(
        lambda time, target: {"invalidate": {"object": f"{target:016x}", "time": time}},
        st.integers(NOW_MS, NOW_MS + 10_000),
        st.integers(0, HUGE),
    ),
    st.builds(
        lambda time, target: {"invalidate": {"bucket": target, "time": time}},
        st.integers(0, (1 << 63) - 1),
        st.integers(0, (1 << 63) - 1),
    ),
    members.map(lambda one: {"fleet": {"members": [one]}}),
)
sequences = st.builds(
    lambda first, those: [{"seq": first + place} | told for place, told in enumerate(those)],
    st.integers(0, 1 << 40),
    st.lists(usual, min_size=1, max_size=120),
)


@repeatable
@given(events)
@example({"seq": 1, "invalidate": {"object": "00000000000000FF", "time": 5}})
@example({"seq": 1, "invalidate": {"object": "00000000000000ff", "bucket": 7, "time": 5}})
@example({"seq": 1, "invalidate": {"bucket": -1, "time": 5}})
@example({"seq": 1, "invalidate": {"bucket": 1, "time": 1 << 63}})
def test_an_event_comes_back_as_it_was(told):
    event = decode(encoded(told))
    assert event.told == told and summary(event.told) == summary(told)
    assert summary(json.loads(event.text)) == summary(told)


@repeatable
@given(events, st.sampled_from([None, 1, (",", ":")]))
def test_an_event_comes_back_however_its_text_was_spaced(told, way):
    text = json.dumps(told, separators=way) if isinstance(way, tuple) else json.dumps(told, indent=way)
    assert summary(decode(encode(told, text)).told) == summary(told)


@repeatable
@given(st.integers(0, (1 << 35) - 1), st.integers(0, (1 << 42) - 1), st.integers(0, HUGE))
def test_a_purge_of_an_object_takes_twenty_bytes_at_the_most(seq, time, target):
    assert len(encoded(purge(seq, time, object=f"{target:016x}"))) <= 20


def test_twenty_bytes_last_for_thirty_years_at_the_coming_rate():
    assert 36 * 86_400 * 365 * 30 < 1 << 35
    assert NOW_MS + 30 * 365 * 86_400_000 < 1 << 42


def test_a_datagram_carries_over_ninety_purges_of_objects():
    second = [encoded(purge(seq, NOW_MS + seq * 28)) for seq in range(1000, 1200)]
    packed = batches(second)
    assert all(len(batch) <= BATCH_LIMIT for batch in packed) and len(packed) == 3
    assert len(events_of(packed[0])) > 90
    assert sum(map(len, packed)) / len(second) < 11.5 < len(second[0])
    gathered = batches(second[:9])  # 36 a second, gathered for 250 ms
    assert len(gathered) == 1 and len(gathered[0]) < 9 * 13


def test_a_member_goes_as_text_and_deflated_where_that_is_shorter():
    alone, several = encoded(fleet(7)), encoded(fleet(7, *(member(f"s-{n}") for n in range(5))))
    assert several[0] == Kind.DEFLATED and len(several) < 200
    assert alone[0] in (Kind.TEXT, Kind.DEFLATED) and len(alone) <= len(json.dumps(fleet(7))) + 1
    short = '{"seq": 7}'
    assert encode({"seq": 7}, short) == bytes((Kind.TEXT,)) + short.encode()
    assert decode(encode({"seq": 7}, short)).text == short


@pytest.mark.parametrize(
    "told",
    [{"object": "00000000000000ff", "time": True}, {"bucket": True, "time": 5}, {"bucket": 1.0, "time": 5}],
)
def test_a_purge_that_the_service_could_not_have_told_is_not_turned_into_one_that_it_could(told):
    with pytest.raises(Damaged):
        decode(encoded({"seq": 1, "invalidate": told}))


def test_half_a_surrogate_pair_comes_back():
    told = fleet(7, member("\ud800"))
    assert decode(encode(told, json.dumps(told, ensure_ascii=False))).told == told


def test_what_is_too_long_for_an_event_is_refused_both_ways():
    long = fleet(7, *(member(f"s-{number}") for number in range(1400)))
    with pytest.raises(Oversized):
        encoded(long)
    for spoilt in (
        bytes((Kind.TEXT,)) + json.dumps(long).encode(),
        bytes((Kind.DEFLATED,)) + zlib.compress(json.dumps(long).encode()),
        bytes((Kind.DEFLATED,)) + zlib.compress(b" " * 50_000_000),
    ):
        with pytest.raises(Oversized):
            decode(spoilt)


def test_no_more_is_unpacked_than_an_event_may_have():
    bomb = bytes((Kind.DEFLATED,)) + zlib.compress(b" " * 50_000_000)
    tracemalloc.start()
    with pytest.raises(Oversized):
        decode(bomb)
    _, most = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert most < 16 * LONGEST_TEXT


@repeatable
@given(sequences, st.integers(400, 1000))
def test_batches_give_all_events_back_in_order_and_each_fits_its_datagram(those, limit):
    packed = batches(map(encoded, those), limit)
    assert all(len(batch) <= limit for batch in packed)
    assert [event.told for batch in packed for event in events_of(batch, limit)] == those


@repeatable
@given(sequences, st.integers(0, 5))
def test_a_batch_ends_where_numbers_do_not_follow(those, gap):
    later = [told | {"seq": told["seq"] + len(those) + gap} for told in those]
    packed = batches(map(encoded, those + later))
    assert [event.told for batch in packed for event in events_of(batch)] == those + later
    for batch in packed:
        numbers = [event.told["seq"] for event in events_of(batch)]
        assert numbers == list(range(numbers[0], numbers[0] + len(numbers)))


def test_nothing_makes_no_batch_and_what_does_not_fit_one_is_refused():
    assert batches([]) == []
    long = encoded(
        fleet(7, *(member(f"{n * n * 7919:x}", host_port=f"10.{n % 250}.7.9:{n + 999}") for n in range(150)))
    )
    assert len(long) > BATCH_LIMIT
    with pytest.raises(Oversized):
        batches([encoded(purge(6)), long])
    with pytest.raises(Oversized):
        batches([encoded({"seq": 1 << 63})])


def test_a_batch_leaves_room_for_envelope_and_seal():
    sender = MemberRecord(HUGE, "n" * 32, "255.255.255.255", 65_535, HUGE, HUGE, 3, HUGE)
    around = msgspec.msgpack.encode((sender, HUGE, HUGE, ["le", HUGE, HUGE, b"", HUGE, HUGE]))
    assert len(around) + BATCH_LIMIT + HEADER_BYTES + SEAL_BYTES < MAX_DATAGRAM_BYTES


@pytest.mark.parametrize("kind", [5, 15, *RESERVED_KINDS, 200, 255])
def test_an_unknown_kind_is_told_and_nothing_is_taken(kind):
    batch = batches([encoded(purge(6)), encoded(purge(7))])[0]
    at = batch.index(bytes((Kind.PURGE_OBJECT,)), 13)
    for read, data in (
        (decode, bytes((kind,)) + encoded(purge(6))[1:]),
        (events_of, batch[:at] + bytes((kind,)) + batch[at + 1 :]),
        (events_of, bytes((kind,)) + batch[1:]),
    ):
        with pytest.raises(UnknownKind) as error:
            read(data)
        assert error.value.kind == kind and ("reserved" in str(error.value)) == (kind in RESERVED_KINDS)


def test_no_kind_is_among_those_reserved():
    assert not set(Kind) & set(RESERVED_KINDS)


GOOD = [purge(6), purge(7, bucket=17), fleet(8), fleet(9, *(member(f"s-{n}") for n in range(5))), purge(10)]


@pytest.mark.parametrize("told", GOOD)
def test_an_event_cut_anywhere_or_with_more_behind_it_is_damaged(told):
    data = encoded(told)
    for end in range(len(data)):
        with pytest.raises(Damaged):
            decode(data[:end])
    with pytest.raises(Damaged):
        decode(data + b"\0")
    with pytest.raises(Damaged):
        events_of(data)


def test_a_batch_cut_anywhere_or_with_more_behind_it_is_damaged():
    (batch,) = batches(map(encoded, GOOD))
    assert [event.told for event in events_of(batch)] == GOOD
    for end in range(len(batch)):
        with pytest.raises(Damaged):
            events_of(batch[:end])
    with pytest.raises(Damaged):
        events_of(batch + b"\0")
    with pytest.raises(Damaged):
        decode(batch)
    with pytest.raises(Oversized):
        events_of(batch + bytes(BATCH_LIMIT))


def head(first, base, count):
    return bytes((Kind.BATCH,)) + integer(first) + integer(base) + integer(count)


def entry(kind, time, target):
    return bytes((kind,)) + integer(zigzag(time)) + target


TEXT = b'{"seq": 9}'


@pytest.mark.parametrize(
    "batch",
    [
        head(7, 5, 0),
        head(7, 5, 3) + entry(Kind.PURGE_BUCKET, 0, b"\1"),
        head(7, 5, 1 << 60) + entry(Kind.PURGE_BUCKET, 0, b"\1"),
        head(7, 5, 1) + entry(Kind.PURGE_BUCKET, -6, b"\1"),  # a time before 1970
        head(7, (1 << 63) - 1, 1) + entry(Kind.PURGE_BUCKET, 1, b"\1"),
        head((1 << 63) - 1, 5, 2) + 2 * entry(Kind.PURGE_BUCKET, 1, b"\1"),
        head(7, 5, 1) + entry(Kind.PURGE_BUCKET, 0, integer(1 << 63)),
        head(7, 5, 1) + entry(Kind.BATCH, 0, bytes(8)),
        head(7, 5, 1) + bytes((Kind.TEXT,)) + integer(len(TEXT)) + TEXT,  # number 9 told as 7
        head(9, 5, 1) + bytes((Kind.TEXT,)) + integer(len(TEXT) + 1) + TEXT,
        head(9, 5, 1) + bytes((Kind.TEXT,)) + b"\x8a\0" + TEXT,  # a length that is longer than it has to be
        head(9, 5, 1) + bytes((Kind.DEFLATED,)) + integer(len(TEXT)) + TEXT,
    ],
)
def test_a_batch_that_contradicts_itself_is_damaged(batch):
    with pytest.raises(Damaged):
        events_of(batch)


@pytest.mark.parametrize(
    "plain",
    [
        b"",
        b"\xff",
        b"[]",
        b'{"seq": "7"}',
        b'{"seq": 7, "fleet": {"members": [{"id": ""}]}}',
        b'{"seq": 7, "invalidate": {"object": "xyz", "time": 5}}',
        b"[" * 50_000,
    ],
)
def test_a_text_that_the_service_could_not_have_told_is_damaged(plain):
    for data in (bytes((Kind.TEXT,)) + plain, bytes((Kind.DEFLATED,)) + zlib.compress(plain)):
        with pytest.raises(Damaged):
            decode(data)


def check_fuzzed(read, data):
    """Whatever the bytes are: events that the service could tell, or a typed error."""
    try:
        found = read(data)
    except CodingError:
        return
    for event in [found] if isinstance(found, coding.Event) else found:
        assert parsed(event.text) == event.told


@settings(repeatable, max_examples=500)
@given(
    st.one_of(
        st.binary(max_size=1100),
        st.builds(lambda kind, rest: bytes((kind,)) + rest, st.integers(0, 5), st.binary(max_size=60)),
    )
)
def test_any_bytes_are_events_or_a_typed_error(data):
    check_fuzzed(decode, data)
    check_fuzzed(events_of, data)


@settings(repeatable, max_examples=500)
@given(sequences, st.data())
def test_spoilt_bytes_are_events_or_a_typed_error(those, data):
    batch = bytearray(batches(map(encoded, those))[0])
    single = bytearray(encoded(those[0]))
    for spoilt, read in ((batch, events_of), (single, decode)):
        for _ in range(data.draw(st.integers(1, 3))):
            spoilt[data.draw(st.integers(0, len(spoilt) - 1))] = data.draw(st.integers(0, 255))
        check_fuzzed(read, bytes(spoilt))


@repeatable
@given(st.integers(0, HUGE), st.integers(-(1 << 63), (1 << 63) - 1))
def test_integers_come_back(number, signed):
    assert Reader(integer(number)).integer() == number
    assert unzigzag(zigzag(signed)) == signed and 0 <= zigzag(signed) <= HUGE


@pytest.mark.parametrize("data", [b"", b"\x80", b"\x80\0", b"\xff" * 9 + b"\x02", b"\xff" * 11])
def test_an_integer_that_is_cut_too_long_or_too_large_is_damaged(data):
    with pytest.raises(Damaged):
        Reader(data).integer()


def test_the_longest_event_text_is_bounded_below_the_list():
    assert BATCH_LIMIT < LONGEST_TEXT < 4_000_000
