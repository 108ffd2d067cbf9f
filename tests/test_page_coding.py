"""Tests of limepath/discovery/page_coding.py: the bytes of pages and of their index."""

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
    HUGE,
    contents,
    lists,
    member,
    purge,
    repeatable,
)


def page_bytes(members, ages=b"\0", batches=b""):
    """A page of these bytes."""
    told = members if isinstance(members, bytes) else json.dumps(members).encode()
    return zlib.compress(encode_varint(len(told)) + told + ages + batches)


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
        page_bytes([member("a", 1), member("b"), member("b")]),  # the digest of b twice is 0
        page_bytes([member("a"), member("b")]),
        page_bytes([]),
        page_bytes([member("a")], b"\1"),
        page_bytes([member("a")], b"\1\0"),
        page_bytes([member("a")], b"\0\0"),
        page_bytes([member("a")], encode_varint(1 << 40)),
    ],
)
def test_a_page_that_does_not_fit_the_index_is_a_typed_error(data):
    told = list_digests(contents({"a": 1}))
    good = encode_page(spread_over_pages(contents({"a": 1}), told.layout)[0])
    assert decode_page(good, 0, told).members == (member("a", 1),)
    with pytest.raises(CodingError):
        decode_page(data, 0, told)


def test_a_page_in_the_place_of_another_is_damaged():
    other_list = contents({f"s-{at}": at for at in range(80)}, [purge(5), purge(130)])
    told = list_digests(other_list)
    pages = [encode_page(page) for page in spread_over_pages(other_list, told.layout)]
    for at in range(len(pages)):
        for other in range(len(pages)):
            if other != at:
                with pytest.raises(DamagedError):
                    decode_page(pages[other], at, told)


def test_a_member_or_purge_on_another_page_than_its_own_is_damaged():
    other_list = contents({f"s-{at}": at for at in range(80)}, [purge(5), purge(130)])
    told = list_digests(other_list)
    for one, other in ((0, 1), (told.layout.pages - 2, told.layout.pages - 1)):
        pages = list(spread_over_pages(other_list, told.layout))
        pages[one], pages[other] = pages[other], pages[one]
        lying = told._replace(pages=tuple(map(page_digest, pages)))
        for at in (one, other):
            with pytest.raises(DamagedError):
                decode_page(encode_page(pages[at]), at, lying)


def test_purges_out_of_order_or_other_events_among_them_are_damaged():
    one, two = purge(5), purge(6)
    fleet = {"seq": 6, "fleet": {"members": []}}
    told = list_digests(contents(purges=[one, two]))
    for odd in (
        (two, one),
        (one, one),
        (one, AgedPurge(6, 0, encode_event(fleet, json.dumps(fleet)))),
        (one, two._replace(age=-1000)),
        (one, purge(6, bucket=7)),
        (one,),
    ):
        with pytest.raises(CodingError):
            decode_page(encode_page(PageContents((), odd)), 1, told)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        encode_index(list_digests(contents()))[:-1],
        encode_index(list_digests(contents())) + b"\0",
        bytes((0, 7, 6, 0, 128, 1, 0, 0)),  # no page of members
        bytes((0, 7, 6, 1, 5, 0, 0)) + bytes(8),  # a width of 5
        bytes((0, 7, 6)) + encode_varint(HUGE) + bytes((128, 1, 0, 0)) + bytes(8),
    ],
)
def test_an_index_that_cannot_be_is_damaged(data):
    with pytest.raises(DamagedError):
        decode_index(data)


@repeatable
@given(lists)
def test_an_index_comes_back(one):
    told = list_digests(one)
    assert decode_index(encode_index(told)) == told


@settings(repeatable, max_examples=300)
@given(lists, st.data())
def test_damaged_pages_are_a_typed_error_or_the_page(other_list, data):
    told = list_digests(other_list)
    at = data.draw(st.integers(0, told.layout.pages - 1))
    page = spread_over_pages(other_list, told.layout)[at]
    plain = bytearray(zlib.decompress(encode_page(page)))
    for _ in range(data.draw(st.integers(1, 3))):
        plain[data.draw(st.integers(0, len(plain) - 1))] = data.draw(st.integers(0, 255))
    try:
        found = decode_page(zlib.compress(bytes(plain)), at, told)
    except CodingError:
        return
    assert found.members == page.members
    assert [kept[::2] for kept in found.purges] == [kept[::2] for kept in page.purges]


@settings(repeatable, max_examples=300)
@given(st.one_of(st.binary(max_size=200), st.binary(max_size=200).map(zlib.compress)))
def test_any_bytes_are_a_typed_error_or_a_page(data):
    told = list_digests(contents({"a": 1}, [purge(5)]))
    for read in (lambda: decode_index(data), lambda: decode_page(data, 0, told)):
        try:
            read()
        except CodingError:
            pass
