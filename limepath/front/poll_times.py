"""Measures how long received data may have waited before the reactor read it.

If the kernel does not provide the time of arrival, the data may have arrived at any time since the previous
poll of the sockets.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from limepath.front.clock import clock

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase

MAX_IMMEDIATE_POLL = 1_000  # microseconds; a poll that took longer had to wait for its first event


class TimedPoller:
    """Wraps the epoll object of a reactor and measures its polls."""

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
        """Poll like select.epoll. Events that are returned immediately may be as old as the previous poll."""
        returned_before = self.returned
        self.entered = clock()
        events = self.poller.poll(*arguments)
        self.returned = clock()
        was_immediate = self.returned - self.entered < MAX_IMMEDIATE_POLL
        self.delay = self.entered - returned_before if was_immediate else 0
        return events

    def read_delay(self) -> int:
        """Return how long the events of the last poll may have waited for it, in microseconds."""
        return self.delay


def measure_read_delay(reactor: ReactorBase) -> Callable[[], int]:
    """Start to measure the polls of this reactor.

    Returns `TimedPoller.read_delay`, or a function that returns 0 if the reactor does not use epoll.
    """
    if not hasattr(reactor, "_poller"):
        return lambda: 0
    reactor._poller = TimedPoller(reactor._poller)
    return reactor._poller.read_delay
