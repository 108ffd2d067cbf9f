"""The limit on the bytes of answers that the front holds because clients do not read them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limepath.front.clock import clock
from limepath.front.transport_output import flush, unsent_bytes

if TYPE_CHECKING:
    from limepath.front.client_connection import ClientConnection
    from limepath.front.clients import Clients

MICROSECONDS_PER_SECOND = 1e6


class OutputProgress:
    """How far a client has read its answer: the bytes that the kernel had not accepted, and since when.

    Attributes:
        unsent: bytes at the last look.
        since: when they last became fewer, microseconds of the front's clock.
    """

    def __init__(self, unsent: int, now: int) -> None:
        self.unsent = unsent
        self.since = now

    def update(self, unsent: int, now: int) -> None:
        """Note the bytes that are left now."""
        if unsent != self.unsent:
            self.unsent = unsent
            self.since = now


class OutputMemory:
    """Closes clients that do not read their answers while these fill more than the limit.

    A client reads its answer if the kernel has accepted bytes of it during the last `Limits.unread_grace`,
    which is many iterations of the event loop. Clients that no longer wait come first.

    Attributes:
        blocked: the connections with bytes that the kernel did not accept at once.
    """

    def __init__(self, clients: Clients) -> None:
        self.clients = clients
        self.blocked: dict[ClientConnection, OutputProgress] = {}
        self._is_scheduled = False

    def add(self, connection: ClientConnection) -> None:
        """Count a connection of whose output the kernel has not accepted all."""
        progress = OutputProgress(unsent_bytes(connection.transport), clock())
        self.blocked[connection] = progress
        self._schedule()

    def discard(self, connection: ClientConnection) -> None:
        """Stop counting a connection whose output was accepted, or that is closed."""
        self.blocked.pop(connection, None)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            delay = self.clients.limits.unread_grace / 2 / MICROSECONDS_PER_SECOND
            self.clients.reactor.callLater(delay, self.enforce)

    def enforce(self) -> None:
        """Close clients that do not read while the bytes exceed the limit; repeat while any are blocked."""
        self._is_scheduled = False
        # After a standstill of the process the kernel may have room that it was not asked for yet.
        for connection in list(self.blocked):
            flush(connection.transport)
        now = clock()
        for connection, progress in self.blocked.items():
            progress.update(unsent_bytes(connection.transport), now)
        total = sum(progress.unsent for progress in self.blocked.values())
        if total > self.clients.limits.undrained_bytes:
            self._close_unread(total, now)
        if self.blocked:
            self._schedule()

    def _close_unread(self, total: int, now: int) -> None:
        grace = self.clients.limits.unread_grace
        unread = [
            (connection.is_awaited(now), progress.since, order, connection)
            for order, (connection, progress) in enumerate(self.blocked.items())
            if now - progress.since >= grace
        ]
        for *_, connection in sorted(unread, key=lambda candidate: candidate[:3]):
            if total <= self.clients.limits.undrained_bytes:
                return
            self.clients.log.info(
                "memory",
                "too many clients do not read their answers; closed one",
                clients=len(self.blocked),
                bytes=total,
            )
            total -= self.blocked.pop(connection).unsent
            connection.close(abort=True)
