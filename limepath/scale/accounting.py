"""Processor time, datagrams and bytes by subsystem, for many fronts on one thread.

The thread's processor time always runs into one cell. Code that works for a subsystem switches to that
subsystem's cell and back, at one reading of the thread's clock (about 0.2 us) each. What runs between belongs
to nobody: the process reports its total, so it can be told.
"""

import time

from limepath.scale.control import Subsystem, Traffic

SUBSYSTEM_OF_PACKAGE = {
    "limepath.membership": Subsystem.MEMBERSHIP,
    "limepath.duties": Subsystem.DUTIES,
    "limepath.discovery": Subsystem.LIST,
    "limepath.frequency_exchange": Subsystem.COUNTS,
    "limepath.connection_pacing": Subsystem.LIMITS,
}


def subsystem_of(kind):
    """The Subsystem that a class of a message, a logic or a host belongs to by its package, or None."""
    return SUBSYSTEM_OF_PACKAGE.get(kind.__module__.rpartition(".")[0])


class Cell:
    """Nanoseconds of processor time."""

    __slots__ = ("ns",)

    def __init__(self):
        self.ns = 0

    def take(self):
        """Whole microseconds so far, which are counted from zero again; the rest stays."""
        microseconds, self.ns = divmod(self.ns, 1000)
        return microseconds

    def move(self, other):
        """Move all to another cell."""
        other.ns += self.ns
        self.ns = 0


class Meter:
    """Of one thread: `clock` gives its processor time in nanoseconds."""

    def __init__(self, clock=time.thread_time_ns):
        self.clock, self.nobody = clock, Cell()
        self.current, self.since = self.nobody, clock()

    def switch(self, cell):
        """From now on the time runs into this cell; give the one before."""
        now = self.clock()
        previous = self.current
        previous.ns += now - self.since
        self.since, self.current = now, cell
        return previous

    def charged(self, function, cell):
        """The function, with its time running into this cell."""
        switch = self.switch

        def call(*arguments):
            previous = switch(cell)
            try:
                return function(*arguments)
            finally:
                switch(previous)

        return call


class Desk:
    """One subsystem's counts at one front."""

    __slots__ = ("cell", "sent", "received")

    def __init__(self):
        self.cell, self.sent, self.received = Cell(), Traffic(), Traffic()


class Desks(dict):
    """The Desk of each type of message, found when the first of it passes."""

    def __init__(self, desks):
        super().__init__()
        self.desks = desks

    def __missing__(self, kind):
        self[kind] = desk = self.desks[subsystem_of(kind)]
        return desk


class Account:
    """One front's counts. `arriving` holds the time of a datagram whose kind is not known yet."""

    def __init__(self, meter):
        self.meter, self.arriving = meter, Cell()
        self.desks = {subsystem: Desk() for subsystem in Subsystem}
        self.desk_of = Desks(self.desks)

    def cell(self, subsystem):
        return self.desks[subsystem].cell

    def charged(self, function, subsystem):
        """The function, with its time charged to this subsystem."""
        return self.meter.charged(function, self.cell(subsystem))

    def opened(self, message, size):
        """A datagram holds this message: its time so far, and from now on, is charged to its subsystem."""
        desk = self.desk_of[type(message)]
        self.meter.switch(desk.cell)
        self.arriving.move(desk.cell)
        desk.received.datagrams += 1
        desk.received.bytes += size

    def sent(self, message, size):
        desk = self.desk_of[type(message)]
        desk.sent.datagrams += 1
        desk.sent.bytes += size

    def take(self):
        """Give (microseconds, Traffic sent, Traffic received), each by subsystem; count from zero again."""
        cpu, sent, received = {}, {}, {}
        for subsystem, desk in self.desks.items():
            cpu[subsystem] = desk.cell.take()
            sent[subsystem], desk.sent = desk.sent, Traffic()
            received[subsystem], desk.received = desk.received, Traffic()
        return cpu, sent, received
