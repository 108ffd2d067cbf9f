"""The fills in flight from above, and the window of fetches: additive increase, multiplicative decrease.

A fill has a cache, or a parent past the caches, get an object from a source. A fetch is a fill that may go
beyond what the source holds. Fills are limited by this front's share of the link, fetches by a window that
grows as fetches come back in time (docs/design.md, exceptions 3 and 4).
"""

from limepath.decisions.attempt import ActiveAttempt, AttemptId, AttemptResult
from limepath.decisions.event_queue import EventQueue
from limepath.decisions.request import PendingRequest
from limepath.interface.events import AttemptOutcome
from limepath.interface.settings import Topology

FILLS_PER_LINK = 2.2  # fills in flight, in transfers of the link; less rejects, more is late; 2 to 2.5 alike
UNLIMITED_FILLS = 1e9  # where the link has no limit
INCREASE = 5  # a window gains this / window by a fetch in time ...
USUAL_MAX_FILLS = 40  # ... in proportion to `max_fills` over this
DECREASE_LATE = 0.85  # of the window after a late fetch, or one lost among those in time
DECREASE_LOST = 0.1  # of it after others lost
INITIAL_WINDOW = 1  # with all shares of many fronts that start at once the origin would be overloaded
LEAST_FETCHES = 4  # least window of all fronts together
RECOVERY_DOUBLING_US = 3_000_000  # time in which a window under 1 doubles
MOST_DOUBLINGS = 9  # at once, however long there was no fetch
OVERLOADED_CACHE_FACTOR = 0.5  # limit factor up to which a lost fill is taken for the cache's own fault
LOST_FETCH_OUTCOMES = (
    AttemptOutcome.SUCCEEDED,  # late
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.FAILED,
    AttemptOutcome.FULL,
)
IN_TIME_MEMORY_US = 200_000  # after a fetch in time, another's loss says little of what is above


class FetchWindow:
    """Fills and fetches in flight, and how many there may be.

    Attributes:
        max_fills: this front's share of the link.
        size: of the window; under 1 it is a probability.
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
        self._increase = INCREASE * max(1, min(link_kb_s, self.max_fills) / USUAL_MAX_FILLS)
        self._least_size = min(1, LEAST_FETCHES / topology.fronts)
        self._fills: set[AttemptId] = set()
        self._fetches: set[AttemptId] = set()
        self._recovered_at = 0
        self._last_in_time_at = 0

    def may_fill(self, request: PendingRequest) -> bool:
        """Whether the link has room: one more on a jammed link makes all fills late, whatever jams it."""
        return len(self._fills) < self.max_fills * request.size_factor

    def may_fetch(self) -> bool:
        """Whether the window allows one more fetch; a window under 1 allows it by chance."""
        if self.size < 1:  # it opens again by itself, so that now and then a fetch tells
            doublings = (self._queue.now - self._recovered_at) / RECOVERY_DOUBLING_US
            self.size = min(1, self.size * 2 ** min(MOST_DOUBLINGS, doublings))
        self._recovered_at = self._queue.now
        if len(self._fetches) >= self.size:
            return False
        return self.size >= 1 or self._queue.random_fraction() < self.size

    def add(self, attempt: AttemptId, cached_only: bool) -> None:
        """A fill has begun; with `cached_only` it is no fetch."""
        self._fills.add(attempt)
        if not cached_only:
            self._fetches.add(attempt)

    def handle_attempt_ended(self, attempt: AttemptId, ended: ActiveAttempt, result: AttemptResult) -> None:
        """An attempt ended: a fetch in time widens the window, a late or lost one narrows it."""
        self._fills.discard(attempt)
        if attempt not in self._fetches:
            return
        self._fetches.remove(attempt)
        if result.in_time:
            self.size = min(self.max_fills, self.size + min(self.size, self._increase / self.size))
            self._last_in_time_at = self._queue.now
        elif result.outcome in LOST_FETCH_OUTCOMES and _are_servers_sound(ended):
            self._decrease(result.outcome)

    def _decrease(self, outcome: AttemptOutcome) -> None:
        """A late fetch, or one lost beside others that come back in time, is no sign of a jam."""
        others_in_time = self._queue.now - self._last_in_time_at < IN_TIME_MEMORY_US
        if others_in_time and outcome == AttemptOutcome.FAILED:
            return  # its object fails, or one parent
        is_mild = outcome == AttemptOutcome.SUCCEEDED or (
            others_in_time and outcome == AttemptOutcome.TIMED_OUT
        )
        self.size = max(self._least_size, self.size * (DECREASE_LATE if is_mild else DECREASE_LOST))


def _are_servers_sound(attempt: ActiveAttempt) -> bool:
    """Whether neither the cache nor the source explains a loss: then what lies above them does."""
    source = attempt.source
    if source.limit.factor < 1 or source.health.missed_probes:
        return False
    return attempt.server.limit.factor > OVERLOADED_CACHE_FACTOR
