"""A cache, a parent or the origin: its attempts in flight and whether it accepts another.

`health` and `concurrency_limit` hold the rest of its state; `slow_start` holds the budgets of warming
servers.
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

OVERLOAD_UTILISATION = 0.95  # reported utilisation (0 to 1) above which a server counts as overloaded


class Server:
    """The state that this front keeps for one endpoint of the list.

    Attributes:
        endpoint: the latest entry of the endpoint list.
        is_upstream: whether the server is a parent or the origin.
        weight, hash_salt: inputs of rendezvous hashing.
        is_reachable: whether this front has a connection to the server or may open one. A source of a fill
            need not be reachable, because the cache connects to it.
        active_attempts: the expected sending time of each active attempt, in microseconds.
        slow_start_duration: microseconds; 0 if the server has no slow start.
        warming_until: time until which the server is expected to hold few copies, so that requests skip the
            lookup and begin with a fill; in microseconds.
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
        self.warming_until: int = 0
        self.health = Health(queue, permissions.probing)
        self.limit = ConcurrencyLimit(is_upstream)
        self._record_start()

    def update(
        self, endpoint: Endpoint, is_upstream: bool, fronts: int, base_concurrency: float, is_weighted: bool
    ) -> None:
        """Apply an entry of the endpoint list and the number of fronts that share the server's capacity."""
        if is_upstream != self.is_upstream:
            self.is_upstream = is_upstream
            self.limit = ConcurrencyLimit(is_upstream)
        has_started = endpoint.started_at > self.endpoint.started_at
        self.endpoint = endpoint
        if endpoint.started_at:
            self.warming_until = max(self.warming_until, endpoint.started_at + self.slow_start_duration)
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
        """Whether requests should skip the lookup at this server and begin with a fill."""
        return self._queue.now < self.warming_until

    def handle_offer(self, request: PendingRequest) -> None:
        """Accept or decline the request, and report the decision to the router."""
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
        """Record an attempt that uses this server as cache or as source."""
        if not self.active_attempts:
            self.health.last_contact_at = self._queue.now  # no answer was due before this attempt
        self.active_attempts[attempt] = sending_time

    def handle_attempt_ended(
        self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        was_target: bool,
        is_overloaded: bool | None,
        work: float = 1.0,
    ) -> None:
        """Remove an attempt that has ended, and update the concurrency limit and the health.

        Args:
            attempt: the attempt to remove.
            outcome: how the attempt ended.
            was_target: whether the front sent the attempt to this server; otherwise the server was the
                source of a fill.
            is_overloaded: whether the end indicates overload of this server; None if it indicates nothing.
            work: this server's work for the answer, as a fraction of a transfer's.
        """
        self.active_attempts.pop(attempt, None)
        if is_overloaded is not None:
            self.limit.record_outcome(is_overloaded, len(self.active_attempts), work)
        if was_target:
            self._update_health_as_target(outcome)
        else:
            self._update_health_as_source(outcome)

    def _update_health_as_target(self, outcome: AttemptOutcome) -> None:
        if outcome in CONNECTION_FAILURES:
            self._record_failure(outcome)
        elif outcome in (AttemptOutcome.SUCCEEDED, AttemptOutcome.MISS, AttemptOutcome.FULL):
            self._record_contact(self._queue.now)

    def _update_health_as_source(self, outcome: AttemptOutcome) -> None:
        if outcome == AttemptOutcome.FULL:  # it is down, overloaded, or its own fetches do not complete
            self.health.needs_probe = True
        if outcome == AttemptOutcome.TIMED_OUT:
            self._record_failure(outcome)
        elif outcome == AttemptOutcome.SUCCEEDED:
            self._record_contact(self._queue.now)

    def _record_contact(self, at: int) -> None:
        has_restarted = self.health.record_contact(at)
        if has_restarted and self.slow_start_duration:
            self.warming_until = at + self.slow_start_duration
            self._queue.put(self._budgets.record_start, self.id, at)

    def _record_failure(self, outcome: AttemptOutcome) -> None:
        if self.health.record_failure(outcome):
            self._queue.put(self._router.handle_server_failed, self)

    def _record_silence(self, outcome: AttemptOutcome) -> None:
        if self.health.record_silence(outcome):
            self._queue.put(self._router.handle_server_failed, self)

    def is_check_due(self) -> bool:
        """Whether the periodic health check applies to this server."""
        return bool(self.active_attempts or self.health.missed_probes or self.health.needs_probe)

    def handle_health_check(self) -> None:
        """Send a probe if one is due; in deployments without probes, treat a long silence as a failure."""
        if not self._probing:
            if self.active_attempts and self.health.is_silent_without_probes(self.active_attempts.values()):
                self._record_silence(AttemptOutcome.TIMED_OUT)
        elif self._is_probe_due():
            self._queue.commands.append(SendProbe(self.id, self.health.begin_probe()))

    def _is_probe_due(self) -> bool:
        if self.endpoint.state != EndpointState.READY:
            return False
        return self.health.is_probe_needed(self.active_attempts.values()) and self.health.is_probe_allowed()

    def handle_probe_ended(self, event: ProbeEnded) -> None:
        """Apply the result of a probe by this front or by another front that shares its results."""
        probe_sent_at = self.health.end_probe()
        observed_at = self._queue.now - event.age
        if event.age and observed_at <= self.health.last_evidence_at:
            return  # another front's result, older than this front's own observation
        if event.outcome == AttemptOutcome.SUCCEEDED:
            self.limit.record_outcome(
                event.load.get("util", 0) > OVERLOAD_UTILISATION, len(self.active_attempts)
            )
            self._record_contact(observed_at)
        elif event.outcome == AttemptOutcome.FULL:  # indicates overload, but neither health nor a failure
            self.limit.record_outcome(True, len(self.active_attempts))
        elif probe_sent_at is None:
            # The other front's own path to the server may have failed, so this front probes the server too.
            if event.age > 0:
                self.health.needs_probe = True
        elif self.health.last_contact_at <= (observed_at if event.age else probe_sent_at):
            if event.outcome in CONNECTION_FAILURES:
                self._record_failure(event.outcome)
            else:
                self._record_silence(event.outcome)
