"""Runs the exchange of request counts beside a front: messages of members, counts of the decision module."""

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from limepath.duties.host import clock
from limepath.frequency_exchange.exchange import Command, RequestCountsExchange
from limepath.frequency_exchange.interface import (
    MESSAGES,
    AddCounts,
    CountsRead,
    PeerMessage,
    ReadCounts,
    SendToMember,
)
from limepath.interface.commands import ReportRequestCounts
from limepath.interface.events import RequestArrived, RequestCountsReceived, RequestCountsWanted
from limepath.logic_host import LogicHost

if TYPE_CHECKING:
    from twisted.internet.interfaces import IReactorTime

    from limepath.duties.host import InstanceHost
    from limepath.duties.probe_sharing import DecisionLoop


class FrequencyExchange:
    """Carries events to a `RequestCountsExchange` and executes its commands.

    Attributes:
        decision_loop: takes events to the decision module, and its commands to their handlers.
        instance_host: the link to other instances.
        logic: the exchange.
        logic_host: runs it on the reactor.
    """

    def __init__(
        self, reactor: "IReactorTime", decision_loop: "DecisionLoop", instance_host: "InstanceHost", seed: int
    ) -> None:
        self.decision_loop = decision_loop
        self.instance_host = instance_host
        members = instance_host.instance.members
        self.logic = RequestCountsExchange(seed, lambda: members.ring)
        self.logic_host = LogicHost(reactor, clock, self.logic, self.execute, self.failed)
        decision_loop.command_handlers[ReportRequestCounts] = self.report_counts
        instance_host.message_handlers.append(self)
        instance_host.stop_callbacks.append(self.logic_host.close)
        instance_host.views["tallies"] = self.logic.statistics.as_view

    def start(self) -> None:
        """Schedule the first query."""
        self.logic.start(clock())
        self.logic_host.submit()

    def handle_message(self, sender: Any, message: Any) -> None:
        """Handle a message of another instance if it is of this package (see `message_handlers`)."""
        if isinstance(message, MESSAGES):
            self.logic_host.submit(PeerMessage(sender.token, message))

    def report_counts(self, command: ReportRequestCounts) -> None:
        """Hand on what the decision module answers to a `RequestCountsWanted`."""
        self.logic_host.submit(CountsRead(command.cookie, command.counts))

    def handle_events(self, events: Iterable[Any]) -> None:
        """Record whether the decision module's events contain a request (see `event_listeners`)."""
        if any(isinstance(event, RequestArrived) for event in events):
            self.logic.record_request(clock())

    def execute(self, command: Command) -> None:
        """Carry out one command of the logic."""
        if isinstance(command, SendToMember):
            self.instance_host.send_to_member(command.token, command.message)
        elif isinstance(command, ReadCounts):
            self.decision_loop.gather(RequestCountsWanted(command.most, command.token))
        elif isinstance(command, AddCounts):
            self.decision_loop.gather(RequestCountsReceived(command.counts))

    def failed(self, error: Exception) -> None:
        """Log an error of the logic; the front goes on without the counts of others."""
        self.instance_host.log.fault("tallies", error)
