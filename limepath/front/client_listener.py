"""The listening socket for clients: pauses, a limit on accepts per read, and the backlog at shutdown."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet import tcp
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory

from limepath.configuration.process_limits import ACCEPTED_AT_ONCE
from limepath.front.client_connection import ClientConnection
from limepath.front.readiness import is_readable

if TYPE_CHECKING:
    from twisted.internet.interfaces import IStreamServerEndpoint

    from limepath.front.clients import Clients


class ClientListener:
    """Accepts client connections and owns the listening port."""

    def __init__(self, clients: Clients):
        self.clients = clients
        self.port = None  # Twisted's port; None before listening and after closing
        self.is_paused = False  # whether accepting is paused because of too many connections
        self.accepted_count = 0

    def listen(self, endpoint: IStreamServerEndpoint) -> Deferred:
        """Listen on a Twisted server endpoint; return a Deferred that fires once clients can connect.

        Twisted's reserve descriptor is not used: at EMFILE it would accept all waiting connections and close
        them, with the requests that have arrived. They wait for a free descriptor instead.
        """
        tcp._reservedFD = tcp._NullFileDescriptorReservation()
        return endpoint.listen(Factory.forProtocol(self._accept)).addCallback(self._listening)

    def _accept(self) -> ClientConnection:
        self.accepted_count += 1
        return ClientConnection(self.clients)

    def _listening(self, port) -> None:
        """Limit the accepts per read of the port, because accepting can be paused only between reads."""
        self.port = port
        accept = port.doRead

        def accept_some():
            port.numberAccepts = min(port.numberAccepts, ACCEPTED_AT_ONCE)
            accept()

        port.doRead = accept_some

    def set_paused(self, paused: bool) -> None:
        """Pause or resume accepting connections."""
        if self.port and paused != self.is_paused:
            self.is_paused = paused
            self.port.stopReading() if paused else self.port.startReading()

    def accept_backlog(self) -> None:
        """Accept all connections in the kernel's accept queue."""
        fruitless_reads = 0
        for _ in range(self.clients.limits.backlog):
            accepted_before = self.accepted_count
            self.port.doRead()
            fruitless_reads = fruitless_reads + 1 if self.accepted_count == accepted_before else 0
            # Twisted adapts its number of accepts per read, so a single read may accept none.
            if fruitless_reads > 1:
                break

    def has_backlog(self) -> bool:
        """Whether the kernel's accept queue is not empty."""
        return is_readable(self.port.socket)

    def close(self) -> None:
        """Close the port."""
        self.port.stopListening()
        self.port = None
