"""Faults on the traffic between parties: decides without I/O which data is lost, delayed, duplicated or held.

A party is any hashable name. Times are integers in microseconds. A fault is active from `begin` to `end`, and
each fault counts how often it took effect.
"""

from collections import Counter
from enum import Enum
from typing import NamedTuple


class Kind(Enum):
    CUT = "cut"  # drops everything; the sender receives no error
    LOSE = "lose"  # drops a share of datagrams; delays data of connections, as TCP resends it
    LATE = "late"  # delays a share by up to `span`
    DOUBLE = "double"  # duplicates a share of datagrams; delays the copy by up to `span`
    HOLD = "hold"  # holds data while the fault is active, then delivers it in order


class Fault(NamedTuple):
    """A fault in one direction, from any of `sources` to any of `targets`.

    `share` is the affected share of the data, from 0 to 1; `span` is the longest delay in microseconds.
    """

    name: str
    kind: Kind
    sources: frozenset
    targets: frozenset
    share: float = 1.0
    span: int = 0


def both_directions(name, kind, parties, others, **options):
    """Return two faults, one in each direction between `parties` and `others`."""
    parties, others = frozenset(parties), frozenset(others)
    return (
        Fault(f"{name}>", kind, parties, others, **options),
        Fault(f"{name}<", kind, others, parties, **options),
    )


class Faults:
    """The active faults, the number of effects of each fault, and the datagrams that they hold.

    `random` is a random.Random with the seed of the drill.
    """

    def __init__(self, random):
        self.random, self.active, self.effects, self.held = random, {}, Counter(), {}

    def begin(self, *faults):
        for fault in faults:
            self.active[fault.name] = fault
            self.held[fault.name] = []
            self.effects[fault.name] += 0

    def end(self, *names):
        """End faults and return the datagrams that they held, in order, for delivery."""
        released = []
        for name in names:
            del self.active[name]
            released += self.held.pop(name)
        return released

    def without_effect(self):
        """Return the names of the faults, active or ended, that have had no effect."""
        return sorted(name for name, count in self.effects.items() if not count)

    def active_between(self, source, target):
        return [
            fault for fault in self.active.values() if source in fault.sources and target in fault.targets
        ]

    def delays(self, source, target, datagram=None, ordered=False):
        """Return the delay of each copy to deliver; an empty result if the data is cut, lost or held.

        `ordered` marks data of a connection, which is never lost or duplicated: the network's losses delay
        it instead.
        """
        delay, copies = 0, []
        for fault in self.active_between(source, target):
            if fault.kind in (Kind.CUT, Kind.HOLD):
                self.effects[fault.name] += 1
                if fault.kind == Kind.HOLD and not ordered:  # a connection queues its data itself
                    self.held[fault.name].append((source, target, datagram))
                return ()
            if fault.share < 1 and self.random.random() >= fault.share:
                continue
            if fault.kind == Kind.DOUBLE and ordered:
                continue
            self.effects[fault.name] += 1
            if fault.kind == Kind.LOSE and not ordered:
                return ()
            extra = int(self.random.random() * fault.span)
            if fault.kind == Kind.DOUBLE:
                copies.append(extra)
            else:
                delay += extra
        return (delay, *(delay + extra for extra in copies))
