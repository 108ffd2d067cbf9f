"""Transfers the complete packed list from one front to another, in chunks.

Fronts without a site and fronts without a list request it; all others request pages (`page_transfer`).
Performs no I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from limepath.discovery.component import Component
from limepath.discovery.endpoint_list import CHUNK_BYTES, EndpointList, count_chunks, snapshot_digest
from limepath.discovery.event_checks import InvalidEventError
from limepath.discovery.event_intake import ASSUMED_DELAY_US
from limepath.discovery.interface import Revision, SendToMember, SnapshotChunk, SnapshotChunkRequest

if TYPE_CHECKING:
    from limepath.discovery.engine import DiscoveryEngine

MAX_OUTSTANDING_CHUNKS = 4  # requested and not yet received
RETRY_INTERVAL_US = 250_000  # after which outstanding chunks are requested again
MAX_STALLS = 8  # retry intervals without a chunk after which a download is aborted
MAX_PACKED_LISTS = 2  # kept
PACKED_LIST_REUSE_US = 5_000_000  # for which new downloads use a packed list; later changes follow as events
START_SPREAD_US = 2_000  # largest delay before a download, per subscriber of its source
NEWEST = Revision(0, -1)  # requests the newest packed list


class SnapshotDownload:
    """A download of a packed list; `revision`, `count` and `digest` are set by the first chunk."""

    def __init__(self, token: int):
        self.token = token  # of the sending front
        self.revision: Revision | None = None
        self.count: int = 1  # of chunks
        self.digest: bytes = b""
        self.chunks: dict[int, bytes] = {}  # received
        self.requested: set[int] = set()  # requested and not yet received
        self.stalls: int = 0  # retry intervals since the last chunk


class SnapshotTransfer(Component):
    """Sends the packed list to fronts that request it, and downloads the list of another front."""

    def __init__(self, engine: DiscoveryEngine):
        super().__init__(engine)
        self.packed_lists: OrderedDict[Revision, bytes] = OrderedDict()
        self.packed_at: int = 0  # time at which the newest packed list was created
        self.download: SnapshotDownload | None = None

    # Sending

    def on_request(self, token: int, message: SnapshotChunkRequest) -> None:
        """Send a chunk, unless the limit of datagrams in this tick has been reached.

        The receiver requests the chunk again in that case.
        """
        if self.tree.enabled and not self.tree_subscribers.may_send_chunk(token):
            return
        revision = Revision(message.generation, message.number)
        if revision.number < 0:
            revision = self._newest_revision(revision)
        data = self.packed_lists.get(revision)
        count = count_chunks(data) if data else 0
        if 0 <= message.chunk < count:
            start = message.chunk * CHUNK_BYTES
            chunk = data[start : start + CHUNK_BYTES]
            reply = SnapshotChunk(*revision, message.chunk, count, snapshot_digest(data), chunk)
        else:
            reply = SnapshotChunk(*revision, message.chunk, 0)
        self.timers.emit(SendToMember(token, reply))

    def _newest_revision(self, default: Revision) -> Revision:
        """Return the revision of the packed list for new downloads, packing the list if necessary.

        Return `default` if there is no confirmed list.
        """
        revision = self.replica.list.revision
        if not revision.number or self.replica.confirmed_at is None:
            return default
        revision = self._reusable_revision() or revision
        if revision not in self.packed_lists:
            self.packed_lists[revision] = self.replica.list.pack(self.timers.now)
            self.packed_at = self.timers.now
            while len(self.packed_lists) > MAX_PACKED_LISTS:
                self.packed_lists.popitem(last=False)
        return revision

    def _reusable_revision(self) -> Revision | None:
        """Return the revision of the last packed list if it can be used for new downloads.

        It can while it is recent and the event window contains all events since. Only fronts with a site
        reuse it, because their lists change faster than they can be sent.
        """
        if not self.tree.enabled or not self.packed_lists:
            return None
        revision = next(reversed(self.packed_lists))
        is_recent = self.timers.now - self.packed_at <= PACKED_LIST_REUSE_US
        is_same_generation = revision.generation == self.replica.list.revision.generation
        covered = self.replica.window.covers(revision.number)
        return revision if is_recent and is_same_generation and covered else None

    # Receiving

    def start(self, token: int, subscribers: int) -> None:
        """Download the list of a front after a random delay.

        The delay spreads the requests of the source's subscribers, which all need the list at the same time.
        """
        self.download = SnapshotDownload(token)
        delay = int(self.timers.random_fraction() * subscribers * START_SPREAD_US)
        self.timers.schedule(self.timers.now + delay, self._proceed, self.download)

    def _proceed(self, download: SnapshotDownload) -> None:
        """Request missing chunks, and repeat this after an interval."""
        if download is not self.download:
            return
        download.stalls += 1
        if download.stalls > MAX_STALLS:
            self.download = None
            if not self.tree.enabled:  # in a tree the sender may be busy; the next heartbeat starts a new one
                self.intake.reject_invalid(download.token, "download of the complete list timed out")
            return
        download.requested = set()
        self._request_missing(download)
        self.timers.schedule(self.timers.now + RETRY_INTERVAL_US, self._proceed, download)

    def _request_missing(self, download: SnapshotDownload) -> None:
        revision = download.revision or NEWEST
        for chunk in range(download.count):
            if len(download.requested) >= MAX_OUTSTANDING_CHUNKS:
                return
            if chunk not in download.chunks and chunk not in download.requested:
                download.requested.add(chunk)
                request = SnapshotChunkRequest(*revision, chunk)
                self.timers.emit(SendToMember(download.token, request))

    def on_chunk(self, token: int, message: SnapshotChunk) -> None:
        """Add a chunk to the download; replace the list once all chunks have been received."""
        download = self.download
        if download is None or token != download.token:
            return
        if not message.count:  # the sender dropped the list or has none; wait for its next heartbeat
            self.download = None
            return
        size = message.count * CHUNK_BYTES
        if size > self.settings.max_snapshot_bytes + CHUNK_BYTES or not 0 <= message.chunk < message.count:
            self.download = None
            self.intake.reject_invalid(
                token,
                f"chunk {message.chunk} of {message.count} is invalid, "
                f"or the list exceeds {self.settings.max_snapshot_bytes} bytes",
            )
            return
        revision = Revision(message.generation, message.number)
        if download.revision is None:
            download.revision = revision
            download.count = message.count
            download.digest = message.digest
        expected = (download.revision, download.count, download.digest)
        if (revision, message.count, message.digest) != expected:
            return
        download.stalls = 0
        download.requested.discard(message.chunk)
        download.chunks[message.chunk] = message.data
        if len(download.chunks) < download.count:
            self._request_missing(download)
            return
        self._finish(download)

    def _finish(self, download: SnapshotDownload) -> None:
        """Replace this front's list if the downloaded list has a later revision."""
        self.download = None
        try:
            new = self._unpack(download)
        except InvalidEventError as error:
            self.intake.reject_invalid(download.token, error)
            return
        self.counts["fetched"] += 1
        if new.revision > self.replica.list.revision:
            self.replica.replace(new)
            self.confirm_from(download.token, new.revision)

    def _unpack(self, download: SnapshotDownload) -> EndpointList:
        """Unpack the downloaded list; raise InvalidEventError if it is invalid."""
        data = b"".join(download.chunks[chunk] for chunk in range(download.count))
        if snapshot_digest(data) != download.digest:
            raise InvalidEventError("the list does not match its digest")
        new = self.replica.unpack(data)
        if new.revision != download.revision:
            raise InvalidEventError(
                f"the list is at revision {tuple(new.revision)}; expected {tuple(download.revision)}"
            )
        return new

    def confirm_from(self, token: int, revision: Revision) -> None:
        """Confirm this front's list, which now is at `revision`, by the sender's last heartbeat.

        The heartbeat states the age of its revision, which must not be later than `revision`.
        """
        source = self.upstream.sources.get(token)
        if not source or not source.heartbeat or source.heartbeat.age < 0:
            return
        if (source.heartbeat.generation, source.heartbeat.number) <= revision:
            self.replica.confirm(source.heartbeat_at - source.heartbeat.age - ASSUMED_DELAY_US)
