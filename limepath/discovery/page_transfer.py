"""The pages of the list that differ, on their way between two fronts of a tree, in chunks.

A snapshot stands still, so that all that begin within SNAPSHOT_REUSE_US ask for the same; it is kept while it
is asked for, and the window has the events since. Those that ask share a set number of datagrams in a tick.
Free of I/O.
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

MAX_OUTSTANDING_CHUNKS = 4  # asked for at once
RETRY_INTERVAL_US = 250_000  # until chunks are asked for again
MAX_STALLS = 16  # intervals without a chunk until a download is given up
SNAPSHOT_REUSE_US = 5_000_000  # for which a snapshot is sent to those that begin, with the events since
SNAPSHOT_IDLE_US = 10_000_000  # after which one that nobody asks for is dropped
MAX_SNAPSHOTS = 4  # kept, for those that have begun with them
NEWEST = Revision(0, -1)


class SnapshotKey(NamedTuple):
    """Names a snapshot; `snapshot_id` tells it from others at the same revision."""

    revision: Revision
    snapshot_id: int


class PageDownload:
    """The list of one front on its way here; `contents` is our own as it stood at the start."""

    def __init__(self, token: int, contents: ListContents):
        self.token = token
        self.pages = PagedDownload(contents)
        self.requested: set[ChunkId] = set()  # asked for and not received
        self.stalls: int = 0


class PageTransfer(Component):
    """Sends pages to those that ask, and downloads those of another front."""

    def __init__(self, engine: DiscoveryEngine):
        super().__init__(engine)
        self.snapshots: dict[SnapshotKey, PagedSnapshot] = {}
        self.requested_at: dict[SnapshotKey, int] = {}  # when each was last asked for
        self.newest_at: int = 0  # when the newest was made
        self.download: PageDownload | None = None

    def contents(self) -> ListContents:
        """The list as it stands."""
        current = self.replica.list
        purges = current.purges.retained(self.timers.now)
        return ListContents(current.revision, current.fleet_revision, dict(current.members), purges)

    # At the front that has the list

    def on_request(self, token: int, message: PageChunkRequest) -> None:
        """Send a chunk; nothing where enough was sent in this tick."""
        if not self.tree.enabled or not self.tree_subscribers.may_send_chunk(token):
            return
        revision = Revision(message.generation, message.number)
        if revision.number < 0:
            snapshot = self._newest()
        else:
            snapshot = self.snapshots.get(SnapshotKey(revision, message.snapshot_id))
        try:
            if snapshot is None:
                raise ChunkNotFoundError("not held any more")
            chunk = snapshot.chunk(ChunkId(message.page, message.chunk))
            self.requested_at[SnapshotKey(snapshot.revision, snapshot.id)] = self.timers.now
            reply = PageChunk(*chunk.revision, *chunk[1:])
        except ChunkNotFoundError:
            reply = PageChunk(*revision, message.snapshot_id, message.page, message.chunk, 0)
        self.timers.emit(SendToMember(token, reply))

    def _newest(self) -> PagedSnapshot | None:
        """A snapshot from which events lead to the list, made anew where the last one is old."""
        revision = self.replica.list.revision
        if self.replica.confirmed_at is None or not revision.number:
            return None
        last = next(reversed(self.snapshots.values()), None)
        is_young = self.timers.now - self.newest_at <= SNAPSHOT_REUSE_US
        if last and is_young and last.revision.generation == revision.generation:
            if self.replica.window.covers(last.revision.number):
                return last
        self._drop_unused()
        snapshot = PagedSnapshot(self.contents())
        self.snapshots[SnapshotKey(snapshot.revision, snapshot.id)] = snapshot
        self.newest_at = self.timers.now
        return snapshot

    def _drop_unused(self) -> None:
        """Drop snapshots that nobody asks for any more, and more of them to have room for another."""
        now = self.timers.now
        idle = [key for key in self.snapshots if now - self.requested_at.get(key, 0) > SNAPSHOT_IDLE_US]
        others = set(self.snapshots) - set(idle)
        oldest_first = sorted(others, key=lambda key: self.requested_at.get(key, 0))
        surplus = max(0, len(oldest_first) - MAX_SNAPSHOTS + 1)
        for key in idle + oldest_first[:surplus]:
            del self.snapshots[key]
            self.requested_at.pop(key, None)

    # At the front that wants it

    def start(self, token: int) -> None:
        """Ask a source for what differs of its list."""
        self.download = PageDownload(token, self.contents())
        self._proceed(self.download)

    def _proceed(self, download: PageDownload) -> None:
        """Ask for what is missing, and again after an interval."""
        if download is not self.download:
            return
        download.stalls += 1
        if download.stalls > MAX_STALLS:  # it serves others; the next heartbeat leads to another try
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
        """Take a chunk in; the list counts once all pages are there."""
        download = self.download
        if download is None or token != download.token:
            return
        if not message.count:  # it has a newer one by now, or none: the next heartbeat decides
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
        """Replace our list, if the one that was downloaded is later."""
        try:
            new = self._list_of(download.pages.contents())
        except CodingError as error:
            self.intake.reject_invalid(download.token, error)
            return
        self.counts["fetched"] += 1
        self.counts["pages"] += len(download.pages.pages)
        if new.revision > self.replica.list.revision:
            self.replica.replace(new)
            self.snapshot_transfer.confirm_from(download.token, new.revision)

    def _list_of(self, contents: ListContents) -> EndpointList:
        """The list of contents whose digests were compared."""
        new = self.replica.new_list()
        for member in contents.members.values():
            new.put(member)
        for purge in contents.purges:
            new.purges.add_aged(self.timers.now, purge)
        new.revision = contents.revision
        new.fleet_revision = contents.fleet_revision
        return new
