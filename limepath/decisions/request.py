"""A request that is owed a final answer, and what is known of its attempts."""

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from limepath.decisions.attempt import AttemptId
from limepath.interface.events import RequestArrived
from limepath.interface.settings import DeliveryService, Idempotency

if TYPE_CHECKING:
    from limepath.decisions.server import Server

SMALL_SIZE_FACTOR = 1.5  # for requests of under half their latency objective in sending time
LARGE_SIZE_FACTOR = 0.7  # for requests of known size over it: the few large ones cost the most of the link


class Phase(Enum):
    """What the next attempt of a request is for."""

    LOOKUP = 0
    """Ask a cache for what it holds."""
    FILL = 1
    """Have the cache that was asked fetch the object from a source."""
    DIRECT = 2
    """Ask a parent past the caches."""


class PossibleExecution(NamedTuple):
    """The first attempt that may have had its effect."""

    begun_at: int
    """Microseconds."""
    number: int
    """Number of the attempt."""
    location: tuple[int, int]
    """Zone and cell of the server."""


class PendingRequest:
    """One request, of any method, that is owed a final answer.

    Attributes:
        service_index: index of the delivery service `service` in the settings.
        deadline: when the client's time ends, in microseconds.
        sending_time: how long a transfer is expected to take, in microseconds.
        object_part: (object, part).
        size_kb: 0 where it is not known.
        idempotency: as the service says, but not idempotent where a keyed request came without a key.
        size_factor: the part of a server's or link's limit that requests of this size may fill.
        rank: keep rank of a copy; 0 for none.
        caches: for lookups, in the order in which they are asked.
        sources: parents (or the origin) to fill from or to go to, in the order in which they are asked.
        excluded: servers that are not offered it again.
        cache: the cache that was asked last; a fill goes through it.
        attempts: how many have begun.
        active_attempt: the attempt that has not ended yet.
        possible_execution: None while no attempt can have had an effect.
        is_answered: whether the client has its final answer, or is gone.
        accepts_stale: whether a copy within the service's grace will do.
        cached_only: whether this attempt asks only for what the server holds.
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
        self.caches: list[Server] = []
        self.sources: list[Server] = []
        self.excluded: set[Server] = set()
        self.cache: Server | None = None
        self.attempts: int = 0
        self.active_attempt: AttemptId | None = None
        self.possible_execution: PossibleExecution | None = None
        self.is_answered: bool = False
        self.accepts_stale: bool = False
        self.cached_only: bool = False


def _idempotency(event: RequestArrived, service: DeliveryService) -> Idempotency:
    if service.idempotency == Idempotency.KEYED and not event.has_key:
        return Idempotency.NON_IDEMPOTENT  # without a key nobody can recognise a repeat
    return service.idempotency


def _size_factor(event: RequestArrived, service: DeliveryService, sending_time: int) -> float:
    if sending_time < service.latency_objective / 2:
        return SMALL_SIZE_FACTOR
    if event.size_kb and sending_time > service.latency_objective:
        return LARGE_SIZE_FACTOR
    return 1
