"""What the samples of a scale run add up to: use by front and phase, when each event arrived where, who was
away meanwhile. Free of I/O.

Times are whole microseconds of CLOCK_BOOTTIME. An event is identified by its number, from 1. A front has
"reached" an event once it has taken that one or a later one: a snapshot of the list covers what came before.
"""

from array import array
from collections import Counter
from typing import NamedTuple

import numpy

from limepath.scale.control import Subsystem

NEVER = -1
PEAK_SPAN = 900_000  # a second, less what a sample may come early


class Phase(NamedTuple):
    """A part of the measured time: "calm", or named after the fault that begins it."""

    name: str
    began: int


class Use:
    """What one front used in one phase. `peak_bytes` and `peak_datagrams` are the most sent a second, over
    samples that make up PEAK_SPAN or more together.
    """

    __slots__ = (
        "span",
        "cpu",
        "sent",
        "sent_bytes",
        "received",
        "received_bytes",
        "peak_bytes",
        "peak_datagrams",
        "recent",
    )

    def __init__(self):
        self.span, self.cpu = 0, Counter()
        self.sent, self.sent_bytes, self.received, self.received_bytes = (Counter() for _ in range(4))
        self.peak_bytes = self.peak_datagrams = 0.0
        self.recent = (0, 0, 0)  # span, datagrams and bytes sent since the last look for a peak

    def add(self, report, span):
        self.span += span
        self.cpu.update(report.cpu_us)
        datagrams = size = 0
        for subsystem, traffic in report.sent.items():
            self.sent[subsystem] += traffic.datagrams
            self.sent_bytes[subsystem] += traffic.bytes
            datagrams += traffic.datagrams
            size += traffic.bytes
        for subsystem, traffic in report.received.items():
            self.received[subsystem] += traffic.datagrams
            self.received_bytes[subsystem] += traffic.bytes
        self.look_for_peak(span, datagrams, size)

    def look_for_peak(self, span, datagrams, size):
        span, datagrams, size = (
            one + other for one, other in zip(self.recent, (span, datagrams, size), strict=True)
        )
        self.recent = span, datagrams, size
        if span >= PEAK_SPAN:
            self.peak_bytes = max(self.peak_bytes, size * 1e6 / span)
            self.peak_datagrams = max(self.peak_datagrams, datagrams * 1e6 / span)
            self.recent = (0, 0, 0)

    def rates(self):
        """{measure: {subsystem or "all": a second}}; cpu as a share of a core."""
        seconds = max(1, self.span) / 1e6
        counts = {
            "cpu": (self.cpu, 1e6),
            "sent_bytes": (self.sent_bytes, 1),
            "sent_datagrams": (self.sent, 1),
            "received_bytes": (self.received_bytes, 1),
            "received_datagrams": (self.received, 1),
        }
        return {name: with_total(count, seconds * unit) for name, (count, unit) in counts.items()}


def with_total(count, divisor):
    rates = {subsystem.value: count[subsystem] / divisor for subsystem in Subsystem}
    return rates | {"all": sum(count.values()) / divisor}


class Arrivals:
    """When one front came to be at an event: numbers that grow, each with its time."""

    __slots__ = ("numbers", "times", "taken")

    def __init__(self):
        self.numbers, self.times, self.taken = array("q"), array("q"), 0

    def add(self, number, at):
        self.taken += 1
        if not self.numbers or number > self.numbers[-1]:
            self.numbers.append(number)
            self.times.append(at)

    def reached(self, count):
        """For events 1 to `count`, when the front was there or beyond; NEVER."""
        wanted = numpy.arange(1, count + 1)
        at = numpy.searchsorted(numpy.asarray(self.numbers, dtype=numpy.int64), wanted)
        times = numpy.append(numpy.asarray(self.times, dtype=numpy.int64), NEVER)
        return times[at]

    def skipped(self, since, until):
        """Events that this front came past between two moments without taking them one by one."""
        return sum(
            number - before - 1
            for before, number, at in zip(self.numbers, self.numbers[1:], self.times[1:], strict=False)
            if since <= at <= until
        )


class Away(NamedTuple):
    """A front that a fault struck, until it was whole again (NEVER: it was not)."""

    name: str
    since: int
    until: int


class Return:
    """A front that is to come back: whole once it is not late and at `number`."""

    __slots__ = ("kind", "struck", "ended", "number")

    def __init__(self, kind, struck):
        self.kind, self.struck, self.ended, self.number = kind, struck, None, None


class Observations:
    """All that samples bring. `names` are all fronts."""

    def __init__(self, names):
        self.names, self.phases, self.uses = list(names), [], {}
        self.arrivals = {name: Arrivals() for name in names}
        self.latest, self.generations, self.doubled = {}, set(), Counter()
        self.away, self.returning, self.whole_again, self.late_known = [], {}, {}, {}
        self.memory, self.said, self.most_followers = {}, Counter(), 0

    def begin(self, phase, at):
        self.phases.append(Phase(phase, at))

    @property
    def phase(self):
        return self.phases[-1].name if self.phases else None

    # Faults

    def struck(self, kind, names, at):
        for name in names:
            self.returning[name] = Return(kind, at)

    def ended(self, names, at, number):
        """The fault that struck these is over; the list service is at `number`."""
        for name in names:
            if name in self.returning:
                self.returning[name].ended, self.returning[name].number = at, number

    def well(self, name):
        return name not in self.returning

    def finish(self):
        """Whoever has not come back is away for good."""
        for name, back in self.returning.items():
            self.away.append(Away(name, back.struck, NEVER))

    # Samples

    def take(self, name, report, span, at):
        """A FrontReport over the last `span`, read at `at`."""
        for arrival in report.events:
            self.arrivals[name].add(arrival.number, arrival.at_us)
            self.generations.add(arrival.generation)
        if self.phase is not None:
            self.doubled[self.phase] += report.doubled
            uses = self.uses.setdefault(self.phase, {})
            uses.setdefault(name, Use()).add(report, span)
            self.most_followers = max(self.most_followers, report.followers or 0)
        self.said.update(report.said)
        report.events = []
        self.latest[name] = report
        self.look(name, report.late, report.number, at)

    def look(self, name, late, number, at):
        """Whether one that a fault struck knows that it is late, or is whole again."""
        back = self.returning.get(name)
        if back is None or late is None:
            return
        if late and back.ended is None:
            self.late_known.setdefault(back.kind, {}).setdefault(name, at - back.struck)
        if back.ended is not None and not late and number is not None and number >= back.number:
            self.whole_again.setdefault(back.kind, {})[name] = at - back.ended
            self.away.append(Away(name, back.struck, at))
            del self.returning[name]

    # Events

    def times(self, issued, horizon, names):
        """Times from `issued` (of each event, in order) to each front of `names`, as a matrix of events by
        fronts; and the same of whether it counts: a front that a fault struck within `horizon` after an
        event, or was not whole again yet, does not.
        """
        count = len(issued)
        at = numpy.asarray(issued, dtype=numpy.int64)
        times = numpy.empty((count, len(names)), dtype=numpy.float64)
        counts = numpy.ones((count, len(names)), dtype=bool)
        column = {name: index for index, name in enumerate(names)}
        for name, index in column.items():
            reached = self.arrivals[name].reached(count)
            times[:, index] = numpy.where(reached == NEVER, numpy.inf, reached - at)
        for away in self.away:
            if away.name not in column:
                continue
            over = numpy.zeros(count, dtype=bool) if away.until == NEVER else at >= away.until
            counts[:, column[away.name]] &= (at + horizon < away.since) | over
        return times, counts

    def phase_of(self, at):
        """The name of the phase in which a time lies; None before the first."""
        name = None
        for phase in self.phases:
            if phase.began > at:
                break
            name = phase.name
        return name


def role_in(report):
    """What a hollow front is to the others, by its FrontReport."""
    if report.role == "relays":
        return "root relay"
    return "inner node" if report.followers else "leaf"
