"""Due times, chance and orders for a logic without I/O: one ordered structure, one seed, one list.

A logic of notes in and orders out keeps one Agenda, puts what is to be done later on it, and hands out
`orders` at the end of each `handle`.
"""

from heapq import heappop, heappush
from zlib import crc32

MIX = (1 << 64) - 1


def mixed(x):
    """Spread 64 bits (the finaliser of MurmurHash3, public domain)."""
    x = (x ^ x >> 33) * 0xFF51AFD7ED558CCD & MIX
    x = (x ^ x >> 33) * 0xC4CEB9FE1A85EC53 & MIX
    return x ^ x >> 33


class Agenda:
    def __init__(self, seed):
        self.seed, self.drawn, self.serial, self.now = seed, 0, 0, 0
        self.due, self.orders = [], []

    def at(self, when, call, *said):
        self.serial += 1
        heappush(self.due, (when, self.serial, call, said))

    def run(self, now):
        """Do all that is due at `now`, in order."""
        self.now = now
        while self.due and self.due[0][0] <= now:
            _, _, call, said = heappop(self.due)
            call(*said)

    def next(self):
        """When something is due next, or None."""
        return self.due[0][0] if self.due else None

    def order(self, order):
        self.orders.append(order)

    def taken(self):
        orders, self.orders = self.orders, []
        return orders

    def chance(self):
        self.drawn += 1
        return (
            mixed(crc32(b"%d:%d" % (self.seed, self.drawn)) + 1) / 2**64
        )  # crc32 alone goes alike at all seeds

    def some(self, those, count):
        """So many of a list, each once, in the order drawn."""
        left, drawn = list(those) if count * 3 > len(those) else those, []
        if left is not those:
            while left and len(drawn) < count:
                at = int(self.chance() * len(left))
                left[at], left[-1] = left[-1], left[at]
                drawn.append(left.pop())
            return drawn
        while len(drawn) < count:
            one = those[int(self.chance() * len(those))]
            if one not in drawn:
                drawn.append(one)
        return drawn
