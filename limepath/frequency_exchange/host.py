"""Connects a `RequestCountsExchange` to the other instances and to the decision module of a front."""

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
    """Passes events to a `RequestCountsExchange` and executes its commands.

    Attributes:
        decision_loop: passes events to the decision module, and its commands to their handlers.
        instance_host: sends messages to other instances and receives theirs.
        logic: the exchange without I/O.
        logic_host: runs the exchange on the reactor.
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
        """Handle a message of another instance if this package defines it. Called as a message handler."""
        if isinstance(message, MESSAGES):
            self.logic_host.submit(PeerMessage(sender.token, message))

    def report_counts(self, command: ReportRequestCounts) -> None:
        """Pass the decision module's answer to a `RequestCountsWanted` to the exchange."""
        self.logic_host.submit(CountsRead(command.cookie, command.counts))

    def handle_events(self, events: Iterable[Any]) -> None:
        """Record a request if the decision module's events contain one. Called as an event listener."""
        if any(isinstance(event, RequestArrived) for event in events):
            self.logic.record_request(clock())

    def execute(self, command: Command) -> None:
        """Execute one command of the exchange."""
        if isinstance(command, SendToMember):
            self.instance_host.send_to_member(command.token, command.message)
        elif isinstance(command, ReadCounts):
            self.decision_loop.gather(RequestCountsWanted(command.most, command.token))
        elif isinstance(command, AddCounts):
            self.decision_loop.gather(RequestCountsReceived(command.counts))

    def failed(self, error: Exception) -> None:
        """Log an error of the exchange; the front continues without the counts of other fronts."""
        self.instance_host.log.fault("tallies", error)
