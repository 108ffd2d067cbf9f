"""Tests of limepath/discovery/paged_snapshot.py: the transfer of a list in pages and chunks."""

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
from tests.list_samples import (
    MAX_UINT64,
    contents,
    download_all,
    equal_but_ages,
    large_list,
    member,
    purge,
    related_lists,
    repeatable,
)


def test_a_chunk_leaves_room_for_envelope_and_seal():
    sender = MemberRecord(
        MAX_UINT64, "n" * 32, "255.255.255.255", 65_535, MAX_UINT64, MAX_UINT64, 3, MAX_UINT64
    )
    message = [
        "lx",
        MAX_UINT64,
        MAX_UINT64,
        MAX_UINT64,
        INDEX_PAGE,
        MAX_CHUNKS,
        MAX_CHUNKS,
        bytes(CHUNK_BYTES),
    ]
    assert (
        len(msgspec.msgpack.encode((sender, MAX_UINT64, MAX_UINT64, message))) + HEADER_BYTES + SEAL_BYTES
        < MAX_DATAGRAM_BYTES
    )


@settings(repeatable, max_examples=60)
@given(related_lists(), st.integers(20, 300), st.randoms())
def test_reordered_lost_and_duplicate_chunks_still_give_the_exact_list(pair, limit, random):
    own, other_list = pair
    before = deepcopy(own)
    snapshot, download = PagedSnapshot(other_list, limit), PagedDownload(own)
    while not download.is_complete:
        with pytest.raises(IncompleteDownloadError):
            download.contents()
        missing = list(download.missing())
        random.shuffle(missing)
        for chunk_id in missing[: random.randrange(1, len(missing) + 1)]:
            assert download.add(snapshot.chunk(chunk_id))
            assert not download.add(snapshot.chunk(chunk_id))  # a duplicate
    assert equal_but_ages(download.contents(), other_list)
    assert own == before


def test_ages_are_transferred_in_milliseconds():
    other_list = contents(purges=[purge(5, 200_000_900), purge(6, 1_000), purge(300, 0)])
    download, _ = download_all(contents(), PagedSnapshot(other_list))
    assert [(aged.number, aged.age) for aged in download.contents().purges] == [
        (5, 200_000_000),
        (6, 1_000),
        (300, 0),
    ]


def test_an_incomplete_download_does_not_expose_or_change_a_list():
    own, other_list = contents({"a": 1, "b": 2}), large_list()
    before, snapshot, download = deepcopy(own), PagedSnapshot(other_list), PagedDownload(own)
    chunks = 0
    while not download.is_complete:
        with pytest.raises(IncompleteDownloadError):
            download.contents()
        assert own == before
        download.add(snapshot.chunk(next(download.missing())))
        chunks += 1
    assert chunks > 40 and equal_but_ages(download.contents(), other_list) and own == before


@pytest.mark.parametrize(
    "change",
    [
        lambda chunk: chunk._replace(revision=Revision(0, 30_020_001)),
        lambda chunk: chunk._replace(revision=Revision(0, 30_019_999)),
        lambda chunk: chunk._replace(revision=Revision(1, 30_020_000)),
        lambda chunk: chunk._replace(snapshot_id=chunk.snapshot_id ^ 1),
    ],
)
def test_a_chunk_of_another_number_generation_or_snapshot_is_refused(change):
    other_list = large_list()
    snapshot, download = PagedSnapshot(other_list), PagedDownload(contents())
    download.add(snapshot.chunk(ChunkId(INDEX_PAGE, 0)))
    for page in (INDEX_PAGE, 0):
        while page != INDEX_PAGE and download.index is None:
            download.add(snapshot.chunk(next(download.missing())))
        missing = list(download.missing())
        with pytest.raises(SnapshotChangedError):
            download.add(change(snapshot.chunk(missing[0])))
        assert list(download.missing()) == missing
    while not download.is_complete:
        download.add(snapshot.chunk(next(download.missing())))
    assert equal_but_ages(download.contents(), other_list)


def test_two_lists_at_one_revision_have_different_snapshot_ids():
    first, second = contents({"a": 1}), contents({"a": 2})
    assert PagedSnapshot(first).id != PagedSnapshot(second).id
    assert PagedSnapshot(first).id == PagedSnapshot(deepcopy(first)).id


def test_an_index_that_does_not_match_its_snapshot_id_is_damaged():
    snapshot = PagedSnapshot(contents({"a": 1}))
    for change in ({"snapshot_id": 5}, {"revision": Revision(0, 8)}):
        download = PagedDownload(contents())
        with pytest.raises(DamagedPageError):
            download.add(snapshot.chunk(ChunkId(INDEX_PAGE, 0))._replace(**change))
        assert not download.is_complete and download.index is None


def test_a_damaged_page_is_requested_again():
    other_list = contents({f"s-{at}": at for at in range(40)}, [purge(5), purge(6)])
    snapshot = PagedSnapshot(other_list, 100)
    for page in range(snapshot.digests.layout.pages):
        for chunk in range(len(snapshot.chunks(page))):
            download = PagedDownload(contents())
            with pytest.raises(DamagedPageError):
                while not download.is_complete:
                    chunk_id = next(download.missing())
                    intact = snapshot.chunk(chunk_id)
                    damaged = intact._replace(data=bytes((intact.data[0] ^ 255,)) + intact.data[1:])
                    download.add(damaged if chunk_id == (page, chunk) else intact)
            assert not download.is_complete and ChunkId(page, 0) in download.missing()
            while not download.is_complete:
                download.add(snapshot.chunk(next(download.missing())))
            assert equal_but_ages(download.contents(), other_list)


@pytest.mark.parametrize(
    ("chunk", "count", "size"),
    [(3, 3, 9), (-1, 3, 9), (0, 0, 9), (0, MAX_CHUNKS + 1, 9), (0, 1, MAX_PAGE_BYTES + 1)],
)
def test_a_chunk_with_an_invalid_number_count_or_size_is_damaged_and_changes_nothing(chunk, count, size):
    download = PagedDownload(contents())
    with pytest.raises(DamagedPageError):
        download.add(SnapshotPageChunk(Revision(0, 7), 5, INDEX_PAGE, chunk, count, bytes(size)))
    assert list(download.missing()) == [(INDEX_PAGE, 0)] and download.revision is None


def test_a_page_cannot_change_its_chunk_count():
    snapshot, download = PagedSnapshot(large_list(), 100), PagedDownload(contents())
    download.add(snapshot.chunk(ChunkId(INDEX_PAGE, 0)))
    other = snapshot.chunk(ChunkId(INDEX_PAGE, 1))
    with pytest.raises(DamagedPageError):
        download.add(other._replace(count=other.count + 1))
    assert download.add(other)


def test_a_chunk_that_was_not_requested_is_ignored():
    own = contents({"a": 1})
    download, _ = download_all(own, PagedSnapshot(own))
    assert not download.add(PagedSnapshot(own).chunk(ChunkId(0, 0)))


@pytest.mark.parametrize(
    "chunk_id", [ChunkId(1, 0), ChunkId(-2, 0), ChunkId(0, 1), ChunkId(0, -1), ChunkId(INDEX_PAGE, 1)]
)
def test_a_chunk_that_does_not_exist_raises_an_error(chunk_id):
    with pytest.raises(ChunkNotFoundError):
        PagedSnapshot(contents({"a": 1})).chunk(chunk_id)


def test_a_snapshot_does_not_change_with_the_list():
    current = EndpointList()
    for seq, name in enumerate(("a", "b"), 1):
        current.apply({"seq": seq, "fleet": {"members": [member(name)]}})
    snapshot = PagedSnapshot(
        ListContents(current.revision, current.fleet_revision, dict(current.members), ())
    )
    current.apply({"seq": 3, "fleet": {"members": [member("c"), member("a", phase="terminated")]}})
    download, _ = download_all(contents(), snapshot)
    assert download.contents().revision == Revision(0, 2) and set(download.contents().members) == {"a", "b"}


def test_a_list_that_cannot_be_encoded_is_refused():
    with pytest.raises(OversizedError):
        encode_page(PageContents((member("a") | {"locality": "x" * MAX_PAGE_BYTES},), ()))
    for too_large in (contents(revision=1 << 63), contents(revision=-(1 << 63)), contents(number=1 << 63)):
        with pytest.raises(OversizedError):
            PagedSnapshot(too_large)
