"""Stand-ins for drills and tests of several processes: caches that count probes, caches that answer GETs,
change logs.

Caches answer the probe words of the platform's protocol (FIT) and turn an older epoch away (UNFIT). A cache
listens once for each instance, so that it is known who asks. All on loopback.
"""

import json
import re
import time

from twisted.internet.protocol import Factory, Protocol
from twisted.protocols.basic import LineReceiver

from limepath.testbed.process import HOST


class Asked(LineReceiver):
    """One connection of instance `who` to one cache."""

    delimiter, MAX_LENGTH = b"\r\n", 4096

    def __init__(self, cache, index):
        self.cache, self.index = cache, index

    def connectionMade(self):
        self.cache.connections.add(self)

    def connectionLost(self, reason):
        self.cache.connections.discard(self)

    def lineReceived(self, line):
        words = line.split(b" ")
        if len(words) != 2 or words[0] not in (b"INFO", b"NOOP"):
            return self.transport.loseConnection()
        epoch = re.fullmatch(rb"p\d+-e(\d+)", words[1])
        if not self.cache.deaf:
            fit = self.cache.asked(self.index, int(epoch[1]) if epoch else 0)
            self.transport.write(
                b"%b %b use=inflight:1;util:0.1 0\r\n\r\n" % (words[1], b"FIT" if fit else b"UNFIT")
            )


class StandInCaches:
    """All targets: `asked(target, who, epoch)` hears of each probe and gives whether it is taken."""

    class One:
        def __init__(self, name):
            self.name, self.ports, self.connections, self.deaf, self.epoch = name, [], set(), False, 0

    def __init__(self, reactor, asked):
        self.reactor, self.heard, self.caches = reactor, asked, {}

    def open(self, name, instances):
        """Listen for each instance; give the ports."""
        cache = self.caches[name] = self.One(name)
        cache.asked = lambda index, epoch: self.heard(cache, index, epoch)
        for index in range(instances):
            factory = Factory.forProtocol(lambda index=index: Asked(cache, index))
            factory.noisy = False
            cache.ports.append(self.reactor.listenTCP(0, factory, interface=HOST))
        return [port.getHost().port for port in cache.ports]

    def close(self):
        for cache in self.caches.values():
            for port in cache.ports:
                port.stopListening()
            for connection in list(cache.connections):
                connection.transport.abortConnection()


class Followed(Protocol):
    """One front that follows the change log."""

    def __init__(self, log, index):
        self.log, self.index, self.head = log, index, b""

    def dataReceived(self, data):
        self.head += data
        if b"\r\n\r\n" in self.head and self not in self.log.streams:
            last = re.search(rb"Last-Event-ID: (\d+)", self.head)
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n")
            self.log.streams.add(self)
            for number, told in self.log.events:
                if number > int(last[1]):
                    self.tell(number, told(self.index))

    def tell(self, number, told):
        self.transport.write(b"id: %d\ndata: %s\n\n" % (number, json.dumps({"seq": number} | told).encode()))

    def connectionLost(self, reason):
        self.log.streams.discard(self)


class StandInChangeLog:
    """Tells events to all that follow; an event is a function of the instance, since caches' addresses
    differ.
    """

    def __init__(self, reactor, instances):
        self.streams, self.events, self.ports = set(), [], []
        for index in range(instances):
            factory = Factory.forProtocol(lambda index=index: Followed(self, index))
            factory.noisy = False
            self.ports.append(reactor.listenTCP(0, factory, interface=HOST))

    def tell(self, told):
        number = 2 + len(self.events)
        self.events.append((number, told))
        for stream in list(self.streams):
            stream.tell(number, told(stream.index))

    def send_keepalives(self):
        for stream in self.streams:
            stream.transport.write(b": here\n\n")

    def close(self):
        for port in self.ports:
            port.stopListening()
        for stream in list(self.streams):
            stream.transport.abortConnection()


class Listening(Protocol):
    """One call of the list service by front `who`."""

    def __init__(self, service, index):
        self.service, self.index, self.head, self.told, self.greeted = service, index, b"", None, False

    def connectionMade(self):
        self.service.came(self)

    def dataReceived(self, data):
        self.head += data
        if b"\r\n\r\n" in self.head and self.told is None:
            self.told = int(re.search(rb"Last-Event-ID: (\d+)", self.head)[1])
            if self.service.mode != "silent":
                self.greet()

    def greet(self):
        self.greeted = True
        self.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        self.go_on()

    def go_on(self):
        """Tell what is new; a slow service one event each 200 ms, one that breaks off half of the first."""
        service = self.service
        if service.mode == "breaking" and self.told < len(service.events):
            self.write(service.said(self.told)[:-9])
            return self.transport.loseConnection()
        while self.greeted and self.told < len(service.events) and service.mode not in ("silent", "still"):
            self.write(service.said(self.told))
            self.told += 1
            if service.mode == "slow" and self.told < len(service.events):
                service.reactor.callLater(0.2, self.go_on)
                return
        if self.greeted and service.mode not in ("silent", "still"):
            self.write(b": here\n\n")

    def write(self, data):
        if self.transport.connected:
            self.service.bytes += len(data)
            self.transport.write(data)

    def connectionLost(self, reason):
        self.service.streams.discard(self)


class StandInListService:
    """The list service; each front has a port of its own there, so that it is known who calls. `mode`: up,
    refusing, silent (accepts and says nothing), slow, breaking (off in an event) or still (says nothing
    more). `runs` tells whether a front is not stopped: one that is holds its stream until the service ends
    it, and is not counted.
    """

    def __init__(self, reactor, fronts, zone_of, runs=lambda index: True):
        self.reactor, self.mode, self.events, self.streams, self.bytes = reactor, "up", [], set(), 0
        self.runs, self.zone_of, self.most_streams, self.calls, self.ports = runs, zone_of, {}, [], []
        self.port_of = []
        for index in range(fronts):
            self.ports.append(reactor.listenTCP(0, self.factory(index), interface=HOST))
            self.port_of.append(self.ports[index].getHost().port)

    def factory(self, index):
        factory = Factory.forProtocol(lambda: Listening(self, index))
        factory.noisy = False
        return factory

    def came(self, stream):
        self.calls.append(self.reactor.seconds())
        if self.mode == "refusing":
            return stream.transport.abortConnection()
        self.streams.add(stream)
        zone = self.zone_of(stream.index)
        self.most_streams[zone] = max(
            self.most_streams.get(zone, 0),
            sum(self.zone_of(one.index) == zone and self.runs(one.index) for one in self.streams),
        )

    def said(self, at):
        return b"id: %d\ndata: %s\n\n" % (at + 1, self.events[at])

    def add(self, told):
        """Tell an event; give its number."""
        self.events.append(json.dumps({"seq": len(self.events) + 1} | told).encode())
        for stream in list(self.streams):
            stream.go_on()
        return len(self.events)

    def turn(self, mode):
        """Behave otherwise from now on; refusing ends the streams too, and after `still` those are of no more
        use.
        """
        before, self.mode = self.mode, mode
        if mode == "refusing" or before in ("still", "silent"):
            for stream in list(self.streams):
                stream.transport.abortConnection()

    def restore(self, number):
        """Go back to an older state: its numbers run backwards."""
        del self.events[number:]
        for stream in list(self.streams):
            stream.transport.abortConnection()

    def send_keepalives(self):
        for stream in list(self.streams):
            if stream.greeted and self.mode in ("up", "slow"):
                stream.write(b": here\n\n")

    def close(self):
        for port in self.ports:
            port.stopListening()
        for stream in list(self.streams):
            stream.transport.abortConnection()


class Answering(LineReceiver):
    """One connection of a front to a cache that holds all: probes and forwards are answered at once."""

    delimiter, MAX_LENGTH = b"\r\n", 4096

    def __init__(self, cache):
        self.cache, self.body = cache, None

    def connectionMade(self):
        self.cache.connected.append(self.cache.reactor.seconds())
        self.cache.connections.add(self)

    def connectionLost(self, reason):
        self.cache.connections.discard(self)

    def lineReceived(self, line):
        words = line.split(b" ")
        if words[0] == b"ASK" and len(words) == 4:
            self.asked = words[1]
            self.body = int(words[3])
            self.setRawMode()
        elif words[0] in (b"INFO", b"NOOP") and len(words) == 2:
            self.transport.write(words[1] + b" FIT use=inflight:1;util:0.1 0\r\n\r\n")

    def rawDataReceived(self, data):
        self.body -= len(data)
        if self.body <= -2:  # the line end behind the body
            rest = data[len(data) + self.body + 2 :]
            self.cache.forwards.append((self.cache.reactor.seconds(), self.asked))
            self.transport.write(
                b"%b DONE rev=4be0,since=%d 4\r\nbody\r\n" % (self.asked, time.time() * 1000)
            )
            self.setLineMode(rest)


class StandInCache:
    """A cache, parent or origin that answers GETs; it counts connections and forwards with their times."""

    def __init__(self, reactor):
        self.reactor, self.connections, self.connected, self.forwards = reactor, set(), [], []
        factory = Factory.forProtocol(lambda: Answering(self))
        factory.noisy = False
        self.listening = reactor.listenTCP(0, factory, interface=HOST, backlog=512)
        self.port = self.listening.getHost().port

    def close(self):
        self.listening.stopListening()
        for connection in list(self.connections):
            connection.transport.abortConnection()
