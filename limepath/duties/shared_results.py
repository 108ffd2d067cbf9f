"""Results of serving targets, shared among all instances: the newest of each target is kept.

A result goes out with its age and its prober. Up to NEARBY others get it from its prober alone, twice. Beyond
that it spreads as an epidemic: whoever receives it new passes it on in SPREAD_ROUNDS batches, then no more
(Demers et al., "Epidemic algorithms for replicated database maintenance", 1987; with 2 x 2 sends a share of
exp(-4) misses it). An instance that misses one asks for a probe if it wants one; the next interval brings the
next result.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from limepath.configuration.sharing_settings import LeaseSettings
from limepath.duties.interface import ProbeResult, ProbeResults, ResultShared, SendToMember
from limepath.interface.events import AttemptOutcome
from limepath.timer_queue import TimerQueue

NEARBY = 8
"""Other instances up to which a prober sends its results to all of them itself."""
SPREAD_ROUNDS = 2
"""Batches in which a result is passed on."""
RESULTS_PER_MESSAGE = 18
"""So many fit into one datagram."""
TRANSIT_TIME = 5000
"""Microseconds added to an age for the network's delay, which nobody measures."""
AGREEING_PROBERS = 2
"""Probers whose failures must agree before they stand in for a probe of another instance."""
RESULTS_PER_TARGET = 2
"""Results stored of one target, of different probers."""


class KnownResult(NamedTuple):
    """A result, and when the target was served by the local clock."""

    result: ProbeResult
    served_at: int


class SharedResults:
    """The results that one instance knows.

    `token` is the instance's own, `intervals` are those of the duties by index. `live_members()` gives the
    tokens of the other live instances, `is_live(token)` whether a prober lives in this instance's view.
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
        """Of this instance's latest own result."""
        self.known: dict[tuple[int, int], list[KnownResult]] = {}
        """By duty and target, the newest first."""
        self.rounds_left: dict[tuple[int, int], int] = {}
        """Batches in which the newest result of a target is still to be passed on."""
        self.counts: Counter[str] = Counter()
        """Received results by what became of them."""
        self.is_spreading = False
        """Whether the next batch is scheduled."""

    # Own results and their spreading

    def add_own(self, duty: int, target: int, outcome: int, duration: int, load: dict[str, float]) -> None:
        """Keep a result of this instance itself and begin to spread it."""
        self.serial += 1
        result = ProbeResult(duty, target, self.token, self.serial, 0, outcome, duration, load)
        self._store(result, self.timers.now)
        self._spread(result)

    def _store(self, result: ProbeResult, served_at: int) -> None:
        """Store it in place of the same prober's last one, beside the newest of another prober."""
        key = result.duty, result.target
        others = [known for known in self.known.get(key, ()) if known.result.prober != result.prober]
        kept = [KnownResult(result, served_at), *others[: RESULTS_PER_TARGET - 1]]
        self.known[key] = sorted(kept, key=lambda known: -known.served_at)

    def _spread(self, result: ProbeResult) -> None:
        live = len(self.live_members())
        if not live or (live <= NEARBY and result.prober != self.token):
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
        if len(live) > NEARBY:
            receivers = self.timers.sample(live, min(self.settings.copies, len(live)))
        for first in range(0, len(results), RESULTS_PER_MESSAGE):
            message = ProbeResults(tuple(results[first : first + RESULTS_PER_MESSAGE]))
            for token in receivers:
                self.timers.emit(SendToMember(token, message))
        self.timers.schedule(self.timers.now + self.settings.batch, self._send_batch)

    def _take_batch(self) -> list[ProbeResult]:
        """Return the results to be passed on with their ages, and count one round of each."""
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

    def receive(self, results: Iterable[ProbeResult]) -> list[KnownResult]:
        """Take in others' results; return those that are new."""
        new: list[KnownResult] = []
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
            new.append(KnownResult(aged, served_at))
        return new

    def _rejection(self, result: ProbeResult, served_at: int) -> str | None:
        """Return the count under which a result is dropped, or None for one to be taken in."""
        known = self.known.get((result.duty, result.target))
        # Most are known where they spread as an epidemic: the cheapest test of all comes first.
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

    def _is_superseded(self, known: Iterable[KnownResult], result: ProbeResult, served_at: int) -> bool:
        for other in known:
            if other.result.prober == result.prober:
                return result.serial <= other.result.serial
            if other.served_at > served_at + self.intervals[result.duty]:
                return True
        return False

    # Answers

    def find_answer(self, target: int, max_age: int) -> ProbeResult | None:
        """Return the newest result that stands in for a probe, not older than `max_age` or its interval.

        A failure that one prober alone has met may be of its own network path; it does not stand in.
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
        """Forget the results of all targets of this duty but these."""
        targets = set(targets)
        for key in [key for key in self.known if key[0] == duty and key[1] not in targets]:
            del self.known[key]
            self.rounds_left.pop(key, None)
