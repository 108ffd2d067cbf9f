"""Suspicion of a member before it is declared dead (SWIM, section 4.2).

The suspicion timeout shrinks as more members confirm the suspicion (Lifeguard: Dadgar, Phillips, Currey
2018). If it expires without a refutation, the suspect is pinged once more, with the suspicion on the ping,
and then declared dead. Members whose own probes failed declare first; all others wait long enough for that.
After a partition, many suspects can therefore refute at once, and their refutations need not overtake old
suspicions in gossip.
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

MAX_CONFIRMATIONS = 3  # independent confirmations that lower the suspicion timeout to its minimum


class Suspicion:
    """An open suspicion of one incarnation of a member."""

    __slots__ = ("incarnation", "is_last_probe_sent", "reporters", "since")

    def __init__(self, incarnation: int, since: int, reporter: int) -> None:
        self.incarnation = incarnation
        self.since = since
        """When this instance opened the suspicion, in microseconds."""
        self.reporters = {reporter}
        """Tokens of the members that suspect the member."""
        self.is_last_probe_sent = False


class Suspicions:
    """The open suspicions of one instance."""

    def __init__(self, members: Members) -> None:
        self.members = members
        self.view = members.view
        self.timers = members.timers
        self.timeouts = members.timeouts
        self.open: dict[int, Suspicion] = {}
        """Open suspicions, by token of the suspect."""

    def suspect(self, record: MemberRecord, reporter: int) -> None:
        """Open a suspicion of the record's incarnation, or add the member `reporter` as a confirmation."""
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
        """Return when the suspect may be declared dead unless it refutes earlier, in microseconds.

        The timeout falls from its maximum to its minimum with the logarithm of the number of confirmations
        (Lifeguard, "Local Health Aware Suspicion").
        """
        other_count = len(self.view.ring)
        minimum = minimum_suspicion_timeout(self.timeouts, other_count + 1)
        possible = min(MAX_CONFIRMATIONS, max(0, other_count - 1))
        confirmed = log(len(suspicion.reporters)) / log(possible + 1) if possible else 1.0
        maximum = MAX_SUSPICION_FACTOR * minimum
        timeout = int(max(minimum, maximum - (MAX_SUSPICION_FACTOR - 1) * minimum * confirmed))
        if self.view.me.token not in suspicion.reporters:
            # Members whose own probes failed probe once more and declare first: wait for that and its gossip.
            timeout += 2 * self.timeouts.period + dissemination_time(self.timeouts, other_count + 1)
        return suspicion.since + timeout

    def clear(self, token: int) -> None:
        """End the suspicion of a member that is known to be alive or dead or to have left."""
        self.open.pop(token, None)

    def _open(self, record: MemberRecord, reporter: int) -> Suspicion:
        suspicion = Suspicion(record.incarnation, self.timers.now, reporter)
        self.open[record.token] = suspicion
        if reporter == self.view.me.token:
            self.members.counts["suspected"] += 1
        self.members.updates.put(record._replace(state=MemberState.SUSPECT, reported_by=reporter))
        return suspicion

    def _is_confirmed_by(self, suspicion: Suspicion, reporter: int) -> bool:
        """Return whether a reporter adds a confirmation; beyond the maximum only this instance does."""
        if reporter in suspicion.reporters:
            return False
        return len(suspicion.reporters) <= MAX_CONFIRMATIONS or reporter == self.view.me.token

    def _expire(self, token: int, incarnation: int, confirmations: int) -> None:
        """Send the last probe when the suspicion timeout expires.

        Does nothing if the number of reporters has changed since, because each new one sets a new timeout.
        """
        suspicion = self._current(token, incarnation)
        if suspicion is None or len(suspicion.reporters) != confirmations or suspicion.is_last_probe_sent:
            return
        suspicion.is_last_probe_sent = True
        record = self.view.table[token]
        self.members.failure_detector.probe_before_declaring(record, self._declare_dead, token, incarnation)

    def _declare_dead(self, token: int, incarnation: int) -> None:
        """Declare a suspect dead after its last probe if the suspicion is still open."""
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
        """Return the open suspicion of that incarnation, or None."""
        suspicion = self.open.get(token)
        if suspicion is None or suspicion.incarnation != incarnation or self.members.stopped:
            return None
        return suspicion
