"""A front's data path as its control logic sees it, without requests and without sockets.

The stand-ins hold what the hosts of the control logic use of `front.decision_loop.DecisionLoop` and
`front.caches.Caches`. The decision module is left out. A probe costs no socket: it is answered after
PROBE_US as a cache in order would do, so the duties' results flow. A front asked for its counts tells COUNTS
of them, as one in service would.
"""

from zlib import crc32

from limepath.configuration.decision_settings import LOAD_NAMES
from limepath.front.clock import clock
from limepath.front.reference_clock import ReferenceClock
from limepath.interface.commands import ReportRequestCounts, SendProbe
from limepath.interface.events import (
    AttemptOutcome,
    EndpointState,
    ProbeEnded,
    RequestArrived,
    RequestCountsWanted,
)

PROBE_US = 1_000  # until a probe is answered
LOAD = {LOAD_NAMES["rif"]: 1.0, LOAD_NAMES["busy"]: 0.1}  # as the caches of the testbed tell
COUNTS = 256  # entries in the table of what is asked for most: as many as a newcomer is told
ONE_GET = RequestArrived(0, 0, 0, 1, 0, 1.0, 0, 0, False, False)


class HollowTurn:
    """In place of DecisionLoop: notes go to the listener only; `answer` is the front's callLater."""

    def __init__(self, call_later, seed):
        self.call_later, self.seed = call_later, seed
        self.listener, self.command_handlers = None, {}

    def joined(self, caches):
        self.command_handlers[SendProbe] = caches.probe

    def gather(self, *notes):
        if self.listener:
            self.listener(notes)
        for note in notes:
            if isinstance(note, RequestCountsWanted):
                self.call_later(0, self.tell_counts, note)

    def tell_counts(self, asked):
        counts = tuple(
            (crc32(b"%d:%d" % (self.seed, rank)), 0, float(COUNTS - rank))
            for rank in range(min(COUNTS, asked.limit))
        )
        self.command_handlers[ReportRequestCounts](ReportRequestCounts(asked.cookie, counts))


class HollowPeer:
    """One member of the list; no connection ever leads to it."""

    __slots__ = ("kind", "removed_at")
    connections, connecting = (), 0

    def __init__(self):
        self.kind = self.removed_at = None


class HollowCaches:
    """In place of Caches."""

    def __init__(self, call_later, turn, limits):
        self.call_later, self.turn, self.limits = call_later, turn, limits
        self.endpoints, self.secured, self.paced = {}, None, None
        self.reference = ReferenceClock(limits.max_clock_skew)

    def update_endpoint(self, ident, name, address, since, standing, kind=None):
        if ident not in self.endpoints:
            if standing == EndpointState.REMOVED:
                return
            self.endpoints[ident] = HollowPeer()
        peer = self.endpoints[ident]
        peer.kind, peer.removed_at = kind, clock() if standing == EndpointState.REMOVED else None

    def apply_purge(self, purge):
        """No request waits that a purge could concern."""

    def probe(self, order, epoch=0):
        self.call_later(PROBE_US / 1e6, self.answered, order.endpoint, clock())

    def answered(self, cache, since):
        self.turn.gather(ProbeEnded(cache, AttemptOutcome.SUCCEEDED, clock() - since, LOAD))

    def sweep(self):
        """Forget members that have been gone for long."""
        oldest = clock() - self.limits.removed_endpoint_lifetime
        gone = [
            ident
            for ident, peer in self.endpoints.items()
            if peer.removed_at is not None and peer.removed_at < oldest
        ]
        for ident in gone:
            del self.endpoints[ident]
