"""Stand-ins for drills and tests of several processes: caches, change logs and the list service.

Caches answer the probe commands of the platform's protocol with FIT, or with UNFIT to a probe of an older
epoch. A server has a separate port for each instance, which identifies the caller. All sockets are on
loopback.
"""

import json
import re
import time

from twisted.internet.protocol import Factory, Protocol
from twisted.protocols.basic import LineReceiver

from limepath.testbed.process import HOST


class ProbeConnection(LineReceiver):
    """A connection from the instance `index` to a cache."""

    delimiter, MAX_LENGTH = b"\r\n", 4096

    def __init__(self, cache, index):
        self.cache, self.index = cache, index

    def connectionMade(self):
        self.cache.connections.add(self)

    def connectionLost(self, reason):
        self.cache.connections.discard(self)

    def lineReceived(self, line):
        fields = line.split(b" ")
        if len(fields) != 2 or fields[0] not in (b"INFO", b"NOOP"):
            return self.transport.loseConnection()
        epoch = re.fullmatch(rb"p\d+-e(\d+)", fields[1])
        if not self.cache.ignores_probes:
            accepted = self.cache.on_probe(self.index, int(epoch[1]) if epoch else 0)
            self.transport.write(
                b"%b %b use=inflight:1;util:0.1 0\r\n\r\n" % (fields[1], b"FIT" if accepted else b"UNFIT")
            )


class StandInCaches:
    """The caches that instances probe.

    `on_probe(cache, index, epoch)` is called for each probe and returns whether the cache accepts it.
    """

    class Cache:
        def __init__(self, name):
            self.name, self.ports, self.connections, self.ignores_probes, self.epoch = (
                name,
                [],
                set(),
                False,
                0,
            )

    def __init__(self, reactor, on_probe):
        self.reactor, self.on_probe, self.caches = reactor, on_probe, {}

    def open(self, name, instances):
        """Listen on a port for each instance and return the ports."""
        cache = self.caches[name] = self.Cache(name)
        cache.on_probe = lambda index, epoch: self.on_probe(cache, index, epoch)
        for index in range(instances):
            factory = Factory.forProtocol(lambda index=index: ProbeConnection(cache, index))
            factory.noisy = False
            cache.ports.append(self.reactor.listenTCP(0, factory, interface=HOST))
        return [port.getHost().port for port in cache.ports]

    def close(self):
        for cache in self.caches.values():
            for port in cache.ports:
                port.stopListening()
            for connection in list(cache.connections):
                connection.transport.abortConnection()


class ChangeLogStream(Protocol):
    """A stream of the change log to one front."""

    def __init__(self, log, index):
        self.log, self.index, self.head = log, index, b""

    def dataReceived(self, data):
        self.head += data
        if b"\r\n\r\n" in self.head and self not in self.log.streams:
            last = re.search(rb"Last-Event-ID: (\d+)", self.head)
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n")
            self.log.streams.add(self)
            for number, event_for in self.log.events:
                if number > int(last[1]):
                    self.send_event(number, event_for(self.index))

    def send_event(self, number, event):
        self.transport.write(b"id: %d\ndata: %s\n\n" % (number, json.dumps({"seq": number} | event).encode()))

    def connectionLost(self, reason):
        self.log.streams.discard(self)


class StandInChangeLog:
    """Sends events to all fronts that follow it.

    An event is given as a function of the instance's index, because cache addresses differ between instances.
    """

    def __init__(self, reactor, instances):
        self.streams, self.events, self.ports = set(), [], []
        for index in range(instances):
            factory = Factory.forProtocol(lambda index=index: ChangeLogStream(self, index))
            factory.noisy = False
            self.ports.append(reactor.listenTCP(0, factory, interface=HOST))

    def add(self, event_for):
        number = 2 + len(self.events)
        self.events.append((number, event_for))
        for stream in list(self.streams):
            stream.send_event(number, event_for(stream.index))

    def send_keepalives(self):
        for stream in self.streams:
            stream.transport.write(b": here\n\n")

    def close(self):
        for port in self.ports:
            port.stopListening()
        for stream in list(self.streams):
            stream.transport.abortConnection()


class ListServiceStream(Protocol):
    """A call of the list service by the front `index`."""

    def __init__(self, service, index):
        self.service, self.index, self.head, self.sent_count, self.head_sent = (
            service,
            index,
            b"",
            None,
            False,
        )

    def connectionMade(self):
        self.service.add_stream(self)

    def dataReceived(self, data):
        self.head += data
        if b"\r\n\r\n" in self.head and self.sent_count is None:
            self.sent_count = int(re.search(rb"Last-Event-ID: (\d+)", self.head)[1])
            if self.service.mode != "silent":
                self.send_head()

    def send_head(self):
        self.head_sent = True
        self.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        self.send_pending()

    def send_pending(self):
        """Send the events that the front does not have yet.

        A slow service sends one event each 200 ms; a breaking one closes the connection within the first.
        """
        service = self.service
        if service.mode == "breaking" and self.sent_count < len(service.events):
            self.write(service.encoded_event(self.sent_count)[:-9])
            return self.transport.loseConnection()
        while (
            self.head_sent
            and self.sent_count < len(service.events)
            and service.mode not in ("silent", "still")
        ):
            self.write(service.encoded_event(self.sent_count))
            self.sent_count += 1
            if service.mode == "slow" and self.sent_count < len(service.events):
                service.reactor.callLater(0.2, self.send_pending)
                return
        if self.head_sent and service.mode not in ("silent", "still"):
            self.write(b": here\n\n")

    def write(self, data):
        if self.transport.connected:
            self.service.bytes += len(data)
            self.transport.write(data)

    def connectionLost(self, reason):
        self.service.streams.discard(self)


class StandInListService:
    """The list service, with a separate port for each front, which identifies the caller.

    `mode` is up, refusing, silent (accepts calls and sends nothing), slow, breaking (closes the connection
    within an event) or still (sends nothing more). `is_running` returns whether a front is not stopped: a
    stopped front keeps its stream until the service closes it, and `most_streams` does not count it.
    """

    def __init__(self, reactor, fronts, zone_of, is_running=lambda index: True):
        self.reactor, self.mode, self.events, self.streams, self.bytes = reactor, "up", [], set(), 0
        self.is_running, self.zone_of, self.most_streams, self.calls, self.ports = (
            is_running,
            zone_of,
            {},
            [],
            [],
        )
        self.port_of = []
        for index in range(fronts):
            self.ports.append(reactor.listenTCP(0, self.factory(index), interface=HOST))
            self.port_of.append(self.ports[index].getHost().port)

    def factory(self, index):
        factory = Factory.forProtocol(lambda: ListServiceStream(self, index))
        factory.noisy = False
        return factory

    def add_stream(self, stream):
        self.calls.append(self.reactor.seconds())
        if self.mode == "refusing":
            return stream.transport.abortConnection()
        self.streams.add(stream)
        zone = self.zone_of(stream.index)
        self.most_streams[zone] = max(
            self.most_streams.get(zone, 0),
            sum(self.zone_of(other.index) == zone and self.is_running(other.index) for other in self.streams),
        )

    def encoded_event(self, position):
        return b"id: %d\ndata: %s\n\n" % (position + 1, self.events[position])

    def add(self, event):
        """Send an event to all streams and return its number."""
        self.events.append(json.dumps({"seq": len(self.events) + 1} | event).encode())
        for stream in list(self.streams):
            stream.send_pending()
        return len(self.events)

    def set_mode(self, mode):
        """Change the mode.

        Streams are closed when the new mode is refusing, and when the old one is still or silent, because
        those streams are no longer usable.
        """
        old_mode, self.mode = self.mode, mode
        if mode == "refusing" or old_mode in ("still", "silent"):
            for stream in list(self.streams):
                stream.transport.abortConnection()

    def restore(self, number):
        """Go back to the state after event `number`, so that event numbers run backwards."""
        del self.events[number:]
        for stream in list(self.streams):
            stream.transport.abortConnection()

    def send_keepalives(self):
        for stream in list(self.streams):
            if stream.head_sent and self.mode in ("up", "slow"):
                stream.write(b": here\n\n")

    def close(self):
        for port in self.ports:
            port.stopListening()
        for stream in list(self.streams):
            stream.transport.abortConnection()


class CacheConnection(LineReceiver):
    """A connection of a front to a cache that has every object; it answers probes and forwards at once."""

    delimiter, MAX_LENGTH = b"\r\n", 4096

    def __init__(self, cache):
        self.cache, self.body = cache, None

    def connectionMade(self):
        self.cache.connection_times.append(self.cache.reactor.seconds())
        self.cache.connections.add(self)

    def connectionLost(self, reason):
        self.cache.connections.discard(self)

    def lineReceived(self, line):
        fields = line.split(b" ")
        if fields[0] == b"ASK" and len(fields) == 4:
            self.attempt = fields[1]
            self.body = int(fields[3])
            self.setRawMode()
        elif fields[0] in (b"INFO", b"NOOP") and len(fields) == 2:
            self.transport.write(fields[1] + b" FIT use=inflight:1;util:0.1 0\r\n\r\n")

    def rawDataReceived(self, data):
        self.body -= len(data)
        if self.body <= -2:  # the body and the line end after it are complete
            rest = data[len(data) + self.body + 2 :]
            self.cache.forwards.append((self.cache.reactor.seconds(), self.attempt))
            self.transport.write(
                b"%b DONE rev=4be0,since=%d 4\r\nbody\r\n" % (self.attempt, time.time() * 1000)
            )
            self.setLineMode(rest)


class StandInCache:
    """A cache, parent or origin that answers GETs and records the times of connections and forwards."""

    def __init__(self, reactor):
        self.reactor, self.connections, self.connection_times, self.forwards = reactor, set(), [], []
        factory = Factory.forProtocol(lambda: CacheConnection(self))
        factory.noisy = False
        self.listening_port = reactor.listenTCP(0, factory, interface=HOST, backlog=512)
        self.port = self.listening_port.getHost().port

    def close(self):
        self.listening_port.stopListening()
        for connection in list(self.connections):
            connection.transport.abortConnection()
