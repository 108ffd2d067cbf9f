"""The packed list on its way from one front to another, in chunks.

Fronts without a site, and a front that has no list yet, ask for it; others ask for pages (`page_transfer`).
Free of I/O.
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

MAX_OUTSTANDING_CHUNKS = 4  # asked for at once
RETRY_INTERVAL_US = 250_000  # until chunks are asked for again
MAX_STALLS = 8  # intervals without a chunk until a download is given up
MAX_PACKS = 2  # packed lists kept
PACK_REUSE_US = 5_000_000  # for which a packed list is sent, with the events since
START_SPREAD_US = 2_000  # of the wait before a download, times the subscribers of its source
NEWEST = Revision(0, -1)


class SnapshotDownload:
    """A packed list on its way here; the size is known with the first chunk."""

    def __init__(self, token: int):
        self.token = token  # of the front that sends it
        self.revision: Revision | None = None
        self.count: int = 1  # of its chunks
        self.digest: bytes = b""
        self.chunks: dict[int, bytes] = {}  # received
        self.requested: set[int] = set()  # asked for and not received
        self.stalls: int = 0


class SnapshotTransfer(Component):
    """Sends the packed list to those that ask, and downloads that of another front."""

    def __init__(self, engine: DiscoveryEngine):
        super().__init__(engine)
        self.packs: OrderedDict[Revision, bytes] = OrderedDict()
        self.packed_at: int = 0
        self.download: SnapshotDownload | None = None

    # At the front that has the list

    def on_request(self, token: int, message: SnapshotChunkRequest) -> None:
        """Send one chunk; nothing where enough was sent in this tick: it is asked for again."""
        if self.tree.enabled and not self.tree_subscribers.may_send_chunk(token):
            return
        revision = Revision(message.generation, message.number)
        if revision.number < 0:
            revision = self._newest_pack(revision)
        data = self.packs.get(revision)
        count = count_chunks(data) if data else 0
        if 0 <= message.chunk < count:
            start = message.chunk * CHUNK_BYTES
            chunk = data[start : start + CHUNK_BYTES]
            reply = SnapshotChunk(*revision, message.chunk, count, snapshot_digest(data), chunk)
        else:
            reply = SnapshotChunk(*revision, message.chunk, 0)
        self.timers.emit(SendToMember(token, reply))

    def _newest_pack(self, default: Revision) -> Revision:
        """The revision of the newest packed list, made if need be; `default` where there is no list."""
        revision = self.replica.list.revision
        if not revision.number or self.replica.confirmed_at is None:
            return default
        revision = self._reusable_pack() or revision
        if revision not in self.packs:
            self.packs[revision] = self.replica.list.pack(self.timers.now)
            self.packed_at = self.timers.now
            while len(self.packs) > MAX_PACKS:
                self.packs.popitem(last=False)
        return revision

    def _reusable_pack(self) -> Revision | None:
        """The revision of the last packed list, if it is young and the window has all events since.

        With a site only, where lists change faster than they are sent.
        """
        if not self.tree.enabled or not self.packs:
            return None
        revision = next(reversed(self.packs))
        is_young = self.timers.now - self.packed_at <= PACK_REUSE_US
        is_same_generation = revision.generation == self.replica.list.revision.generation
        covered = self.replica.window.covers(revision.number)
        return revision if is_young and is_same_generation and covered else None

    # At the front that wants it

    def start(self, token: int, subscribers: int) -> None:
        """Download the list of a front after a random wait, since all its subscribers lack the same."""
        self.download = SnapshotDownload(token)
        wait = int(self.timers.random_fraction() * subscribers * START_SPREAD_US)
        self.timers.schedule(self.timers.now + wait, self._proceed, self.download)

    def _proceed(self, download: SnapshotDownload) -> None:
        """Ask for what is missing, and again after an interval."""
        if download is not self.download:
            return
        download.stalls += 1
        if download.stalls > MAX_STALLS:
            self.download = None
            if not self.tree.enabled:  # in a tree it serves others; the next heartbeat leads to another try
                self.intake.reject_invalid(download.token, "the whole list never came")
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
        """Take a chunk in; the list counts once all are there."""
        download = self.download
        if download is None or token != download.token:
            return
        if not message.count:  # it has a newer one by now, or none: the next heartbeat decides
            self.download = None
            return
        size = message.count * CHUNK_BYTES
        if size > self.settings.max_snapshot_bytes + CHUNK_BYTES or not 0 <= message.chunk < message.count:
            self.download = None
            self.intake.reject_invalid(token, f"a list of {message.count} pieces")
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
        """Replace our list, if the one that was downloaded is later."""
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
        """The downloaded list; raise InvalidEventError."""
        data = b"".join(download.chunks[chunk] for chunk in range(download.count))
        if snapshot_digest(data) != download.digest:
            raise InvalidEventError("does not fit its digest")
        new = self.replica.unpack(data)
        if new.revision != download.revision:
            raise InvalidEventError("another place than told")
        return new

    def confirm_from(self, token: int, revision: Revision) -> None:
        """Our list has come to `revision`.

        It is as young as what its sender's last heartbeat says, if that was no further on.
        """
        source = self.upstream.sources.get(token)
        if not source or not source.heartbeat or source.heartbeat.age < 0:
            return
        if (source.heartbeat.generation, source.heartbeat.number) <= revision:
            self.replica.confirm(source.heartbeat_at - source.heartbeat.age - ASSUMED_DELAY_US)
