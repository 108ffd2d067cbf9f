"""The listening port for clients: how many connections it accepts at once, and its backlog at the end."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory

from limepath.configuration.process_limits import ACCEPTED_AT_ONCE
from limepath.front.client_connection import ClientConnection

if TYPE_CHECKING:
    from twisted.internet.interfaces import IStreamServerEndpoint

    from limepath.front.clients import Clients


class ClientListener:
    """Accepts client connections, and owns the port."""

    def __init__(self, clients: Clients):
        self.clients = clients
        self.port = None  # Twisted's port; None before it listens and once it is closed
        self.is_paused = False  # there are too many connections
        self.accepted_count = 0

    def listen(self, endpoint: IStreamServerEndpoint) -> Deferred:
        """Listen on a Twisted server endpoint; the Deferred fires once clients can connect."""
        return endpoint.listen(Factory.forProtocol(self._accept)).addCallback(self._listening)

    def _accept(self) -> ClientConnection:
        self.accepted_count += 1
        return ClientConnection(self.clients)

    def _listening(self, port) -> None:
        """Bound how many the port accepts at once: it learns of too many only after the last of them."""
        self.port = port
        accept = port.doRead

        def accept_some():
            port.numberAccepts = min(port.numberAccepts, ACCEPTED_AT_ONCE)
            accept()

        port.doRead = accept_some

    def set_paused(self, paused: bool) -> None:
        """Stop accepting, or accept again."""
        if self.port and paused != self.is_paused:
            self.is_paused = paused
            self.port.stopReading() if paused else self.port.startReading()

    def accept_backlog(self) -> None:
        """Accept what the system holds for this front."""
        fruitless_reads = 0
        for _ in range(self.clients.limits.backlog):
            accepted_before = self.accepted_count
            self.port.doRead()
            fruitless_reads = fruitless_reads + 1 if self.accepted_count == accepted_before else 0
            if fruitless_reads > 1:  # one read may accept none: Twisted adapts how many it accepts at once
                break

    def has_backlog(self) -> bool:
        """Whether the system holds a connection that this front has not accepted."""
        poller = select.poll()
        poller.register(self.port.socket, select.POLLIN)
        return bool(poller.poll(0))

    def close(self) -> None:
        """Close the port for good."""
        self.port.stopListening()
        self.port = None
