"""The limit on the bytes of incomplete answers that the front holds for its connections to servers."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from limepath.front.byte_counts import ByteCounts
from limepath.front.clock import clock

if TYPE_CHECKING:
    from limepath.front.server_connection import ServerConnection

MICROSECONDS_PER_SECOND = 1e6
MAX_PERMITS = 8
PERMIT_DURATION = 50_000  # microseconds


class ResponseMemory:
    """Counts the bytes of incomplete answers, and stops reading from servers while there are too many.

    What is not read stays in the kernel's buffers, and in the end the server waits. While the memory is full,
    a few connections at a time may read, each until its answer is complete, or for a limited time, so that
    none waits for servers that stall or send slowly.

    Attributes:
        limit: bytes that incomplete answers may hold together, beside those of connections with a permit.
        incomplete: bytes received of the incomplete answers, by connection.
    """

    def __init__(self, limit: int, call_later: Callable[..., object]) -> None:
        """Create the count; `call_later(seconds, function)` starts a timer."""
        self.limit = limit
        self.incomplete: ByteCounts[ServerConnection] = ByteCounts()
        self._call_later = call_later
        self._permits: dict[ServerConnection, int] = {}  # when each was granted, microseconds
        self._paused: dict[ServerConnection, None] = {}  # in the order in which they were paused
        self._is_scheduled = False

    @property
    def is_full(self) -> bool:
        """Whether incomplete answers hold as many bytes as they may."""
        return self.incomplete.total >= self.limit

    def may_read(self, connection: ServerConnection) -> bool:
        """Return whether the connection may read now; if not, it is resumed later."""
        if not self.is_full:
            return True
        self._expire_permits()
        if connection in self._permits:
            return True
        if len(self._permits) < MAX_PERMITS:
            self._permits[connection] = clock()
            return True
        self._paused[connection] = None
        self._schedule()
        return False

    def set_incomplete(self, connection: ServerConnection, size: int) -> None:
        """Set how many bytes of an incomplete answer the connection holds; 0 if it has none."""
        self.incomplete.set(connection, size)
        if not size:
            self._permits.pop(connection, None)
        if self._paused:
            self._resume()

    def forget(self, connection: ServerConnection) -> None:
        """Stop counting a connection that is closed."""
        self._paused.pop(connection, None)
        self.set_incomplete(connection, 0)

    def _expire_permits(self) -> None:
        oldest = clock() - PERMIT_DURATION
        for connection in [holder for holder, granted_at in self._permits.items() if granted_at <= oldest]:
            del self._permits[connection]

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._call_later(PERMIT_DURATION / MICROSECONDS_PER_SECOND, self._permit_expired)

    def _permit_expired(self) -> None:
        self._is_scheduled = False
        self._expire_permits()
        self._resume()
        if self._paused:
            self._schedule()

    def _resume(self) -> None:
        """Resume reading on as many connections as may read; each asks again before it does."""
        number = len(self._paused) if not self.is_full else MAX_PERMITS - len(self._permits)
        for connection in list(self._paused)[:number]:
            del self._paused[connection]
            connection.resume_reading()
