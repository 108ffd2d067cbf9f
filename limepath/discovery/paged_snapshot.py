"""A list in pages at two fronts: `PagedSnapshot` at the one that has it, `PagedDownload` where it is wanted.

The one that wants it asks for the index, then for the pages that differ from its own list, chunk by chunk.
A snapshot stands still while the list goes on, so that one serves all that ask within some seconds; what came
after it is sent as events. Its revision and its id stand in each chunk: what belongs to another snapshot is
refused. Nothing counts before all pages are there. Free of I/O.
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

INDEX_PAGE = -1  # the page that holds the digests
CHUNK_BYTES = 1000  # of a page in one datagram
SNAPSHOT_ID_BYTES = 8
MAX_CHUNKS = 512  # of one page


class PageTransferError(Exception):
    """A chunk or page that can't be used or sent; the text says why. Nothing of it was used."""


class ChunkNotFoundError(PageTransferError):
    """It was asked for what this snapshot has not."""


class SnapshotChangedError(PageTransferError):
    """A chunk of another generation, number or snapshot than the first one that came."""


class DamagedPageError(PageTransferError):
    """A page or an index that does not fit its digest or its form; it is to be asked for again."""


class IncompleteDownloadError(PageTransferError):
    """Pages are missing yet."""


class ChunkId(NamedTuple):
    """Chunk number `chunk` of a page, which is INDEX or counts from 0."""

    page: int
    chunk: int


class SnapshotPageChunk(NamedTuple):
    """`count` is how many chunks the page has, `snapshot_id` tells it from others at the same revision."""

    revision: Revision
    snapshot_id: int
    page: int
    chunk: int
    count: int
    data: bytes


def count_chunks(data: bytes, limit: int) -> int:
    """How many chunks of at most `limit` bytes carry a page."""
    return max(1, -(-len(data) // limit))


class PagedSnapshot:
    """A list that stands still, to be sent to others in chunks of at most `limit` bytes.

    Raise OversizedError where it has no coded form.
    """

    def __init__(self, contents: ListContents, limit: int = CHUNK_BYTES):
        self.contents = contents
        self.limit = limit
        self.digests = list_digests(contents)
        self.pages = spread_over_pages(contents, self.digests.layout)
        self.packed: dict[int, bytes] = {INDEX_PAGE: encode_index(self.digests)}
        self.id: int = index_digest(self.packed[INDEX_PAGE])

    @property
    def revision(self) -> Revision:
        """The revision of the list."""
        return self.contents.revision

    def _page_data(self, page: int) -> bytes:
        if page not in self.packed:
            if not 0 <= page < len(self.pages):
                raise ChunkNotFoundError(f"page {page} of {len(self.pages)}")
            self.packed[page] = encode_page(self.pages[page])
        return self.packed[page]

    def chunk(self, chunk_id: ChunkId) -> SnapshotPageChunk:
        """The chunk of that name; raise ChunkNotFoundError."""
        data = self._page_data(chunk_id.page)
        count = count_chunks(data, self.limit)
        if not 0 <= chunk_id.chunk < count:
            raise ChunkNotFoundError(f"chunk {chunk_id.chunk} of {count}")
        at = chunk_id.chunk * self.limit
        return SnapshotPageChunk(self.revision, self.id, *chunk_id, count, data[at : at + self.limit])

    def chunks(self, page: int) -> tuple[SnapshotPageChunk, ...]:
        """All chunks of a page; raise ChunkNotFoundError."""
        count = count_chunks(self._page_data(page), self.limit)
        return tuple(self.chunk(ChunkId(page, chunk)) for chunk in range(count))


class ReceivedChunks:
    """The chunks of one page that have come."""

    def __init__(self) -> None:
        self.count: int | None = None  # known with the first chunk
        self.data: dict[int, bytes] = {}  # by chunk

    def missing(self) -> range | list[int]:
        """The numbers of the chunks that have not come; the first where the count is not known."""
        if self.count is None:
            return range(1)
        return [chunk for chunk in range(self.count) if chunk not in self.data]

    def joined(self) -> bytes:
        """The bytes of the page, once no chunk is missing."""
        return b"".join(self.data[chunk] for chunk in range(self.count))


class PagedDownload:
    """The list of another front on its way here; `own` is the list that this front has, as it stood."""

    def __init__(self, own: ListContents):
        self.own = own
        self.revision: Revision | None = None  # of the other's snapshot, known with the first chunk
        self.snapshot_id: int | None = None
        self.index: ListDigests | None = None  # known once its page is complete
        self.parts: dict[int, ReceivedChunks] = {
            INDEX_PAGE: ReceivedChunks()
        }  # of the pages that are missing
        self.pages: dict[int, PageContents] = {}

    def missing(self) -> Iterator[ChunkId]:
        """What is missing, the index first; of a page whose size is not known its first chunk."""
        for page, parts in self.parts.items():
            for chunk in parts.missing():
                yield ChunkId(page, chunk)

    @property
    def is_complete(self) -> bool:
        """Whether all pages are here."""
        return self.index is not None and not self.parts

    def add(self, chunk: SnapshotPageChunk) -> bool:
        """Add a chunk and return whether it was missing.

        Raise SnapshotChangedError or DamagedPageError.
        """
        is_same = (chunk.revision, chunk.snapshot_id) == (self.revision, self.snapshot_id)
        if self.revision is not None and not is_same:
            raise SnapshotChangedError(f"one at {tuple(chunk.revision)}, not that at {tuple(self.revision)}")
        parts = self.parts.get(chunk.page)
        if parts is None or chunk.chunk in parts.data:
            return False
        self._check(chunk, parts)
        self.revision = chunk.revision
        self.snapshot_id = chunk.snapshot_id
        parts.count = chunk.count
        parts.data[chunk.chunk] = chunk.data
        if not parts.missing():
            self._finish_page(chunk.page, parts)
        return True

    def _check(self, chunk: SnapshotPageChunk, parts: ReceivedChunks) -> None:
        """Raise DamagedPageError where a chunk can't be."""
        if not 0 <= chunk.chunk < chunk.count <= MAX_CHUNKS or parts.count not in (None, chunk.count):
            raise DamagedPageError(f"chunk {chunk.chunk} of {chunk.count} of page {chunk.page}")
        if sum(map(len, parts.data.values())) + len(chunk.data) > MAX_PAGE_BYTES:
            raise DamagedPageError(f"page {chunk.page} over {MAX_PAGE_BYTES} bytes")

    def _finish_page(self, page: int, parts: ReceivedChunks) -> None:
        """Open a page that is there whole."""
        self.parts[page] = ReceivedChunks()
        try:
            if page == INDEX_PAGE:
                self._open_index(parts.joined())
            else:
                self.pages[page] = decode_page(parts.joined(), page, self.index)
        except CodingError as error:
            raise DamagedPageError(f"page {page}: {error}") from None
        del self.parts[page]

    def _open_index(self, data: bytes) -> None:
        index = decode_index(data)
        if index.revision != self.revision or index_digest(data) != self.snapshot_id:
            raise CodingError("an index of another snapshot")
        self.index = index
        self.parts |= {at: ReceivedChunks() for at in differing_pages(self.own, index)}

    def contents(self) -> ListContents:
        """The other's list; raise IncompleteDownloadError until all of it is there."""
        if not self.is_complete:
            raise IncompleteDownloadError(f"{len(self.parts)} pages are missing")
        return apply_pages(self.own, self.index, self.pages)


def index_digest(index: bytes) -> int:
    """64 bits that tell a snapshot, of the bytes of its index."""
    return int.from_bytes(blake2b(index, digest_size=SNAPSHOT_ID_BYTES).digest())
