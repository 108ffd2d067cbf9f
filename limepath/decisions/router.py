"""The way of a request: look it up in a cache, fill it, go past the caches, retry, give it up.

The phases of a request are those of `request.Phase`. A lookup that misses becomes a fill through the same
cache; a fill for which there is no source becomes a lookup again, for a stale copy; a lookup that no cache
takes goes directly to a parent. What no server takes is answered at once, with a time to retry after.
"""

from collections.abc import Sequence
from typing import TYPE_CHECKING

from limepath.decisions.attempt import ActiveAttempt, AttemptId, AttemptResult, judge_attempt
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

RETRY_AFTER_SHARE = 0.1  # of the longest wait, give or take half: a retry is in time; 0.75 is far worse


class Router:
    """Holds the open requests and takes each from step to step.

    Attributes:
        guard: set by the engine, which makes both.
        caches, parents, origin: the servers that are ready; origin is None where there is none.
        open: the requests that are owed an answer, by id.
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
        self.open: dict[int, PendingRequest] = {}
        self.caches: list[Server] = []
        self.parents: list[Server] = []
        self.origin: Server | None = None

    def set_servers(self, caches: list["Server"], parents: list["Server"], origin: "Server | None") -> None:
        """The servers that are ready have changed."""
        self.caches = caches
        self.parents = parents
        self.origin = origin

    # A request arrives, and is offered to one server after another.

    def handle_request_arrived(self, event: RequestArrived) -> None:
        """Rank the object, order the servers for it and take the first step."""
        service = self._services[event.service]
        sending_time = self._sending_times.count_arrival(event, service)
        request = PendingRequest(event, service, self._queue.now + event.time_left, sending_time)
        self.open[event.id] = request
        object_part = request.object_part
        request.caches = rendezvous_order(object_part, self.caches)
        if service.uncacheable:  # it passes through: straight, or by a cache with the origin as source
            request.sources = [self.origin] if self.origin else []
            if self._permissions.direct:
                request.caches = request.sources
        else:
            request.rank = self._frequency_table.count_request(object_part, request.size_kb)
            request.sources = rendezvous_order(object_part, self.parents)
        self._step(request)

    def _step(self, request: PendingRequest) -> None:
        """Offer the request to the next server in hash order: a cache for a lookup, else a parent."""
        is_lookup = request.phase is Phase.LOOKUP
        if not (is_lookup or request.service.uncacheable or self._fetch_window.may_fill(request)):
            self._fall_back(request)
            return
        excluded = request.excluded
        for server in request.caches if is_lookup else request.sources:
            if server not in excluded:
                self._queue.put(server.handle_offer, request)
                return
        if request.phase is Phase.FILL and (origin := self._origin_for_fill(request)):
            excluded.add(origin)
            self._queue.put(origin.handle_offer, request)
        else:
            self._fall_back(request)

    def _origin_for_fill(self, request: PendingRequest) -> "Server | None":
        """The origin, to fill in a parent's place: no parent is up, or none that is has room."""
        origin = self.origin
        if origin is None or origin in request.sources or origin in request.excluded:
            return None
        return origin if self._fetch_window.may_fetch() else None

    def _fall_back(self, request: PendingRequest) -> None:
        """No fill is to be had: a stale copy will do. No cache has room: to a parent. Else give up."""
        if request.phase is Phase.FILL and request.service.stale_grace and not request.accepts_stale:
            request.accepts_stale = True
            request.phase = Phase.LOOKUP
            request.excluded = set()
            self._step(request)
        elif self._may_go_direct(request):
            request.phase = Phase.DIRECT
            self._step(request)
        else:
            self._give_up(request)

    def _may_go_direct(self, request: PendingRequest) -> bool:
        if request.phase is not Phase.LOOKUP or request.service.uncacheable:
            return False
        return self._permissions.direct and self.origin is not None

    def _give_up(self, request: PendingRequest) -> None:
        """Answer at once, with a time to retry after where that is permitted."""
        self.open.pop(request.id, None)
        random_part = 0.5 + self._queue.random_fraction()
        retry_after = int(self._permissions.max_retry_after * RETRY_AFTER_SHARE * random_part)
        self._queue.put(self.guard.finish, request, retry_after)

    # A server has answered an offer, or the guard an attempt.

    def handle_declined(self, request: PendingRequest, server: "Server") -> None:
        """The server does not take the request now."""
        request.excluded.add(server)
        self._step(request)

    def handle_accepted(self, request: PendingRequest, server: "Server", is_warming: bool) -> None:
        """The server takes the request, as cache, as source or directly."""
        # Where fetches do not come back, wherever above: beyond the window ask for held copies only.
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
            # At a warming cache a lookup would cost as much of its budget as a fill: fill at once.
            if is_warming or (request.service.uncacheable and server is not self.origin):
                request.phase = Phase.FILL
                self._queue.put(self._step, request)
            else:
                self._queue.put(self.guard.forward, request, server, server)

    def _forward_directly(self, request: PendingRequest, parent: "Server") -> None:
        """Ask a parent past the caches, with the origin as its source unless a cached copy has to do."""
        source = parent if request.cached_only else self.origin
        if source is None:  # the origin drains, or is gone, since the first direct attempt
            self._give_up(request)
        else:
            self._queue.put(self.guard.forward, request, parent, source)

    def handle_violation(self, request: PendingRequest, violation: Violation) -> None:
        """The attempt would break a rule: exclude the server at which it would, or give up."""
        server = violation.server
        if request.phase is Phase.FILL and server is request.cache:
            request.phase = Phase.LOOKUP  # a warming cache may have had enough, not the source
        is_last_way = request.phase is Phase.DIRECT and server is self.origin
        if violation.rule.ends_request or is_last_way:
            self._give_up(request)
        else:
            self.handle_declined(request, server)

    def handle_attempt_started(
        self, attempt: AttemptId, request: PendingRequest, server: "Server", source: "Server"
    ) -> None:
        """The guard has commanded the attempt."""
        self._active[attempt] = ActiveAttempt(request, server, source)
        for one in dict.fromkeys((server, source)):
            self._queue.put(one.handle_attempt_started, attempt, request.sending_time)
        if source is not server or request.phase is Phase.DIRECT:
            self._fetch_window.add(attempt, request.cached_only)

    # An attempt has ended.

    def handle_attempt_ended(self, event: AttemptEnded) -> None:
        """Tell the servers, learn from the outcome, and retry unless the request is answered."""
        attempt = AttemptId(event.request, event.attempt)
        if attempt not in self._active:
            return
        ended = self._active.pop(attempt)
        request = ended.request
        result = judge_attempt(event, request)
        self._report_to_servers(attempt, ended, result)
        request.active_attempt = None
        self._fetch_window.handle_attempt_ended(attempt, ended, result)
        is_hit = result.outcome == AttemptOutcome.SUCCEEDED and ended.source is ended.server
        if is_hit and not request.size_kb:
            self._sending_times.count_transfer(request.service_index, result.duration)
        executed = request.possible_execution
        if result.outcome in NEVER_EXECUTED and executed and executed.number == event.attempt:
            request.possible_execution = None
        if event.answered:
            request.is_answered = True
        if request.is_answered:
            self.open.pop(request.id, None)
        else:
            self._retry(ended, result.outcome)

    def _report_to_servers(self, attempt: AttemptId, ended: ActiveAttempt, result: AttemptResult) -> None:
        server = ended.server
        source = ended.source
        overload = result.is_overloaded
        if source is server:
            self._queue.put(server.handle_attempt_ended, attempt, result.outcome, True, overload)
            return
        self._queue.put(server.handle_attempt_ended, attempt, result.outcome, True, None)
        # A late fill shows overload of its source only once the source's own report has: the fault may lie
        # above. A full source does where it was asked for a held copy.
        if result.outcome == AttemptOutcome.FULL:
            counts = ended.request.cached_only
        else:
            counts = source.limit.factor < 1
        shown = overload if counts else None
        self._queue.put(source.handle_attempt_ended, attempt, result.outcome, False, shown)

    def _retry(self, ended: ActiveAttempt, outcome: AttemptOutcome) -> None:
        """Fill after a miss; else go on with the servers that the outcome does not speak against."""
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
                request.excluded.add(server)  # a first failure may be the connection's; none is the source's
        self._step(request)

    def handle_server_failed(self, server: "Server") -> None:
        """Cancel what is in flight at a failed server and may be repeated elsewhere."""
        for request, asked, source in list(self._active.values()):
            is_concerned = server in (asked, source) and not request.is_answered
            if is_concerned and request.idempotency == Idempotency.IDEMPOTENT:
                self._cancel(request)

    def _cancel(self, request: PendingRequest) -> None:
        if self._permissions.cancellation and request.active_attempt:
            self._queue.commands.append(CancelAttempt(*request.active_attempt))

    # A request ends otherwise.

    def handle_shutdown_started(self, event: ShutdownStarted) -> None:
        """No open request has longer than the front."""
        deadline = self._queue.now + event.time_left
        for request in self.open.values():
            request.deadline = min(request.deadline, deadline)

    def handle_response_started(self, event: ResponseStarted) -> None:
        """The answer goes to the client: there is no other, and the attempt goes on."""
        self._close(event.request)

    def handle_client_disconnected(self, event: ClientDisconnected) -> None:
        """Nobody waits for the answer: cancel the attempt where its effect does not matter."""
        request = self._close(event.request)
        if request and request.idempotency == Idempotency.IDEMPOTENT:
            self._cancel(request)

    def _close(self, request_id: int) -> PendingRequest | None:
        request = self.open.pop(request_id, None)
        if request:
            request.is_answered = True
        return request
