"""The purges in force, and the maximum age of a copy that they allow."""

from limepath.decisions.event_queue import EventQueue
from limepath.decisions.request import PendingRequest
from limepath.interface.events import PurgeAnnounced

RETENTION_MARGIN_US = 1000  # how long a purge is retained after its copies are gone from all servers
ROUNDING_MARGIN_US = 2  # subtracted from an age, because this module and the host round it

PurgeScope = tuple[int | None, int]  # (object, 0) or (None, group)


class Purges:
    """The latest purge of each object and group, until its copies are gone from all servers (rule 5)."""

    def __init__(self, queue: EventQueue, purge_complete: int) -> None:
        self._queue = queue
        self._purge_complete = purge_complete
        self._purged_at: dict[PurgeScope, int] = {}

    def handle_purge_announced(self, event: PurgeAnnounced) -> None:
        """Record the purge, unless a later purge of the same scope is known."""
        scope: PurgeScope = (None, event.group) if event.object is None else (event.object, 0)
        purged_at = self._queue.now - event.age
        if purged_at > self._purged_at.get(scope, purged_at - 1):
            self._purged_at[scope] = purged_at
            due = purged_at + self._purge_complete + RETENTION_MARGIN_US
            self._queue.put_at(due, self._forget, scope, purged_at)

    def _forget(self, scope: PurgeScope, purged_at: int) -> None:
        if self._purged_at.get(scope) == purged_at:
            del self._purged_at[scope]

    def oldest_copy_age(self, request: PendingRequest) -> int:
        """Return the maximum age of a copy, in microseconds; 0 if neither freshness nor purges limit it."""
        service = request.service
        limit = service.max_age
        if limit and request.accepts_stale:
            limit += service.stale_grace
        for scope in ((request.object_part[0], 0), (None, request.group)):
            if scope in self._purged_at:
                purge_age = max(1, self._queue.now - self._purged_at[scope] - ROUNDING_MARGIN_US)
                limit = min(limit, purge_age) if limit else purge_age
        return limit
