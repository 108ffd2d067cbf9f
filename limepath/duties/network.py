"""A network between simulated instances, which randomly delays, loses, duplicates and reorders messages."""

from collections.abc import Hashable
from collections.abc import Set as AbstractSet
from random import Random
from typing import NamedTuple

# All in microseconds.
MIN_DELAY = 300
DELAY_SPREAD = 1500
LATE_SPREAD = 400_000
DUPLICATE_SPREAD = 300_000


class Cut(NamedTuple):
    """A failure that loses all messages from `sources` to `destinations`, both indices of instances."""

    sources: AbstractSet[int]
    destinations: AbstractSet[int]


class Network:
    """A network that loses, duplicates and delays the fractions `loss`, `doubled` and `late` of messages."""

    def __init__(self, random: Random, loss: float = 0.0, doubled: float = 0.0, late: float = 0.0):
        self.random = random
        self.loss = loss
        self.doubled = doubled
        self.late = late
        self.cuts: dict[Hashable, Cut] = {}
        """The present cuts, each under a key by which it is removed again."""

    def delays(self, source: int, destination: int) -> tuple[int, ...]:
        """Return the delay in microseconds of each copy of a message; no delays if the message is lost."""
        for sources, destinations in self.cuts.values():
            if source in sources and destination in destinations:
                return ()
        draw = self.random.random
        if self.loss and draw() < self.loss:
            return ()
        delay = MIN_DELAY + int(draw() * DELAY_SPREAD)
        if self.late and draw() < self.late:
            delay += int(draw() * LATE_SPREAD)
        if self.doubled and draw() < self.doubled:
            return delay, delay + int(draw() * DUPLICATE_SPREAD)
        return (delay,)
