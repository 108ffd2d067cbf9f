"""A request that has no final answer yet, and the state of its attempts."""

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from limepath.decisions.attempt import AttemptId
from limepath.decisions.candidates import Candidates
from limepath.interface.events import RequestArrived
from limepath.interface.settings import DeliveryService, Idempotency

if TYPE_CHECKING:
    from limepath.decisions.server import Server

SMALL_SIZE_FACTOR = 1.5  # for sending times of less than half the latency objective
# For known sizes with a sending time over the latency objective: a few large requests use most of the link.
LARGE_SIZE_FACTOR = 0.7


class Phase(Enum):
    """The purpose of a request's next attempt."""

    LOOKUP = 0
    """Request a copy that a cache holds."""
    FILL = 1
    """Have the cache of the last lookup get the object from a source."""
    DIRECT = 2
    """Forward to a parent, bypassing the caches."""


class PossibleExecution(NamedTuple):
    """The first attempt that may have had an effect."""

    started_at: int
    """Microseconds."""
    number: int
    """Number of the attempt."""
    location: tuple[int, int]
    """Zone and cell of the server that received it."""


class PendingRequest:
    """One request, of any method, without a final answer.

    Attributes:
        service_index: index of the delivery service `service` in the settings.
        deadline: the client's deadline, in microseconds.
        sending_time: expected time of a transfer, in microseconds.
        object_part: (object, part).
        size_kb: size of the object; 0 if unknown.
        idempotency: that of the service, except that a keyed request without a key is not idempotent.
        size_factor: fraction of a server's or link's limit that requests of this size may use.
        rank: keep rank of a copy; 0 for none.
        caches: caches for lookups, in the order of selection.
        sources: parents (or the origin) for fills and direct attempts, in the order of selection.
        excluded: servers that are not offered the request again.
        cache: the cache that accepted the last lookup; a fill goes through it.
        attempts: number of attempts that have begun.
        active_attempt: the attempt that has not ended yet; None if all have.
        possible_execution: None while no attempt can have had an effect.
        may_have_run: whether an earlier request with the same id may have had an effect.
        is_answered: whether the client has its final answer or has disconnected.
        accepts_stale: whether a copy within the service's `stale_grace` is acceptable.
        cached_only: whether the attempt requests only a copy that the server holds.
    """

    __slots__ = (
        "accepts_stale",
        "active_attempt",
        "attempts",
        "cache",
        "cached_only",
        "caches",
        "deadline",
        "excluded",
        "group",
        "id",
        "idempotency",
        "is_answered",
        "may_have_run",
        "object_part",
        "phase",
        "possible_execution",
        "rank",
        "sending_time",
        "service",
        "service_index",
        "size_factor",
        "size_kb",
        "sources",
    )

    def __init__(
        self, event: RequestArrived, service: DeliveryService, deadline: int, sending_time: int
    ) -> None:
        self.id: int = event.id
        self.service_index: int = event.service
        self.service = service
        self.deadline = deadline
        self.sending_time = sending_time
        self.object_part: tuple[int, int] = (event.object, event.part)
        self.group: int = event.group
        self.size_kb: float = event.size_kb
        self.idempotency: Idempotency = _idempotency(event, service)
        self.size_factor: float = _size_factor(event, service, sending_time)
        self.rank: int = 0
        self.phase: Phase = Phase.LOOKUP
        self.caches = Candidates()
        self.sources = Candidates()
        self.excluded: set[Server] = set()
        self.cache: Server | None = None
        self.attempts: int = 0
        self.active_attempt: AttemptId | None = None
        self.possible_execution: PossibleExecution | None = None
        self.may_have_run: bool = event.may_have_run
        self.is_answered: bool = False
        self.accepts_stale: bool = False
        self.cached_only: bool = False

    def include_all_servers(self) -> None:
        """Offer the request to all servers again, also to those that were excluded."""
        self.excluded = set()
        self.caches.restart()
        self.sources.restart()


def _idempotency(event: RequestArrived, service: DeliveryService) -> Idempotency:
    if service.idempotency == Idempotency.KEYED and not event.has_key:
        return Idempotency.NON_IDEMPOTENT  # without a key, no server can recognise a retry
    return service.idempotency


def _size_factor(event: RequestArrived, service: DeliveryService, sending_time: int) -> float:
    if sending_time < service.latency_objective / 2:
        return SMALL_SIZE_FACTOR
    if event.size_kb and sending_time > service.latency_objective:
        return LARGE_SIZE_FACTOR
    return 1
