"""The network of a drill: every datagram between two processes and every connection through it passes a way.

What becomes of each piece is decided by `faults.Faults`; here it is carried out on sockets, on loopback.
"""

from collections import deque

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import DatagramProtocol, Factory, Protocol

HOST = "127.0.0.1"


class Door(DatagramProtocol):
    """Where others reach one party: what passes goes on to where that listens."""

    def __init__(self, datagrams, to):
        self.datagrams, self.to = datagrams, to

    def datagramReceived(self, datagram, address):
        self.datagrams.came(self, self.datagrams.at.get(address[1]), datagram)


class DatagramLinks:
    """`listens[who]` is the port at which party `who` (an index) listens."""

    def __init__(self, reactor, listens, faults):
        self.reactor, self.listens, self.faults = reactor, listens, faults
        self.at = {port: index for index, port in enumerate(listens)}
        self.messages = self.bytes = 0
        self.doors = [Door(self, index) for index in range(len(listens))]
        self.ports = [reactor.listenUDP(0, door, interface=HOST) for door in self.doors]

    def reached_at(self, index):
        return self.ports[index].getHost().port

    def came(self, door, source, datagram):
        self.messages += 1
        self.bytes += len(datagram)
        for delay in self.faults.delays(source, door.to, datagram):
            if delay:
                self.reactor.callLater(delay / 1e6, self.deliver, door.to, datagram)
            else:
                self.deliver(door.to, datagram)

    def deliver(self, to, datagram):
        if self.doors[to].transport:
            self.doors[to].transport.write(datagram, (HOST, self.listens[to]))

    def end(self, *names):
        """End faults; what they held arrives now, late."""
        for _, to, datagram in self.faults.end(*names):
            self.deliver(to, datagram)

    def close(self):
        for port in self.ports:
            port.stopListening()


class Half(Protocol):
    """One of the two connections of a passage: what it reads goes to the other side, in order, as the faults
    let it.
    """

    def __init__(self, way, source, to):
        self.way, self.source, self.to, self.other = way, source, to, None
        self.queue, self.late, self.ended, self.open = deque(), False, False, False

    def connectionMade(self):
        self.open = True
        self.transport.setTcpNoDelay(True)
        self.way.halves.add(self)

    def dataReceived(self, data):
        if not self.ended:
            self.queue.append(data)
            self.way.move(self)

    def connectionLost(self, reason):
        self.open = False
        self.way.halves.discard(self)
        if not self.ended:
            self.ended = True
            self.queue.append(None)  # an end passes, or is cut and held, like any other piece
            self.way.move(self)


class ConnectionLinks:
    """Ways for connections from party `source` to party `to`, which listens at a port: `open` gives where to
    connect.
    """

    def __init__(self, reactor, faults):
        self.reactor, self.faults, self.ports, self.halves = reactor, faults, [], set()
        self.accepted, self.waiting, self.history = (
            0,
            [],
            [],
        )  # of history: (seconds, source, to) of each connection

    def open(self, source, to, port):
        factory = Factory.forProtocol(lambda: None)
        factory.noisy = False
        factory.buildProtocol = lambda address: self.passage(source, to, port)
        self.ports.append(self.reactor.listenTCP(0, factory, interface=HOST))
        return self.ports[-1].getHost().port

    def passage(self, source, to, port):
        """One accepted connection and its way on; where it is cut it stays open and silent, like a machine
        that vanished.
        """
        self.accepted += 1
        self.history.append((self.reactor.seconds(), source, to))
        near, far = Half(self, source, to), Half(self, to, source)
        endpoint = TCP4ClientEndpoint(self.reactor, HOST, port, timeout=5)
        coming = endpoint.connect(Factory.forProtocol(lambda: far))
        near.other, far.other = far, near
        coming.addCallbacks(
            lambda _: self.move(near), lambda _: near.open and near.transport.abortConnection()
        )
        return near

    def move(self, half):
        """Pass on what one side has sent, in order, as far as it may go now."""
        while half.queue and half.other.open and not half.late:
            delays = self.faults.delays(half.source, half.to, ordered=True)
            if not delays:
                self.waiting.append(half)  # until a fault ends; in order, so nothing behind it passes either
                return
            if delays[0]:
                half.late = True
                self.reactor.callLater(delays[0] / 1e6, self.come_late, half)
            else:
                self.pass_on(half)

    def come_late(self, half):
        half.late = False
        self.pass_on(half)
        self.move(half)

    def pass_on(self, half):
        if half.other.open:
            piece = half.queue.popleft()
            half.other.transport.loseConnection() if piece is None else half.other.transport.write(piece)

    def end(self):
        """Faults have ended (`Faults.end`): what waited goes on."""
        waiting, self.waiting = self.waiting, []
        for half in dict.fromkeys(waiting):
            self.move(half)

    def close(self):
        for port in self.ports:
            port.stopListening()
        for half in list(self.halves):
            half.transport.abortConnection()
