"""Regions on loopback: the list service as fronts of a region that is cut off see it, and datagrams to
processes of the real program, lost or cut by the regions that they come from and go to.

Fronts without a data path lose datagrams in their own process (`scale.hollow_process`); a process of the real
program cannot, so that it is reached through a door here.
"""

from typing import NamedTuple

from twisted.internet.protocol import DatagramProtocol, Factory

from limepath.testbed.process import HOST
from limepath.testbed.stand_ins import ListServiceStream, StandInListService


class RegionalListServiceStream(ListServiceStream):
    """One call of the list service: nothing passes while its front is cut off."""

    def dataReceived(self, data):
        if self.service.parted(self.index):
            self.service.held += 1
            self.head += data  # it lies in the network
        elif b"\r\n\r\n" in self.head + data and b"Last-Event-ID: " not in self.head + data:
            self.transport.loseConnection()  # a port may be tried by whom it belonged to before
        else:
            super().dataReceived(data)

    def send_pending(self):
        if self.service.parted(self.index):
            self.service.held += 1
        else:
            super().send_pending()


class RegionalListService(StandInListService):
    """The list service with links by region: `part` cuts fronts off, `rejoin` ends all cuts. `held` counts
    the pieces that a cut kept back.
    """

    def __init__(self, reactor, fronts, zone_of, is_running=lambda index: True):
        self.apart, self.held = frozenset(), 0
        super().__init__(reactor, fronts, zone_of, is_running)

    def factory(self, index):
        factory = Factory.forProtocol(lambda: RegionalListServiceStream(self, index))
        factory.noisy = False
        return factory

    def parted(self, index):
        return index in self.apart

    def part(self, fronts):
        self.apart = frozenset(fronts)

    def rejoin(self):
        """End the cut: what waited arrives now, late."""
        was, self.apart = self.apart, frozenset()
        for stream in list(self.streams):
            if stream.index in was:
                stream.send_pending() if stream.head_sent else stream.dataReceived(b"")

    def send_keepalives(self):
        for stream in list(self.streams):
            if self.parted(stream.index):
                self.held += 1
            elif stream.head_sent and self.mode in ("up", "slow"):
                stream.write(b": here\n\n")


class Links(NamedTuple):
    """Faults between regions: the share of datagrams lost, and pairs that hear nothing of each other."""

    loss: float = 0.0
    cuts: tuple[tuple[str, str], ...] = ()

    def parts(self, one, other):
        return (one, other) in self.cuts or (other, one) in self.cuts


class RegionProxy(DatagramProtocol):
    """Where others reach one process: what passes goes on to the port at which it listens."""

    def __init__(self, proxies, port, region):
        self.proxies, self.to, self.region = proxies, port, region

    def datagramReceived(self, datagram, address):
        if self.proxies.passes(address[1], self.region):
            self.transport.write(datagram, (HOST, self.to))


class RegionProxies:
    """A door for each process. `region_of` maps the port that a datagram comes from to a region; `lost` and
    `cut` count what did not pass.
    """

    def __init__(self, reactor, chance, region_of):
        self.reactor, self.chance, self.region_of = reactor, chance, region_of
        self.links, self.ports, self.lost, self.cut = Links(), [], 0, 0

    def open(self, port, region):
        """Give the port of the door to a process of this region that listens at `port`."""
        self.ports.append(self.reactor.listenUDP(0, RegionProxy(self, port, region), interface=HOST))
        return self.ports[-1].getHost().port

    def passes(self, source, region):
        if self.links.cuts and self.links.parts(self.region_of.get(source), region):
            self.cut += 1
            return False
        if self.links.loss and self.chance.random() < self.links.loss:
            self.lost += 1
            return False
        return True

    def close(self):
        for port in self.ports:
            port.stopListening()
