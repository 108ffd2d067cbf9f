"""Timers, seeded random numbers and pending commands of a component without I/O.

A component that takes events and returns commands owns one `TimerQueue`. It uses the queue to schedule
callbacks, to draw random numbers and to collect the commands that each call of its `handle` returns. Times
are whole microseconds on the clock of the host, which passes the current time to `handle`.
"""

from collections.abc import Callable, Sequence
from heapq import heappop, heappush
from typing import Any, TypeVar
from zlib import crc32

from limepath.hashing import mix64

Item = TypeVar("Item")


class TimerQueue:
    """Callbacks by due time, a seeded random number generator, and the commands not yet returned."""

    def __init__(self, seed: int):
        self.seed = seed
        self.now = 0
        """Time of the last call of `run_due`, in microseconds."""
        self.commands: list[Any] = []
        self._numbers_drawn = 0
        self._timers_scheduled = 0
        self._heap: list[tuple[int, int, Callable[..., object], tuple[Any, ...]]] = []

    def schedule(self, when: int, callback: Callable[..., object], *arguments: Any) -> None:
        """Call `callback(*arguments)` at time `when`; callbacks with equal times run in order."""
        self._timers_scheduled += 1
        heappush(self._heap, (when, self._timers_scheduled, callback, arguments))

    def run_due(self, now: int) -> None:
        """Run all callbacks that are due at `now`, including those that these callbacks schedule."""
        self.now = now
        while self._heap and self._heap[0][0] <= now:
            _, _, callback, arguments = heappop(self._heap)
            callback(*arguments)

    def next_due(self) -> int | None:
        """Return the time of the next callback, or None if none is scheduled."""
        return self._heap[0][0] if self._heap else None

    def pending(self) -> list[tuple[int, Callable[..., object], tuple[Any, ...]]]:
        """Return all scheduled callbacks as (when, callback, arguments), in unspecified order."""
        return [(when, callback, arguments) for when, _, callback, arguments in self._heap]

    def emit(self, command: Any) -> None:
        """Add a command to the pending ones."""
        self.commands.append(command)

    def take_commands(self) -> list[Any]:
        """Return the commands emitted since the last call of this method, in order."""
        commands = self.commands
        self.commands = []
        return commands

    def random_fraction(self) -> float:
        """Return a random number in [0, 1).

        CRC-32 alone would give similar sequences for all seeds, hence `mix64`.
        """
        self._numbers_drawn += 1
        return mix64(crc32(b"%d:%d" % (self.seed, self._numbers_drawn)) + 1) / 2**64

    def sample(self, items: Sequence[Item], count: int) -> list[Item]:
        """Return up to `count` distinct items in random order."""
        if count * 3 > len(items):
            return self._sample_by_shuffle(list(items), count)
        drawn: list[Item] = []
        while len(drawn) < count:
            item = items[int(self.random_fraction() * len(items))]
            if item not in drawn:
                drawn.append(item)
        return drawn

    def _sample_by_shuffle(self, remaining: list[Item], count: int) -> list[Item]:
        """Draw by a partial Fisher-Yates shuffle, which avoids redraws if `count` is near the item count."""
        drawn: list[Item] = []
        while remaining and len(drawn) < count:
            index = int(self.random_fraction() * len(remaining))
            remaining[index], remaining[-1] = remaining[-1], remaining[index]
            drawn.append(remaining.pop())
        return drawn
