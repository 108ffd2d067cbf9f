"""One cache, parent or the origin: what is in flight there, and whether it accepts an attempt.

Its health and its concurrency limit are objects of their own; the budgets of warming servers stand in
`slow_start`.
"""

from typing import TYPE_CHECKING

from limepath.decisions.attempt import AttemptId
from limepath.decisions.concurrency_limit import ConcurrencyLimit
from limepath.decisions.event_queue import EventQueue
from limepath.decisions.health import CONNECTION_FAILURES, Health
from limepath.decisions.request import PendingRequest, Phase
from limepath.decisions.slow_start import SlowStartBudgets
from limepath.hashing import mix64
from limepath.interface.commands import SendProbe
from limepath.interface.events import AttemptOutcome, Endpoint, EndpointState, ProbeEnded
from limepath.interface.settings import Permissions

if TYPE_CHECKING:
    from limepath.decisions.router import Router

OVERLOAD_UTILISATION = 0.95  # reported load above which a server counts as overloaded


class Server:
    """One endpoint of the list, as this front uses it.

    Attributes:
        endpoint: what the endpoint list told last.
        is_upstream: whether it is a parent or the origin.
        weight, hash_salt: for rendezvous hashing.
        is_reachable: whether a connection is open or may be opened; fills reach a source without it.
        active_attempts: the expected sending time of each attempt there, in microseconds.
        slow_start_duration: microseconds; 0 where it is never cold.
        warms_until: until when its copies are taken to be few, so that it is asked to fill at once.
    """

    def __init__(
        self,
        queue: EventQueue,
        router: "Router",
        budgets: SlowStartBudgets,
        permissions: Permissions,
        endpoint: Endpoint,
        is_upstream: bool,
        slow_start_duration: int,
    ) -> None:
        self._queue = queue
        self._router = router
        self._budgets = budgets
        self._probing: bool = permissions.probing
        self.id: int = endpoint.id
        self.hash_salt: int = mix64(endpoint.id)
        self.weight: float = 1.0
        self.endpoint: Endpoint = endpoint
        self.is_upstream = is_upstream
        self.is_reachable: bool = True
        self.active_attempts: dict[AttemptId, int] = {}
        self.slow_start_duration = slow_start_duration
        self.warms_until: int = 0
        self.health = Health(queue, permissions.probing)
        self.limit = ConcurrencyLimit(is_upstream)
        self._record_start()

    def update(
        self, endpoint: Endpoint, is_upstream: bool, fronts: int, base_concurrency: float, is_weighted: bool
    ) -> None:
        """Take in what the endpoint list tells: the endpoint, and how many fronts share its capacity."""
        self.is_upstream = is_upstream
        has_started = endpoint.started_at > self.endpoint.started_at
        self.endpoint = endpoint
        if endpoint.started_at:
            self.warms_until = max(self.warms_until, endpoint.started_at + self.slow_start_duration)
        if has_started:
            self._record_start()
        self.limit.fronts = fronts
        self.limit.base_concurrency = base_concurrency
        self.weight = base_concurrency if is_weighted else 1.0

    def _record_start(self) -> None:
        self.health.restart()
        if self.endpoint.started_at:
            self._budgets.record_start(self.id, self.endpoint.started_at)

    @property
    def is_warming(self) -> bool:
        """Whether a lookup should name a source at once."""
        return self._queue.now < self.warms_until

    def handle_offer(self, request: PendingRequest) -> None:
        """Accept the request, as cache or source, or decline it."""
        if self._accepts(request):
            self._queue.put(self._router.handle_accepted, request, self, self.is_warming)
        else:
            self._queue.put(self._router.handle_declined, request, self)

    def _accepts(self, request: PendingRequest) -> bool:
        limit = self.limit.limit_for(request)
        if self.health.is_ejected and not self.health.take_trial(request):
            return False
        if not self.is_reachable and request.phase is not Phase.FILL:
            return False
        if len(self.active_attempts) >= limit:
            return False
        return limit >= 1 or self._queue.random_fraction() <= limit

    def handle_attempt_started(self, attempt: AttemptId, sending_time: int) -> None:
        """An attempt goes to this server, as cache or as source."""
        if not self.active_attempts:
            self.health.last_contact_at = self._queue.now  # it owed no answer until now
        self.active_attempts[attempt] = sending_time

    def handle_attempt_ended(
        self, attempt: AttemptId, outcome: AttemptOutcome, was_asked: bool, is_overloaded: bool | None
    ) -> None:
        """An attempt ended.

        Args:
            attempt: the attempt, forgotten here now.
            outcome: how it ended.
            was_asked: whether the front asked this server itself; else it was the source of a fill.
            is_overloaded: what the end tells of its load; None where it tells nothing.
        """
        self.active_attempts.pop(attempt, None)
        if is_overloaded is not None:
            self.limit.record_outcome(is_overloaded, len(self.active_attempts))
        if was_asked:
            self._judge_answer(outcome)
        else:
            self._judge_as_source(outcome)

    def _judge_answer(self, outcome: AttemptOutcome) -> None:
        if outcome in CONNECTION_FAILURES:
            self._record_failure(outcome)
        elif outcome in (AttemptOutcome.SUCCEEDED, AttemptOutcome.MISS, AttemptOutcome.FULL):
            self._record_contact(self._queue.now)

    def _judge_as_source(self, outcome: AttemptOutcome) -> None:
        if outcome == AttemptOutcome.FULL:  # down, overloaded, or its own fetches do not come back
            self.health.needs_probe = True
        if outcome == AttemptOutcome.TIMED_OUT:
            self._record_failure(outcome)
        elif outcome == AttemptOutcome.SUCCEEDED:
            self._record_contact(self._queue.now)

    def _record_contact(self, at: int) -> None:
        was_long_silent = self.health.record_contact(at)
        if was_long_silent and self.slow_start_duration:
            self.warms_until = at + self.slow_start_duration
            self._queue.put(self._budgets.record_start, self.id, at)

    def _record_failure(self, outcome: AttemptOutcome) -> None:
        if self.health.record_failure(outcome):
            self._queue.put(self._router.handle_server_failed, self)

    def _record_silence(self, outcome: AttemptOutcome) -> None:
        if self.health.record_silence(outcome):
            self._queue.put(self._router.handle_server_failed, self)

    def is_check_due(self) -> bool:
        """Whether the periodic health check has anything to look at here."""
        return bool(self.active_attempts or self.health.missed_probes or self.health.needs_probe)

    def handle_health_check(self) -> None:
        """Send a probe where one is due; where there are none, take a long silence for a failure."""
        if not self._probing:
            if self.active_attempts and self.health.is_silent_unprobed(self.active_attempts.values()):
                self._record_silence(AttemptOutcome.TIMED_OUT)
        elif self._is_probe_due():
            self._queue.commands.append(SendProbe(self.id, self.health.begin_probe()))

    def _is_probe_due(self) -> bool:
        if self.endpoint.state != EndpointState.READY:
            return False
        return self.health.needs_check(self.active_attempts.values()) and self.health.is_probe_allowed()

    def handle_probe_ended(self, event: ProbeEnded) -> None:
        """Take in the result of a probe, of this front or of another that shares its results."""
        probe_sent_at = self.health.end_probe()
        learnt_at = self._queue.now - event.age
        if event.age and learnt_at <= self.health.last_evidence_at:
            return  # another front's, older than what this one has seen itself
        if event.outcome == AttemptOutcome.SUCCEEDED:
            self.limit.record_outcome(
                event.load.get("util", 0) > OVERLOAD_UTILISATION, len(self.active_attempts)
            )
            self._record_contact(learnt_at)
        elif event.outcome == AttemptOutcome.FULL:  # shows overload, neither life nor silence
            self.limit.record_outcome(True, len(self.active_attempts))
        elif probe_sent_at is None:
            if event.age > 0:  # another front's failure may lie on its own way there: probe from here
                self.health.needs_probe = True
        elif self.health.last_contact_at <= (learnt_at if event.age else probe_sent_at):
            if event.outcome in CONNECTION_FAILURES:
                self._record_failure(event.outcome)
            else:
                self._record_silence(event.outcome)
