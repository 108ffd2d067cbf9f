"""Faults of the links between fronts, applied where a datagram arrives: loss by seed, cuts between regions.

A cut or lost datagram has been sent, and costs its sender what it costs; its receiver never sees it.
"""

from random import Random

from limepath.scale.control import Dropped


class Links:
    """`region_of` maps a datagram address (host, port) to its region; one that it lacks is never cut off."""

    def __init__(self, region_of, seed=0):
        self.region_of, self.chance = region_of, Random(seed)
        self.loss, self.cuts, self.dropped = 0.0, frozenset(), Dropped()

    def set(self, loss, cuts):
        """Replace the faults: the share of datagrams lost, and the pairs of regions cut from each other."""
        self.loss = loss
        self.cuts = frozenset(pair for a, b in cuts for pair in ((a, b), (b, a)))

    def passes(self, sender, region):
        """Whether a datagram of this address arrives in this region; count it where it does not."""
        if self.cuts and (self.region_of.get(sender), region) in self.cuts:
            self.dropped.cut += 1
            return False
        if self.loss and self.chance.random() < self.loss:
            self.dropped.loss += 1
            return False
        return True

    def take(self):
        """What was dropped since the last time."""
        dropped, self.dropped = self.dropped, Dropped()
        return dropped
