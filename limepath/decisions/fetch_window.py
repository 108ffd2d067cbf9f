"""Limits fills, and limits fetches by a window with additive increase and multiplicative decrease.

In a fill, a cache (or a parent, for a direct attempt) gets an object from a source. A fetch is a fill for
which the source may request the object from further upstream. This front's share of the link limits fills; a
window that grows with each fetch that completes in time limits fetches (docs/design.md, exceptions 3 and 4).
"""

from limepath.decisions.attempt import ActiveAttempt, AttemptId, AttemptResult
from limepath.decisions.event_queue import EventQueue
from limepath.decisions.request import PendingRequest
from limepath.interface.events import AttemptOutcome
from limepath.interface.settings import Topology

# Fills in flight per transfer that the link carries at full rate: a lower value causes rejections, a higher
# value causes late fills. Values from 2 to 2.5 perform alike.
FILLS_PER_LINK = 2.2
UNLIMITED_FILLS = 1e9  # for a link without a limit
INCREASE = 5  # a fetch in time widens the window by INCREASE / window, ...
REFERENCE_MAX_FILLS = 40  # ... multiplied by `max_fills` / REFERENCE_MAX_FILLS if that exceeds 1
DECREASE_LATE = 0.85  # multiplies the window after a late fetch, or after one lost while others are in time
DECREASE_LOST = 0.1  # multiplies the window after other lost fetches
INITIAL_WINDOW = 1  # fetches; if many fronts started at once with full shares, they would overload the origin
MIN_TOTAL_FETCHES = 4  # minimum sum of the windows of all fronts
RECOVERY_DOUBLING_US = 3_000_000  # time in which a window under 1 doubles
MAX_DOUBLINGS = 9  # in one recovery, however long the time since the last fetch
OVERLOADED_CACHE_FACTOR = 0.5  # limit factor at or below which a lost fill is attributed to the cache
LOST_FETCH_OUTCOMES = (
    AttemptOutcome.SUCCEEDED,  # succeeded, but late
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.FAILED,
    AttemptOutcome.FULL,
)
# For this long after a fetch in time, the loss of another fetch does not indicate congestion upstream.
RECENT_FETCH_US = 200_000


class FetchWindow:
    """The fills and fetches in flight, and the limits on them.

    Attributes:
        max_fills: number of fills that this front's share of the link allows.
        size: size of the window, in fetches; a size under 1 is a probability.
    """

    def __init__(self, queue: EventQueue, topology: Topology) -> None:
        self._queue = queue
        link_kb_s = 0.0
        if topology.zone < len(topology.link_kb_s):
            link_kb_s = topology.link_kb_s[topology.zone]
        self.max_fills: float = UNLIMITED_FILLS
        if link_kb_s:
            transfers = FILLS_PER_LINK * link_kb_s / topology.transfer_kb_s
            self.max_fills = max(1, transfers / topology.fronts_in_zone)
        self.size: float = min(INITIAL_WINDOW, self.max_fills)
        self._increase = INCREASE * max(1, min(link_kb_s, self.max_fills) / REFERENCE_MAX_FILLS)
        self._min_size = min(1, MIN_TOTAL_FETCHES / topology.fronts)
        self._fills: set[AttemptId] = set()
        self._fetches: set[AttemptId] = set()
        self._recovered_at = 0
        self._last_in_time_at = 0

    def may_fill(self, request: PendingRequest) -> bool:
        """Return whether the link has room for the fill.

        One more fill on a congested link delays all of them, whatever the cause of the congestion.
        """
        return len(self._fills) < self.max_fills * request.size_factor

    def may_fetch(self) -> bool:
        """Return whether the window allows one more fetch; a window under 1 is the probability of that."""
        # A window under 1 recovers with time, so that occasional fetches can detect the end of congestion.
        if self.size < 1:
            doublings = (self._queue.now - self._recovered_at) / RECOVERY_DOUBLING_US
            self.size = min(1, self.size * 2 ** min(MAX_DOUBLINGS, doublings))
        self._recovered_at = self._queue.now
        if len(self._fetches) >= self.size:
            return False
        return self.size >= 1 or self._queue.random_fraction() < self.size

    def add(self, attempt: AttemptId, cached_only: bool) -> None:
        """Record a fill that has begun; it is also a fetch unless `cached_only` is set."""
        self._fills.add(attempt)
        if not cached_only:
            self._fetches.add(attempt)

    def handle_attempt_ended(self, attempt: AttemptId, ended: ActiveAttempt, result: AttemptResult) -> None:
        """Remove an ended attempt; a fetch in time widens the window, a late or lost fetch narrows it."""
        self._fills.discard(attempt)
        if attempt not in self._fetches:
            return
        self._fetches.remove(attempt)
        if result.in_time:
            self.size = min(self.max_fills, self.size + min(self.size, self._increase / self.size))
            self._last_in_time_at = self._queue.now
        elif result.outcome in LOST_FETCH_OUTCOMES and _are_servers_healthy(ended):
            self._decrease(result.outcome)

    def _decrease(self, outcome: AttemptOutcome) -> None:
        """Narrow the window after a late or lost fetch.

        The decrease is small after a late fetch, and after one that timed out while others complete in time,
        because neither indicates congestion.
        """
        others_in_time = self._queue.now - self._last_in_time_at < RECENT_FETCH_US
        if others_in_time and outcome == AttemptOutcome.FAILED:
            return  # the object or a single parent is at fault
        is_mild = outcome == AttemptOutcome.SUCCEEDED or (
            others_in_time and outcome == AttemptOutcome.TIMED_OUT
        )
        self.size = max(self._min_size, self.size * (DECREASE_LATE if is_mild else DECREASE_LOST))


def _are_servers_healthy(attempt: ActiveAttempt) -> bool:
    """Return whether neither the cache nor the source explains a loss, so that its cause is upstream."""
    source = attempt.source
    if source.limit.factor < 1 or source.health.missed_probes:
        return False
    return attempt.server.limit.factor > OVERLOADED_CACHE_FACTOR
