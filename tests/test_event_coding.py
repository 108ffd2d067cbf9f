"""Tests of limepath/discovery/event_coding.py: list events as compact bytes, several in a datagram."""

import json
import tracemalloc
import zlib

import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from limepath.discovery import event_coding
from limepath.discovery.event_checks import json_digest, parse_event
from limepath.discovery.event_coding import (
    MAX_BATCH_BYTES,
    MAX_TEXT_BYTES,
    RESERVED_KINDS,
    EventKind,
    OversizedError,
    UnknownKindError,
    decode_batch,
    decode_event,
    encode_batches,
    encode_event,
)
from limepath.discovery.varint import (
    ByteReader,
    CodingError,
    DamagedError,
    encode_varint,
    zigzag_decode,
    zigzag_encode,
)
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
    return encode_event(told, json.dumps(told))


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
    event = decode_event(encoded(told))
    assert event.body == told and json_digest(event.body) == json_digest(told)
    assert json_digest(json.loads(event.text)) == json_digest(told)


@repeatable
@given(events, st.sampled_from([None, 1, (",", ":")]))
def test_an_event_comes_back_however_its_text_was_spaced(told, way):
    text = json.dumps(told, separators=way) if isinstance(way, tuple) else json.dumps(told, indent=way)
    assert json_digest(decode_event(encode_event(told, text)).body) == json_digest(told)


@repeatable
@given(st.integers(0, (1 << 35) - 1), st.integers(0, (1 << 42) - 1), st.integers(0, HUGE))
def test_a_purge_of_an_object_takes_twenty_bytes_at_the_most(seq, time, target):
    assert len(encoded(purge(seq, time, object=f"{target:016x}"))) <= 20


def test_twenty_bytes_last_for_thirty_years_at_the_coming_rate():
    assert 36 * 86_400 * 365 * 30 < 1 << 35
    assert NOW_MS + 30 * 365 * 86_400_000 < 1 << 42


def test_a_datagram_carries_over_ninety_purges_of_objects():
    second = [encoded(purge(seq, NOW_MS + seq * 28)) for seq in range(1000, 1200)]
    packed = encode_batches(second)
    assert all(len(batch) <= MAX_BATCH_BYTES for batch in packed) and len(packed) == 3
    assert len(decode_batch(packed[0])) > 90
    assert sum(map(len, packed)) / len(second) < 11.5 < len(second[0])
    gathered = encode_batches(second[:9])  # 36 a second, gathered for 250 ms
    assert len(gathered) == 1 and len(gathered[0]) < 9 * 13


def test_a_member_goes_as_text_and_deflated_where_that_is_shorter():
    alone, several = encoded(fleet(7)), encoded(fleet(7, *(member(f"s-{n}") for n in range(5))))
    assert several[0] == EventKind.DEFLATED and len(several) < 200
    assert alone[0] in (EventKind.TEXT, EventKind.DEFLATED) and len(alone) <= len(json.dumps(fleet(7))) + 1
    short = '{"seq": 7}'
    assert encode_event({"seq": 7}, short) == bytes((EventKind.TEXT,)) + short.encode()
    assert decode_event(encode_event({"seq": 7}, short)).text == short


@pytest.mark.parametrize(
    "told",
    [{"object": "00000000000000ff", "time": True}, {"bucket": True, "time": 5}, {"bucket": 1.0, "time": 5}],
)
def test_a_purge_that_the_service_could_not_have_told_is_not_turned_into_one_that_it_could(told):
    with pytest.raises(DamagedError):
        decode_event(encoded({"seq": 1, "invalidate": told}))


def test_half_a_surrogate_pair_comes_back():
    told = fleet(7, member("\ud800"))
    assert decode_event(encode_event(told, json.dumps(told, ensure_ascii=False))).body == told


def test_what_is_too_long_for_an_event_is_refused_both_ways():
    long = fleet(7, *(member(f"s-{number}") for number in range(1400)))
    with pytest.raises(OversizedError):
        encoded(long)
    for spoilt in (
        bytes((EventKind.TEXT,)) + json.dumps(long).encode(),
        bytes((EventKind.DEFLATED,)) + zlib.compress(json.dumps(long).encode()),
        bytes((EventKind.DEFLATED,)) + zlib.compress(b" " * 50_000_000),
    ):
        with pytest.raises(OversizedError):
            decode_event(spoilt)


def test_no_more_is_unpacked_than_an_event_may_have():
    bomb = bytes((EventKind.DEFLATED,)) + zlib.compress(b" " * 50_000_000)
    tracemalloc.start()
    with pytest.raises(OversizedError):
        decode_event(bomb)
    _, most = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert most < 16 * MAX_TEXT_BYTES


@repeatable
@given(sequences, st.integers(400, 1000))
def test_batches_give_all_events_back_in_order_and_each_fits_its_datagram(those, limit):
    packed = encode_batches(map(encoded, those), limit)
    assert all(len(batch) <= limit for batch in packed)
    assert [event.body for batch in packed for event in decode_batch(batch, limit)] == those


@repeatable
@given(sequences, st.integers(0, 5))
def test_a_batch_ends_where_numbers_do_not_follow(those, gap):
    later = [told | {"seq": told["seq"] + len(those) + gap} for told in those]
    packed = encode_batches(map(encoded, those + later))
    assert [event.body for batch in packed for event in decode_batch(batch)] == those + later
    for batch in packed:
        numbers = [event.body["seq"] for event in decode_batch(batch)]
        assert numbers == list(range(numbers[0], numbers[0] + len(numbers)))


def test_nothing_makes_no_batch_and_what_does_not_fit_one_is_refused():
    assert encode_batches([]) == []
    long = encoded(
        fleet(7, *(member(f"{n * n * 7919:x}", host_port=f"10.{n % 250}.7.9:{n + 999}") for n in range(150)))
    )
    assert len(long) > MAX_BATCH_BYTES
    with pytest.raises(OversizedError):
        encode_batches([encoded(purge(6)), long])
    with pytest.raises(OversizedError):
        encode_batches([encoded({"seq": 1 << 63})])


def test_a_batch_leaves_room_for_envelope_and_seal():
    sender = MemberRecord(HUGE, "n" * 32, "255.255.255.255", 65_535, HUGE, HUGE, 3, HUGE)
    around = msgspec.msgpack.encode((sender, HUGE, HUGE, ["le", HUGE, HUGE, b"", HUGE, HUGE]))
    assert len(around) + MAX_BATCH_BYTES + HEADER_BYTES + SEAL_BYTES < MAX_DATAGRAM_BYTES


@pytest.mark.parametrize("kind", [5, 15, *RESERVED_KINDS, 200, 255])
def test_an_unknown_kind_is_told_and_nothing_is_taken(kind):
    batch = encode_batches([encoded(purge(6)), encoded(purge(7))])[0]
    at = batch.index(bytes((EventKind.PURGE_OBJECT,)), 13)
    for read, data in (
        (decode_event, bytes((kind,)) + encoded(purge(6))[1:]),
        (decode_batch, batch[:at] + bytes((kind,)) + batch[at + 1 :]),
        (decode_batch, bytes((kind,)) + batch[1:]),
    ):
        with pytest.raises(UnknownKindError) as error:
            read(data)
        assert error.value.kind == kind and ("reserved" in str(error.value)) == (kind in RESERVED_KINDS)


def test_no_kind_is_among_those_reserved():
    assert not set(EventKind) & set(RESERVED_KINDS)


GOOD = [purge(6), purge(7, bucket=17), fleet(8), fleet(9, *(member(f"s-{n}") for n in range(5))), purge(10)]


@pytest.mark.parametrize("told", GOOD)
def test_an_event_cut_anywhere_or_with_more_behind_it_is_damaged(told):
    data = encoded(told)
    for end in range(len(data)):
        with pytest.raises(DamagedError):
            decode_event(data[:end])
    with pytest.raises(DamagedError):
        decode_event(data + b"\0")
    with pytest.raises(DamagedError):
        decode_batch(data)


def test_a_batch_cut_anywhere_or_with_more_behind_it_is_damaged():
    (batch,) = encode_batches(map(encoded, GOOD))
    assert [event.body for event in decode_batch(batch)] == GOOD
    for end in range(len(batch)):
        with pytest.raises(DamagedError):
            decode_batch(batch[:end])
    with pytest.raises(DamagedError):
        decode_batch(batch + b"\0")
    with pytest.raises(DamagedError):
        decode_event(batch)
    with pytest.raises(OversizedError):
        decode_batch(batch + bytes(MAX_BATCH_BYTES))


def head(first, base, count):
    return bytes((EventKind.BATCH,)) + encode_varint(first) + encode_varint(base) + encode_varint(count)


def entry(kind, time, target):
    return bytes((kind,)) + encode_varint(zigzag_encode(time)) + target


TEXT = b'{"seq": 9}'


@pytest.mark.parametrize(
    "batch",
    [
        head(7, 5, 0),
        head(7, 5, 3) + entry(EventKind.PURGE_BUCKET, 0, b"\1"),
        head(7, 5, 1 << 60) + entry(EventKind.PURGE_BUCKET, 0, b"\1"),
        head(7, 5, 1) + entry(EventKind.PURGE_BUCKET, -6, b"\1"),  # a time before 1970
        head(7, (1 << 63) - 1, 1) + entry(EventKind.PURGE_BUCKET, 1, b"\1"),
        head((1 << 63) - 1, 5, 2) + 2 * entry(EventKind.PURGE_BUCKET, 1, b"\1"),
        head(7, 5, 1) + entry(EventKind.PURGE_BUCKET, 0, encode_varint(1 << 63)),
        head(7, 5, 1) + entry(EventKind.BATCH, 0, bytes(8)),
        head(7, 5, 1) + bytes((EventKind.TEXT,)) + encode_varint(len(TEXT)) + TEXT,  # number 9 told as 7
        head(9, 5, 1) + bytes((EventKind.TEXT,)) + encode_varint(len(TEXT) + 1) + TEXT,
        head(9, 5, 1)
        + bytes((EventKind.TEXT,))
        + b"\x8a\0"
        + TEXT,  # a length that is longer than it has to be
        head(9, 5, 1) + bytes((EventKind.DEFLATED,)) + encode_varint(len(TEXT)) + TEXT,
    ],
)
def test_a_batch_that_contradicts_itself_is_damaged(batch):
    with pytest.raises(DamagedError):
        decode_batch(batch)


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
    for data in (bytes((EventKind.TEXT,)) + plain, bytes((EventKind.DEFLATED,)) + zlib.compress(plain)):
        with pytest.raises(DamagedError):
            decode_event(data)


def check_fuzzed(read, data):
    """Whatever the bytes are: events that the service could tell, or a typed error."""
    try:
        found = read(data)
    except CodingError:
        return
    for event in [found] if isinstance(found, event_coding.ServiceEvent) else found:
        assert parse_event(event.text) == event.body


@settings(repeatable, max_examples=500)
@given(
    st.one_of(
        st.binary(max_size=1100),
        st.builds(lambda kind, rest: bytes((kind,)) + rest, st.integers(0, 5), st.binary(max_size=60)),
    )
)
def test_any_bytes_are_events_or_a_typed_error(data):
    check_fuzzed(decode_event, data)
    check_fuzzed(decode_batch, data)


@settings(repeatable, max_examples=500)
@given(sequences, st.data())
def test_spoilt_bytes_are_events_or_a_typed_error(those, data):
    batch = bytearray(encode_batches(map(encoded, those))[0])
    single = bytearray(encoded(those[0]))
    for spoilt, read in ((batch, decode_batch), (single, decode_event)):
        for _ in range(data.draw(st.integers(1, 3))):
            spoilt[data.draw(st.integers(0, len(spoilt) - 1))] = data.draw(st.integers(0, 255))
        check_fuzzed(read, bytes(spoilt))


@repeatable
@given(st.integers(0, HUGE), st.integers(-(1 << 63), (1 << 63) - 1))
def test_integers_come_back(number, signed):
    assert ByteReader(encode_varint(number)).integer() == number
    assert zigzag_decode(zigzag_encode(signed)) == signed and 0 <= zigzag_encode(signed) <= HUGE


@pytest.mark.parametrize("data", [b"", b"\x80", b"\x80\0", b"\xff" * 9 + b"\x02", b"\xff" * 11])
def test_an_integer_that_is_cut_too_long_or_too_large_is_damaged(data):
    with pytest.raises(DamagedError):
        ByteReader(data).integer()


def test_the_longest_event_text_is_bounded_below_the_list():
    assert MAX_BATCH_BYTES < MAX_TEXT_BYTES < 4_000_000
