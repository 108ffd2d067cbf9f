"""The five safety rules. This module checks them at every attempt and every final answer.

No other module checks them.

1. A request has one final answer, and no attempt begins after it or after the client's deadline.
2. No effect happens twice: a request that is not idempotent is retried only if the retry has no further
   effect.
3. No attempt uses a draining or removed server, neither as cache nor as source.
4. A warming server receives no more than its slow start budget (`slow_start`).
5. No answer comes from a copy older than a purge (`purges`).
"""

from collections.abc import Mapping
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from limepath.decisions.attempt import AttemptId
from limepath.decisions.event_queue import EventQueue
from limepath.decisions.purges import Purges
from limepath.decisions.request import PendingRequest, Phase, PossibleExecution
from limepath.decisions.slow_start import SlowStartBudgets
from limepath.interface.commands import FailRequest, ForwardRequest, RejectRequest
from limepath.interface.events import EndpointListFreshnessChanged, EndpointState
from limepath.interface.settings import Idempotency, KeyScope, Permissions

if TYPE_CHECKING:
    from limepath.decisions.router import Router
    from limepath.decisions.server import Server

# Attempts have no time limit: sending times are heavy-tailed, so a limit would abort valid large transfers.
NO_TIME_LIMIT = 0


class Rule(Enum):
    """A rule that an attempt may break."""

    ONE_ANSWER = 1
    NO_REPEATED_EFFECT = 2
    DRAIN = 3
    SLOW_START = 4
    STALE_LIST = 5
    """The endpoint list is stale, so a drain or a purge may be missing from it."""

    @property
    def ends_request(self) -> bool:
        """Whether the rule forbids the attempt at every other server too."""
        return self in (Rule.ONE_ANSWER, Rule.NO_REPEATED_EFFECT)


class Violation(NamedTuple):
    """A rule that an attempt would break, and the server at which it would."""

    rule: Rule
    server: "Server"


class Guard:
    """Commands the attempts and final answers that the rules permit.

    Attributes:
        is_list_stale: whether drains and purges may be missing from the endpoint list.
    """

    def __init__(
        self,
        queue: EventQueue,
        router: "Router",
        permissions: Permissions,
        servers: Mapping[int, "Server"],
        budgets: SlowStartBudgets,
        purges: Purges,
    ) -> None:
        self._queue = queue
        self._router = router
        self._permissions = permissions
        self._servers = servers
        self._budgets = budgets
        self._purges = purges
        self.is_list_stale: bool = False

    def handle_freshness_changed(self, event: EndpointListFreshnessChanged) -> None:
        """Record whether the endpoint list is stale."""
        self.is_list_stale = event.is_stale

    def find_violation(self, request: PendingRequest, server: "Server", source: "Server") -> Violation | None:
        """Return the first rule that an attempt at `server` with this source would break, or None."""
        now = self._queue.now
        attempts_exhausted = request.attempts >= self._permissions.max_attempts
        if request.is_answered or now >= request.deadline or attempts_exhausted:
            return Violation(Rule.ONE_ANSWER, server)
        if request.active_attempt is not None and not self._permissions.hedging:
            return Violation(Rule.NO_REPEATED_EFFECT, server)
        if not self._is_retry_safe(request, server):
            return Violation(Rule.NO_REPEATED_EFFECT, server)
        for participant in dict.fromkeys((server, source)):
            if rule := self._find_broken_rule(participant, request):
                return Violation(rule, participant)
        return None

    def _is_retry_safe(self, request: PendingRequest, server: "Server") -> bool:
        if request.idempotency == Idempotency.IDEMPOTENT:
            return True
        if request.may_have_run:  # where and when is not known, so no key can make a repeat safe
            return False
        execution = request.possible_execution
        if execution is None:
            return True
        if request.idempotency == Idempotency.NON_IDEMPOTENT:
            return False
        service = request.service
        scope = service.key_scope  # number of leading parts (zone, cell) that both locations must share
        if _location(server)[:scope] != execution.location[:scope]:
            return False
        return self._queue.now - execution.started_at < service.retry_window

    def _find_broken_rule(self, server: "Server", request: PendingRequest) -> Rule | None:
        if self.is_list_stale and server is not self._router.origin:
            return Rule.STALE_LIST
        listed = self._servers.get(server.id)
        # The grace period of a drain is not used, because the endpoint list itself arrives with a delay. An
        # endpoint that was removed and listed again has a new state; no limit would count work of the former.
        if listed is not server or listed.endpoint.state != EndpointState.READY:
            return Rule.DRAIN
        if not self._budgets.has_budget(listed, request.service_index):
            return Rule.SLOW_START
        return None

    def forward(self, request: PendingRequest, server: "Server", source: "Server") -> None:
        """Command an attempt, or report to the router which rule it would break.

        The attempt is a fill unless `server` and `source` are the same.
        """
        if violation := self.find_violation(request, server, source):
            self._queue.put(self._router.handle_violation, request, violation)
            return
        self._budgets.charge(dict.fromkeys((server.id, source.id)), request.service_index)
        send_within = self._time_to_send(request)
        attempt = AttemptId(request.id, request.attempts)
        if request.possible_execution is None:
            location = _location(self._servers[server.id])
            request.possible_execution = PossibleExecution(self._queue.now, attempt.number, location)
        request.active_attempt = attempt
        request.attempts += 1
        is_direct = request.phase is Phase.DIRECT
        command = ForwardRequest(
            request.id,
            server.id,
            NO_TIME_LIMIT,
            source.id,
            request.rank,
            self._purges.oldest_copy_age(request),
            self._permissions.join_fills and source is not server and not is_direct,
            request.cached_only and not is_direct,
            send_within=send_within,
        )
        self._queue.commands.append(command)
        self._queue.put(self._router.handle_attempt_started, attempt, request, server, source)

    def _time_to_send(self, request: PendingRequest) -> int:
        """Return how long a keyed retry may wait to be sent, in microseconds; 0 means without limit."""
        execution = request.possible_execution
        if execution is None or request.idempotency != Idempotency.KEYED:
            return 0
        return execution.started_at + request.service.retry_window - self._queue.now

    def finish(self, request: PendingRequest, retry_after: int) -> None:
        """Command the final answer: a rejection if the client may safely retry, otherwise a failure."""
        if request.is_answered:
            return
        request.is_answered = True
        key_valid_everywhere = (
            request.idempotency == Idempotency.KEYED and request.service.key_scope == KeyScope.ALL
        )
        has_no_effect = request.possible_execution is None and not request.may_have_run
        is_retry_safe = has_no_effect or request.idempotency == Idempotency.IDEMPOTENT or key_valid_everywhere
        if is_retry_safe:
            self._queue.commands.append(RejectRequest(request.id, retry_after))
        else:
            self._queue.commands.append(FailRequest(request.id))


def _location(server: "Server") -> tuple[int, int]:
    return server.endpoint.zone, server.endpoint.cell
