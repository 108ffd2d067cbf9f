"""Tests of limepath/discovery/pages.py, page_bytes.py and download.py: only pages that differ are sent."""

import json
import zlib
from copy import deepcopy
from functools import reduce
from operator import xor
from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limepath.discovery.endpoint_list import EndpointList
from limepath.discovery.event_coding import OversizedError, encode_event
from limepath.discovery.interface import Revision
from limepath.discovery.page_coding import (
    MAX_PAGE_BYTES,
    decode_index,
    decode_page,
    encode_index,
    encode_page,
)
from limepath.discovery.paged_snapshot import (
    CHUNK_BYTES,
    INDEX_PAGE,
    MAX_CHUNKS,
    ChunkId,
    ChunkNotFoundError,
    DamagedPageError,
    IncompleteDownloadError,
    PagedDownload,
    PagedSnapshot,
    SnapshotChangedError,
    SnapshotPageChunk,
)
from limepath.discovery.pages import (
    MAX_PURGE_PAGES,
    MEMBERS_PER_PAGE,
    MIN_PAGE_WIDTH,
    ListContents,
    PageContents,
    apply_pages,
    choose_layout,
    differing_pages,
    list_digests,
    page_digest,
    spread_over_pages,
)
from limepath.discovery.recent_purges import AgedPurge
from limepath.discovery.varint import CodingError, DamagedError, encode_varint
from limepath.membership.guard import HEAD, LARGEST, SEAL
from limepath.membership.interface import MemberRecord

CACHES, RATE, KEPT_SECONDS = 1400, 36, 307.3
NOW_MS = 1_796_000_000_000
HUGE = (1 << 64) - 1

repeatable = settings(deadline=None, derandomize=True)


def member(name, size=6, phase="in_service"):
    return {
        "id": name,
        "host_port": f"10.{len(name)}.7.9:8080",
        "locality": "sur",
        "flavor": "box",
        "phase": phase,
        "up_since_ms": 0,
        "cell": 0,
        "size": size,
    }


def purge(number, age=0, **told):
    target = told or {"object": f"{number * 0x9E3779B97F4A7C15 % 2**64:016x}"}
    event = {"seq": number, "invalidate": target | {"time": NOW_MS + number * 1000 // RATE}}
    return AgedPurge(number, age, encode_event(event, json.dumps(event)))


def contents(sizes=(), purges=(), number=7, generation=0, revision=3):
    """A list of members with these sizes by name, and of these purges."""
    members = {name: member(name, size) for name, size in dict(sizes).items()}
    return ListContents(Revision(generation, number), revision, members, tuple(purges))


def large(seed=1, number=30_020_000, purges=0, generation=0):
    """A list of the coming size."""
    chance = Random(seed)
    members = {
        f"cache-{at:04d}": member(f"cache-{at:04d}")
        | {
            "host_port": f"10.{at % 256}.{at // 256}.7:8080",
            "locality": f"zone-{at % 20}",
            "up_since_ms": NOW_MS + chance.randrange(10**9),
        }
        for at in range(CACHES)
    }
    kept = tuple(
        purge(number - back, back * 1_000_000 // RATE + chance.randrange(5000))
        for back in range(purges - 1, -1, -1)
    )
    return ListContents(Revision(generation, number), 5, members, kept)


def same(one, other):
    """Whether two lists are the same but for the ages of purges."""
    return (
        one[:2] == other[:2]
        and one.members == other.members
        and sorted(kept[::2] for kept in one.purges) == sorted(kept[::2] for kept in other.purges)
    )


def caught_up(own, snapshot):
    """A CatchUp that was given all that it asked for, and how many chunks these were."""
    download, chunks = PagedDownload(own), 0
    while not download.is_complete:
        name = next(download.missing())
        assert download.add(snapshot.chunk(name))
        chunks += 1
    return download, chunks


names = st.text(min_size=1, max_size=4)
sizes = st.dictionaries(names, st.integers(0, 3), max_size=60)
ages = st.integers(0, 300_000_000)
numbered = st.builds(purge, st.integers(0, 1 << 20), ages)
worded = st.builds(
    lambda number, bucket: purge(number, bucket=bucket), st.integers(0, 1 << 20), st.integers(-2, 2)
)
purge_lists = st.lists(st.one_of(numbered, worded), max_size=30, unique_by=lambda kept: kept.number)
lists = st.builds(
    contents, sizes, purge_lists, st.integers(0, 1 << 62), st.integers(0, 9), st.integers(-(1 << 62), 1 << 62)
)


@st.composite
def related(draw):
    """Two lists of which the second came out of the first by some changes."""
    own = draw(lists)
    changed = {name: one["size"] for name, one in own.members.items()} | draw(sizes)
    gone = draw(st.sets(st.sampled_from(sorted(changed)), max_size=9)) if changed else set()
    kept = {one.number: one for one in (*own.purges, *draw(purge_lists))}
    forgotten = draw(st.sets(st.sampled_from(sorted(kept)), max_size=9)) if kept else set()
    return own, contents(
        {name: size for name, size in changed.items() if name not in gone},
        [one for number, one in kept.items() if number not in forgotten],
        own.revision.number + draw(st.integers(0, 99)),
    )


# What differs


@repeatable
@given(st.one_of(related(), st.tuples(lists, lists)))
def test_all_pages_that_differ_give_exactly_the_list_of_the_other(pair):
    own, other_list = pair
    told = list_digests(other_list)
    pages = spread_over_pages(other_list, told.layout)
    outcome = apply_pages(own, told, {at: pages[at] for at in differing_pages(own, told)})
    assert same(outcome, other_list)
    assert differing_pages(outcome, told) == ()


@repeatable
@given(related(), st.data())
def test_with_a_page_that_differs_left_out_there_is_no_outcome(pair, data):
    own, other_list = pair
    told = list_digests(other_list)
    wanted = differing_pages(own, told)
    if wanted:
        left_out = data.draw(st.sampled_from(wanted))
        pages = spread_over_pages(other_list, told.layout)
        with pytest.raises(DamagedError):
            apply_pages(own, told, {at: pages[at] for at in wanted if at != left_out})


@repeatable
@given(lists)
def test_the_digests_of_the_members_pages_are_together_that_of_the_list(one):
    whole = EndpointList()
    event = {"seq": 1, "fleet": {"complete": True, "members": list(one.members.values())}}
    whole.apply(event)
    told = list_digests(one)
    assert reduce(xor, told.pages[: told.layout.member_pages], 0) == whole.digest


@repeatable
@given(lists)
def test_a_list_does_not_differ_from_itself_whatever_its_order_and_ages(one):
    turned = one._replace(
        members=dict(reversed(one.members.items())),
        purges=tuple(kept._replace(age=kept.age + 7) for kept in reversed(one.purges)),
    )
    assert list_digests(turned) == list_digests(one) and differing_pages(turned, list_digests(one)) == ()


def test_one_member_that_changed_is_one_page():
    other_list = large()
    own = other_list._replace(members=other_list.members | {"cache-0700": member("cache-0700", 9)})
    assert len(differing_pages(own, list_digests(other_list))) == 1
    gone = {name: one for name, one in other_list.members.items() if name != "cache-0700"}
    assert len(differing_pages(other_list._replace(members=gone), list_digests(other_list))) == 1


def test_the_latest_purges_are_the_last_pages():
    other_list = large(purges=RATE * 300)
    own = other_list._replace(purges=other_list.purges[:-RATE])  # a second behind
    wanted = differing_pages(own, list_digests(other_list))
    assert 1 <= len(wanted) <= 2 and wanted[-1] == list_digests(other_list).layout.pages - 1


def test_pages_of_purges_stay_few_however_far_their_numbers_reach():
    for most in (1, 10**4, 10**6, 1 << 62):
        layout = choose_layout(contents(purges=[purge(1), purge(most + 1)]))
        assert layout.purge_pages <= MAX_PURGE_PAGES and layout.width >= MIN_PAGE_WIDTH
        assert layout.page_of_purge(1) == 1 and layout.page_of_purge(most + 1) == layout.pages - 1
        assert layout.page_of_purge(0) in (1, None)
    assert choose_layout(contents(purges=[purge(MIN_PAGE_WIDTH)])).page_of_purge(0) is None


# In datagrams


def test_at_the_coming_size_a_page_has_three_chunks_at_the_most_and_the_index_too():
    snapshot = PagedSnapshot(large(purges=int(RATE * KEPT_SECONDS)))
    counts = [len(snapshot.chunks(page)) for page in range(snapshot.digests.layout.pages)]
    assert max(counts) <= 3 and len(snapshot.chunks(INDEX_PAGE)) <= 3
    assert snapshot.digests.layout.member_pages == -(-CACHES // MEMBERS_PER_PAGE)


def test_ten_changed_members_take_a_tenth_of_the_whole_list():
    other_list = large()
    changed = {f"cache-{at:04d}": member(f"cache-{at:04d}", 9) for at in range(0, CACHES, 140)}
    _, few = caught_up(other_list._replace(members=other_list.members | changed), PagedSnapshot(other_list))
    _, all_of_them = caught_up(contents(), PagedSnapshot(other_list))
    assert few <= 12 < all_of_them / 3
    _, none = caught_up(other_list, PagedSnapshot(other_list))
    assert none == len(PagedSnapshot(other_list).chunks(INDEX_PAGE))


def test_a_chunk_leaves_room_for_envelope_and_seal():
    sender = MemberRecord(HUGE, "n" * 32, "255.255.255.255", 65_535, HUGE, HUGE, 3, HUGE)
    message = ["lx", HUGE, HUGE, HUGE, INDEX_PAGE, MAX_CHUNKS, MAX_CHUNKS, bytes(CHUNK_BYTES)]
    assert len(msgspec.msgpack.encode((sender, HUGE, HUGE, message))) + HEAD + SEAL < LARGEST


@settings(repeatable, max_examples=60)
@given(related(), st.integers(20, 300), st.randoms())
def test_chunks_in_any_order_some_lost_some_doubled_give_exactly_the_list_of_the_other(pair, limit, chance):
    own, other_list = pair
    before = deepcopy(own)
    snapshot, download = PagedSnapshot(other_list, limit), PagedDownload(own)
    while not download.is_complete:
        with pytest.raises(IncompleteDownloadError):
            download.contents()
        asked = list(download.missing())
        chance.shuffle(asked)
        for name in asked[: chance.randrange(1, len(asked) + 1)]:
            assert download.add(snapshot.chunk(name))
            assert not download.add(snapshot.chunk(name))  # once more
    assert same(download.contents(), other_list)
    assert own == before


def test_ages_come_along_to_the_millisecond():
    other_list = contents(purges=[purge(5, 200_000_900), purge(6, 1_000), purge(300, 0)])
    download, _ = caught_up(contents(), PagedSnapshot(other_list))
    assert [(kept.number, kept.age) for kept in download.contents().purges] == [
        (5, 200_000_000),
        (6, 1_000),
        (300, 0),
    ]


def test_nothing_is_seen_of_a_list_of_which_a_page_is_missing():
    own, other_list = contents({"a": 1, "b": 2}), large()
    before, snapshot, download = deepcopy(own), PagedSnapshot(other_list), PagedDownload(own)
    seen = 0
    while not download.is_complete:
        with pytest.raises(IncompleteDownloadError):
            download.contents()
        assert own == before
        download.add(snapshot.chunk(next(download.missing())))
        seen += 1
    assert seen > 40 and same(download.contents(), other_list) and own == before


@pytest.mark.parametrize(
    "change",
    [
        lambda chunk: chunk._replace(revision=Revision(0, 30_020_001)),
        lambda chunk: chunk._replace(revision=Revision(0, 30_019_999)),
        lambda chunk: chunk._replace(revision=Revision(1, 30_020_000)),
        lambda chunk: chunk._replace(snapshot_id=chunk.snapshot_id ^ 1),
    ],
)
def test_a_page_of_another_number_generation_or_snapshot_is_refused(change):
    other_list = large()
    snapshot, download = PagedSnapshot(other_list), PagedDownload(contents())
    download.add(snapshot.chunk(ChunkId(INDEX_PAGE, 0)))
    for page in (INDEX_PAGE, 0):
        while page != INDEX_PAGE and download.index is None:
            download.add(snapshot.chunk(next(download.missing())))
        asked = list(download.missing())
        with pytest.raises(SnapshotChangedError):
            download.add(change(snapshot.chunk(asked[0])))
        assert list(download.missing()) == asked
    while not download.is_complete:
        download.add(snapshot.chunk(next(download.missing())))
    assert same(download.contents(), other_list)


def test_two_lists_at_one_place_are_two_snapshots():
    one, other = contents({"a": 1}), contents({"a": 2})
    assert PagedSnapshot(one).id != PagedSnapshot(other).id
    assert PagedSnapshot(one).id == PagedSnapshot(deepcopy(one)).id


def test_an_index_that_is_another_than_its_mark_tells_is_damaged():
    snapshot = PagedSnapshot(contents({"a": 1}))
    for change in ({"snapshot_id": 5}, {"revision": Revision(0, 8)}):
        download = PagedDownload(contents())
        with pytest.raises(DamagedPageError):
            download.add(snapshot.chunk(ChunkId(INDEX_PAGE, 0))._replace(**change))
        assert not download.is_complete and download.index is None


def test_a_damaged_page_is_asked_for_again():
    other_list = contents({f"s-{at}": at for at in range(40)}, [purge(5), purge(6)])
    snapshot = PagedSnapshot(other_list, 100)
    for page in range(snapshot.digests.layout.pages):
        for chunk in range(len(snapshot.chunks(page))):
            download = PagedDownload(contents())
            with pytest.raises(DamagedPageError):
                while not download.is_complete:
                    name = next(download.missing())
                    good = snapshot.chunk(name)
                    spoilt = good._replace(data=bytes((good.data[0] ^ 255,)) + good.data[1:])
                    download.add(spoilt if name == (page, chunk) else good)
            assert not download.is_complete and ChunkId(page, 0) in download.missing()
            while not download.is_complete:
                download.add(snapshot.chunk(next(download.missing())))
            assert same(download.contents(), other_list)


@pytest.mark.parametrize(
    ("chunk", "count", "size"),
    [(3, 3, 9), (-1, 3, 9), (0, 0, 9), (0, MAX_CHUNKS + 1, 9), (0, 1, MAX_PAGE_BYTES + 1)],
)
def test_a_chunk_that_cannot_be_is_damaged_and_changes_nothing(chunk, count, size):
    download = PagedDownload(contents())
    with pytest.raises(DamagedPageError):
        download.add(SnapshotPageChunk(Revision(0, 7), 5, INDEX_PAGE, chunk, count, bytes(size)))
    assert list(download.missing()) == [(INDEX_PAGE, 0)] and download.revision is None


def test_a_page_does_not_change_its_size():
    snapshot, download = PagedSnapshot(large(), 100), PagedDownload(contents())
    download.add(snapshot.chunk(ChunkId(INDEX_PAGE, 0)))
    other = snapshot.chunk(ChunkId(INDEX_PAGE, 1))
    with pytest.raises(DamagedPageError):
        download.add(other._replace(count=other.count + 1))
    assert download.add(other)


def test_what_was_not_asked_for_is_left():
    one = contents({"a": 1})
    download, _ = caught_up(one, PagedSnapshot(one))
    assert not download.add(PagedSnapshot(one).chunk(ChunkId(0, 0)))


@pytest.mark.parametrize(
    "name", [ChunkId(1, 0), ChunkId(-2, 0), ChunkId(0, 1), ChunkId(0, -1), ChunkId(INDEX_PAGE, 1)]
)
def test_a_snapshot_has_no_other_chunks_than_its_own(name):
    with pytest.raises(ChunkNotFoundError):
        PagedSnapshot(contents({"a": 1})).chunk(name)


def test_a_snapshot_stands_still_while_the_list_goes_on():
    one = EndpointList()
    for seq, name in enumerate(("a", "b"), 1):
        one.apply({"seq": seq, "fleet": {"members": [member(name)]}})
    snapshot = PagedSnapshot(ListContents(one.revision, one.fleet_revision, dict(one.members), ()))
    one.apply({"seq": 3, "fleet": {"members": [member("c"), member("a", phase="terminated")]}})
    download, _ = caught_up(contents(), snapshot)
    assert download.contents().revision == Revision(0, 2) and set(download.contents().members) == {"a", "b"}


# Bytes from another front


def test_what_cannot_be_told_is_refused():
    with pytest.raises(OversizedError):
        encode_page(PageContents((member("a") | {"locality": "x" * MAX_PAGE_BYTES},), ()))
    for odd in (contents(revision=1 << 63), contents(revision=-(1 << 63)), contents(number=1 << 63)):
        with pytest.raises(OversizedError):
            PagedSnapshot(odd)


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
def test_a_page_that_is_not_the_one_that_was_told_is_a_typed_error(data):
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


def test_a_member_or_purge_is_damaged_on_another_page_than_its_own_even_if_the_index_tells_it():
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
def test_spoilt_pages_are_a_typed_error_or_what_was_told(other_list, data):
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
