"""Runs a logic without I/O on a reactor: batches its events, executes its commands and manages its timer.

A logic takes the time and events and returns commands (see `limepath.timer_queue`). A host that owns sockets
and files uses a LogicHost, which handles batching, errors and the timer.
"""

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from twisted.internet.interfaces import IDelayedCall, IReactorTime

MICROSECONDS_PER_SECOND = 1e6


class Logic(Protocol):
    """A logic without sockets, files, clocks or global random state. Times are whole microseconds."""

    def handle(self, now: int, events: list[Any]) -> Iterable[Any]:
        """Handle events at `now`, run the timers that are due, and return commands in execution order."""

    def next(self) -> int | None:
        """Return when the next timer is due, by the clock of `handle`, or None without a timer."""


class LogicHost:
    """Passes the events of each event loop iteration to a logic as a batch, and calls it when a timer is due.

    Attributes:
        reactor: schedules iterations and the timer.
        clock: returns the time in microseconds.
        logic: the logic to run.
        execute: executes one command.
        on_error: called with an exception of the logic or of `execute`. The remaining commands of the
            iteration are dropped, and the logic keeps running unless `on_error` closes the host.
        closed: whether `close` was called; after that no event is handled and no command is executed.
    """

    def __init__(
        self,
        reactor: "IReactorTime",
        clock: Callable[[], int],
        logic: Logic,
        execute: Callable[[Any], None],
        on_error: Callable[[Exception], None],
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.logic = logic
        self.execute = execute
        self.on_error = on_error
        self.closed = False
        self._events: list[Any] = []  # submitted since the last iteration
        self._scheduled = False  # whether `_run` is called in the next iteration
        self._timer: IDelayedCall | None = None

    def submit(self, *events: Any) -> None:
        """Add events to the batch that is handled after this event loop iteration has read its input."""
        if self.closed:
            return
        self._events += events
        if not self._scheduled:
            self._scheduled = True
            self.reactor.callLater(0, self._run)

    def carry_out(self, commands: Iterable[Any]) -> None:
        """Execute commands in their order, and arm the timer; stop if a command closes the host."""
        for command in commands:
            if self.closed:
                return
            self.execute(command)
        self._arm()

    def close(self) -> None:
        """Drop submitted events and the timer permanently. `execute` and `on_error` may call this."""
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
        except Exception as error:  # the front must keep serving if one of its logics fails
            self.on_error(error)
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
