"""Between sockets and decisions: the events of one event loop iteration, one `handle`, then the commands.

Read this first. Everything that sockets bring is gathered here as events until the iteration has read all
that was ready; then the decisions have them together, and what they command is carried out in its order.
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

MICROSECONDS = 1e6
WATCH_EVENTS = (EndpointListUpdated, PurgeAnnounced)


class DecisionLoop:
    """Gathers events, hands them to the decisions, and carries out commands."""

    clients: Clients  # both set by `connect`
    servers: Servers

    def __init__(self, reactor, decisions, limits: Limits, log: Log):
        self.reactor = reactor
        self.decisions = decisions  # its `handle(now, events)` gives commands
        self.limits = limits
        self.log = log
        self.events: list = []
        self.is_scheduled = False
        self.scheduled_at = 0  # when the first of these events came, on the front's clock
        self.has_polled_again = False  # late, and sockets have been polled once more for that
        self.decided_at = 0
        self.redelivered: set = set()  # watch events that were handed over again after a fault
        self.listener: Callable[[Sequence], object] | None = None  # has all events too, where fronts share
        self.command_handlers: dict[type, Callable] = {  # how commands are carried out, by their type
            ScheduleWakeup: self._schedule_wakeup,
            SetSubscription: self._ignore,
            QueryEndpointList: self._ignore,
            WriteLog: lambda command: log.info("module", command.text),
        }

    def connect(self, clients: Clients, servers: Servers) -> None:
        """Set the parts that carry out commands."""
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
        """Keep events until all that this event loop iteration has ready is read."""
        self.events += events
        if self.listener:
            self.listener(events)
        if not self.is_scheduled:
            self.is_scheduled = True
            self.scheduled_at = clock()
            self.reactor.callLater(0, self.run)

    def run(self) -> None:
        """Decide by all that has come.

        Where that is late, as the process stood still or an iteration was long, drains and purges may lie
        unread by now: sockets are polled once more first.
        """
        is_late = clock() - self.scheduled_at > self.limits.late_pass
        if is_late and not self.has_polled_again:
            self.has_polled_again = True
            self.reactor.callLater(0, self.run)
            return
        self.has_polled_again = False
        events = self._take_events()
        self.decided_at = clock()
        try:
            commands = self.decisions.handle(self.decided_at, events)
        except (
            Exception
        ) as error:  # whatever it is, the requests concerned are answered and the front goes on
            self.log.fault("handle", error)
            self._recover(events)
            return
        for command in commands:
            self._carry_out(command)
        self.clients.forget_released()

    def _take_events(self) -> list:
        """All events, watch events first: what one iteration brought has no order in time, and endpoint list
        and purges come before what is decided by them.
        """
        events = sorted(self.events, key=lambda event: not isinstance(event, WATCH_EVENTS))
        self.events = []
        self.is_scheduled = False
        return events

    def _recover(self, events: list) -> None:
        """After a fault of the decisions: fail the requests concerned, and hand watch events over once more,
        as drains and purges must not be lost; having them twice is harmless.
        """
        for event in events:
            if isinstance(event, RequestArrived):
                self.clients.fail(FailRequest(event.id))
            elif isinstance(event, AttemptEnded):
                self.clients.fail(FailRequest(event.request))
        first_time = {event for event in events if isinstance(event, WATCH_EVENTS)} - self.redelivered
        self.redelivered = first_time
        again = [event for event in events if event in first_time]
        pause = self.limits.fault_pause / MICROSECONDS
        self.reactor.callLater(pause, self.gather, *again, TimerFired(0))

    def _carry_out(self, command: tuple) -> None:
        try:
            self.command_handlers.get(type(command), self._log_unknown)(command)
        except Exception as error:  # the other commands are carried out all the same
            self.log.fault(type(command).__name__, error)

    def _forward_request(self, command: ForwardRequest) -> None:
        self.servers.forward(command, self.clients.requests.get(command.request), self.decided_at)

    def _schedule_wakeup(self, command: ScheduleWakeup) -> None:
        self.reactor.callLater(command.delay / MICROSECONDS, self.gather, TimerFired(command.cookie))

    def _ignore(self, command: SetSubscription | QueryEndpointList) -> None:
        """The endpoint list is watched always."""

    def _log_unknown(self, command: tuple) -> None:
        self.log.info("order", "no way to carry it out here", order=type(command).__name__)
