"""The five rules, checked at every attempt and every final answer, and nowhere else.

1. One final answer, and no attempt after it or after the client's deadline.
2. No effect twice: what is not idempotent is repeated only where the repeat is known to do no harm.
3. No attempt to a server that drains or is gone, nor with it as source.
4. No more to a warming server than its slow start budget (`slow_start`).
5. No copy older than a purge (`purges`).
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

NO_TIME_LIMIT = 0  # sending times are heavy-tailed: a limit by attempt would cut off good large transfers


class Rule(Enum):
    """What an attempt would break."""

    ONE_ANSWER = 1
    NO_EFFECT_TWICE = 2
    DRAIN = 3
    SLOW_START = 4
    STALE_LIST = 5
    """A drain or purge may not be known here."""

    @property
    def ends_request(self) -> bool:
        """Whether no other server could take the request either."""
        return self in (Rule.ONE_ANSWER, Rule.NO_EFFECT_TWICE)


class Violation(NamedTuple):
    """A rule that an attempt would break, and the server at which it would."""

    rule: Rule
    server: "Server"


class Guard:
    """Commands attempts and final answers, as far as the rules allow.

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
        """The endpoint list became stale, or is in time again."""
        self.is_list_stale = event.is_stale

    def find_violation(self, request: PendingRequest, server: "Server", source: "Server") -> Violation | None:
        """The first rule that an attempt at `server` with this source would break."""
        now = self._queue.now
        exhausted = request.attempts >= self._permissions.max_attempts
        if request.is_answered or now >= request.deadline or exhausted:
            return Violation(Rule.ONE_ANSWER, server)
        if request.active_attempt is not None and not self._permissions.hedging:
            return Violation(Rule.NO_EFFECT_TWICE, server)
        if not self._is_repeat_harmless(request, server):
            return Violation(Rule.NO_EFFECT_TWICE, server)
        for one in dict.fromkeys((server, source)):
            if rule := self._rule_against(one, request):
                return Violation(rule, one)
        return None

    def _is_repeat_harmless(self, request: PendingRequest, server: "Server") -> bool:
        executed = request.possible_execution
        if executed is None or request.idempotency == Idempotency.IDEMPOTENT:
            return True
        if request.idempotency == Idempotency.NON_IDEMPOTENT:
            return False
        service = request.service
        scope = service.key_scope  # how many parts of a location must agree
        if _location(server)[:scope] != executed.location[:scope]:
            return False
        return self._queue.now - executed.begun_at < service.retry_window

    def _rule_against(self, server: "Server", request: PendingRequest) -> Rule | None:
        if self.is_list_stale and server is not self._router.origin:
            return Rule.STALE_LIST
        listed = self._servers.get(server.id)
        # The grace of a drain is not used: the endpoint list is late enough as it is.
        if listed is None or listed.endpoint.state != EndpointState.READY:
            return Rule.DRAIN
        if not self._budgets.has_budget(listed, request.service_index):
            return Rule.SLOW_START
        return None

    def forward(self, request: PendingRequest, server: "Server", source: "Server") -> None:
        """Command an attempt, or tell the router which rule it would break, no fill if both are one."""
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
        """How long a repeat by its idempotency key may wait to be sent, in microseconds; 0 without limit."""
        executed = request.possible_execution
        if executed is None or request.idempotency != Idempotency.KEYED:
            return 0
        return executed.begun_at + request.service.retry_window - self._queue.now

    def finish(self, request: PendingRequest, retry_after: int) -> None:
        """Command the one final answer: rejected where asking again does no harm, else failed."""
        if request.is_answered:
            return
        request.is_answered = True
        everywhere = request.idempotency == Idempotency.KEYED and request.service.key_scope == KeyScope.ALL
        is_harmless = (
            request.possible_execution is None or request.idempotency == Idempotency.IDEMPOTENT or everywhere
        )
        if is_harmless:
            self._queue.commands.append(RejectRequest(request.id, retry_after))
        else:
            self._queue.commands.append(FailRequest(request.id))


def _location(server: "Server") -> tuple[int, int]:
    return server.endpoint.zone, server.endpoint.cell
