"""The link between sockets and decisions: one call of the decision engine per event loop iteration.

Start reading here. Protocols queue what their sockets received as events. Once the iteration has read all
ready sockets, one call of `handle` gets all queued events, and the commands that it returns are executed in
order.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from limepath.front.clock import clock
from limepath.interface.commands import (
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    ForwardRequest,
    QueryEndpointList,
    RejectRequest,
    ScheduleWakeup,
    SendProbe,
    SetSubscription,
    WriteLog,
)
from limepath.interface.events import (
    AttemptEnded,
    EndpointListUpdated,
    PurgeAnnounced,
    RequestArrived,
    TimerFired,
)

if TYPE_CHECKING:
    from limepath.configuration.process_limits import Limits
    from limepath.front.clients import Clients
    from limepath.front.servers import Servers
    from limepath.log import Log

MICROSECONDS_PER_SECOND = 1e6
WATCH_EVENTS = (EndpointListUpdated, PurgeAnnounced)


class DecisionLoop:
    """Queues events, passes them to the decision engine, and executes the commands that it returns."""

    clients: Clients  # set by `connect`
    servers: Servers  # set by `connect`

    def __init__(self, reactor, decisions, limits: Limits, log: Log):
        self.reactor = reactor
        self.decisions = decisions  # the decision engine; `handle(now, events)` returns commands
        self.limits = limits
        self.log = log
        self.events: list = []
        self.is_scheduled = False
        self.scheduled_at = 0  # time of the first queued event, microseconds on the monotonic clock
        self.has_polled_again = False  # whether a late run was already deferred by one more poll
        self.decided_at = 0  # time of the last call of `handle`
        self.redelivered: set = set()  # watch events that were queued again after an exception
        # Called with all events as well, if fronts cooperate.
        self.listener: Callable[[Sequence], object] | None = None
        self.command_handlers: dict[type, Callable] = {  # by type of command
            ScheduleWakeup: self._schedule_wakeup,
            SetSubscription: self._ignore,
            QueryEndpointList: self._ignore,
            WriteLog: lambda command: log.info("module", command.text),
        }

    def connect(self, clients: Clients, servers: Servers) -> None:
        """Set the parts of the front that execute commands."""
        self.clients = clients
        self.servers = servers
        clients.servers = servers
        self.command_handlers |= {
            ForwardRequest: self._forward_request,
            CancelAttempt: clients.cancel_attempt,
            SendProbe: servers.probe,
            CloseIdleConnections: servers.close_idle,
            RejectRequest: clients.reject,
            FailRequest: clients.fail,
        }

    def gather(self, *events: tuple) -> None:
        """Queue events until this event loop iteration has read all ready sockets."""
        self.events += events
        if self.listener:
            self.listener(events)
        if not self.is_scheduled:
            self.is_scheduled = True
            self.scheduled_at = clock()
            self.reactor.callLater(0, self.run)

    def run(self) -> None:
        """Pass all queued events to the decision engine and execute its commands.

        If the run is late, because the process was stopped or an iteration took long, drains and purges may
        have arrived in the meantime, so sockets are polled once more first.
        """
        is_late = clock() - self.scheduled_at > self.limits.late_poll_threshold
        if is_late and not self.has_polled_again:
            self.has_polled_again = True
            self.reactor.callLater(0, self.run)
            return
        self.has_polled_again = False
        events = self._take_events()
        self.decided_at = clock()
        try:
            commands = self.decisions.handle(self.decided_at, events)
        except Exception as error:  # the affected requests fail, and the front continues
            self.log.fault("handle", error)
            self._recover(events)
            return
        for command in commands:
            self._execute(command)
        self.clients.forget_released()

    def _take_events(self) -> list:
        """Empty the queue and return its events, watch events first.

        The events of one iteration have no order in time, and changes of the endpoint list and purges must
        precede the requests that depend on them.
        """
        events = sorted(self.events, key=lambda event: not isinstance(event, WATCH_EVENTS))
        self.events = []
        self.is_scheduled = False
        return events

    def _recover(self, events: list) -> None:
        """Fail the affected requests after an exception in the decision engine, and queue watch events again.

        Drains and purges must not be lost, and processing them twice is harmless.
        """
        for event in events:
            if isinstance(event, RequestArrived):
                self.clients.fail(FailRequest(event.id))
            elif isinstance(event, AttemptEnded):
                self.clients.fail(FailRequest(event.request))
        first_time = {event for event in events if isinstance(event, WATCH_EVENTS)} - self.redelivered
        self.redelivered = first_time
        again = [event for event in events if event in first_time]
        pause = self.limits.exception_pause / MICROSECONDS_PER_SECOND
        self.reactor.callLater(pause, self.gather, *again, TimerFired(0))

    def _execute(self, command: tuple) -> None:
        try:
            self.command_handlers.get(type(command), self._log_unknown)(command)
        except Exception as error:  # the other commands are still executed
            self.log.fault(type(command).__name__, error)

    def _forward_request(self, command: ForwardRequest) -> None:
        self.servers.forward(command, self.clients.requests.get(command.request), self.decided_at)

    def _schedule_wakeup(self, command: ScheduleWakeup) -> None:
        self.reactor.callLater(
            command.delay / MICROSECONDS_PER_SECOND, self.gather, TimerFired(command.cookie)
        )

    def _ignore(self, command: SetSubscription | QueryEndpointList) -> None:
        """Do nothing, because a front always watches the endpoint list."""

    def _log_unknown(self, command: tuple) -> None:
        self.log.info("order", "command is not supported by this front", order=type(command).__name__)
