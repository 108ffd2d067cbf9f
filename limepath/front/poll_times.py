"""How long what the reactor hands out may have waited for it.

Where the system does not tell when bytes came, they may have come as early as the last poll of the sockets.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from limepath.front.clock import clock

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase

IMMEDIATE = 1_000  # microseconds; a poll that took longer had to wait for what it brought


class TimedPoller:
    """The epoll object of a reactor, with the times of its polls."""

    def __init__(self, poller):
        self.poller = poller  # a select.epoll
        self.register = poller.register
        self.modify = poller.modify
        self.unregister = poller.unregister
        self.close = poller.close
        self.fileno = poller.fileno
        self.entered = clock()
        self.returned = self.entered
        self.delay = 0

    def poll(self, *arguments) -> list[tuple[int, int]]:
        """Poll once, as select.epoll does. What is there at once may be as old as the poll before."""
        returned_before = self.returned
        self.entered = clock()
        events = self.poller.poll(*arguments)
        self.returned = clock()
        was_immediate = self.returned - self.entered < IMMEDIATE
        self.delay = self.entered - returned_before if was_immediate else 0
        return events

    def read_delay(self) -> int:
        """Microseconds at the most that what this poll brought has waited for the iteration before it."""
        return self.delay


def measure_read_delay(reactor: ReactorBase) -> Callable[[], int]:
    """Time this reactor's polls from now on; gives `TimedPoller.read_delay`, or 0 for one without epoll."""
    if not hasattr(reactor, "_poller"):
        return lambda: 0
    reactor._poller = TimedPoller(reactor._poller)
    return reactor._poller.read_delay
