"""Greedy-Dual-Size-Frequency: counts of requests by object, and the ranks that copies are kept by."""

from collections import OrderedDict

from sortedcontainers import SortedList

from limepath.decisions.event_queue import Actor
from limepath.interface.commands import ReportRequestCounts

TABLE = 1024  # entries of the table (the design starts at 4096): 512 to 4096 score alike, fewer lose hits
THIRDS = (1 / 3, 2 / 3)  # of the table by key, above which copies ask for ranks 2 and 3
TOPS = (0.85, 0.95)  # the same where sizes are untold: what a count alone keeps outlives its demand


class Shelf(Actor):
    """The table of the design: count Fr and key Pr = Clock + Fr x Cost / Size for each object."""

    def __init__(self, loop, door):
        super().__init__(loop)
        self.door, self.clock, self.seen = door, 0.0, 0
        self.entries, self.keys, self.side = {}, SortedList(), OrderedDict()

    def count(self, get):
        self.loop.put(self.door, "ranked", get, 0 if get.ds.uncacheable else self.rank(get.name, get.size_kb))

    def rank(self, name, size_kb):
        self.seen += 1
        size = size_kb * 1024
        gain = (2 + size / 536) / size if size else 1.0
        fr, key = self.entries.get(name, (0, None))
        if key is not None:
            self.keys.remove((key, name))
        else:
            waiting, since = self.side.pop(name, (0, 0))
            fr = waiting * 0.5 ** ((self.seen - since) / TABLE)
        fr, key = fr + 1, self.clock + (fr + 1) * gain
        if len(self.keys) >= TABLE:
            if size and key <= self.keys[0][0]:  # it would itself go: it stays out, its count waits
                self.side[name] = (fr, self.seen)
                if len(self.side) > TABLE:
                    self.side.popitem(last=False)
                return 0
            self.clock, gone = self.keys.pop(0)
            del self.entries[gone]
        self.entries[name] = (fr, key)
        self.keys.add((key, name))
        below = self.keys.bisect_left((key,)) / len(self.keys)
        return 1 + sum(below >= cut for cut in (THIRDS if size else TOPS))

    def learnt(self, note):
        """Another front's counts wait beside the table, as those do that went out of it."""
        for *name, fr in note.counts[:TABLE]:
            if (name := tuple(name)) not in self.entries and name not in self.side:
                self.side[name] = (fr, self.seen)
        while len(self.side) > TABLE:
            self.side.popitem(last=False)

    def tell(self, note):
        top = (name for _, name in self.keys.islice(max(0, len(self.keys) - note.limit), reverse=True))
        self.loop.orders.append(
            ReportRequestCounts(note.cookie, tuple((*name, self.entries[name][0]) for name in top))
        )
