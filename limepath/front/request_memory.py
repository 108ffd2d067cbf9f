"""The limit on the bytes of requests that the front holds: incomplete ones, and the bodies of open ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limepath.front.byte_counts import ByteCounts

if TYPE_CHECKING:
    from limepath.front.client_connection import ClientConnection


BODY_DIVISOR = 2  # bodies may hold this part of the limit, so that requests can still arrive beside them


class RequestMemory:
    """Counts the bytes of requests, and rejects incomplete requests while there are more than the limit.

    Clients that write slowly hold their requests incomplete for longest, so the request that began first is
    rejected first; one that arrives at once is complete before its turn.

    Attributes:
        limit: bytes that the requests may hold together.
        incomplete: bytes received of the incomplete requests, by connection.
        body_bytes: size of the bodies of all complete requests that have not been released.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.incomplete: ByteCounts[ClientConnection] = ByteCounts()
        self.body_bytes = 0

    @property
    def total(self) -> int:
        """The bytes that all requests hold together."""
        return self.incomplete.total + self.body_bytes

    def set_incomplete(self, connection: ClientConnection, size: int) -> None:
        """Set how many bytes of an incomplete request the connection holds; 0 if it has none."""
        self.incomplete.set(connection, size)
        self._make_room(0)

    def add_body(self, size: int) -> bool:
        """Count the body of a request that became complete; return whether it fits, and else do not count it.

        A request without a body always fits.
        """
        if size and (self.body_bytes + size > self.limit // BODY_DIVISOR or not self._make_room(size)):
            return False
        self.body_bytes += size
        return True

    def remove_body(self, size: int) -> None:
        """Stop counting the body of a request that is released."""
        self.body_bytes -= size

    def _make_room(self, size: int) -> bool:
        """Reject incomplete requests until `size` more bytes fit; return whether they do."""
        while self.incomplete and self.total + size > self.limit:
            (connection,) = self.incomplete.first(1)
            self.incomplete.set(connection, 0)
            connection.reject_incomplete_request()
        return self.total + size <= self.limit
