"""Tests of limepath/discovery/page_coding.py: encoding and decoding pages and their index."""

import json
import zlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limepath.discovery.event_coding import encode_event
from limepath.discovery.page_coding import (
    MAX_PAGE_BYTES,
    decode_index,
    decode_page,
    encode_index,
    encode_page,
)
from limepath.discovery.pages import (
    PageContents,
    list_digests,
    page_digest,
    spread_over_pages,
)
from limepath.discovery.recent_purges import AgedPurge
from limepath.discovery.varint import CodingError, DamagedError, encode_varint
from tests.list_samples import (
    MAX_UINT64,
    contents,
    lists,
    member,
    purge,
    repeatable,
)


def page_bytes(members, ages=b"\0", batches=b""):
    """Return the encoded page of these parts, which may be invalid."""
    encoded = members if isinstance(members, bytes) else json.dumps(members).encode()
    return zlib.compress(encode_varint(len(encoded)) + encoded + ages + batches)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"x",
        zlib.compress(b""),
        zlib.compress(b"[]" * MAX_PAGE_BYTES),
        page_bytes(b"{}"),
        page_bytes(b"{"),
        page_bytes(b"\xff"),
        page_bytes(b"[" * 100_000),
        page_bytes([{"id": ""}]),
        page_bytes([member("a"), member("a")]),
        page_bytes([member("a", phase="terminated")]),
        page_bytes([member("a", 2)]),
        page_bytes([member("a", 1), member("b"), member("b")]),  # the digests of b and b cancel out
        page_bytes([member("a"), member("b")]),
        page_bytes([]),
        page_bytes([member("a")], b"\1"),
        page_bytes([member("a")], b"\1\0"),
        page_bytes([member("a")], b"\0\0"),
        page_bytes([member("a")], encode_varint(1 << 40)),
    ],
)
def test_a_page_that_does_not_match_the_index_raises_a_coding_error(data):
    index = list_digests(contents({"a": 1}))
    valid = encode_page(spread_over_pages(contents({"a": 1}), index.layout)[0])
    assert decode_page(valid, 0, index).members == (member("a", 1),)
    with pytest.raises(CodingError):
        decode_page(data, 0, index)


def test_a_page_under_the_number_of_another_is_damaged():
    other_list = contents({f"s-{number}": number for number in range(80)}, [purge(5), purge(130)])
    index = list_digests(other_list)
    pages = [encode_page(page) for page in spread_over_pages(other_list, index.layout)]
    for number in range(len(pages)):
        for other in range(len(pages)):
            if other != number:
                with pytest.raises(DamagedError):
                    decode_page(pages[other], number, index)


def test_a_member_or_purge_on_the_wrong_page_is_damaged():
    other_list = contents({f"s-{number}": number for number in range(80)}, [purge(5), purge(130)])
    index = list_digests(other_list)
    for first, second in ((0, 1), (index.layout.pages - 2, index.layout.pages - 1)):
        pages = list(spread_over_pages(other_list, index.layout))
        pages[first], pages[second] = pages[second], pages[first]
        false_index = index._replace(pages=tuple(map(page_digest, pages)))
        for number in (first, second):
            with pytest.raises(DamagedError):
                decode_page(encode_page(pages[number]), number, false_index)


def test_misordered_purges_and_events_that_are_not_purges_are_damaged():
    first, second = purge(5), purge(6)
    fleet = {"seq": 6, "fleet": {"members": []}}
    index = list_digests(contents(purges=[first, second]))
    for invalid in (
        (second, first),
        (first, first),
        (first, AgedPurge(6, 0, encode_event(fleet, json.dumps(fleet)))),
        (first, second._replace(age=-1000)),
        (first, purge(6, bucket=7)),
        (first,),
    ):
        with pytest.raises(CodingError):
            decode_page(encode_page(PageContents((), invalid)), 1, index)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        encode_index(list_digests(contents()))[:-1],
        encode_index(list_digests(contents())) + b"\0",
        bytes((0, 7, 6, 0, 128, 1, 0, 0)),  # no member pages
        bytes((0, 7, 6, 1, 5, 0, 0)) + bytes(8),  # a width of 5
        bytes((0, 7, 6)) + encode_varint(MAX_UINT64) + bytes((128, 1, 0, 0)) + bytes(8),
    ],
)
def test_an_invalid_index_is_damaged(data):
    with pytest.raises(DamagedError):
        decode_index(data)


@repeatable
@given(lists)
def test_an_index_survives_encoding_and_decoding(original):
    index = list_digests(original)
    assert decode_index(encode_index(index)) == index


@settings(repeatable, max_examples=300)
@given(lists, st.data())
def test_decoding_a_damaged_page_raises_a_coding_error_or_gives_the_page(other_list, data):
    index = list_digests(other_list)
    number = data.draw(st.integers(0, index.layout.pages - 1))
    page = spread_over_pages(other_list, index.layout)[number]
    plain = bytearray(zlib.decompress(encode_page(page)))
    for _ in range(data.draw(st.integers(1, 3))):
        plain[data.draw(st.integers(0, len(plain) - 1))] = data.draw(st.integers(0, 255))
    try:
        decoded = decode_page(zlib.compress(bytes(plain)), number, index)
    except CodingError:
        return
    assert decoded.members == page.members
    assert [aged[::2] for aged in decoded.purges] == [aged[::2] for aged in page.purges]


@settings(repeatable, max_examples=300)
@given(st.one_of(st.binary(max_size=200), st.binary(max_size=200).map(zlib.compress)))
def test_decoding_arbitrary_bytes_raises_only_coding_errors(data):
    index = list_digests(contents({"a": 1}, [purge(5)]))
    for decode in (lambda: decode_index(data), lambda: decode_page(data, 0, index)):
        try:
            decode()
        except CodingError:
            pass
