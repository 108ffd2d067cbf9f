"""Runs a logic without I/O on a reactor: events gathered for one pass, commands carried out, one timer.

A logic is handed the time and events and answers with commands (see `limepath.timer_queue`). Hosts that own
sockets and files keep a LogicHost beside them: gathering, failures and the timer are handled in one place.
"""

from collections.abc import Callable, Iterable
from typing import Protocol

MICROSECONDS = 1e6


class Logic(Protocol):
    """What is run: no socket, file, clock or global chance in it. Times are whole microseconds."""

    def handle(self, now: int, events: list) -> Iterable:
        """Take the events in at `now`, do what is due, and give the commands in their order."""

    def next(self) -> int | None:
        """When something is due next, on the clock of `handle`; None if nothing is."""


class LogicHost:
    """Events of one event loop pass go to the logic together; what is due wakes it by a timer.

    `clock()` gives microseconds. `execute(command)` carries out one command. `failed(error)` is told of an
    exception of the logic or of `execute`; the logic goes on, without the rest of that pass's commands,
    unless `failed` closes the host.
    """

    def __init__(
        self,
        reactor,
        clock: Callable[[], int],
        logic: Logic,
        execute: Callable[[object], None],
        failed: Callable[[Exception], None],
    ):
        self.reactor, self.clock, self.logic = reactor, clock, logic
        self.execute, self.failed = execute, failed
        self.closed = False
        self._events, self._scheduled, self._timer = [], False, None

    def submit(self, *events):
        """Keep events until all that this pass of the event loop has ready is read."""
        if self.closed:
            return
        self._events += events
        if not self._scheduled:
            self._scheduled = True
            self.reactor.callLater(0, self._run)

    def carry_out(self, commands: Iterable):
        """Execute commands in their order, until one closes the host; then arm the timer."""
        for command in commands:
            if self.closed:
                return
            self.execute(command)
        self._arm()

    def close(self):
        """Nothing is handled, executed or timed any more. May be called by `execute` and `failed`."""
        self.closed = True
        self._events = []
        self._disarm()

    def _run(self):
        if self.closed:
            return
        events, self._events = self._events, []
        self._scheduled = False
        try:
            self.carry_out(self.logic.handle(self.clock(), events))
        except Exception as error:  # requests go on, whatever happens in a logic beside them
            self.failed(error)
            self._arm()

    def _arm(self):
        self._disarm()
        due = None if self.closed else self.logic.next()
        if due is not None:
            wait = max(0, due - self.clock())
            self._timer = self.reactor.callLater(wait / MICROSECONDS, self.submit)

    def _disarm(self):
        if self._timer and self._timer.active():
            self._timer.cancel()
        self._timer = None
