"""A whole list from another front in datagrams: `Snapshot` at the one that has it, `CatchUp` at the one that
wants it.

The one that wants it asks for the index, then for the pages that differ from its own list, chunk by chunk.
A snapshot stands still while the list goes on, so that one serves all that ask within some seconds; what came
after it is told by events. Its place (generation and number) and its mark stand in each chunk: what belongs
to another snapshot is refused. Nothing counts before all pages are there. Free of I/O.
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
MAX_CHUNKS = 512  # of one page


class PageTransferError(Exception):
    """What can't be taken or told; the text says why. Nothing of it was taken."""


class ChunkNotFoundError(PageTransferError):
    """It was asked for what this snapshot has not."""


class SnapshotChangedError(PageTransferError):
    """A chunk of another generation, number or snapshot than the first one that came."""


class DamagedPageError(PageTransferError):
    """A page or an index that is not what it was told to be; it is to be asked for again."""


class IncompleteDownloadError(PageTransferError):
    """Pages are missing yet."""


class ChunkId(NamedTuple):
    """Chunk number `chunk` of a page, which is INDEX or counts from 0."""

    page: int
    chunk: int


class SnapshotPageChunk(NamedTuple):
    """`count` is how many chunks the page has, `mark` tells the snapshot from others at the same place."""

    place: Revision
    mark: int
    page: int
    chunk: int
    count: int
    data: bytes


def count_chunks(data: bytes, limit: int) -> int:
    return max(1, -(-len(data) // limit))


class PagedSnapshot:
    """A list that stands still, to be told to others in chunks of at most `limit` bytes; raise OversizedError
    where it can't be told.
    """

    def __init__(self, contents: ListContents, limit: int = CHUNK_BYTES):
        self.contents = contents
        self.limit = limit
        self.digests = list_digests(contents)
        self.pages = spread_over_pages(contents, self.digests.layout)
        self.packed = {INDEX_PAGE: encode_index(self.digests)}
        self.mark = index_digest(self.packed[INDEX_PAGE])

    @property
    def place(self) -> Revision:
        return self.contents.place

    def bytes_of(self, page: int) -> bytes:
        if page not in self.packed:
            if not 0 <= page < len(self.pages):
                raise ChunkNotFoundError(f"page {page} of {len(self.pages)}")
            self.packed[page] = encode_page(self.pages[page])
        return self.packed[page]

    def chunk(self, name: ChunkId) -> SnapshotPageChunk:
        """The chunk of that name; raise ChunkNotFoundError."""
        data = self.bytes_of(name.page)
        count = count_chunks(data, self.limit)
        if not 0 <= name.chunk < count:
            raise ChunkNotFoundError(f"chunk {name.chunk} of {count}")
        at = name.chunk * self.limit
        return SnapshotPageChunk(self.place, self.mark, *name, count, data[at : at + self.limit])

    def chunks(self, page: int) -> tuple[SnapshotPageChunk, ...]:
        """All chunks of a page; raise ChunkNotFoundError."""
        count = count_chunks(self.bytes_of(page), self.limit)
        return tuple(self.chunk(ChunkId(page, chunk)) for chunk in range(count))


class ReceivedChunks:
    """The chunks of one page that have come."""

    def __init__(self):
        self.count = None
        self.data = {}

    def missing(self) -> range | list[int]:
        if self.count is None:
            return range(1)
        return [chunk for chunk in range(self.count) if chunk not in self.data]

    def whole(self) -> bytes:
        return b"".join(self.data[chunk] for chunk in range(self.count))


class PagedDownload:
    """The list of another front on its way here; `mine` is the list that this front has, as it stood."""

    def __init__(self, mine: ListContents):
        self.mine = mine
        self.place: Revision | None = (
            None  # where the other's snapshot stands, and its mark, once they are known
        )
        self.mark: int | None = None
        self.theirs: ListDigests | None = None
        self.parts = {INDEX_PAGE: ReceivedChunks()}  # of the pages that are missing
        self.pages: dict[int, PageContents] = {}

    def wanted(self) -> Iterator[ChunkId]:
        """What is missing, the index first; of a page whose size is not known its first chunk."""
        for page, parts in self.parts.items():
            for chunk in parts.missing():
                yield ChunkId(page, chunk)

    @property
    def complete(self) -> bool:
        return self.theirs is not None and not self.parts

    def take(self, chunk: SnapshotPageChunk) -> bool:
        """Take a chunk in and tell whether it was missing; raise SnapshotChangedError or DamagedPageError."""
        if self.place is not None and (chunk.place, chunk.mark) != (self.place, self.mark):
            raise SnapshotChangedError(f"one at {tuple(chunk.place)}, not that at {tuple(self.place)}")
        parts = self.parts.get(chunk.page)
        if parts is None or chunk.chunk in parts.data:
            return False
        self.check(chunk, parts)
        self.place = chunk.place
        self.mark = chunk.mark
        parts.count = chunk.count
        parts.data[chunk.chunk] = chunk.data
        if not parts.missing():
            self.finish(chunk.page, parts)
        return True

    def check(self, chunk: SnapshotPageChunk, parts: ReceivedChunks) -> None:
        """Raise DamagedPage where a chunk can't be."""
        if not 0 <= chunk.chunk < chunk.count <= MAX_CHUNKS or parts.count not in (None, chunk.count):
            raise DamagedPageError(f"chunk {chunk.chunk} of {chunk.count} of page {chunk.page}")
        if sum(map(len, parts.data.values())) + len(chunk.data) > MAX_PAGE_BYTES:
            raise DamagedPageError(f"page {chunk.page} over {MAX_PAGE_BYTES} bytes")

    def finish(self, page: int, parts: ReceivedChunks) -> None:
        """Open a page that is there whole."""
        self.parts[page] = ReceivedChunks()
        try:
            if page == INDEX_PAGE:
                self.open_index(parts.whole())
            else:
                self.pages[page] = decode_page(parts.whole(), page, self.theirs)
        except CodingError as error:
            raise DamagedPageError(f"page {page}: {error}") from None
        del self.parts[page]

    def open_index(self, data: bytes) -> None:
        theirs = decode_index(data)
        if theirs.place != self.place or index_digest(data) != self.mark:
            raise CodingError("an index of another snapshot")
        self.theirs = theirs
        self.parts |= {at: ReceivedChunks() for at in differing_pages(self.mine, theirs)}

    def contents(self) -> ListContents:
        """The other's list; raise IncompleteDownloadError until all of it is there."""
        if not self.complete:
            raise IncompleteDownloadErrorDownloadError(f"{len(self.parts)} pages are missing")
        return apply_pages(self.mine, self.theirs, self.pages)


def index_digest(index: bytes) -> int:
    """64 bits that tell a snapshot, of the bytes of its index."""
    return int.from_bytes(blake2b(index, digest_size=8).digest())
