"""Leaving the group: an instance that stops or yields its identity notifies members, to avoid a suspicion."""

from __future__ import annotations

from math import ceil, log2
from typing import TYPE_CHECKING

from limepath.membership.interface import LeaveCompleted, MemberRecord, MemberState, Ping, YieldIdentity

if TYPE_CHECKING:
    from limepath.membership.members import Members

MIN_NOTIFIED = 4  # least number of members notified in one round
LEAVE_ROUNDS = 3  # rounds of notifications, one direct timeout apart


class LeaveProtocol:
    """Notifies members that this instance leaves."""

    def __init__(self, members: Members) -> None:
        self.members = members
        self.view = members.view
        self.timers = members.timers
        self.started = False
        """Whether this instance has started an orderly leave."""

    def start(self) -> None:
        """Notify members in rounds that this instance has left; emit LeaveCompleted after the last round."""
        self.started = True
        self.view.me = self.view.me._replace(state=MemberState.LEFT)
        self._run_round(LEAVE_ROUNDS)

    def yield_identity(self, other: MemberRecord, reason: str) -> None:
        """Stop at once because `other` keeps running under this identity.

        If `other` has another token, members are notified that this instance's token has left.
        """
        if self.members.stopped:
            return
        self.members.stopped = True
        if other.token != self.view.me.token:
            self._notify(self.view.me._replace(state=MemberState.LEFT), MIN_NOTIFIED)
        self.timers.emit(YieldIdentity(other, reason))

    def _run_round(self, rounds_left: int) -> None:
        if self.members.stopped:
            return
        other_count = len(self.view.ring)
        if not rounds_left or not other_count:
            self.members.stopped = True
            self.timers.emit(LeaveCompleted())
            return
        self._notify(self.view.me, MIN_NOTIFIED + ceil(log2(other_count + 1)))
        self.timers.schedule(self.timers.now + self.members.timeouts.direct, self._run_round, rounds_left - 1)

    def _notify(self, record: MemberRecord, count: int) -> None:
        """Send the record to `count` members, drawn at random."""
        ring = self.view.ring
        for token in self.timers.sample(ring, min(len(ring), count)):
            self.members.send(self.view.table[token], Ping(0, (record,), 0))
