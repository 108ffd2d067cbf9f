"""Greedy-Dual-Size-Frequency: request counts by object, and the keep ranks of copies.

Source: L. Cherkasova, "Improving WWW Proxies Performance with Greedy-Dual-Size-Frequency Caching Policy",
HP Labs report HPL-98-69 (R.1), 1998. docs/design.md explains how and why this implementation differs.
"""

from collections import OrderedDict
from typing import NamedTuple

from sortedcontainers import SortedList

from limepath.decisions.event_queue import EventQueue
from limepath.interface.commands import ReportRequestCounts
from limepath.interface.events import RequestCountsReceived, RequestCountsWanted

ObjectPart = tuple[int, int]  # (object, part)

TABLE_ENTRIES = 1024  # 512 to 4096 entries perform alike; fewer lose hits
# Fractions of the table, by rising priority, from which copies have ranks 2 and 3.
RANK_CUTS_BY_SIZE = (1 / 3, 2 / 3)
# The same for unknown sizes; stricter, because copies retained by count alone outlive their demand.
RANK_CUTS_BY_COUNT = (0.85, 0.95)
HISTORY_HALF_LIFE_REQUESTS = TABLE_ENTRIES  # number of requests in which a count in the history halves
BYTES_PER_KB = 1024
PACKET_BYTES = 536  # packet payload; the paper's cost of a miss is 2 + size / 536


class TableEntry(NamedTuple):
    """Request count and priority of an object part in the table."""

    requests: float
    priority: float


class HistoryEntry(NamedTuple):
    """The request count of an object part outside the table; it decays until the next request."""

    requests: float
    updated_at: int
    """Total number of requests counted by the table when this count was last updated."""


class FrequencyTable:
    """Request count Fr and priority Clock + Fr x Cost / Size of each object part.

    Attributes:
        clock: priority of the entry that was evicted last.
        history: counts of object parts that were evicted, not admitted, or received from other fronts.
    """

    def __init__(self, queue: EventQueue) -> None:
        self._queue = queue
        self.clock: float = 0.0
        self.history: OrderedDict[ObjectPart, HistoryEntry] = OrderedDict()
        self._requests_counted = 0
        self._entries: dict[ObjectPart, TableEntry] = {}
        self._by_priority: SortedList = SortedList()  # of (priority, object part)

    def count_request(self, object_part: ObjectPart, size_kb: float) -> int:
        """Count one request; return the keep rank of a copy, 1 to 3, or 0 if no copy should be kept."""
        self._requests_counted += 1
        size = size_kb * BYTES_PER_KB
        gain = (2 + size / PACKET_BYTES) / size if size else 1.0
        count = self._take_count(object_part) + 1
        priority = self.clock + count * gain
        if len(self._by_priority) >= TABLE_ENTRIES:
            if size and priority <= self._by_priority[0][0]:  # not admitted: it would be evicted itself
                self._add_to_history(object_part, count)
                return 0
            self.clock, evicted = self._by_priority.pop(0)
            del self._entries[evicted]
        self._entries[object_part] = TableEntry(count, priority)
        self._by_priority.add((priority, object_part))
        return self._rank_of(priority, RANK_CUTS_BY_SIZE if size else RANK_CUTS_BY_COUNT)

    def _take_count(self, object_part: ObjectPart) -> float:
        """Return the present count, and remove it from the priority order or from the history."""
        if entry := self._entries.get(object_part):
            self._by_priority.remove((entry.priority, object_part))
            return entry.requests
        if history_entry := self.history.pop(object_part, None):
            age = self._requests_counted - history_entry.updated_at
            return history_entry.requests * 0.5 ** (age / HISTORY_HALF_LIFE_REQUESTS)
        return 0.0

    def _add_to_history(self, object_part: ObjectPart, count: float) -> None:
        self.history[object_part] = HistoryEntry(count, self._requests_counted)
        if len(self.history) > TABLE_ENTRIES:
            self.history.popitem(last=False)

    def _rank_of(self, priority: float, cuts: tuple[float, float]) -> int:
        """Return 1 plus the number of cuts that the fraction of entries with lower priority reaches."""
        lower_share = self._by_priority.bisect_left((priority,)) / len(self._by_priority)
        return 1 + sum(lower_share >= cut for cut in cuts)

    def handle_counts_received(self, event: RequestCountsReceived) -> None:
        """Add the counts of another front to the history, like those of evicted entries."""
        for object_number, part, count in event.counts[:TABLE_ENTRIES]:
            object_part = (object_number, part)
            if object_part not in self._entries and object_part not in self.history:
                self.history[object_part] = HistoryEntry(count, self._requests_counted)
        while len(self.history) > TABLE_ENTRIES:
            self.history.popitem(last=False)

    def handle_counts_wanted(self, event: RequestCountsWanted) -> None:
        """Report the counts of the entries with the highest priorities, in descending order."""
        first = max(0, len(self._by_priority) - event.limit)
        counts = tuple(
            (*object_part, self._entries[object_part].requests)
            for _, object_part in self._by_priority.islice(first, reverse=True)
        )
        self._queue.commands.append(ReportRequestCounts(event.cookie, counts))
