"""When a front took each event of the list first, and how many copies of it came beyond the first."""

from array import array

from limepath.scale.control import Arrival

HIGHEST = 10_000_000  # numbers above are nonsense, and not kept


class Numbers:
    """A set of whole numbers from 0 to HIGHEST, one bit each."""

    def __init__(self):
        self.bits = bytearray()

    def add(self, number):
        """Whether the number is new."""
        if not 0 <= number <= HIGHEST:
            return False
        at, bit = number >> 3, 1 << (number & 7)
        if at >= len(self.bits):
            self.bits.extend(bytes(at + 1 - len(self.bits)))
        if self.bits[at] & bit:
            return False
        self.bits[at] |= bit
        return True


class Arrivals:
    """Of one front."""

    def __init__(self):
        self.first, self.doubled = array("q"), 0  # generation, number, microseconds, one after another
        self.forget()

    def forget(self):
        """The front has lost its list, as a crash does; what was counted stays until it is reported."""
        self.numbers_heard, self.numbers_taken = {}, {}

    def came(self, generation, first, count):
        """A datagram has brought so many events from this number on."""
        heard = self.numbers_heard.setdefault(generation, Numbers())
        for number in range(first, first + count):
            self.doubled += not heard.add(number)

    def taken(self, generation, number, at_us):
        """The front's list holds this event."""
        if self.numbers_taken.setdefault(generation, Numbers()).add(number):
            self.first.extend((generation, number, at_us))
        self.numbers_heard.setdefault(generation, Numbers()).add(number)

    def take(self):
        """(the Arrivals, the number of further copies) since the last time."""
        first, doubled = self.first, self.doubled
        self.first, self.doubled = array("q"), 0
        return [Arrival(*first[at : at + 3]) for at in range(0, len(first), 3)], doubled
