"""Faults between regions on loopback, for the list service and for processes of the real program.

Fronts without a data path drop datagrams in their own process (`scale.hollow_process`). A process of the real
program cannot do that, so others reach it through a proxy that drops datagrams by their source and target
regions.
"""

from typing import NamedTuple

from twisted.internet.protocol import DatagramProtocol, Factory

from limepath.testbed.process import HOST
from limepath.testbed.stand_ins import ListServiceStream, StandInListService


class RegionalListServiceStream(ListServiceStream):
    """A call of the list service that passes no data while its front is cut off."""

    def dataReceived(self, data):
        if self.service.is_cut_off(self.index):
            self.service.held += 1
            self.head += data  # as if queued in the network
        elif b"\r\n\r\n" in self.head + data and b"Last-Event-ID: " not in self.head + data:
            self.transport.loseConnection()  # a client of the previous owner of this port
        else:
            super().dataReceived(data)

    def send_pending(self):
        if self.service.is_cut_off(self.index):
            self.service.held += 1
        else:
            super().send_pending()


class RegionalListService(StandInListService):
    """The list service with fronts that can be cut off from it.

    `cut_off_fronts` cuts fronts off and `rejoin` ends all cuts. `held` counts the reads and writes that a cut
    held back.
    """

    def __init__(self, reactor, fronts, zone_of, is_running=lambda index: True):
        self.cut_off, self.held = frozenset(), 0
        super().__init__(reactor, fronts, zone_of, is_running)

    def factory(self, index):
        factory = Factory.forProtocol(lambda: RegionalListServiceStream(self, index))
        factory.noisy = False
        return factory

    def is_cut_off(self, index):
        return index in self.cut_off

    def cut_off_fronts(self, fronts):
        self.cut_off = frozenset(fronts)

    def rejoin(self):
        """End the cut and pass the data that it held back."""
        formerly_cut_off, self.cut_off = self.cut_off, frozenset()
        for stream in list(self.streams):
            if stream.index in formerly_cut_off:
                stream.send_pending() if stream.head_sent else stream.dataReceived(b"")

    def send_keepalives(self):
        for stream in list(self.streams):
            if self.is_cut_off(stream.index):
                self.held += 1
            elif stream.head_sent and self.mode in ("up", "slow"):
                stream.write(b": here\n\n")


class LinkFaults(NamedTuple):
    """Faults between regions: the share of datagrams lost, and the pairs of regions that are cut off."""

    loss: float = 0.0
    cuts: tuple[tuple[str, str], ...] = ()

    def is_cut(self, region, other):
        return (region, other) in self.cuts or (other, region) in self.cuts


class RegionProxy(DatagramProtocol):
    """The proxy endpoint of one process: forwards datagrams to the port at which it listens."""

    def __init__(self, proxies, port, region):
        self.proxies, self.port, self.region = proxies, port, region

    def datagramReceived(self, datagram, address):
        if self.proxies.passes(address[1], self.region):
            self.transport.write(datagram, (HOST, self.port))


class RegionProxies:
    """A proxy for each process of the real program.

    `region_of` maps the source port of a datagram to a region; `lost` and `cut` count the dropped datagrams.
    """

    def __init__(self, reactor, random, region_of):
        self.reactor, self.random, self.region_of = reactor, random, region_of
        self.link_faults, self.ports, self.lost, self.cut = LinkFaults(), [], 0, 0

    def open(self, port, region):
        """Return the port of a new proxy to the process of this region that listens at `port`."""
        self.ports.append(self.reactor.listenUDP(0, RegionProxy(self, port, region), interface=HOST))
        return self.ports[-1].getHost().port

    def passes(self, source, region):
        if self.link_faults.cuts and self.link_faults.is_cut(self.region_of.get(source), region):
            self.cut += 1
            return False
        if self.link_faults.loss and self.random.random() < self.link_faults.loss:
            self.lost += 1
            return False
        return True

    def close(self):
        for port in self.ports:
            port.stopListening()
