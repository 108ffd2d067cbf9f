"""What differs of the whole list, on its way between two fronts of a tree: pages with digests, in chunks.

A snapshot stands still, so that all that begin within SNAPSHOT_KEPT ask for the same; it is kept while it is
asked for, and what came since is in the window. Those that ask share a set number of datagrams in a tick.
Free of I/O.
"""

from limepath.discovery.component import Component
from limepath.discovery.interface import PageChunk, PageChunkRequest, Revision, SendToMember
from limepath.discovery.paged_snapshot import (
    ChunkId,
    ChunkNotFoundError,
    DamagedPageError,
    PagedDownload,
    SnapshotChangedError,
    SnapshotPageChunk,
)
from limepath.discovery.paged_snapshot import PagedSnapshot as Standing
from limepath.discovery.pages import ListContents
from limepath.discovery.varint import CodingError

MAX_OUTSTANDING_CHUNKS, RETRY_INTERVAL_US, MAX_STALLS = (
    4,
    250_000,
    16,
)  # chunks asked for at once; until asked again; and until given up
SNAPSHOT_REUSE_US = 5_000_000  # for which a snapshot is told to those that begin, with the events since
SNAPSHOT_IDLE_US = 10_000_000  # after which one that nobody asks for is dropped
MAX_SNAPSHOTS = 4  # kept at the most, for those that have begun with them


class PageDownload:
    """A list on its way here from one front."""

    def __init__(self, token, mine):
        self.token = token
        self.catch_up = PagedDownload(mine)
        self.asked = set()
        self.stalls = 0


class PageTransfer(Component):
    """`snapshots` are those told to others by place and mark, `transfer` what this front asks for."""

    def __init__(self, listing):
        super().__init__(listing)
        self.snapshots = {}
        self.asked_at = {}
        self.made_at = 0
        self.transfer = None

    def contents(self):
        """The list as it stands."""
        held = self.held.list
        purges = held.purges.kept(self.timers.now)
        return ListContents(held.place, held.revision, dict(held.members), purges)

    # At the one that has it

    def newest(self):
        """A snapshot from which events lead to the list, made anew where the last one is old; or None."""
        held = self.held
        if held.confirmed_at is None or not held.list.place.number:
            return None
        last = next(reversed(self.snapshots.values()), None)
        young = self.timers.now - self.made_at <= SNAPSHOT_REUSE_US
        if last and young and last.place.generation == held.list.place.generation:
            if held.window.covers(last.place.number):
                return last
        self.drop()
        made = Standing(self.contents())
        self.snapshots[made.place, made.mark] = made
        self.made_at = self.timers.now
        return made

    def drop(self):
        """Forget snapshots that nobody asks for any more, and more of them to have room for another."""
        now = self.timers.now
        unasked = [key for key in self.snapshots if now - self.asked_at.get(key, 0) > SNAPSHOT_IDLE_US]
        longest = sorted(set(self.snapshots) - set(unasked), key=lambda key: self.asked_at.get(key, 0))
        for key in unasked + longest[: max(0, len(longest) - MAX_SNAPSHOTS + 1)]:
            del self.snapshots[key]
            self.asked_at.pop(key, None)

    def asked(self, token, message):
        """Answer one that asks for a chunk; not at all where enough went out in this tick."""
        if not self.tree.on or not self.children.may_serve_piece(token):
            return
        place = Revision(message.generation, message.number)
        snapshot = self.newest() if place.number < 0 else self.snapshots.get((place, message.mark))
        try:
            if snapshot is None:
                raise ChunkNotFoundError("not held any more")
            chunk = snapshot.chunk(ChunkId(message.page, message.chunk))
            self.asked_at[snapshot.place, snapshot.mark] = self.timers.now
            answer = PageChunk(*chunk.place, *chunk[1:])
        except ChunkNotFoundError:
            answer = PageChunk(*place, message.mark, message.page, message.chunk, 0)
        self.timers.emit(SendToMember(token, answer))

    # At the one that wants it

    def begin(self, token):
        """Ask one that is followed for what differs of its list."""
        self.transfer = PageDownload(token, self.contents())
        self.proceed(self.transfer)

    def proceed(self, transfer):
        """Ask for what is missing, again after RETRY; give up after STALLS without a chunk."""
        if transfer is not self.transfer:
            return
        transfer.stalls += 1
        if transfer.stalls > MAX_STALLS:
            self.transfer = None
            return  # it serves others; the next heartbeat leads to another try
        transfer.asked = set()
        self.ask(transfer)
        self.timers.schedule(self.timers.now + RETRY_INTERVAL_US, self.proceed, transfer)

    def ask(self, transfer):
        place, mark = transfer.catch_up.place or Revision(0, -1), transfer.catch_up.mark or 0
        for name in transfer.catch_up.wanted():
            if len(transfer.asked) >= MAX_OUTSTANDING_CHUNKS:
                return
            if name not in transfer.asked:
                transfer.asked.add(name)
                self.timers.emit(SendToMember(transfer.token, PageChunkRequest(*place, mark, *name)))

    def arrived(self, token, message):
        transfer = self.transfer
        if transfer is None or token != transfer.token:
            return
        if not message.count:  # it has a newer one by now, or none: the next heartbeat tells
            self.transfer = None
            return
        place = Revision(message.generation, message.number)
        chunk = SnapshotPageChunk(
            place, message.mark, message.page, message.chunk, message.count, message.data
        )
        try:
            transfer.catch_up.take(chunk)
        except SnapshotChangedError:
            return
        except DamagedPageError as error:
            self.transfer = None
            return self.heard.nonsense(token, error)
        transfer.stalls = 0
        transfer.asked.discard(ChunkId(message.page, message.chunk))
        if transfer.catch_up.complete:
            self.transfer = None
            return self.take(token, transfer.catch_up)
        self.ask(transfer)

    def take(self, token, catch_up):
        """Put the other's list in the place of ours, if it is later."""
        try:
            new = self.list_of(catch_up.contents())
        except CodingError as error:
            return self.heard.nonsense(token, error)
        self.counts["fetched"] += 1
        self.counts["pages"] += len(catch_up.pages)
        if new.place > self.held.list.place:
            self.held.adopt(new)
            self.snapshot.confirm_from(token, new.place)

    def list_of(self, contents):
        """The List of contents whose digests were compared."""
        new = self.held.empty()
        for member in contents.members.values():
            new.put(member)
        for kept in contents.purges:
            new.purges.add_kept(self.timers.now, kept)
        new.place = contents.place
        new.revision = contents.revision
        return new
