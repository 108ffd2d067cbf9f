"""Transfers a list in pages: `PagedSnapshot` serves the list, `PagedDownload` receives it at another front.

The receiver requests the index, then the pages that differ from its own list, chunk by chunk. A snapshot is
immutable, so that one snapshot serves all requests of several seconds; later changes are sent as events. Each
chunk contains the revision and the id of its snapshot, and the receiver refuses chunks of any other snapshot.
The download is used only once all pages have been received. Performs no I/O.
"""

from collections.abc import Iterator
from hashlib import blake2b
from typing import NamedTuple

from limepath.discovery.interface import Revision
from limepath.discovery.page_coding import (
    MAX_PAGE_BYTES,
    decode_index,
    decode_page,
    encode_index,
    encode_page,
)
from limepath.discovery.pages import (
    ListContents,
    ListDigests,
    PageContents,
    apply_pages,
    differing_pages,
    list_digests,
    spread_over_pages,
)
from limepath.discovery.varint import CodingError

INDEX_PAGE = -1  # number of the page that contains the digests
CHUNK_BYTES = 1000  # page data in one datagram
SNAPSHOT_ID_BYTES = 8
MAX_CHUNKS = 512  # per page


class PageTransferError(Exception):
    """A chunk or page cannot be used or sent; the message gives the reason. None of its data was used."""


class ChunkNotFoundError(PageTransferError):
    """The requested page or chunk does not exist in this snapshot."""


class SnapshotChangedError(PageTransferError):
    """A chunk has another generation, number or snapshot id than the first chunk received."""


class DamagedPageError(PageTransferError):
    """A page or an index does not match its digest or its format and must be requested again."""


class IncompleteDownloadError(PageTransferError):
    """Some pages have not been received."""


class ChunkId(NamedTuple):
    """Identifies a chunk by its page, which is INDEX_PAGE or counts from 0, and by its number in the page."""

    page: int
    chunk: int


class SnapshotPageChunk(NamedTuple):
    """A chunk of a page that has `count` chunks.

    `snapshot_id` distinguishes the snapshot from others at the same revision.
    """

    revision: Revision
    snapshot_id: int
    page: int
    chunk: int
    count: int
    data: bytes


def count_chunks(data: bytes, limit: int) -> int:
    """Return the number of chunks of at most `limit` bytes that a page takes."""
    return max(1, -(-len(data) // limit))


class PagedSnapshot:
    """An immutable list that is sent to other fronts in chunks of at most `limit` bytes.

    Raise OversizedError if the list cannot be encoded.
    """

    def __init__(self, contents: ListContents, limit: int = CHUNK_BYTES):
        self.contents = contents
        self.limit = limit
        self.digests = list_digests(contents)
        self.pages = spread_over_pages(contents, self.digests.layout)
        self.encoded_pages: dict[int, bytes] = {INDEX_PAGE: encode_index(self.digests)}
        self.id: int = index_digest(self.encoded_pages[INDEX_PAGE])

    @property
    def revision(self) -> Revision:
        """Return the revision of the list."""
        return self.contents.revision

    def _page_data(self, page: int) -> bytes:
        if page not in self.encoded_pages:
            if not 0 <= page < len(self.pages):
                raise ChunkNotFoundError(
                    f"page {page} does not exist; the snapshot has {len(self.pages)} pages"
                )
            self.encoded_pages[page] = encode_page(self.pages[page])
        return self.encoded_pages[page]

    def chunk(self, chunk_id: ChunkId) -> SnapshotPageChunk:
        """Return a chunk; raise ChunkNotFoundError if it does not exist."""
        data = self._page_data(chunk_id.page)
        count = count_chunks(data, self.limit)
        if not 0 <= chunk_id.chunk < count:
            raise ChunkNotFoundError(f"chunk {chunk_id.chunk} does not exist; the page has {count} chunks")
        start = chunk_id.chunk * self.limit
        return SnapshotPageChunk(self.revision, self.id, *chunk_id, count, data[start : start + self.limit])

    def chunks(self, page: int) -> tuple[SnapshotPageChunk, ...]:
        """Return all chunks of a page; raise ChunkNotFoundError if the page does not exist."""
        count = count_chunks(self._page_data(page), self.limit)
        return tuple(self.chunk(ChunkId(page, chunk)) for chunk in range(count))


class ReceivedChunks:
    """The chunks of one page that have been received."""

    def __init__(self) -> None:
        self.count: int | None = None  # known with the first chunk
        self.data: dict[int, bytes] = {}  # by chunk

    def missing(self) -> range | list[int]:
        """Return the numbers of the chunks not yet received; only the first if the count is unknown."""
        if self.count is None:
            return range(1)
        return [chunk for chunk in range(self.count) if chunk not in self.data]

    def joined(self) -> bytes:
        """Return the bytes of the page; no chunk may be missing."""
        return b"".join(self.data[chunk] for chunk in range(self.count))


class PagedDownload:
    """Receives the list of another front; `own` is this front's list when the download started."""

    def __init__(self, own: ListContents):
        self.own = own
        self.revision: Revision | None = None  # of the snapshot; set by the first chunk
        self.snapshot_id: int | None = None
        self.index: ListDigests | None = None  # set once the index page is complete
        self.incomplete_pages: dict[int, ReceivedChunks] = {INDEX_PAGE: ReceivedChunks()}
        self.pages: dict[int, PageContents] = {}  # complete pages by number

    def missing(self) -> Iterator[ChunkId]:
        """Yield the missing chunks, the index first; only the first chunk of a page of unknown size."""
        for page, received in self.incomplete_pages.items():
            for chunk in received.missing():
                yield ChunkId(page, chunk)

    @property
    def is_complete(self) -> bool:
        """Return whether all pages have been received."""
        return self.index is not None and not self.incomplete_pages

    def add(self, chunk: SnapshotPageChunk) -> bool:
        """Add a chunk and return whether it was missing.

        Raise SnapshotChangedError or DamagedPageError.
        """
        is_same = (chunk.revision, chunk.snapshot_id) == (self.revision, self.snapshot_id)
        if self.revision is not None and not is_same:
            raise SnapshotChangedError(
                f"chunk of the snapshot at {tuple(chunk.revision)}; expected one at {tuple(self.revision)}"
            )
        received = self.incomplete_pages.get(chunk.page)
        if received is None or chunk.chunk in received.data:
            return False
        self._check(chunk, received)
        self.revision = chunk.revision
        self.snapshot_id = chunk.snapshot_id
        received.count = chunk.count
        received.data[chunk.chunk] = chunk.data
        if not received.missing():
            self._finish_page(chunk.page, received)
        return True

    def _check(self, chunk: SnapshotPageChunk, received: ReceivedChunks) -> None:
        """Raise DamagedPageError if a chunk's number, count or size is impossible."""
        if not 0 <= chunk.chunk < chunk.count <= MAX_CHUNKS or received.count not in (None, chunk.count):
            raise DamagedPageError(
                f"page {chunk.page}: invalid chunk {chunk.chunk} of {chunk.count}; "
                f"expected at most {MAX_CHUNKS} chunks and the same count in each"
            )
        if sum(map(len, received.data.values())) + len(chunk.data) > MAX_PAGE_BYTES:
            raise DamagedPageError(f"page {chunk.page} exceeds {MAX_PAGE_BYTES} bytes")

    def _finish_page(self, page: int, received: ReceivedChunks) -> None:
        """Decode a page whose chunks have all been received."""
        self.incomplete_pages[page] = ReceivedChunks()
        try:
            if page == INDEX_PAGE:
                self._load_index(received.joined())
            else:
                self.pages[page] = decode_page(received.joined(), page, self.index)
        except CodingError as error:
            raise DamagedPageError(f"page {page}: {error}") from None
        del self.incomplete_pages[page]

    def _load_index(self, data: bytes) -> None:
        index = decode_index(data)
        if index.revision != self.revision or index_digest(data) != self.snapshot_id:
            raise CodingError("the index belongs to another snapshot")
        self.index = index
        self.incomplete_pages |= {page: ReceivedChunks() for page in differing_pages(self.own, index)}

    def contents(self) -> ListContents:
        """Return the other front's list; raise IncompleteDownloadError while pages are missing."""
        if not self.is_complete:
            raise IncompleteDownloadError(f"{len(self.incomplete_pages)} pages are missing")
        return apply_pages(self.own, self.index, self.pages)


def index_digest(index: bytes) -> int:
    """Return the 64-bit snapshot id, a hash of the encoded index."""
    return int.from_bytes(blake2b(index, digest_size=SNAPSHOT_ID_BYTES).digest())
