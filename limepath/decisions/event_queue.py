"""The queue of messages between the parts of a front's decisions, and their timers."""

from collections import deque
from zlib import crc32

from sortedcontainers import SortedList


class Loop:
    """One queue of who has mail, one ordered structure of due times, and the orders of this call."""

    def __init__(self, seed):
        self.seed, self.drawn, self.serial, self.now = seed, 0, 0, 0
        self.ready, self.orders, self.calendar = deque(), [], SortedList()

    def put(self, actor, note, *said):
        actor.inbox.append((note, said))
        self.ready.append(actor)

    def put_at(self, due, actor, note, *said):
        self.serial += 1
        self.calendar.add((due, self.serial, actor, note, said))

    def run(self):
        while self.calendar and self.calendar[0][0] <= self.now:
            _, _, actor, note, said = self.calendar.pop(0)
            self.put(actor, note, *said)
        while self.ready:
            actor = self.ready.popleft()
            note, said = actor.inbox.popleft()
            getattr(actor, note)(*said)

    def chance(self):
        self.drawn += 1
        return crc32(b"%d:%d" % (self.seed, self.drawn)) / 2**32


class Actor:
    def __init__(self, loop):
        self.loop, self.inbox = loop, deque()
