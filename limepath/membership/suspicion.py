"""Suspicion of a member before it is declared dead (SWIM, section 4.2).

The suspicion timeout shrinks as more members confirm it (Lifeguard: Dadgar, Phillips, Currey 2018). When it
is over without a refutation, the suspect is pinged once more, with the suspicion on the ping, and then
declared dead: first by the members whose own probes it failed; all others leave these the time for that.
So after a partition many suspects can refute at once without having to overtake old suspicions in gossip.
"""

from __future__ import annotations

from math import log
from typing import TYPE_CHECKING

from limepath.membership.bounds import (
    MAX_SUSPICION_FACTOR,
    dissemination_time,
    minimum_suspicion_timeout,
)
from limepath.membership.interface import LogEvent, MemberRecord, MemberState

if TYPE_CHECKING:
    from limepath.membership.members import Members

MAX_CONFIRMATIONS = 3  # independent confirmations at which the suspicion timeout is at its minimum


class Suspicion:
    """An open suspicion of one incarnation of a member."""

    __slots__ = ("incarnation", "is_last_probe_sent", "reporters", "since")

    def __init__(self, incarnation: int, since: int, reporter: int) -> None:
        self.incarnation = incarnation
        self.since = since
        """When this instance first knew of it, in microseconds."""
        self.reporters = {reporter}
        """Tokens of the members that suspect it."""
        self.is_last_probe_sent = False


class Suspicions:
    """The open suspicions of one instance."""

    def __init__(self, members: Members) -> None:
        self.members = members
        self.view = members.view
        self.timers = members.timers
        self.timeouts = members.timeouts
        self.open: dict[int, Suspicion] = {}
        """By token of the suspect."""

    def suspect(self, record: MemberRecord, reporter: int) -> None:
        """Open a suspicion of the record's incarnation, or let the member `reporter` confirm it."""
        suspicion = self.open.get(record.token)
        if suspicion is None or suspicion.incarnation < record.incarnation:
            suspicion = self._open(record, reporter)
        elif self._is_confirmed_by(suspicion, reporter):
            suspicion.reporters.add(reporter)
            self.members.broadcast(record._replace(state=MemberState.SUSPECT, reported_by=reporter))
        else:
            return
        due = max(self.timers.now, self.deadline(suspicion))
        self.timers.schedule(due, self._expire, record.token, record.incarnation, len(suspicion.reporters))

    def deadline(self, suspicion: Suspicion) -> int:
        """Return when the suspect may be declared dead, in microseconds, unless it refutes before.

        The timeout falls from its maximum to its minimum with the logarithm of the confirmations (Lifeguard,
        "Local Health Aware Suspicion").
        """
        others = len(self.view.ring)
        minimum = minimum_suspicion_timeout(self.timeouts, others + 1)
        possible = min(MAX_CONFIRMATIONS, max(0, others - 1))
        confirmed = log(len(suspicion.reporters)) / log(possible + 1) if possible else 1.0
        maximum = MAX_SUSPICION_FACTOR * minimum
        timeout = int(max(minimum, maximum - (MAX_SUSPICION_FACTOR - 1) * minimum * confirmed))
        if self.view.me.token not in suspicion.reporters:
            # a member that missed acks itself probes once more and declares; time for that and its gossip
            timeout += 2 * self.timeouts.period + dissemination_time(self.timeouts, others + 1)
        return suspicion.since + timeout

    def clear(self, token: int) -> None:
        """End the suspicion of a member: it is known to be alive, dead or gone."""
        self.open.pop(token, None)

    def _open(self, record: MemberRecord, reporter: int) -> Suspicion:
        suspicion = Suspicion(record.incarnation, self.timers.now, reporter)
        self.open[record.token] = suspicion
        if reporter == self.view.me.token:
            self.members.counts["suspected"] += 1
        self.members.updates.put(record._replace(state=MemberState.SUSPECT, reported_by=reporter))
        return suspicion

    def _is_confirmed_by(self, suspicion: Suspicion, reporter: int) -> bool:
        """Whether a reporter is a further one that counts; this instance always does."""
        if reporter in suspicion.reporters:
            return False
        return len(suspicion.reporters) <= MAX_CONFIRMATIONS or reporter == self.view.me.token

    def _expire(self, token: int, incarnation: int, confirmations: int) -> None:
        """End the timeout that was set when so many members suspected; a later one has set a new timeout."""
        suspicion = self._current(token, incarnation)
        if suspicion is None or len(suspicion.reporters) != confirmations or suspicion.is_last_probe_sent:
            return
        suspicion.is_last_probe_sent = True
        record = self.view.table[token]
        self.members.failure_detector.probe_before_declaring(record, self._declare_dead, token, incarnation)

    def _declare_dead(self, token: int, incarnation: int) -> None:
        """Declare a suspect dead whose suspicion is open still, after its last probe."""
        suspicion = self._current(token, incarnation)
        if suspicion is None:
            return
        record = self.view.table[token]
        self.members.counts["declared"] += 1
        reporters = len(suspicion.reporters)
        fields = {"peer": record.name, "incarnation": incarnation, "suspected_by": reporters}
        self.timers.emit(LogEvent("peer-dead", fields))
        self.members.updates.put(record._replace(state=MemberState.DEAD, reported_by=self.view.me.token))

    def _current(self, token: int, incarnation: int) -> Suspicion | None:
        """Return the suspicion of that incarnation if it is open still, or None."""
        suspicion = self.open.get(token)
        if suspicion is None or suspicion.incarnation != incarnation or self.members.stopped:
            return None
        return suspicion
