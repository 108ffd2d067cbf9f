"""A network between simulated instances: it delays, loses, duplicates and reorders messages by chance."""

from collections.abc import Hashable
from collections.abc import Set as AbstractSet
from random import Random
from typing import NamedTuple

MIN_DELAY = 300
DELAY_SPREAD = 1500
LATE_SPREAD = 400_000
DUPLICATE_SPREAD = 300_000
"""All in microseconds."""


class Cut(NamedTuple):
    """Messages from these to those are lost; indices of instances."""

    sources: AbstractSet[int]
    destinations: AbstractSet[int]


class Network:
    """`loss`, `doubled` and `late` are the shares of messages that are lost, duplicated and delayed long."""

    def __init__(self, random: Random, loss: float = 0.0, doubled: float = 0.0, late: float = 0.0):
        self.random = random
        self.loss = loss
        self.doubled = doubled
        self.late = late
        self.cuts: dict[Hashable, Cut] = {}
        """By any name, by which a cut is healed again."""

    def delays(self, source: int, destination: int) -> tuple[int, ...]:
        """Return the microseconds after which copies of a message arrive; none if it is lost."""
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
