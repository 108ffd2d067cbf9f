"""Network links of a drill: loopback proxies for datagrams and connections, with faults.

`faults.Faults` decides what happens to the data that passes a link; this module applies it on sockets.
"""

from collections import deque

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import DatagramProtocol, Factory, Protocol

HOST = "127.0.0.1"


class DatagramProxy(DatagramProtocol):
    """The proxy endpoint of one party: forwards datagrams to the port at which it listens."""

    def __init__(self, links, target):
        self.links, self.target = links, target

    def datagramReceived(self, datagram, address):
        self.links.received(self, self.links.index_of_port.get(address[1]), datagram)


class DatagramLinks:
    """A datagram proxy for each party; the party at index i listens at `listen_ports[i]`."""

    def __init__(self, reactor, listen_ports, faults):
        self.reactor, self.listen_ports, self.faults = reactor, listen_ports, faults
        self.index_of_port = {port: index for index, port in enumerate(listen_ports)}
        self.messages = self.bytes = 0
        self.proxies = [DatagramProxy(self, index) for index in range(len(listen_ports))]
        self.ports = [reactor.listenUDP(0, proxy, interface=HOST) for proxy in self.proxies]

    def proxy_port(self, index):
        return self.ports[index].getHost().port

    def received(self, proxy, source, datagram):
        self.messages += 1
        self.bytes += len(datagram)
        for delay in self.faults.delays(source, proxy.target, datagram):
            if delay:
                self.reactor.callLater(delay / 1e6, self.deliver, proxy.target, datagram)
            else:
                self.deliver(proxy.target, datagram)

    def deliver(self, target, datagram):
        if self.proxies[target].transport:
            self.proxies[target].transport.write(datagram, (HOST, self.listen_ports[target]))

    def end(self, *names):
        """End faults and deliver the datagrams that they held."""
        for _, target, datagram in self.faults.end(*names):
            self.deliver(target, datagram)

    def close(self):
        for port in self.ports:
            port.stopListening()


class ConnectionSide(Protocol):
    """One of the two connections of a proxied connection.

    It forwards the data that it reads to the other side, in order, as the faults allow.
    """

    def __init__(self, links, source, target):
        self.links, self.source, self.target, self.other = links, source, target, None
        self.queue, self.delayed, self.ended, self.open = deque(), False, False, False

    def connectionMade(self):
        self.open = True
        self.transport.setTcpNoDelay(True)
        self.links.sides.add(self)

    def dataReceived(self, data):
        if not self.ended:
            self.queue.append(data)
            self.links.forward(self)

    def connectionLost(self, reason):
        self.open = False
        self.links.sides.discard(self)
        if not self.ended:
            self.ended = True
            self.queue.append(None)  # the faults apply to the end of a connection as to data
            self.links.forward(self)


class ConnectionLinks:
    """Proxies for connections from one party to another.

    `open` returns the port to connect to. `history` has the time in seconds, source and target of each
    accepted connection.
    """

    def __init__(self, reactor, faults):
        self.reactor, self.faults, self.ports, self.sides = reactor, faults, [], set()
        self.accepted, self.waiting, self.history = 0, [], []

    def open(self, source, target, port):
        factory = Factory.forProtocol(lambda: None)
        factory.noisy = False
        factory.buildProtocol = lambda address: self.accept(source, target, port)
        self.ports.append(self.reactor.listenTCP(0, factory, interface=HOST))
        return self.ports[-1].getHost().port

    def accept(self, source, target, port):
        """Accept a connection and connect to the target.

        While it is cut, the connection stays open and silent, as when the other machine vanishes.
        """
        self.accepted += 1
        self.history.append((self.reactor.seconds(), source, target))
        near, far = ConnectionSide(self, source, target), ConnectionSide(self, target, source)
        endpoint = TCP4ClientEndpoint(self.reactor, HOST, port, timeout=5)
        connecting = endpoint.connect(Factory.forProtocol(lambda: far))
        near.other, far.other = far, near
        connecting.addCallbacks(
            lambda _: self.forward(near), lambda _: near.open and near.transport.abortConnection()
        )
        return near

    def forward(self, side):
        """Forward the queued data of one side, in order, until the queue is empty or a fault applies."""
        while side.queue and side.other.open and not side.delayed:
            delays = self.faults.delays(side.source, side.target, ordered=True)
            if not delays:
                self.waiting.append(side)  # until a fault ends; data stays in order, so later data waits too
                return
            if delays[0]:
                side.delayed = True
                self.reactor.callLater(delays[0] / 1e6, self.forward_delayed, side)
            else:
                self.forward_next(side)

    def forward_delayed(self, side):
        side.delayed = False
        self.forward_next(side)
        self.forward(side)

    def forward_next(self, side):
        if side.other.open:
            data = side.queue.popleft()
            side.other.transport.loseConnection() if data is None else side.other.transport.write(data)

    def end(self):
        """Forward the data that waited; called after faults have ended (`Faults.end`)."""
        waiting, self.waiting = self.waiting, []
        for side in dict.fromkeys(waiting):
            self.forward(side)

    def close(self):
        for port in self.ports:
            port.stopListening()
        for side in list(self.sides):
            side.transport.abortConnection()
