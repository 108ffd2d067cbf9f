"""Timers, seeded randomness and pending commands of a logic without I/O.

A logic that takes events in and answers with commands owns one `TimerQueue`: it schedules what is to happen
later, draws its random numbers from it, emits commands into it and takes them out at the end of each
`handle`. Times are whole microseconds of the clock whose readings the host hands to `handle`.
"""

from collections.abc import Callable, Sequence
from heapq import heappop, heappush
from typing import Any, TypeVar
from zlib import crc32

from limepath.hashing import mix64

Item = TypeVar("Item")


class TimerQueue:
    """Callbacks by due time, the random numbers of one seed, and the commands of the present `handle`."""

    def __init__(self, seed: int):
        self.seed = seed
        self.now = 0
        """Time of the last `run_due`, in microseconds."""
        self.commands: list[Any] = []
        self._draws = 0
        self._scheduled = 0
        self._heap: list[tuple[int, int, Callable[..., object], tuple[Any, ...]]] = []

    def schedule(self, when: int, callback: Callable[..., object], *arguments: Any) -> None:
        """Call `callback(*arguments)` once `when` has come; those due at one time run as scheduled."""
        self._scheduled += 1
        heappush(self._heap, (when, self._scheduled, callback, arguments))

    def run_due(self, now: int) -> None:
        """Run all that is due at `now`, what is scheduled meanwhile included."""
        self.now = now
        while self._heap and self._heap[0][0] <= now:
            _, _, callback, arguments = heappop(self._heap)
            callback(*arguments)

    def next_due(self) -> int | None:
        """When the next callback is due, or None."""
        return self._heap[0][0] if self._heap else None

    def pending(self) -> list[tuple[int, Callable[..., object], tuple[Any, ...]]]:
        """Everything scheduled as (when, callback, arguments), in no particular order."""
        return [(when, callback, arguments) for when, _, callback, arguments in self._heap]

    def emit(self, command: Any) -> None:
        """Add a command to those of the present `handle`."""
        self.commands.append(command)

    def take_commands(self) -> list[Any]:
        """Return the commands emitted since the last call, in their order."""
        commands = self.commands
        self.commands = []
        return commands

    def random_fraction(self) -> float:
        """Draw a number in [0, 1). CRC-32 alone would go alike at all seeds."""
        self._draws += 1
        return mix64(crc32(b"%d:%d" % (self.seed, self._draws)) + 1) / 2**64

    def sample(self, items: Sequence[Item], count: int) -> list[Item]:
        """Draw up to `count` distinct items, in the order drawn."""
        if count * 3 > len(items):
            return self._sample_most(list(items), count)
        drawn: list[Item] = []
        while len(drawn) < count:
            item = items[int(self.random_fraction() * len(items))]
            if item not in drawn:
                drawn.append(item)
        return drawn

    def _sample_most(self, remaining: list[Item], count: int) -> list[Item]:
        """Draw without repeated attempts, where a large part of the items is wanted."""
        drawn: list[Item] = []
        while remaining and len(drawn) < count:
            index = int(self.random_fraction() * len(remaining))
            remaining[index], remaining[-1] = remaining[-1], remaining[index]
            drawn.append(remaining.pop())
        return drawn
