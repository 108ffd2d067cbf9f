"""What becomes of a piece of traffic between two parties: decided here, without I/O, and counted where it
takes effect.

A party is any hashable name. Times are whole microseconds, handed in. A fault is in force from `begin` to
`end`.
"""

from collections import Counter
from enum import Enum
from typing import NamedTuple


class Kind(Enum):
    CUT = "cut"  # nothing passes; whoever sends is told nothing
    LOSE = "lose"  # a share of the pieces is lost; of a connection, which can't lose, they are late instead
    LATE = "late"  # a share arrives up to `span` later
    DOUBLE = "double"  # a share of the datagrams arrives twice, the second up to `span` later
    HOLD = "hold"  # kept back while the fault lasts, delivered in their order when it ends


class Fault(NamedTuple):
    """From any of `sources` to any of `targets`, one way; `span` in microseconds, `share` of one."""

    name: str
    kind: Kind
    sources: frozenset
    targets: frozenset
    share: float = 1.0
    span: int = 0


def both_ways(name, kind, one, other, **told):
    """The two faults that part `one` from `other`."""
    one, other = frozenset(one), frozenset(other)
    return Fault(f"{name}>", kind, one, other, **told), Fault(f"{name}<", kind, other, one, **told)


class Faults:
    """`chance` is a random.Random of the drill's seed."""

    def __init__(self, chance):
        self.chance, self.live, self.felt, self.held = chance, {}, Counter(), {}

    def begin(self, *faults):
        for fault in faults:
            self.live[fault.name] = fault
            self.held[fault.name] = []
            self.felt[fault.name] += 0

    def end(self, *names):
        """Give what was held, in its order, to be delivered now."""
        kept = []
        for name in names:
            del self.live[name]
            kept += self.held.pop(name)
        return kept

    def unfelt(self):
        """The names of faults, over or not, that have changed nothing."""
        return sorted(name for name, times in self.felt.items() if not times)

    def between(self, source, to):
        return [fault for fault in self.live.values() if source in fault.sources and to in fault.targets]

    def delays(self, source, to, piece=None, ordered=False):
        """The delays after which copies of a piece arrive; none where it is cut, lost or held. `ordered`: it
        is of a connection, of which no piece may be lost or doubled; what a network loses of one comes
        late.
        """
        delay, copies = 0, []
        for fault in self.between(source, to):
            if fault.kind in (Kind.CUT, Kind.HOLD):
                self.felt[fault.name] += 1
                if fault.kind == Kind.HOLD and not ordered:  # a connection keeps its pieces itself
                    self.held[fault.name].append((source, to, piece))
                return ()
            if fault.share < 1 and self.chance.random() >= fault.share:
                continue
            if fault.kind == Kind.DOUBLE and ordered:
                continue
            self.felt[fault.name] += 1
            if fault.kind == Kind.LOSE and not ordered:
                return ()
            extra = int(self.chance.random() * fault.span)
            if fault.kind == Kind.DOUBLE:
                copies.append(extra)
            else:
                delay += extra
        return (delay, *(delay + extra for extra in copies))
