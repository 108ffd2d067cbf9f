"""Purges that are in force, and the age of the oldest copy that will do."""

from limepath.decisions.event_queue import EventQueue
from limepath.decisions.request import PendingRequest
from limepath.interface.events import PurgeAnnounced

RETENTION_MARGIN_US = 1000  # that a purge is remembered after its copies are gone everywhere
ROUNDING_MARGIN_US = 2  # taken off an age for rounding, here and at the host

PurgeScope = tuple[int | None, int]  # (object, 0) or (None, group)


class Purges:
    """The latest purge of each object and group, until its copies are gone everywhere (rule 5)."""

    def __init__(self, queue: EventQueue, purge_complete: int) -> None:
        self._queue = queue
        self._purge_complete = purge_complete
        self._purged_at: dict[PurgeScope, int] = {}

    def handle_purge_announced(self, event: PurgeAnnounced) -> None:
        """Remember the purge, unless a later one of the same scope is known."""
        scope: PurgeScope = (event.object, 0) if event.object else (None, event.group)
        purged_at = self._queue.now - event.age
        if purged_at > self._purged_at.get(scope, purged_at - 1):
            self._purged_at[scope] = purged_at
            due = purged_at + self._purge_complete + RETENTION_MARGIN_US
            self._queue.put_at(due, self._forget, scope, purged_at)

    def _forget(self, scope: PurgeScope, purged_at: int) -> None:
        if self._purged_at.get(scope) == purged_at:
            del self._purged_at[scope]

    def oldest_copy_age(self, request: PendingRequest) -> int:
        """The tighter of freshness and purges, in microseconds; 0 (any age) where neither limits it."""
        service = request.service
        limit = service.max_age
        if limit and request.accepts_stale:
            limit += service.stale_grace
        for scope in ((request.object_part[0], 0), (None, request.group)):
            if scope in self._purged_at:
                since = max(1, self._queue.now - self._purged_at[scope] - ROUNDING_MARGIN_US)
                limit = min(limit, since) if limit else since
        return limit
