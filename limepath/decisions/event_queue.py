"""First-in-first-out queue of calls between the components of the decision engine, and their timers.

A call is a bound method with its arguments. A component does not call another one directly: it puts the call
into this queue, so that each handler completes before the next one begins. The queue also holds the state
that all components share: the current time, the commands emitted so far and the random numbers.
"""

from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple
from zlib import crc32

from sortedcontainers import SortedList

from limepath.interface.commands import Command


class Timer(NamedTuple):
    """A call with a due time. Timers with the same due time run in the order of `serial`."""

    due: int
    serial: int
    handler: Callable[..., None]
    arguments: tuple[Any, ...]


class EventQueue:
    """Pending calls, timers by due time, and the state that all components share.

    Attributes:
        seed: seed of the random numbers.
        now: time of the current call of `DecisionEngine.handle`, in microseconds.
        commands: commands for the host to carry out, in order.
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
        """Append a call of `handler` with `arguments` to the queue."""
        self._calls.append((handler, arguments))

    def put_at(self, due: int, handler: Callable[..., None], *arguments: Any) -> None:
        """Append the call to the queue once the time `due` has come."""
        self._timers_put += 1
        self._timers.add(Timer(due, self._timers_put, handler, arguments))

    def run(self) -> None:
        """Append the calls of all timers that are due, then run calls until the queue is empty."""
        while self._timers and self._timers[0].due <= self.now:
            timer = self._timers.pop(0)
            self.put(timer.handler, *timer.arguments)
        while self._calls:
            handler, arguments = self._calls.popleft()
            handler(*arguments)

    def next_due(self) -> int | None:
        """Return the due time of the next timer, or None if there are no timers."""
        return self._timers[0].due if self._timers else None

    def random_fraction(self) -> float:
        """Return a number in [0, 1) that depends only on the seed and on the number of earlier draws."""
        self._numbers_drawn += 1
        return crc32(b"%d:%d" % (self.seed, self._numbers_drawn)) / 2**32
