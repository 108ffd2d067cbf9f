"""The pace of connections at a front: what it allows goes to the module as room, and to the peers as leave to
connect.
"""

from limepath.connection_pacing.connections import Connections
from limepath.front.clock import clock
from limepath.interface.events import ConnectionAvailabilityChanged


class Paced:
    """`rate` as in Connections; `sharing()` tells how many fronts share it, `chance()` draws."""

    def __init__(self, reactor, turn, caches, rate, sharing, chance):
        self.reactor, self.turn, self.caches = reactor, turn, caches
        self.pace, self.timer = Connections(rate, sharing, chance), None
        self.may, caches.paced = self.pace.may, self

    def took(self, ident):
        self.pace.took(ident, clock())

    def look(self):
        """After the list or a connection has changed, and when a turn has come."""
        now, peers = clock(), self.caches.endpoints
        self.pace.listed(now, [ident for ident, peer in peers.items() if peer.removed_at is None])
        for ident, peer in peers.items():
            self.pace.changed(ident, len(peer.connections) + peer.connecting)
        self.turn.gather(*(ConnectionAvailabilityChanged(ident, way) for ident, way in self.pace.rooms(now)))
        if self.timer and self.timer.active():
            self.timer.cancel()
        due = self.pace.next()
        self.timer = due is not None and self.reactor.callLater(max(0, due - now) / 1e6 + 0.001, self.look)
