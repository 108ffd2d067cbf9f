"""Beside a front that shares: counts from and to other instances, in and out of the module."""

from limepath.duties.host import clock
from limepath.frequency_exchange.interface import (
    MESSAGES,
    AddCounts,
    CountsRead,
    PeerMessage,
    ReadCounts,
    SendToMember,
)
from limepath.frequency_exchange.newcomer import Newcomer
from limepath.interface.commands import ReportRequestCounts
from limepath.interface.events import RequestArrived, RequestCountsReceived, RequestCountsWanted
from limepath.logic_host import LogicHost


class Tallies:
    def __init__(self, reactor, turn, cooperation, seed):
        self.turn, self.cooperation = turn, cooperation
        members = cooperation.instance.members
        self.logic = Newcomer(seed, lambda: members.ring)
        self.logic_host = LogicHost(reactor, clock, self.logic, self.execute, self.failed)
        turn.command_handlers[ReportRequestCounts] = self.counted
        cooperation.guests.append(self)
        cooperation.at_stop.append(self.logic_host.close)
        cooperation.views["tallies"] = lambda: dict(self.logic.counts)

    def start(self):
        self.logic.start(clock())
        self.logic_host.submit()

    def heard(self, sender, message):
        """A message of another instance that is not of the duties."""
        if isinstance(message, MESSAGES):
            self.logic_host.submit(PeerMessage(sender.token, message))

    def counted(self, order):
        """The module answers an AskCounts."""
        self.logic_host.submit(CountsRead(order.cookie, order.counts))

    def saw(self, notes):
        """What the module is told: that GETs come."""
        if any(isinstance(note, RequestArrived) for note in notes):
            self.logic.saw_get(clock())

    def execute(self, order):
        if isinstance(order, SendToMember):
            self.cooperation.reach(order.token, order.message)
        elif isinstance(order, ReadCounts):
            self.turn.gather(RequestCountsWanted(order.most, order.token))
        elif isinstance(order, AddCounts):
            self.turn.gather(RequestCountsReceived(order.counts))

    def failed(self, error):
        """The front goes on without what others counted."""
        self.cooperation.log.fault("tallies", error)
