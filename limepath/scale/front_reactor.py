"""A reactor of its own for each front of a process, on top of the process's one.

Sockets and timers that a front opens are known here, so that the front can be paused as SIGSTOP pauses a
process (nothing is read or written, no timer runs, sockets stay open, the kernel's buffers fill) and ended as
SIGKILL ends one (sockets closed by the kernel, nothing said). The time of timers and of reading sockets is
charged to the subsystem that they work for.
"""

from functools import cache

from twisted.internet import tcp, udp, unix
from twisted.internet.error import AlreadyCalled, AlreadyCancelled

from limepath.scale.accounting import subsystem_of
from limepath.scale.control import Subsystem


class Timer:
    """One delayed call. It outlives pauses: `inner` is the process's delayed call, None while paused."""

    __slots__ = ("owner", "due", "function", "arguments", "inner", "state")
    WAITS, CALLED, CANCELLED = range(3)

    def __init__(self, owner, due, function, arguments):
        self.owner, self.due, self.function, self.arguments = owner, due, function, arguments
        self.inner, self.state = None, self.WAITS

    def active(self):
        return self.state == self.WAITS

    def cancel(self):
        if self.state == self.CALLED:
            raise AlreadyCalled
        if self.state == self.CANCELLED:
            raise AlreadyCancelled
        self.state = self.CANCELLED
        self.owner.timers.discard(self)
        self.unset()

    def set(self):
        reactor = self.owner.reactor
        self.inner = reactor.callLater(max(0.0, self.due - reactor.seconds()), self.fire)

    def unset(self):
        if self.inner and self.inner.active():
            self.inner.cancel()
        self.inner = None

    def fire(self):
        self.state, self.inner = self.CALLED, None
        self.owner.timers.discard(self)
        self.owner.run(self.function, self.arguments)


class FrontPort(udp.Port):
    """The datagram socket: what it reads is charged by the message, once that is known."""

    def doRead(self):
        account = self.reactor.account
        previous = account.meter.switch(account.arriving)
        try:
            return super().doRead()
        finally:
            account.meter.switch(previous)
            account.arriving.move(account.meter.nobody)


class FrontClient(tcp.Client):
    """A connection to the list service."""

    def doRead(self):
        meter = self.reactor.account.meter
        previous = meter.switch(self.reactor.account.cell(Subsystem.LIST))
        try:
            return super().doRead()
        finally:
            meter.switch(previous)


class FrontConnector(tcp.Connector):
    def _makeTransport(self):
        client = FrontClient(self.host, self.port, self.bindAddress, self, self.reactor)
        self.reactor.opened(client)
        return client


@cache
def timed(kind):
    """The Subsystem that a timer of this class works for, or None."""
    return Subsystem.LIST if issubclass(kind, FrontClient) else subsystem_of(kind)


class FrontReactor:
    """`reactor` is the process's, `account` the front's Account."""

    def __init__(self, reactor, account):
        self.reactor, self.account = reactor, account
        self.seconds, self.paused, self.ended = reactor.seconds, False, False
        self.timers, self.readers, self.writers, self.sockets = set(), set(), set(), []

    # What the hosts and Twisted's transports use

    def callLater(self, delay, function, *arguments):
        timer = Timer(self, self.seconds() + delay, function, arguments)
        self.timers.add(timer)
        if not (self.paused or self.ended):
            timer.set()
        return timer

    def listenUDP(self, port, protocol, interface="", maxPacketSize=8192):
        return self.listen(FrontPort(port, protocol, interface, maxPacketSize, self))

    def listenUNIX(self, address, factory, backlog=50, mode=0o666, wantPID=0):
        return self.listen(unix.Port(address, factory, backlog, mode, self, wantPID))

    def listen(self, port):
        port.startListening()
        return self.opened(port)

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        connector = FrontConnector(host, port, factory, timeout, bindAddress, self)
        connector.connect()
        return connector

    def addReader(self, descriptor):
        self.readers.add(descriptor)
        if not self.paused:
            self.reactor.addReader(descriptor)

    def addWriter(self, descriptor):
        self.writers.add(descriptor)
        if not self.paused:
            self.reactor.addWriter(descriptor)

    def removeReader(self, descriptor):
        self.readers.discard(descriptor)
        self.reactor.removeReader(descriptor)

    def removeWriter(self, descriptor):
        self.writers.discard(descriptor)
        self.reactor.removeWriter(descriptor)

    # What the front does with it

    def opened(self, descriptor):
        self.sockets = [one for one in self.sockets if one.fileno() >= 0]
        self.sockets.append(descriptor)
        return descriptor

    def run(self, function, arguments):
        """Run a timer's call, charged to the subsystem of the logic that its host runs."""
        host = getattr(function, "__self__", None)
        subsystem = timed(type(getattr(host, "logic", host)))
        if subsystem is None:
            return function(*arguments)
        meter = self.account.meter
        previous = meter.switch(self.account.cell(subsystem))
        try:
            return function(*arguments)
        finally:
            meter.switch(previous)

    def pause(self):
        self.paused = True
        self.detach()

    def detach(self):
        for timer in self.timers:
            timer.unset()
        for reader in self.readers:
            self.reactor.removeReader(reader)
        for writer in self.writers:
            self.reactor.removeWriter(writer)

    def resume(self):
        """Overdue timers run in the order in which they were due."""
        self.paused = False
        for timer in sorted(self.timers, key=lambda timer: timer.due):
            timer.set()
        for reader in self.readers:
            self.reactor.addReader(reader)
        for writer in self.writers:
            self.reactor.addWriter(writer)

    def kill(self):
        """Close all sockets without a word; no timer runs any more."""
        self.ended = True
        self.detach()
        for descriptor in {*self.sockets, *self.readers, *self.writers}:
            if descriptor.fileno() >= 0:
                descriptor.socket.close()
        self.timers.clear()
        self.readers.clear()
        self.writers.clear()
        self.sockets.clear()
