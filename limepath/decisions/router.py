"""Routes each request: cache lookup, fill, direct attempt at a parent, retry and rejection.

`request.Phase` lists the phases of a request. A lookup that misses becomes a fill through the same cache.
A fill that no source accepts becomes a second lookup, which accepts a stale copy. A lookup that no cache
accepts becomes a direct attempt at a parent. A request that no server accepts is answered immediately, with
a time after which the client may retry.
"""

from collections.abc import Sequence
from typing import TYPE_CHECKING

from limepath.decisions.attempt import (
    ActiveAttempt,
    AttemptId,
    AttemptResult,
    evaluate_attempt,
    indicates_source_load,
)
from limepath.decisions.candidates import Candidates
from limepath.decisions.event_queue import EventQueue
from limepath.decisions.fetch_window import FetchWindow
from limepath.decisions.frequency_table import FrequencyTable
from limepath.decisions.guard import Violation
from limepath.decisions.health import CONNECTION_FAILURES
from limepath.decisions.rendezvous import rendezvous_order
from limepath.decisions.request import PendingRequest, Phase
from limepath.decisions.sending_times import SendingTimes
from limepath.interface.commands import CancelAttempt
from limepath.interface.events import (
    NEVER_EXECUTED,
    AttemptEnded,
    AttemptOutcome,
    ClientDisconnected,
    RequestArrived,
    ResponseStarted,
    ShutdownStarted,
)
from limepath.interface.settings import DeliveryService, Idempotency, Permissions

if TYPE_CHECKING:
    from limepath.decisions.guard import Guard
    from limepath.decisions.server import Server

# Mean fraction of `max_retry_after`, with jitter of +/- 50 %: retries this early still meet their deadlines;
# 0.75 performs far worse.
RETRY_AFTER_FRACTION = 0.1


class Router:
    """Holds the open requests and advances each of them through its phases.

    Attributes:
        guard: checks the rules; assigned by the engine because the router and the guard refer to each other.
        caches, parents, origin: the servers that are ready; origin is None if there is none.
        open_requests: the requests without a final answer, by id.
    """

    guard: "Guard"

    def __init__(
        self,
        queue: EventQueue,
        services: Sequence[DeliveryService],
        permissions: Permissions,
        frequency_table: FrequencyTable,
        sending_times: SendingTimes,
        fetch_window: FetchWindow,
    ) -> None:
        self._queue = queue
        self._services = services
        self._permissions = permissions
        self._frequency_table = frequency_table
        self._sending_times = sending_times
        self._fetch_window = fetch_window
        self._active: dict[AttemptId, ActiveAttempt] = {}
        self.open_requests: dict[int, PendingRequest] = {}
        self.caches: list[Server] = []
        self.parents: list[Server] = []
        self.origin: Server | None = None

    def set_servers(self, caches: list["Server"], parents: list["Server"], origin: "Server | None") -> None:
        """Replace the servers that are ready."""
        self.caches = caches
        self.parents = parents
        self.origin = origin

    # Arrival of a request and selection of its server.

    def handle_request_arrived(self, event: RequestArrived) -> None:
        """Rank the object, order the candidate servers and offer the request to the first of them."""
        service = self._services[event.service]
        sending_time = self._sending_times.record_arrival(event, service)
        request = PendingRequest(event, service, self._queue.now + event.time_left, sending_time)
        self.open_requests[event.id] = request
        object_part = request.object_part
        request.caches = Candidates(rendezvous_order(object_part, self.caches))
        if service.uncacheable:  # pass-through: directly to the origin, or by a cache that uses it as source
            request.sources = Candidates([self.origin] if self.origin else [])
            if self._permissions.direct:
                request.caches = request.sources
        else:
            request.rank = self._frequency_table.count_request(object_part, request.size_kb)
            request.sources = Candidates(rendezvous_order(object_part, self.parents))
        self._offer_to_next_server(request)

    def _offer_to_next_server(self, request: PendingRequest) -> None:
        """Offer the request to the next server in hash order: a cache for a lookup, otherwise a source."""
        is_lookup = request.phase is Phase.LOOKUP
        if not (is_lookup or request.service.uncacheable or self._fetch_window.may_fill(request)):
            self._fall_back(request)
            return
        candidates = request.caches if is_lookup else request.sources
        if server := candidates.first_except(request.excluded):
            self._queue.put(server.handle_offer, request)
        elif request.phase is Phase.FILL and (origin := self._origin_as_source(request)):
            request.excluded.add(origin)
            self._queue.put(origin.handle_offer, request)
        else:
            self._fall_back(request)

    def _origin_as_source(self, request: PendingRequest) -> "Server | None":
        """Return the origin if it may serve as the source of a fill that no parent has accepted."""
        origin = self.origin
        if origin is None or origin in request.sources or origin in request.excluded:
            return None
        return origin if self._fetch_window.may_fetch() else None

    def _fall_back(self, request: PendingRequest) -> None:
        """Change the phase of a request that no remaining server accepts in its current one.

        A fill becomes a lookup that accepts a stale copy. A lookup becomes a direct attempt at a parent.
        Where the service or the deployment permits neither, the request ends.
        """
        if request.phase is Phase.FILL and request.service.stale_grace and not request.accepts_stale:
            request.accepts_stale = True
            request.phase = Phase.LOOKUP
            request.include_all_servers()
            self._offer_to_next_server(request)
        elif self._may_go_direct(request):
            request.phase = Phase.DIRECT
            self._offer_to_next_server(request)
        else:
            self._give_up(request)

    def _may_go_direct(self, request: PendingRequest) -> bool:
        if request.phase is not Phase.LOOKUP or request.service.uncacheable:
            return False
        return self._permissions.direct and self.origin is not None

    def _give_up(self, request: PendingRequest) -> None:
        """End the request immediately, with a retry-after time if the deployment permits one."""
        self.open_requests.pop(request.id, None)
        jitter = 0.5 + self._queue.random_fraction()
        retry_after = int(self._permissions.max_retry_after * RETRY_AFTER_FRACTION * jitter)
        self._queue.put(self.guard.finish, request, retry_after)

    # Replies of servers to offers, and of the guard to attempts.

    def handle_declined(self, request: PendingRequest, server: "Server") -> None:
        """Exclude the server, which declined the request, and offer the request to the next one."""
        request.excluded.add(server)
        self._offer_to_next_server(request)

    def handle_accepted(self, request: PendingRequest, server: "Server", is_warming: bool) -> None:
        """Proceed with a server that accepted the request as cache, as source or for a direct attempt."""
        # If the fetch window is full, request only a copy that the server holds: fetches from further
        # upstream do not complete in time, wherever the cause is.
        request.cached_only = (
            request.phase is not Phase.LOOKUP
            and server is not self.origin
            and not self._fetch_window.may_fetch()
        )
        if request.phase is Phase.FILL:
            self._queue.put(self.guard.forward, request, request.cache, server)
        elif request.phase is Phase.DIRECT:
            self._forward_directly(request, server)
        else:
            request.cache = server
            # Skip the lookup at a warming cache: it would cost as much of the slow start budget as a fill.
            if is_warming or (request.service.uncacheable and server is not self.origin):
                request.phase = Phase.FILL
                self._queue.put(self._offer_to_next_server, request)
            else:
                self._queue.put(self.guard.forward, request, server, server)

    def _forward_directly(self, request: PendingRequest, parent: "Server") -> None:
        """Forward to a parent, bypassing the caches; its source is the origin unless `cached_only` is set."""
        source = parent if request.cached_only else self.origin
        if source is None:  # the origin has drained or was removed after the first direct attempt
            self._give_up(request)
        else:
            self._queue.put(self.guard.forward, request, parent, source)

    def handle_violation(self, request: PendingRequest, violation: Violation) -> None:
        """Exclude the server at which the attempt would break a rule, or end the request."""
        server = violation.server
        if request.phase is Phase.FILL and server is request.cache:
            request.phase = Phase.LOOKUP  # do not exclude the source: the cache's budget may be spent
        is_last_option = request.phase is Phase.DIRECT and server is self.origin
        if violation.rule.ends_request or is_last_option:
            self._give_up(request)
        else:
            self.handle_declined(request, server)

    def handle_attempt_started(
        self, attempt: AttemptId, request: PendingRequest, server: "Server", source: "Server"
    ) -> None:
        """Record an attempt that the guard has commanded."""
        self._active[attempt] = ActiveAttempt(request, server, source)
        for participant in dict.fromkeys((server, source)):
            self._queue.put(participant.handle_attempt_started, attempt, request.sending_time)
        if source is not server or request.phase is Phase.DIRECT:
            self._fetch_window.add(attempt, request.cached_only)

    # End of an attempt.

    def handle_attempt_ended(self, event: AttemptEnded) -> None:
        """Report the outcome to the servers and the fetch window; retry unless the request is answered."""
        attempt = AttemptId(event.request, event.attempt)
        if attempt not in self._active:
            return
        ended = self._active.pop(attempt)
        request = ended.request
        result = evaluate_attempt(event, request)
        self._report_to_servers(attempt, ended, result)
        request.active_attempt = None
        self._fetch_window.handle_attempt_ended(attempt, ended, result)
        is_hit = result.outcome == AttemptOutcome.SUCCEEDED and ended.source is ended.server
        if is_hit and not event.is_not_modified and not request.size_kb:
            self._sending_times.record_transfer(request.service_index, result.duration)
        execution = request.possible_execution
        if result.outcome in NEVER_EXECUTED and execution and execution.number == event.attempt:
            request.possible_execution = None
        if event.answered:
            request.is_answered = True
        if request.is_answered:
            self.open_requests.pop(request.id, None)
        else:
            self._retry(ended, result.outcome)

    def _report_to_servers(self, attempt: AttemptId, ended: ActiveAttempt, result: AttemptResult) -> None:
        server = ended.server
        source = ended.source
        overload = result.is_overloaded
        if source is server:
            self._queue.put(server.handle_attempt_ended, attempt, result.outcome, True, overload, result.work)
            return
        self._queue.put(server.handle_attempt_ended, attempt, result.outcome, True, None)
        source_overload = overload if indicates_source_load(ended, result.outcome) else None
        self._queue.put(source.handle_attempt_ended, attempt, result.outcome, False, source_overload)

    def _retry(self, ended: ActiveAttempt, outcome: AttemptOutcome) -> None:
        """Fill after a missed lookup; after other outcomes, exclude the servers at fault and retry."""
        request = ended.request
        server = ended.server
        if outcome == AttemptOutcome.MISS and request.cached_only:
            self._fall_back(request)
            return
        is_missed_lookup = outcome == AttemptOutcome.MISS and ended.source is server
        if request.phase is not Phase.DIRECT:
            request.phase = Phase.FILL if is_missed_lookup else Phase.LOOKUP
        if not is_missed_lookup and outcome != AttemptOutcome.SUPERSEDED:
            if outcome not in CONNECTION_FAILURES:
                request.excluded.update((server, ended.source))
            elif server.health.last_failure_at not in (None, self._queue.now):
                # A first failure may affect the connection alone. Connection failures are never attributed
                # to the source.
                request.excluded.add(server)
        self._offer_to_next_server(request)

    def handle_server_failed(self, server: "Server") -> None:
        """Cancel the idempotent attempts in flight at a failed server, so that they can be retried."""
        for request, target, source in list(self._active.values()):
            is_affected = server in (target, source) and not request.is_answered
            if is_affected and request.idempotency == Idempotency.IDEMPOTENT:
                self._cancel(request)

    def _cancel(self, request: PendingRequest) -> None:
        if self._permissions.cancellation and request.active_attempt:
            self._queue.commands.append(CancelAttempt(*request.active_attempt))

    # Other ways in which a request ends.

    def handle_shutdown_started(self, event: ShutdownStarted) -> None:
        """Limit the deadline of each open request to the end of this front's shutdown period."""
        deadline = self._queue.now + event.time_left
        for request in self.open_requests.values():
            request.deadline = min(request.deadline, deadline)

    def handle_response_started(self, event: ResponseStarted) -> None:
        """Close the request, because its answer has begun to reach the client; the attempt continues."""
        self._close(event.request)

    def handle_client_disconnected(self, event: ClientDisconnected) -> None:
        """Close the request, and cancel its attempt if the request is idempotent."""
        request = self._close(event.request)
        if request and request.idempotency == Idempotency.IDEMPOTENT:
            self._cancel(request)

    def _close(self, request_id: int) -> PendingRequest | None:
        request = self.open_requests.pop(request_id, None)
        if request:
            request.is_answered = True
        return request
