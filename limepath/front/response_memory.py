"""The limit on the bytes of incomplete answers that the front holds for its connections to servers."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limepath.front.server_connection import ServerConnection

# Answers that began first and are read whatever the limit, so that none waits for a single stalled one.
ALWAYS_READ = 8


class ResponseMemory:
    """Counts the bytes of incomplete answers, and stops reading from servers while there are too many.

    What is not read stays in the kernel's buffers, and in the end the server waits.

    Attributes:
        limit: bytes that incomplete answers may hold together, beside the answers that are always read.
        total: the bytes that they hold.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.total = 0
        self._incomplete: dict[ServerConnection, int] = {}  # the answer that began first comes first
        self._paused: dict[ServerConnection, None] = {}  # in the order in which they were paused

    def may_read(self, connection: ServerConnection) -> bool:
        """Return whether the connection may read now; if not, it is resumed later."""
        if self.total < self.limit or connection in self._always_read():
            return True
        self._paused[connection] = None
        return False

    def _always_read(self) -> tuple[ServerConnection, ...]:
        return tuple(islice(self._incomplete, ALWAYS_READ))

    def set_incomplete(self, connection: ServerConnection, size: int) -> None:
        """Set how many bytes of an incomplete answer the connection holds; 0 if it has none."""
        self.total += size - self._incomplete.get(connection, 0)
        if size:
            self._incomplete[connection] = size
        else:
            self._incomplete.pop(connection, None)
        if self._paused:
            self._resume()

    def forget(self, connection: ServerConnection) -> None:
        """Stop counting a connection that is closed."""
        self._paused.pop(connection, None)
        self.set_incomplete(connection, 0)

    def _resume(self) -> None:
        """Resume reading where it is permitted; each connection asks again before it reads."""
        permitted = self._paused if self.total < self.limit else self._always_read()
        for connection in [connection for connection in permitted if connection in self._paused]:
            del self._paused[connection]
            connection.resume_reading()
