"""Graceful shutdown: accept requests for a limited time, answer all of them, then end the process."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from limepath.front.client_connection_state import ConnectionState
from limepath.front.clock import clock
from limepath.interface.events import ShutdownStarted

if TYPE_CHECKING:
    from limepath.front.clients import Clients

MICROSECONDS_PER_SECOND = 1e6


class ShutdownState(Enum):
    """Phase of the shutdown."""

    SERVING = 0
    DRAINING = 1  # connections and requests are still accepted
    NOT_ACCEPTING = 2  # the port is closed
    FINISHED = 3


class GracefulShutdown:
    """The shutdown of the client side; `finished` fires when the process may end."""

    def __init__(self, clients: Clients):
        self.clients = clients
        self.state = ShutdownState.SERVING
        self.finished = Deferred()
        self.answer_deadline: int | None = None  # for all open requests; microseconds on the monotonic clock
        self.close_timer = None  # finishes the shutdown although clients have not read their last answers

    @property
    def is_started(self) -> bool:
        """Whether the shutdown was requested."""
        return self.state is not ShutdownState.SERVING

    def start(self) -> None:
        """Start the shutdown: accept requests for `Limits.drain_period` and answer all of them."""
        if self.is_started:
            return
        self.state = ShutdownState.DRAINING
        self.clients.log.info("leaving", gets=len(self.clients.requests))
        self._shorten_deadlines()
        self.clients.reactor.callLater(
            self.clients.limits.drain_period / MICROSECONDS_PER_SECOND, self._stop_accepting
        )

    def _shorten_deadlines(self) -> None:
        """Limit the deadlines of open requests to `Limits.last_answer` from now.

        The process is killed some time after SIGTERM, even if requests have later deadlines; these have to be
        answered before that.
        """
        time_left = self.clients.limits.last_answer
        self.answer_deadline = clock() + time_left
        self.clients.decision_loop.gather(ShutdownStarted(time_left))
        for request in self.clients.requests.values():
            if request.timer is not None and request.is_open and request.deadline > self.answer_deadline:
                request.shorten_deadline(self.answer_deadline)
                request.timer.reset(time_left / MICROSECONDS_PER_SECOND)

    def _stop_accepting(self) -> None:
        """Close the listening port.

        Connections in the kernel's accept queue are accepted first, and all connections are read once more,
        because requests that have arrived count as accepted. If accept fails temporarily, it is retried until
        `answer_deadline`.
        """
        listener = self.clients.listener
        listener.accept_backlog()
        if listener.has_backlog() and clock() < self.answer_deadline:
            pause = self.clients.limits.accept_pause
            self.clients.reactor.callLater(pause / MICROSECONDS_PER_SECOND, self._stop_accepting)
            return
        listener.close()
        self.state = ShutdownState.NOT_ACCEPTING
        self.clients.reactor.callLater(0, self.close_idle_connections)

    def close_idle_connections(self) -> None:
        """Close idle connections; one with unread bytes is closed only after they were read."""
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
        """Finish once all requests are answered and all connections are closed.

        Connections that are still open after `Limits.last_call` are ignored.
        """
        if self.state is not ShutdownState.NOT_ACCEPTING or self.clients.requests:
            return
        if not self.clients.connections:
            self._finish()
        elif not self.close_timer:
            timeout = self.clients.limits.last_answer_read_timeout
            self.close_timer = self.clients.reactor.callLater(timeout / MICROSECONDS_PER_SECOND, self._finish)

    def _finish(self) -> None:
        if self.state is not ShutdownState.FINISHED:
            self.state = ShutdownState.FINISHED
            self.finished.callback(None)
