"""The first-in-first-out queue of calls between the parts of a front's decisions, and their timers.

Calls are bound methods with their arguments. A part that asks something of another puts a call here in place
of calling it, so that each handler runs to its end before the next begins. The queue also holds what all
parts share within one call of the engine: the time, the commands so far and the random numbers.
"""

from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple
from zlib import crc32

from sortedcontainers import SortedList

from limepath.interface.commands import Command


class Timer(NamedTuple):
    """A call that is due at a time; those of one time run in the order in which they were put."""

    due: int
    serial: int
    handler: Callable[..., None]
    arguments: tuple[Any, ...]


class EventQueue:
    """Calls that wait to run, timers by due time, and what is shared within one call of the engine.

    Attributes:
        seed: of the random numbers.
        now: the time of this call of the engine, in microseconds.
        commands: what the host shall carry out, in sequence.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.now = 0
        self.commands: list[Command] = []
        self._calls: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self._timers: SortedList = SortedList()
        self._timers_put = 0
        self._numbers_drawn = 0

    def put(self, handler: Callable[..., None], *arguments: Any) -> None:
        """Have `handler` called with `arguments` after all calls that were put before."""
        self._calls.append((handler, arguments))

    def put_at(self, due: int, handler: Callable[..., None], *arguments: Any) -> None:
        """Put the call once the time is `due`."""
        self._timers_put += 1
        self._timers.add(Timer(due, self._timers_put, handler, arguments))

    def run(self) -> None:
        """Put the calls of all timers that are due, then run calls until none waits."""
        while self._timers and self._timers[0].due <= self.now:
            timer = self._timers.pop(0)
            self.put(timer.handler, *timer.arguments)
        while self._calls:
            handler, arguments = self._calls.popleft()
            handler(*arguments)

    def next_due(self) -> int | None:
        """When the next timer is due; None without timers."""
        return self._timers[0].due if self._timers else None

    def random_fraction(self) -> float:
        """A number in [0, 1) that depends on the seed and on how many were drawn before."""
        self._numbers_drawn += 1
        return crc32(b"%d:%d" % (self.seed, self._numbers_drawn)) / 2**32
