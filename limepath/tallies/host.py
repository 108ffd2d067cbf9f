"""Beside a front that shares: counts from and to other instances, in and out of the module."""

from limepath import contract as c
from limepath.duties.host import clock
from limepath.tallies.interface import MESSAGES, Ask, Counted, FromPeer, Learn, Reach
from limepath.tallies.newcomer import Newcomer


class Tallies:
    def __init__(self, reactor, turn, cooperation, seed):
        self.reactor, self.turn, self.cooperation, self.timer = reactor, turn, cooperation, None
        members = cooperation.instance.members
        self.logic = Newcomer(seed, lambda: members.ring)
        turn.carriers[c.Counts] = lambda order: self.run(Counted(order.cookie, order.counts))
        cooperation.guests.append(self)
        cooperation.views["tallies"] = lambda: dict(self.logic.counts)

    def start(self):
        self.logic.start(clock())
        self.run()

    def heard(self, sender, message):
        if isinstance(message, MESSAGES):
            self.run(FromPeer(sender.token, message))

    def saw(self, notes):
        """What the module is told: that GETs come."""
        if any(isinstance(note, c.Get) for note in notes):
            self.logic.saw_get(clock())

    def run(self, *notes):
        for order in self.logic.handle(clock(), notes):
            if isinstance(order, Reach):
                self.cooperation.reach(order.token, order.message)
            elif isinstance(order, Ask):
                self.turn.gather(c.AskCounts(order.most, order.token))
            elif isinstance(order, Learn):
                self.turn.gather(c.Learnt(order.counts))
        if self.timer and self.timer.active():
            self.timer.cancel()
        due = self.logic.next()
        self.timer = (
            due is not None
            and not self.cooperation.over
            and self.reactor.callLater(max(0, due - clock()) / 1e6, self.run)
        )
