"""Tests of limepath/discovery/paged_snapshot.py: a list in pages, chunk by chunk."""

from copy import deepcopy

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limepath.discovery.endpoint_list import EndpointList
from limepath.discovery.event_coding import OversizedError
from limepath.discovery.interface import Revision
from limepath.discovery.page_coding import (
    MAX_PAGE_BYTES,
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
    ListContents,
    PageContents,
)
from limepath.membership.guard import HEADER_BYTES, MAX_DATAGRAM_BYTES, SEAL_BYTES
from limepath.membership.interface import MemberRecord
from tests.list_samples import HUGE, caught_up, contents, large, member, purge, related, repeatable, same


def test_a_chunk_leaves_room_for_envelope_and_seal():
    sender = MemberRecord(HUGE, "n" * 32, "255.255.255.255", 65_535, HUGE, HUGE, 3, HUGE)
    message = ["lx", HUGE, HUGE, HUGE, INDEX_PAGE, MAX_CHUNKS, MAX_CHUNKS, bytes(CHUNK_BYTES)]
    assert (
        len(msgspec.msgpack.encode((sender, HUGE, HUGE, message))) + HEADER_BYTES + SEAL_BYTES
        < MAX_DATAGRAM_BYTES
    )


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


def test_two_lists_at_one_revision_are_two_snapshots():
    one, other = contents({"a": 1}), contents({"a": 2})
    assert PagedSnapshot(one).id != PagedSnapshot(other).id
    assert PagedSnapshot(one).id == PagedSnapshot(deepcopy(one)).id


def test_an_index_that_does_not_fit_its_snapshot_id_is_damaged():
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


def test_a_chunk_that_was_not_asked_for_is_ignored():
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


def test_a_list_without_coded_form_is_refused():
    with pytest.raises(OversizedError):
        encode_page(PageContents((member("a") | {"locality": "x" * MAX_PAGE_BYTES},), ()))
    for odd in (contents(revision=1 << 63), contents(revision=-(1 << 63)), contents(number=1 << 63)):
        with pytest.raises(OversizedError):
            PagedSnapshot(odd)
