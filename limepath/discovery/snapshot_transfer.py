"""The whole list on its way from one front to another, in pieces.

Free of I/O.
"""

from collections import OrderedDict

from limepath.discovery.component import Component
from limepath.discovery.endpoint_list import CHUNK_BYTES, count_chunks, snapshot_digest
from limepath.discovery.event_checks import InvalidEventError
from limepath.discovery.event_intake import ASSUMED_DELAY_US
from limepath.discovery.interface import Revision, SendToMember, SnapshotChunk, SnapshotChunkRequest

MAX_OUTSTANDING_CHUNKS, RETRY_INTERVAL_US, MAX_STALLS = (
    4,
    250_000,
    8,
)  # pieces asked for at once; until asked for again; and until given up
PACK_REUSE_US = 5_000_000  # for which a packed list is told, with the events since
START_SPREAD_US = 2_000  # microseconds of a follower's turn to ask for the whole list, times the followers


class SnapshotDownload:
    """A whole list on its way here, in pieces."""

    def __init__(self, token):
        self.token = token
        self.place = None
        self.of = 1
        self.mark = b""
        self.pieces = {}
        self.asked = set()
        self.stalls = 0


class SnapshotTransfer(Component):
    """`packs` holds the last packed lists by place, `fetch` the one that is asked for."""

    def __init__(self, listing):
        super().__init__(listing)
        self.packs = OrderedDict()
        self.packed_at = 0
        self.fetch = None

    def pack(self, place):
        """The packed list at a place, if it is held; `place` with number -1 is the newest."""
        if place.number < 0 and self.held.list.place.number and self.held.confirmed_at is not None:
            place = self.recent() or self.held.list.place
            if place not in self.packs:
                self.packs[place] = self.held.list.packed(self.timers.now)
                self.packed_at = self.timers.now
                while len(self.packs) > 2:
                    self.packs.popitem(last=False)
        return place, self.packs.get(place)

    def recent(self):
        """The place of the last packed list, if it is young and all events since are held; with a site only,
        where lists change faster than they are told.
        """
        if not self.tree.on or not self.packs:
            return None
        place = next(reversed(self.packs))
        young = self.timers.now - self.packed_at <= PACK_REUSE_US
        same = place.generation == self.held.list.place.generation
        return place if young and same and self.held.window.covers(place.number) else None

    def asked(self, token, message):
        if self.tree.on and not self.children.may_serve_piece(token):
            return  # asked again later
        place, data = self.pack(Revision(message.generation, message.number))
        of = count_chunks(data) if data else 0
        if 0 <= message.piece < of:
            at = message.piece * CHUNK_BYTES
            answer = SnapshotChunk(
                *place, message.piece, of, snapshot_digest(data), data[at : at + CHUNK_BYTES]
            )
        else:
            answer = SnapshotChunk(*place, message.piece, 0)
        self.timers.emit(SendToMember(token, answer))

    def begin(self, token, followers):
        """Each in its turn, since all that follow one lack the same."""
        self.fetch = SnapshotDownload(token)
        wait = int(self.timers.random_fraction() * followers * START_SPREAD_US)
        self.timers.schedule(self.timers.now + wait, self.proceed, self.fetch)

    def proceed(self, fetch):
        """Ask for what is missing, again after RETRY."""
        if fetch is not self.fetch:
            return
        fetch.stalls += 1
        if fetch.stalls > MAX_STALLS:
            self.fetch = None
            if self.tree.on:
                return  # it serves others; the next heartbeat leads to another try
            return self.heard.nonsense(fetch.token, "the whole list never came")
        fetch.asked = set()
        self.ask(fetch)
        self.timers.schedule(self.timers.now + RETRY_INTERVAL_US, self.proceed, fetch)

    def ask(self, fetch):
        place = fetch.place or Revision(0, -1)
        for piece in range(fetch.of):
            if len(fetch.asked) >= MAX_OUTSTANDING_CHUNKS:
                return
            if piece not in fetch.pieces and piece not in fetch.asked:
                fetch.asked.add(piece)
                self.timers.emit(SendToMember(fetch.token, SnapshotChunkRequest(*place, piece)))

    def arrived(self, token, message):
        fetch, place = self.fetch, Revision(message.generation, message.number)
        if fetch is None or token != fetch.token:
            return
        if not message.of:  # it has a newer one by now, or none: the next beat tells
            self.fetch = None
            return
        if message.of * CHUNK_BYTES > self.terms.longest + CHUNK_BYTES or not 0 <= message.piece < message.of:
            self.fetch = None
            return self.heard.nonsense(token, f"a list of {message.of} pieces")
        if fetch.place is None:
            fetch.place = place
            fetch.of = message.of
            fetch.mark = message.mark
        if (place, message.of, message.mark) != (fetch.place, fetch.of, fetch.mark):
            return
        fetch.stalls = 0
        fetch.asked.discard(message.piece)
        fetch.pieces[message.piece] = message.data
        if len(fetch.pieces) < fetch.of:
            return self.ask(fetch)
        self.fetch = None
        data = b"".join(fetch.pieces[at] for at in range(fetch.of))
        try:
            if snapshot_digest(data) != fetch.mark:
                raise InvalidEventError("does not fit its digest")
            new = self.held.unpacked(data)
            if new.place != fetch.place:
                raise InvalidEventError("another place than told")
        except InvalidEventError as flaw:
            return self.heard.nonsense(token, flaw)
        self.counts["fetched"] += 1
        if new.place > self.held.list.place:
            self.held.adopt(new)
            self.confirm_from(token, new.place)

    def confirm_from(self, token, place):
        """The list has come to `place`: as young as what its teller said last, if that was no further on."""
        source = self.upstream.sources.get(token)
        if not source or not source.beat or source.beat.age < 0:
            return
        if (source.beat.generation, source.beat.number) <= place:
            self.held.confirm(source.at - source.beat.age - ASSUMED_DELAY_US)
