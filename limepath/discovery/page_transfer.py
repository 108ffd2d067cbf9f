"""Transfers the differing pages of the list between two fronts of a tree, in chunks.

A snapshot is immutable: all downloads that start within SNAPSHOT_REUSE_US of its creation use the same one.
It is kept while fronts request it, and the event window contains the events since its revision. All
requesting fronts share a limited number of datagrams per tick. Performs no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from limepath.discovery.component import Component
from limepath.discovery.endpoint_list import EndpointList
from limepath.discovery.interface import PageChunk, PageChunkRequest, Revision, SendToMember
from limepath.discovery.paged_snapshot import (
    ChunkId,
    ChunkNotFoundError,
    DamagedPageError,
    PagedDownload,
    PagedSnapshot,
    SnapshotChangedError,
    SnapshotPageChunk,
)
from limepath.discovery.pages import ListContents
from limepath.discovery.varint import CodingError

if TYPE_CHECKING:
    from limepath.discovery.engine import DiscoveryEngine

MAX_OUTSTANDING_CHUNKS = 4  # requested and not yet received
RETRY_INTERVAL_US = 250_000  # after which outstanding chunks are requested again
MAX_STALLS = 16  # retry intervals without a chunk after which a download is aborted
SNAPSHOT_REUSE_US = 5_000_000  # for which new downloads use a snapshot; later changes follow as events
SNAPSHOT_IDLE_US = 10_000_000  # without a request, after which a snapshot is dropped
MAX_SNAPSHOTS = 4  # kept for downloads in progress
NEWEST = Revision(0, -1)  # requests the newest snapshot


class SnapshotKey(NamedTuple):
    """Identifies a snapshot; `snapshot_id` distinguishes it from others at the same revision."""

    revision: Revision
    snapshot_id: int


class PageDownload:
    """A download of another front's list; `contents` is this front's list when the download started."""

    def __init__(self, token: int, contents: ListContents):
        self.token = token
        self.pages = PagedDownload(contents)
        self.requested: set[ChunkId] = set()  # requested and not yet received
        self.stalls: int = 0  # retry intervals since the last chunk


class PageTransfer(Component):
    """Sends pages to fronts that request them, and downloads pages from another front."""

    def __init__(self, engine: DiscoveryEngine):
        super().__init__(engine)
        self.snapshots: dict[SnapshotKey, PagedSnapshot] = {}
        self.requested_at: dict[SnapshotKey, int] = {}  # time of the last request for each snapshot
        self.newest_at: int = 0  # time at which the newest snapshot was created
        self.download: PageDownload | None = None

    def contents(self) -> ListContents:
        """Return the contents of the current list."""
        current = self.replica.list
        purges = current.purges.retained(self.timers.now)
        return ListContents(current.revision, current.fleet_revision, dict(current.members), purges)

    # Sending

    def on_request(self, token: int, message: PageChunkRequest) -> None:
        """Send a chunk, unless the limit of datagrams in this tick has been reached."""
        if not self.tree.enabled or not self.tree_subscribers.may_send_chunk(token):
            return
        revision = Revision(message.generation, message.number)
        if revision.number < 0:
            snapshot = self._newest()
        else:
            snapshot = self.snapshots.get(SnapshotKey(revision, message.snapshot_id))
        try:
            if snapshot is None:
                raise ChunkNotFoundError("the snapshot has been dropped or there is no list")
            chunk = snapshot.chunk(ChunkId(message.page, message.chunk))
            self.requested_at[SnapshotKey(snapshot.revision, snapshot.id)] = self.timers.now
            reply = PageChunk(*chunk.revision, *chunk[1:])
        except ChunkNotFoundError:
            reply = PageChunk(*revision, message.snapshot_id, message.page, message.chunk, 0)
        self.timers.emit(SendToMember(token, reply))

    def _newest(self) -> PagedSnapshot | None:
        """Return the snapshot for new downloads, or None if there is no confirmed list.

        The last snapshot is reused while it is recent and the event window contains all events since it.
        """
        revision = self.replica.list.revision
        if self.replica.confirmed_at is None or not revision.number:
            return None
        last = next(reversed(self.snapshots.values()), None)
        is_recent = self.timers.now - self.newest_at <= SNAPSHOT_REUSE_US
        if last and is_recent and last.revision.generation == revision.generation:
            if self.replica.window.covers(last.revision.number):
                return last
        self._drop_unused()
        snapshot = PagedSnapshot(self.contents())
        self.snapshots[SnapshotKey(snapshot.revision, snapshot.id)] = snapshot
        self.newest_at = self.timers.now
        return snapshot

    def _drop_unused(self) -> None:
        """Drop idle snapshots, and the least recently requested ones until there is space for another."""
        now = self.timers.now
        idle = [key for key in self.snapshots if now - self.requested_at.get(key, 0) > SNAPSHOT_IDLE_US]
        active = set(self.snapshots) - set(idle)
        oldest_first = sorted(active, key=lambda key: self.requested_at.get(key, 0))
        surplus = max(0, len(oldest_first) - MAX_SNAPSHOTS + 1)
        for key in idle + oldest_first[:surplus]:
            del self.snapshots[key]
            self.requested_at.pop(key, None)

    # Receiving

    def start(self, token: int) -> None:
        """Download the pages of a source's list that differ from this front's list."""
        self.download = PageDownload(token, self.contents())
        self._proceed(self.download)

    def _proceed(self, download: PageDownload) -> None:
        """Request missing chunks, and repeat this after an interval."""
        if download is not self.download:
            return
        download.stalls += 1
        if download.stalls > MAX_STALLS:  # the sender may be busy; the next heartbeat starts a new download
            self.download = None
            return
        download.requested = set()
        self._request_missing(download)
        self.timers.schedule(self.timers.now + RETRY_INTERVAL_US, self._proceed, download)

    def _request_missing(self, download: PageDownload) -> None:
        revision = download.pages.revision or NEWEST
        snapshot_id = download.pages.snapshot_id or 0
        for chunk_id in download.pages.missing():
            if len(download.requested) >= MAX_OUTSTANDING_CHUNKS:
                return
            if chunk_id not in download.requested:
                download.requested.add(chunk_id)
                request = PageChunkRequest(*revision, snapshot_id, *chunk_id)
                self.timers.emit(SendToMember(download.token, request))

    def on_chunk(self, token: int, message: PageChunk) -> None:
        """Add a chunk to the download; replace the list once all pages have been received."""
        download = self.download
        if download is None or token != download.token:
            return
        if not message.count:  # the sender dropped the snapshot or has no list; wait for its next heartbeat
            self.download = None
            return
        revision = Revision(message.generation, message.number)
        chunk = SnapshotPageChunk(
            revision, message.snapshot_id, message.page, message.chunk, message.count, message.data
        )
        try:
            download.pages.add(chunk)
        except SnapshotChangedError:
            return
        except DamagedPageError as error:
            self.download = None
            self.intake.reject_invalid(token, error)
            return
        download.stalls = 0
        download.requested.discard(ChunkId(message.page, message.chunk))
        if download.pages.is_complete:
            self.download = None
            self._finish(download)
            return
        self._request_missing(download)

    def _finish(self, download: PageDownload) -> None:
        """Replace this front's list if the downloaded list has a later revision."""
        try:
            new = self._build_list(download.pages.contents())
        except CodingError as error:
            self.intake.reject_invalid(download.token, error)
            return
        self.counts["fetched"] += 1
        self.counts["pages"] += len(download.pages.pages)
        if new.revision > self.replica.list.revision:
            self.replica.replace(new)
            self.snapshot_transfer.confirm_from(download.token, new.revision)

    def _build_list(self, contents: ListContents) -> EndpointList:
        """Build a list of contents whose digests have been verified."""
        new = self.replica.new_list()
        for member in contents.members.values():
            new.put(member)
        for purge in contents.purges:
            new.purges.add_aged(self.timers.now, purge)
        new.revision = contents.revision
        new.fleet_revision = contents.fleet_revision
        return new
