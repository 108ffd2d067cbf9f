"""Leaving: an instance that stops, or gives way to another, tells some so that nobody has to suspect it."""

from math import ceil, log2

from limepath.membership.interface import LeaveCompleted, MemberState, Ping, YieldIdentity

FAREWELLS, FAREWELL_ROUNDS = 4, 3  # told at least in one round; rounds, a `direct` span apart


class LeaveProtocol:
    """Of one instance; `begun` once it departs."""

    def __init__(self, members):
        self.members, self.view, self.timers = members, members.view, members.timers
        self.begun = False

    def depart(self):
        """Tell in rounds that this instance has left, then Departed."""
        self.begun = True
        self.view.me = self.view.me._replace(state=MemberState.LEFT)
        self.farewell(FAREWELL_ROUNDS)

    def farewell(self, rounds):
        if self.members.over:
            return
        others = len(self.view.ring)
        if not rounds or not others:
            self.members.over = True
            return self.timers.emit(LeaveCompleted())
        self.tell(self.view.me, FAREWELLS + ceil(log2(others + 1)))
        self.timers.schedule(self.timers.now + self.members.spans.direct, self.farewell, rounds - 1)

    def give_way(self, other, why):
        """Another goes on in this one's stead; a token of its own is not needed any more."""
        if self.members.over:
            return
        self.members.over = True
        if other.token != self.view.me.token:
            self.tell(self.view.me._replace(state=MemberState.LEFT), FAREWELLS)
        self.timers.emit(YieldIdentity(other, why))

    def tell(self, gone, most):
        ring = self.view.ring
        for token in self.timers.sample(ring, min(len(ring), most)):
            self.members.send(self.view.table[token], Ping(0, (gone,), 0))
