"""Runs a logic without I/O on a reactor: batches events, executes commands, keeps one timer.

A logic is handed the time and events and answers with commands (see `limepath.timer_queue`). Hosts that own
sockets and files keep a LogicHost beside them: batching, failures and the timer are handled in one place.
"""

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from twisted.internet.interfaces import IDelayedCall, IReactorTime

MICROSECONDS_PER_SECOND = 1e6


class Logic(Protocol):
    """What is run: no socket, file, clock or global randomness in it. Times are whole microseconds."""

    def handle(self, now: int, events: list[Any]) -> Iterable[Any]:
        """Handle events at `now`, do what is due, and return the commands in their order."""

    def next(self) -> int | None:
        """Return when something is due next, on the clock of `handle`; None if nothing is."""


class LogicHost:
    """Hands the events of one event loop iteration to the logic together; wakes it when something is due.

    Attributes:
        reactor: schedules iterations and the timer.
        clock: returns the time in microseconds.
        logic: what is run.
        execute: carries out one command.
        failed: called with an exception of the logic or of `execute`. The logic goes on, without the rest of
            that iteration's commands, unless `failed` closes the host.
        closed: whether `close` was called; nothing is handled or executed after that.
    """

    def __init__(
        self,
        reactor: "IReactorTime",
        clock: Callable[[], int],
        logic: Logic,
        execute: Callable[[Any], None],
        failed: Callable[[Exception], None],
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.logic = logic
        self.execute = execute
        self.failed = failed
        self.closed = False
        self._events: list[Any] = []  # submitted since the last iteration
        self._scheduled = False  # whether `_run` is called in the next iteration
        self._timer: IDelayedCall | None = None

    def submit(self, *events: Any) -> None:
        """Add events to the batch that is handled once this event loop iteration has read its input."""
        if self.closed:
            return
        self._events += events
        if not self._scheduled:
            self._scheduled = True
            self.reactor.callLater(0, self._run)

    def carry_out(self, commands: Iterable[Any]) -> None:
        """Execute commands in their order, until one closes the host; then arm the timer."""
        for command in commands:
            if self.closed:
                return
            self.execute(command)
        self._arm()

    def close(self) -> None:
        """Drop submitted events and the timer, for good. `execute` and `failed` may call this."""
        self.closed = True
        self._events = []
        self._disarm()

    def _run(self) -> None:
        if self.closed:
            return
        events = self._events
        self._events = []
        self._scheduled = False
        try:
            self.carry_out(self.logic.handle(self.clock(), events))
        except Exception as error:  # the front goes on serving, whatever fails in a logic beside it
            self.failed(error)
            self._arm()

    def _arm(self) -> None:
        self._disarm()
        due = None if self.closed else self.logic.next()
        if due is not None:
            wait = max(0, due - self.clock())
            self._timer = self.reactor.callLater(wait / MICROSECONDS_PER_SECOND, self.submit)

    def _disarm(self) -> None:
        if self._timer and self._timer.active():
            self._timer.cancel()
        self._timer = None
