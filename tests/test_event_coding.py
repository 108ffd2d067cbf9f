"""Tests of limepath/discovery/event_coding.py: compact encoding of list events, alone and in batches."""

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
MAX_UINT64 = (1 << 64) - 1

repeatable = settings(deadline=None, derandomize=True)


def purge(seq, time=NOW_MS, **target):
    return {
        "seq": seq,
        "invalidate": (target or {"object": f"{seq * 0x9E3779B97F4A7C15 % 2**64:016x}"}) | {"time": time},
    }


def member(name="s-1", **fields):
    return {
        "id": name,
        "host_port": "10.0.0.1:8080",
        "locality": "sur",
        "flavor": "box",
        "phase": "in_service",
    } | fields


def fleet(seq, *members):
    return {"seq": seq, "fleet": {"complete": False, "revision": seq, "members": list(members or [member()])}}


def encoded(event):
    return encode_event(event, json.dumps(event))


numbers = st.integers(0, 1 << 70)
names = st.one_of(
    st.integers(0, MAX_UINT64).map(lambda number: f"{number:016x}"),
    st.integers(-(1 << 70), 1 << 70).map(lambda number: f"{number:x}"),
    st.sampled_from(["0x00000000000000", "00000000000000FF", " 0000000000000ff", "1_2", "ff"]),
)
times = st.one_of(st.integers(NOW_MS, NOW_MS + 10_000_000), st.integers(-(1 << 70), 1 << 70))
buckets = st.integers(-(1 << 70), 1 << 70)
extra_fields = st.dictionaries(
    st.sampled_from(["by", "why", "bucket"]), st.one_of(st.booleans(), st.text(max_size=5)), max_size=1
)
purges = st.one_of(
    st.builds(lambda name, time, extra: extra | {"object": name, "time": time}, names, times, extra_fields),
    st.builds(lambda bucket, time: {"bucket": bucket, "time": time}, buckets, times),
)
members = st.builds(
    lambda name, phase, size: member(name, phase=phase, size=size),
    st.text(min_size=1, max_size=64),
    st.sampled_from(["in_service", "terminating", "terminated"]),
    st.one_of(st.integers(0, 99), st.floats(0, 99)),
)
bodies = st.one_of(
    purges.map(lambda purge: {"invalidate": purge}),
    st.lists(members, max_size=3).map(lambda members: {"fleet": {"members": members}}),
    extra_fields.map(lambda extra: {"note": extra}),
)
events = st.builds(lambda seq, body: {"seq": seq} | body, numbers, bodies)
valid_bodies = st.one_of(
    st.builds(
        lambda time, target: {"invalidate": {"object": f"{target:016x}", "time": time}},
        st.integers(NOW_MS, NOW_MS + 10_000),
        st.integers(0, MAX_UINT64),
    ),
    st.builds(
        lambda time, target: {"invalidate": {"bucket": target, "time": time}},
        st.integers(0, (1 << 63) - 1),
        st.integers(0, (1 << 63) - 1),
    ),
    members.map(lambda member: {"fleet": {"members": [member]}}),
)
sequences = st.builds(
    lambda first, bodies: [{"seq": first + index} | body for index, body in enumerate(bodies)],
    st.integers(0, 1 << 40),
    st.lists(valid_bodies, min_size=1, max_size=120),
)


@repeatable
@given(events)
@example({"seq": 1, "invalidate": {"object": "00000000000000FF", "time": 5}})
@example({"seq": 1, "invalidate": {"object": "00000000000000ff", "bucket": 7, "time": 5}})
@example({"seq": 1, "invalidate": {"bucket": -1, "time": 5}})
@example({"seq": 1, "invalidate": {"bucket": 1, "time": 1 << 63}})
def test_an_event_survives_encoding_and_decoding(original):
    event = decode_event(encoded(original))
    assert event.body == original and json_digest(event.body) == json_digest(original)
    assert json_digest(json.loads(event.text)) == json_digest(original)


@repeatable
@given(events, st.sampled_from([None, 1, (",", ":")]))
def test_the_spacing_of_an_events_text_does_not_change_it(event, spacing):
    text = (
        json.dumps(event, separators=spacing)
        if isinstance(spacing, tuple)
        else json.dumps(event, indent=spacing)
    )
    assert json_digest(decode_event(encode_event(event, text)).body) == json_digest(event)


@repeatable
@given(st.integers(0, (1 << 35) - 1), st.integers(0, (1 << 42) - 1), st.integers(0, MAX_UINT64))
def test_a_purge_of_an_object_takes_at_most_twenty_bytes(seq, time, target):
    assert len(encoded(purge(seq, time, object=f"{target:016x}"))) <= 20


def test_twenty_bytes_suffice_for_thirty_years_at_36_purges_a_second():
    assert 36 * 86_400 * 365 * 30 < 1 << 35
    assert NOW_MS + 30 * 365 * 86_400_000 < 1 << 42


def test_a_datagram_carries_over_ninety_purges_of_objects():
    purges = [encoded(purge(seq, NOW_MS + seq * 28)) for seq in range(1000, 1200)]
    batches = encode_batches(purges)
    assert all(len(batch) <= MAX_BATCH_BYTES for batch in batches) and len(batches) == 3
    assert len(decode_batch(batches[0])) > 90
    assert sum(map(len, batches)) / len(purges) < 11.5 < len(purges[0])
    quarter_second = encode_batches(purges[:9])  # the purges of 250 ms at 36 per second
    assert len(quarter_second) == 1 and len(quarter_second[0]) < 9 * 13


def test_members_are_encoded_as_text_and_deflated_if_that_is_shorter():
    single, several = encoded(fleet(7)), encoded(fleet(7, *(member(f"s-{n}") for n in range(5))))
    assert several[0] == EventKind.DEFLATED and len(several) < 200
    assert single[0] in (EventKind.TEXT, EventKind.DEFLATED) and len(single) <= len(json.dumps(fleet(7))) + 1
    short = '{"seq": 7}'
    assert encode_event({"seq": 7}, short) == bytes((EventKind.TEXT,)) + short.encode()
    assert decode_event(encode_event({"seq": 7}, short)).text == short


@pytest.mark.parametrize(
    "fields",
    [{"object": "00000000000000ff", "time": True}, {"bucket": True, "time": 5}, {"bucket": 1.0, "time": 5}],
)
def test_an_invalid_purge_does_not_become_valid_by_encoding(fields):
    with pytest.raises(DamagedError):
        decode_event(encoded({"seq": 1, "invalidate": fields}))


def test_a_lone_surrogate_survives_encoding_and_decoding():
    event = fleet(7, member("\ud800"))
    assert decode_event(encode_event(event, json.dumps(event, ensure_ascii=False))).body == event


def test_an_event_that_is_too_long_is_neither_encoded_nor_decoded():
    long = fleet(7, *(member(f"s-{number}") for number in range(1400)))
    with pytest.raises(OversizedError):
        encoded(long)
    for oversized in (
        bytes((EventKind.TEXT,)) + json.dumps(long).encode(),
        bytes((EventKind.DEFLATED,)) + zlib.compress(json.dumps(long).encode()),
        bytes((EventKind.DEFLATED,)) + zlib.compress(b" " * 50_000_000),
    ):
        with pytest.raises(OversizedError):
            decode_event(oversized)


def test_decompression_stops_at_the_size_limit():
    bomb = bytes((EventKind.DEFLATED,)) + zlib.compress(b" " * 50_000_000)
    tracemalloc.start()
    with pytest.raises(OversizedError):
        decode_event(bomb)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak < 16 * MAX_TEXT_BYTES


@repeatable
@given(sequences, st.integers(400, 1000))
def test_batches_contain_all_events_in_order_and_do_not_exceed_the_limit(events, limit):
    batches = encode_batches(map(encoded, events), limit)
    assert all(len(batch) <= limit for batch in batches)
    assert [event.body for batch in batches for event in decode_batch(batch, limit)] == events


@repeatable
@given(sequences, st.integers(0, 5))
def test_the_numbers_in_a_batch_are_consecutive(events, gap):
    later = [earlier | {"seq": earlier["seq"] + len(events) + gap} for earlier in events]
    batches = encode_batches(map(encoded, events + later))
    assert [event.body for batch in batches for event in decode_batch(batch)] == events + later
    for batch in batches:
        numbers = [event.body["seq"] for event in decode_batch(batch)]
        assert numbers == list(range(numbers[0], numbers[0] + len(numbers)))


def test_no_events_give_no_batch_and_an_event_that_does_not_fit_one_is_refused():
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
    sender = MemberRecord(
        MAX_UINT64, "n" * 32, "255.255.255.255", 65_535, MAX_UINT64, MAX_UINT64, 3, MAX_UINT64
    )
    envelope = msgspec.msgpack.encode(
        (sender, MAX_UINT64, MAX_UINT64, ["le", MAX_UINT64, MAX_UINT64, b"", MAX_UINT64, MAX_UINT64])
    )
    assert len(envelope) + MAX_BATCH_BYTES + HEADER_BYTES + SEAL_BYTES < MAX_DATAGRAM_BYTES


@pytest.mark.parametrize("kind", [5, 15, *RESERVED_KINDS, 200, 255])
def test_data_with_an_unknown_kind_is_refused_completely(kind):
    batch = encode_batches([encoded(purge(6)), encoded(purge(7))])[0]
    offset = batch.index(bytes((EventKind.PURGE_OBJECT,)), 13)
    for decode, data in (
        (decode_event, bytes((kind,)) + encoded(purge(6))[1:]),
        (decode_batch, batch[:offset] + bytes((kind,)) + batch[offset + 1 :]),
        (decode_batch, bytes((kind,)) + batch[1:]),
    ):
        with pytest.raises(UnknownKindError) as error:
            decode(data)
        assert error.value.kind == kind and ("reserved" in str(error.value)) == (kind in RESERVED_KINDS)


def test_no_kind_has_a_reserved_number():
    assert not set(EventKind) & set(RESERVED_KINDS)


EVENTS = [purge(6), purge(7, bucket=17), fleet(8), fleet(9, *(member(f"s-{n}") for n in range(5))), purge(10)]


@pytest.mark.parametrize("event", EVENTS)
def test_a_truncated_event_or_one_followed_by_other_data_is_damaged(event):
    data = encoded(event)
    for end in range(len(data)):
        with pytest.raises(DamagedError):
            decode_event(data[:end])
    with pytest.raises(DamagedError):
        decode_event(data + b"\0")
    with pytest.raises(DamagedError):
        decode_batch(data)


def test_a_truncated_batch_or_one_followed_by_other_data_is_damaged():
    (batch,) = encode_batches(map(encoded, EVENTS))
    assert [event.body for event in decode_batch(batch)] == EVENTS
    for end in range(len(batch)):
        with pytest.raises(DamagedError):
            decode_batch(batch[:end])
    with pytest.raises(DamagedError):
        decode_batch(batch + b"\0")
    with pytest.raises(DamagedError):
        decode_event(batch)
    with pytest.raises(OversizedError):
        decode_batch(batch + bytes(MAX_BATCH_BYTES))


def header(first, base, count):
    return bytes((EventKind.BATCH,)) + encode_varint(first) + encode_varint(base) + encode_varint(count)


def entry(kind, time, target):
    return bytes((kind,)) + encode_varint(zigzag_encode(time)) + target


TEXT = b'{"seq": 9}'


@pytest.mark.parametrize(
    "batch",
    [
        header(7, 5, 0),
        header(7, 5, 3) + entry(EventKind.PURGE_BUCKET, 0, b"\1"),
        header(7, 5, 1 << 60) + entry(EventKind.PURGE_BUCKET, 0, b"\1"),
        header(7, 5, 1) + entry(EventKind.PURGE_BUCKET, -6, b"\1"),  # a time before 1970
        header(7, (1 << 63) - 1, 1) + entry(EventKind.PURGE_BUCKET, 1, b"\1"),
        header((1 << 63) - 1, 5, 2) + 2 * entry(EventKind.PURGE_BUCKET, 1, b"\1"),
        header(7, 5, 1) + entry(EventKind.PURGE_BUCKET, 0, encode_varint(1 << 63)),
        header(7, 5, 1) + entry(EventKind.BATCH, 0, bytes(8)),
        header(7, 5, 1) + bytes((EventKind.TEXT,)) + encode_varint(len(TEXT)) + TEXT,  # 9 in place of 7
        header(9, 5, 1) + bytes((EventKind.TEXT,)) + encode_varint(len(TEXT) + 1) + TEXT,
        header(9, 5, 1)
        + bytes((EventKind.TEXT,))
        + b"\x8a\0"
        + TEXT,  # a length that is not in its shortest encoding
        header(9, 5, 1) + bytes((EventKind.DEFLATED,)) + encode_varint(len(TEXT)) + TEXT,
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
def test_an_invalid_event_text_is_damaged(plain):
    for data in (bytes((EventKind.TEXT,)) + plain, bytes((EventKind.DEFLATED,)) + zlib.compress(plain)):
        with pytest.raises(DamagedError):
            decode_event(data)


def check_fuzzed(decode, data):
    """Check that decoding arbitrary bytes gives valid events or raises a CodingError."""
    try:
        decoded = decode(data)
    except CodingError:
        return
    for event in [decoded] if isinstance(decoded, event_coding.ServiceEvent) else decoded:
        assert parse_event(event.text) == event.body


@settings(repeatable, max_examples=500)
@given(
    st.one_of(
        st.binary(max_size=1100),
        st.builds(lambda kind, rest: bytes((kind,)) + rest, st.integers(0, 5), st.binary(max_size=60)),
    )
)
def test_decoding_arbitrary_bytes_gives_valid_events_or_a_coding_error(data):
    check_fuzzed(decode_event, data)
    check_fuzzed(decode_batch, data)


@settings(repeatable, max_examples=500)
@given(sequences, st.data())
def test_decoding_damaged_events_gives_valid_events_or_a_coding_error(events, data):
    batch = bytearray(encode_batches(map(encoded, events))[0])
    single = bytearray(encoded(events[0]))
    for damaged, decode in ((batch, decode_batch), (single, decode_event)):
        for _ in range(data.draw(st.integers(1, 3))):
            damaged[data.draw(st.integers(0, len(damaged) - 1))] = data.draw(st.integers(0, 255))
        check_fuzzed(decode, bytes(damaged))


@repeatable
@given(st.integers(0, MAX_UINT64), st.integers(-(1 << 63), (1 << 63) - 1))
def test_integers_survive_encoding_and_decoding(number, signed):
    assert ByteReader(encode_varint(number)).integer() == number
    assert zigzag_decode(zigzag_encode(signed)) == signed and 0 <= zigzag_encode(signed) <= MAX_UINT64


@pytest.mark.parametrize("data", [b"", b"\x80", b"\x80\0", b"\xff" * 9 + b"\x02", b"\xff" * 11])
def test_a_truncated_overlong_or_too_large_integer_is_damaged(data):
    with pytest.raises(DamagedError):
        ByteReader(data).integer()


def test_the_size_limit_of_an_event_is_between_those_of_a_batch_and_a_list():
    assert MAX_BATCH_BYTES < MAX_TEXT_BYTES < 4_000_000
