"""Graceful shutdown: requests are accepted while they come, all are answered, then the front ends."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from limepath.front.client_connection import ConnectionState
from limepath.front.clock import clock
from limepath.interface.events import ShutdownStarted

if TYPE_CHECKING:
    from limepath.front.clients import Clients

MICROSECONDS = 1e6


class ShutdownState(Enum):
    """How far the shutdown has come."""

    SERVING = 0
    DRAINING = 1  # connections and requests are accepted still
    NOT_ACCEPTING = 2  # the port is closed
    FINISHED = 3


class GracefulShutdown:
    """The shutdown of the client side; `finished` fires when the process may end."""

    def __init__(self, clients: Clients):
        self.clients = clients
        self.state = ShutdownState.SERVING
        self.finished = Deferred()
        self.answer_deadline: int | None = None  # until when all open requests are answered (front's clock)
        self.last_call = None  # timer: for how long clients may take their last answers

    @property
    def is_started(self) -> bool:
        """Whether the front has been told to end."""
        return self.state is not ShutdownState.SERVING

    def start(self) -> None:
        """Accept requests for the time in which they still come, and answer all."""
        if self.is_started:
            return
        self.state = ShutdownState.DRAINING
        self.clients.log.info("leaving", gets=len(self.clients.requests))
        self._shorten_deadlines()
        self.clients.reactor.callLater(self.clients.limits.drain_period / MICROSECONDS, self._stop_accepting)

    def _shorten_deadlines(self) -> None:
        """Whoever told this front to end kills it once the longest deadline is over, as far as that is waited
        for: what has more time than that gets its answer while there is still one to give.
        """
        time_left = self.clients.limits.last_answer
        self.answer_deadline = clock() + time_left
        self.clients.decision_loop.gather(ShutdownStarted(time_left))
        for request in self.clients.requests.values():
            if request.timer is not None and request.is_open and request.deadline > self.answer_deadline:
                request.shorten_deadline(self.answer_deadline)
                request.timer.reset(time_left / MICROSECONDS)

    def _stop_accepting(self) -> None:
        """Nothing new from here on. What the system has accepted for this front is taken over first, and what
        has come on connections is read once more: a request in there counts as accepted. Accept may fail for
        a moment: then it is asked again, as long as there is time for an answer.
        """
        listener = self.clients.listener
        listener.accept_backlog()
        if listener.has_backlog() and clock() < self.answer_deadline:
            pause = self.clients.limits.accept_pause
            self.clients.reactor.callLater(pause / MICROSECONDS, self._stop_accepting)
            return
        listener.close()
        self.state = ShutdownState.NOT_ACCEPTING
        self.clients.reactor.callLater(0, self.close_idle_connections)

    def close_idle_connections(self) -> None:
        """Close idle connections; those with unread bytes once these have been read."""
        has_unread = False
        for connection in list(self.clients.connections):
            if connection.state is not ConnectionState.IDLE:
                continue
            if not connection.output_blocked and connection.has_unread_bytes():  # a request, or a FIN
                has_unread = True
            else:
                connection.close_gracefully()
        if has_unread:
            self.clients.reactor.callLater(0, self.close_idle_connections)
        self.check_finished()

    def check_finished(self) -> None:
        """Finish once all is answered and all connections are closed, or have not been for the longest time
        that an answer may take to be taken.
        """
        if self.state is not ShutdownState.NOT_ACCEPTING or self.clients.requests:
            return
        if not self.clients.connections:
            self._finish()
        elif not self.last_call:
            timeout = self.clients.limits.last_call
            self.last_call = self.clients.reactor.callLater(timeout / MICROSECONDS, self._finish)

    def _finish(self) -> None:
        if self.state is not ShutdownState.FINISHED:
            self.state = ShutdownState.FINISHED
            self.finished.callback(None)
