"""The decision engine of one front: takes events and returns commands.

The engine creates the components, connects them and dispatches each event to its handler.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import Any

from limepath.decisions.endpoints import Endpoints
from limepath.decisions.event_queue import EventQueue
from limepath.decisions.fetch_window import FetchWindow
from limepath.decisions.frequency_table import FrequencyTable
from limepath.decisions.guard import Guard
from limepath.decisions.purges import Purges
from limepath.decisions.router import Router
from limepath.decisions.sending_times import SendingTimes
from limepath.decisions.server import Server
from limepath.decisions.slow_start import SlowStartBudgets
from limepath.interface.commands import Command, ScheduleWakeup
from limepath.interface.events import (
    AttemptEnded,
    ClientDisconnected,
    ConnectionAvailabilityChanged,
    EndpointListFreshnessChanged,
    EndpointListUpdated,
    Event,
    ProbeEnded,
    PurgeAnnounced,
    RequestArrived,
    RequestCountsReceived,
    RequestCountsWanted,
    ResponseStarted,
    ShutdownStarted,
    TimerFired,
)
from limepath.interface.settings import DeliveryService, GracePeriods, Permissions, SlowStart, Topology

HEALTH_CHECK_INTERVAL_US = 50_000  # between checks of servers with attempts in flight or possible failures
WAKEUP_COOKIE = 0  # constant, because at most one wakeup is scheduled; the host returns it in `TimerFired`


class DecisionEngine:
    """Makes all decisions of one front. A host creates one engine per front and passes it all events.

    Args:
        seed: seed of the random numbers; must differ between the fronts of a deployment.
        services: the delivery services; requests refer to them by index.
        footprint: position of this front among zones, links and other fronts.
        allowance: the permissions that the deployment grants.
        cache_warmup: slow start settings of caches.
        parent_warmup: slow start settings of parents.
        grace: periods of the rules.
    """

    def __init__(
        self,
        *,
        seed: int,
        services: Sequence[DeliveryService],
        footprint: Topology,
        allowance: Permissions,
        cache_warmup: SlowStart,
        parent_warmup: SlowStart,
        grace: GracePeriods,
    ) -> None:
        slow_starts = {False: cache_warmup, True: parent_warmup}
        servers: dict[int, Server] = {}
        self.queue = EventQueue(seed)
        self.frequency_table = FrequencyTable(self.queue)
        self.sending_times = SendingTimes(services, footprint.transfer_kb_s)
        self.fetch_window = FetchWindow(self.queue, footprint)
        self.purges = Purges(self.queue, grace.purge_complete)
        self.budgets = SlowStartBudgets(
            self.queue, slow_starts, services, self.sending_times, allowance.direct
        )
        self.router = Router(
            self.queue, services, allowance, self.frequency_table, self.sending_times, self.fetch_window
        )
        self.guard = Guard(self.queue, self.router, allowance, servers, self.budgets, self.purges)
        self.router.guard = self.guard
        self.endpoints = Endpoints(
            self.queue, footprint, allowance, slow_starts, self.budgets, servers, self.router
        )
        self._handlers = self._handlers_by_type()
        self._next_health_check = 0
        self._wakeup_at: int | None = None

    def _handlers_by_type(self) -> dict[type, Callable[[Any], None]]:
        return {
            RequestArrived: self.router.handle_request_arrived,
            AttemptEnded: self.router.handle_attempt_ended,
            ClientDisconnected: self.router.handle_client_disconnected,
            ResponseStarted: self.router.handle_response_started,
            ShutdownStarted: self.router.handle_shutdown_started,
            PurgeAnnounced: self.purges.handle_purge_announced,
            EndpointListUpdated: self.endpoints.handle_list_updated,
            EndpointListFreshnessChanged: self.guard.handle_freshness_changed,
            ProbeEnded: self.endpoints.handle_probe_ended,
            ConnectionAvailabilityChanged: self.endpoints.handle_availability_changed,
            RequestCountsReceived: self.frequency_table.handle_counts_received,
            RequestCountsWanted: self.frequency_table.handle_counts_wanted,
            TimerFired: self._handle_timer_fired,
        }

    def handle(self, now: int, events: Iterable[Event]) -> list[Command]:
        """Process the events up to time `now`; return the commands for the host to carry out in order.

        Events of unknown types are ignored. `now` is in microseconds and must not decrease between calls.
        """
        queue = self.queue
        queue.now = now
        queue.commands = []
        for event in events:
            if handler := self._handlers.get(type(event)):
                queue.put(handler, event)
                queue.run()
        if now >= self._next_health_check:
            self._next_health_check = now + HEALTH_CHECK_INTERVAL_US
            self.endpoints.check_health()
        queue.run()
        self._schedule_wakeup()
        return queue.commands

    def _handle_timer_fired(self, event: TimerFired) -> None:
        self._wakeup_at = None

    def _schedule_wakeup(self) -> None:
        """Schedule a wakeup at the next due time, unless an earlier wakeup is already scheduled."""
        due = self._next_health_check
        next_timer = self.queue.next_due()
        if next_timer is not None:
            due = min(due, next_timer)
        if self._wakeup_at is None or due < self._wakeup_at:
            self._wakeup_at = due
            delay = max(1, due - self.queue.now)
            self.queue.commands.append(ScheduleWakeup(WAKEUP_COOKIE, delay))
