"""Greedy-Dual-Size-Frequency: request counts by object, and the ranks that copies are kept by.

Source: L. Cherkasova, "Improving WWW Proxies Performance with Greedy-Dual-Size-Frequency Caching Policy",
HP Labs report HPL-98-69 (R.1), 1998. What is changed here, and why, is told in docs/design.md.
"""

from collections import OrderedDict
from typing import NamedTuple

from sortedcontainers import SortedList

from limepath.decisions.event_queue import EventQueue
from limepath.interface.commands import ReportRequestCounts
from limepath.interface.events import RequestCountsReceived, RequestCountsWanted

ObjectPart = tuple[int, int]  # (object, part)

TABLE_ENTRIES = 1024  # the design starts at 4096; 512 to 4096 score alike, fewer lose hits
RANK_CUTS_BY_SIZE = (1 / 3, 2 / 3)  # of the table by priority, above which copies ask for ranks 2 and 3
RANK_CUTS_BY_COUNT = (0.85, 0.95)  # where sizes are unknown: what a count alone retains outlives its demand
WAITING_COUNT_HALVES_AFTER = TABLE_ENTRIES  # requests in which a count beside the table halves
BYTES_PER_KB = 1024
PACKET_BYTES = 536  # payload of one packet in the paper's cost of a miss, 2 + size / 536


class TableEntry(NamedTuple):
    """Request count and priority of an object part in the table."""

    requests: float
    priority: float


class WaitingCount(NamedTuple):
    """A count outside the table: it decays until the next request for its object part."""

    requests: float
    seen_at: int
    """Number of requests that had been counted then."""


class FrequencyTable:
    """The table: count Fr and priority Clock + Fr x Cost / Size for each object part.

    Attributes:
        clock: the priority of the entry that was evicted last.
        waiting: counts of object parts that were evicted, not admitted, or learnt from other fronts.
    """

    def __init__(self, queue: EventQueue) -> None:
        self._queue = queue
        self.clock: float = 0.0
        self.waiting: OrderedDict[ObjectPart, WaitingCount] = OrderedDict()
        self._requests_counted = 0
        self._entries: dict[ObjectPart, TableEntry] = {}
        self._by_priority: SortedList = SortedList()  # of (priority, object part)

    def count_request(self, object_part: ObjectPart, size_kb: float) -> int:
        """Count one request; give the rank that a copy is kept by, 1 to 3, or 0 where none should be kept."""
        self._requests_counted += 1
        size = size_kb * BYTES_PER_KB
        gain = (2 + size / PACKET_BYTES) / size if size else 1.0
        count = self._take_count(object_part) + 1
        priority = self.clock + count * gain
        if len(self._by_priority) >= TABLE_ENTRIES:
            if size and priority <= self._by_priority[0][0]:  # it would itself be evicted: it stays out
                self._put_waiting(object_part, count)
                return 0
            self.clock, evicted = self._by_priority.pop(0)
            del self._entries[evicted]
        self._entries[object_part] = TableEntry(count, priority)
        self._by_priority.add((priority, object_part))
        return self._rank_of(priority, RANK_CUTS_BY_SIZE if size else RANK_CUTS_BY_COUNT)

    def _take_count(self, object_part: ObjectPart) -> float:
        """The count until now, taken out of the order by priority or out of the waiting counts."""
        if entry := self._entries.get(object_part):
            self._by_priority.remove((entry.priority, object_part))
            return entry.requests
        if waiting := self.waiting.pop(object_part, None):
            age = self._requests_counted - waiting.seen_at
            return waiting.requests * 0.5 ** (age / WAITING_COUNT_HALVES_AFTER)
        return 0.0

    def _put_waiting(self, object_part: ObjectPart, count: float) -> None:
        self.waiting[object_part] = WaitingCount(count, self._requests_counted)
        if len(self.waiting) > TABLE_ENTRIES:
            self.waiting.popitem(last=False)

    def _rank_of(self, priority: float, cuts: tuple[float, float]) -> int:
        """1, and one more for each cut at or below the share of entries of lower priority."""
        below = self._by_priority.bisect_left((priority,)) / len(self._by_priority)
        return 1 + sum(below >= cut for cut in cuts)

    def handle_counts_received(self, event: RequestCountsReceived) -> None:
        """Another front's counts wait beside the table, as those of evicted entries do."""
        for object_number, part, count in event.counts[:TABLE_ENTRIES]:
            object_part = (object_number, part)
            if object_part not in self._entries and object_part not in self.waiting:
                self.waiting[object_part] = WaitingCount(count, self._requests_counted)
        while len(self.waiting) > TABLE_ENTRIES:
            self.waiting.popitem(last=False)

    def handle_counts_wanted(self, event: RequestCountsWanted) -> None:
        """Report the counts of the entries of highest priority, the highest first."""
        first = max(0, len(self._by_priority) - event.limit)
        counts = tuple(
            (*object_part, self._entries[object_part].requests)
            for _, object_part in self._by_priority.islice(first, reverse=True)
        )
        self._queue.commands.append(ReportRequestCounts(event.cookie, counts))
