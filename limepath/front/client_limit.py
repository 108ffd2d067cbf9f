"""The limit on client connections: chooses which to close if too many are open."""

from __future__ import annotations

from enum import IntEnum
from heapq import nsmallest
from typing import TYPE_CHECKING, NamedTuple

from limepath.front.client_connection import ClientConnection
from limepath.front.client_connection_state import ConnectionState
from limepath.front.clock import clock
from limepath.front.readiness import readable

if TYPE_CHECKING:
    from limepath.front.clients import Clients

# Up to 1/64 of the limit is closed beyond the excess, because scanning all connections is expensive.
HEADROOM_DIVISOR = 64


class CloseRank(IntEnum):
    """Order in which connections are closed, lowest first."""

    ENDED = 0  # the client has its last answer and the front's FIN
    SILENT = 1  # the client has never sent a request
    PARTIAL_REQUEST = 2  # sent slowly; closed before IDLE, so that slow senders cannot lock out other clients
    IDLE = 3  # between requests
    NEW = 4  # connected recently, or sending a request
    TAKING_ANSWER = 5  # the last answer is still being sent


class CloseCandidate(NamedTuple):
    """A connection that may be closed; candidates compare as tuples, and the smallest is closed first."""

    has_unread_bytes: bool
    rank: CloseRank
    last_activity_at: int
    order: int  # unique, so that connections are never compared
    connection: ClientConnection


def close_rank(connection: ClientConnection, now: int) -> CloseRank:
    """Return the rank of a connection without an open request; `now` is monotonic microseconds."""
    is_new = now - connection.last_activity_at < connection.clients.limits.first_request_grace
    connection.check_delivery()
    if connection.state is ConnectionState.DELIVERED:
        return CloseRank.ENDED
    if connection.output_blocked or connection.is_closing:
        return CloseRank.TAKING_ANSWER
    if is_new and (connection.buffer or not connection.has_requested):
        return CloseRank.NEW
    if connection.buffer:
        return CloseRank.PARTIAL_REQUEST
    return CloseRank.IDLE if connection.has_requested else CloseRank.SILENT


def with_unread_bytes(connections: list[ClientConnection]) -> set[ClientConnection]:
    """Return those of the connections whose sockets have unread bytes or an unread FIN."""
    by_descriptor = {c.transport.fileno(): c for c in connections if c.transport.fileno() >= 0}
    return {by_descriptor[descriptor] for descriptor in readable(by_descriptor)}


class ClientConnectionLimit:
    """Closes connections without an open request while there are more than the limit."""

    def __init__(self, clients: Clients):
        self.clients = clients
        self.closing: set[ClientConnection] = set()  # closed by `enforce`, not lost yet
        self.is_scheduled = False

    def count_changed(self) -> None:
        """Pause accepting while there are more connections than the limit, and schedule `enforce`."""
        exceeded = len(self.clients.connections) > self.clients.limits.client_connections
        self.clients.listener.set_paused(exceeded)
        if exceeded:
            self.schedule()

    def schedule(self) -> None:
        """Enforce the limit once at the end of this event loop iteration."""
        if not self.is_scheduled:
            self.is_scheduled = True
            self.clients.reactor.callLater(0, self.enforce)

    def enforce(self) -> None:
        """Close the connections in excess of the limit, not counting those that are closing already.

        A few more of low rank are closed as well: scanning all connections for each new one is expensive.
        An answer that the front itself still holds is not cut off while its client waits for it, so the limit
        may stay exceeded, by what was accepted at once; accepting is paused then.
        """
        self.is_scheduled = False
        limit = self.clients.limits.client_connections
        excess = len(self.clients.connections) - limit - len(self.closing)
        if excess <= 0:
            return
        idle = [c for c in self.clients.connections if c.request is None and c not in self.closing]
        self.clients.log.info("descriptors", clients=len(self.clients.connections), idle=len(idle))
        now = clock()
        for number, candidate in enumerate(self._first_to_close(idle, excess + limit // HEADROOM_DIVISOR)):
            if number >= excess and (candidate.rank >= CloseRank.NEW or candidate.has_unread_bytes):
                continue
            connection = candidate.connection
            holds_output = connection.output_blocked or connection.state is ConnectionState.LINGERING
            if holds_output and connection.is_awaited(now):
                continue
            if not candidate.has_unread_bytes and connection.has_unread_bytes():  # arrived during this loop
                self.schedule()
                continue
            self.closing.add(connection)  # before the call, which may already call connectionLost
            connection.close(abort=holds_output)  # without, the kernel goes on sending what it holds

    def _first_to_close(self, idle: list[ClientConnection], number: int) -> list[CloseCandidate]:
        now = clock()
        unread = with_unread_bytes(idle)
        return nsmallest(
            number,
            (
                CloseCandidate(c in unread, close_rank(c, now), c.last_activity_at, order, c)
                for order, c in enumerate(idle)
            ),
        )
