"""Sharing of the results of serving targets among all instances, which store the newest of each target.

A result is sent with its age and its prober. In fleets of up to MAX_DIRECT_RECEIVERS other instances its
prober sends it to all of them, twice. In larger fleets it spreads by an epidemic protocol: an instance that
receives a new result passes it on in SPREAD_ROUNDS batches (Demers et al., "Epidemic algorithms for
replicated database maintenance", 1987). With 2 batches to 2 receivers each, a fraction exp(-4) of the
instances misses it. Such an instance sends a probe if it needs a result; it gets the next result an interval
later.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from limepath.configuration.sharing_settings import LeaseSettings
from limepath.duties.interface import ProbeResult, ProbeResults, ResultShared, SendToMember
from limepath.interface.events import AttemptOutcome
from limepath.timer_queue import TimerQueue

MAX_DIRECT_RECEIVERS = 8
"""Up to this many other instances, a prober sends its results to all of them directly."""
SPREAD_ROUNDS = 2
"""The number of batches in which an instance sends a result."""
RESULTS_PER_MESSAGE = 18
"""The number of results that fit into one datagram."""
TRANSIT_TIME = 5000
"""Microseconds added to the age of a received result for the network's delay, which is not measured."""
AGREEING_PROBERS = 2
"""The number of probers that must report a failure before it replaces a probe of another instance."""
RESULTS_PER_TARGET = 2
"""The most results stored for one target, each of a different prober."""


class StoredResult(NamedTuple):
    """A result, and the time by the local clock at which the target was served."""

    result: ProbeResult
    served_at: int


class SharedResults:
    """The results that one instance stores and passes on.

    `token` is the instance's own token, `intervals` has the interval of each duty by its index.
    `live_members()` returns the tokens of the other live instances, `is_live(token)` whether a prober is live
    in this instance's view.
    """

    def __init__(
        self,
        timers: TimerQueue,
        token: int,
        intervals: Sequence[int],
        settings: LeaseSettings,
        live_members: Callable[[], Sequence[int]],
        is_live: Callable[[int], bool],
    ):
        self.timers = timers
        self.token = token
        self.intervals = intervals
        self.settings = settings
        self.live_members = live_members
        self.is_live = is_live
        self.serial = 0
        """The serial number of this instance's latest own result."""
        self.known: dict[tuple[int, int], list[StoredResult]] = {}
        """The stored results by duty and target, the newest first."""
        self.rounds_left: dict[tuple[int, int], int] = {}
        """By duty and target, the number of batches that the newest result is still to be sent in."""
        self.counts: Counter[str] = Counter()
        """The number of received results by whether they were new or why they were dropped."""
        self.is_spreading = False
        """Whether the next batch is scheduled."""

    # Own results and sending

    def add_own(self, duty: int, target: int, outcome: int, duration: int, load: dict[str, float]) -> None:
        """Store a result of this instance and begin to send it to others."""
        self.serial += 1
        result = ProbeResult(duty, target, self.token, self.serial, 0, outcome, duration, load)
        self._store(result, self.timers.now)
        self._spread(result)

    def _store(self, result: ProbeResult, served_at: int) -> None:
        """Store a result in place of the same prober's previous one, beside the newest of another prober."""
        key = result.duty, result.target
        others = [known for known in self.known.get(key, ()) if known.result.prober != result.prober]
        kept = [StoredResult(result, served_at), *others[: RESULTS_PER_TARGET - 1]]
        self.known[key] = sorted(kept, key=lambda known: -known.served_at)

    def _spread(self, result: ProbeResult) -> None:
        live = len(self.live_members())
        if not live or (live <= MAX_DIRECT_RECEIVERS and result.prober != self.token):
            return
        self.rounds_left[result.duty, result.target] = SPREAD_ROUNDS
        if not self.is_spreading:
            self.is_spreading = True
            self.timers.schedule(self.timers.now + self.settings.batch, self._send_batch)

    def _send_batch(self) -> None:
        live = self.live_members()
        self.is_spreading = bool(self.rounds_left)
        if not self.rounds_left:
            return
        results = self._take_batch()
        receivers = live
        if len(live) > MAX_DIRECT_RECEIVERS:
            receivers = self.timers.sample(live, min(self.settings.copies, len(live)))
        for first in range(0, len(results), RESULTS_PER_MESSAGE):
            message = ProbeResults(tuple(results[first : first + RESULTS_PER_MESSAGE]))
            for token in receivers:
                self.timers.emit(SendToMember(token, message))
        self.timers.schedule(self.timers.now + self.settings.batch, self._send_batch)

    def _take_batch(self) -> list[ProbeResult]:
        """Return the results to send now with their present ages, and count one batch for each."""
        batch: list[ProbeResult] = []
        for key in list(self.rounds_left):
            known = self.known.get(key)
            self.rounds_left[key] -= 1
            if self.rounds_left[key] <= 0 or not known:
                del self.rounds_left[key]
            if known:
                newest = known[0]
                batch.append(newest.result._replace(age=self.timers.now - newest.served_at))
        return batch

    # Results of other instances

    def receive(self, results: Iterable[ProbeResult]) -> list[StoredResult]:
        """Store results received from other instances; return those that are new."""
        new: list[StoredResult] = []
        arrived_at = self.timers.now - TRANSIT_TIME
        for result in results:
            rejection = self._rejection(result, arrived_at - result.age)
            if rejection is not None:
                self.counts[rejection] += 1
                continue
            served_at = arrived_at - result.age
            aged = result._replace(age=result.age + TRANSIT_TIME)
            self._store(aged, served_at)
            if self.known[aged.duty, aged.target][0].result is aged:
                self._spread(aged)
            self.counts["new"] += 1
            self.timers.emit(ResultShared(aged))
            new.append(StoredResult(aged, served_at))
        return new

    def _rejection(self, result: ProbeResult, served_at: int) -> str | None:
        """Return the name of the count under which a result is dropped, or None if it is to be stored."""
        known = self.known.get((result.duty, result.target))
        # In epidemic spreading most received results are known already, so the cheapest check comes first.
        if known and (
            (known[0].result.prober == result.prober and known[0].result.serial == result.serial)
            or self._is_superseded(known, result, served_at)
        ):
            return "known"
        if not 0 <= result.duty < len(self.intervals) or result.age < 0:
            return "unknown duty"
        if result.prober == self.token:
            return "known"
        if not self.is_live(result.prober):
            return "dead prober"
        if result.age > self.intervals[result.duty]:
            return "too old"
        return None

    def _is_superseded(self, known: Iterable[StoredResult], result: ProbeResult, served_at: int) -> bool:
        for other in known:
            if other.result.prober == result.prober:
                return result.serial <= other.result.serial
            if other.served_at > served_at + self.intervals[result.duty]:
                return True
        return False

    # Lookup

    def find_recent_result(self, target: int, max_age: int) -> ProbeResult | None:
        """Return the newest result that can replace a probe, not older than `max_age` or the duty's interval.

        A failure that only one prober reports does not count, because its own network path may be the cause.
        """
        now = self.timers.now
        fresh = [
            known
            for duty, interval in enumerate(self.intervals)
            for known in self.known.get((duty, target), ())
            if now - known.served_at < min(interval, max_age) and self.is_live(known.result.prober)
        ]
        if not fresh:
            return None
        newest = max(fresh, key=lambda known: known.served_at)
        failures = sum(known.result.outcome != AttemptOutcome.SUCCEEDED for known in fresh)
        if newest.result.outcome != AttemptOutcome.SUCCEEDED and failures < AGREEING_PROBERS:
            return None
        return newest.result._replace(age=now - newest.served_at)

    def retain(self, duty: int, targets: Iterable[int]) -> None:
        """Delete the results of all other targets of this duty."""
        targets = set(targets)
        for key in [key for key in self.known if key[0] == duty and key[1] not in targets]:
            del self.known[key]
            self.rounds_left.pop(key, None)
