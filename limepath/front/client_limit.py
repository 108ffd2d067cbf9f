"""The limit on client connections: which are closed where too many are open, or take no answers."""

from __future__ import annotations

import select
from enum import IntEnum
from heapq import nsmallest
from typing import TYPE_CHECKING, NamedTuple

from limepath.front.client_connection import ClientConnection, ConnectionState
from limepath.front.clock import clock

if TYPE_CHECKING:
    from limepath.front.clients import Clients

SPARE_SHARE = 64  # one in so many of the limit is closed beyond need: a look at all connections costs much


class CloseRank(IntEnum):
    """Which connections are closed first."""

    ENDED = 0  # they have this side's FIN
    SILENT = 1  # they never sent a request
    PARTIAL_REQUEST = 2  # for a while: a flood of slow senders must not keep all others out
    IDLE = 3
    NEW = 4  # just connected, or in the middle of sending
    TAKING_ANSWER = 5


class CloseCandidate(NamedTuple):
    """A connection that may be closed; the smallest in the order of the fields goes first."""

    has_unread_bytes: bool
    rank: CloseRank
    last_activity_at: int
    order: int  # so that no two compare by connection
    connection: ClientConnection


def close_rank(connection: ClientConnection, now: int) -> CloseRank:
    """Give the rank of a connection without an open request at `now` (the front's clock)."""
    is_new = now - connection.last_activity_at < connection.clients.limits.first_request_grace
    if connection.output_blocked or connection.state is ConnectionState.LINGERING:
        return CloseRank.TAKING_ANSWER
    if connection.state is ConnectionState.HALF_CLOSED:
        return CloseRank.ENDED
    if is_new and (connection.buffer or not connection.has_requested):
        return CloseRank.NEW
    if connection.buffer:
        return CloseRank.PARTIAL_REQUEST
    return CloseRank.IDLE if connection.has_requested else CloseRank.SILENT


def with_unread_bytes(connections: list[ClientConnection]) -> set[ClientConnection]:
    """Those of the connections on which something is not read yet: a request, or the client's FIN."""
    by_descriptor = {one.transport.fileno(): one for one in connections if one.transport.fileno() >= 0}
    poller = select.poll()
    for descriptor in by_descriptor:
        poller.register(descriptor, select.POLLIN)
    return {by_descriptor[descriptor] for descriptor, _ in poller.poll(0)}


class ClientConnectionLimit:
    """Closes connections without a request where there are more than the limit."""

    def __init__(self, clients: Clients):
        self.clients = clients
        self.closing: set[ClientConnection] = set()  # closed for the limit, and not lost yet
        self.is_scheduled = False

    def count_changed(self) -> None:
        """Accept no more connections than the limit allows; beyond it, close those idle for longest."""
        exceeded = len(self.clients.connections) > self.clients.limits.client_connections
        self.clients.listener.set_paused(exceeded)
        if exceeded:
            self.schedule()

    def schedule(self) -> None:
        """Enforce the limit once for all that this event loop iteration brings."""
        if not self.is_scheduled:
            self.is_scheduled = True
            self.clients.reactor.callLater(0, self.enforce)

    def enforce(self) -> None:
        """Close as many connections as there are too many, less those that are closing already, and a few
        more that no one will miss: to look at all of them for each that comes costs too much.
        """
        self.is_scheduled = False
        limit = self.clients.limits.client_connections
        excess = len(self.clients.connections) - limit - len(self.closing)
        if excess <= 0:
            return
        idle = [one for one in self.clients.connections if one.request is None and one not in self.closing]
        self.clients.log.info("descriptors", clients=len(self.clients.connections), idle=len(idle))
        for number, candidate in enumerate(self._first_to_close(idle, excess + limit // SPARE_SHARE)):
            if number >= excess and (candidate.rank >= CloseRank.NEW or candidate.has_unread_bytes):
                continue
            connection = candidate.connection
            if not candidate.has_unread_bytes and connection.has_unread_bytes():  # it has come since
                self.schedule()
                continue
            self.closing.add(connection)  # until it is lost, which may be within the call
            connection.close(abort=connection.output_blocked or connection.is_closing)

    def _first_to_close(self, idle: list[ClientConnection], number: int) -> list[CloseCandidate]:
        now = clock()
        unread = with_unread_bytes(idle)
        return nsmallest(
            number,
            (
                CloseCandidate(one in unread, close_rank(one, now), one.last_activity_at, order, one)
                for order, one in enumerate(idle)
            ),
        )

    def output_blocked(self) -> None:
        """Answers that clients do not take must not fill the memory: the longest blocked is closed."""
        blocked = [one for one in self.clients.connections if one.output_blocked]
        if len(blocked) > self.clients.limits.undrained_connections:
            self.clients.log.info("memory", "clients do not take their answers", clients=len(blocked))
            min(blocked, key=lambda one: one.last_activity_at).close(abort=True)
