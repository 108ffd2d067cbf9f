"""Failure detection by protocol periods of direct and indirect pings (SWIM, sections 3 and 4.3).

In each protocol period an instance pings its ring successor and one more member: alternately the second ring
successor and the next member of a shuffled round-robin order. If no ack arrives within the direct timeout,
the instance requests indirect pings from other members. If no ack arrives by the end of the period, the
member is suspected. Each missed ack lengthens the timeouts of the instance that missed it, because that
instance may be the slow one (Lifeguard's local health multiplier: Dadgar, Phillips, Currey 2018).
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Iterable, Sequence
from typing import TYPE_CHECKING, Any, NamedTuple

from limepath.membership.bounds import MAX_HEALTH_SCORE
from limepath.membership.interface import Ack, IndirectPing, MemberRecord, MemberState, Ping

if TYPE_CHECKING:
    from limepath.membership.members import Members


class SequenceWithoutIndex(Sequence[int]):
    """A view of a sequence that leaves out the item at one index, without copying the sequence."""

    def __init__(self, items: Sequence[int], omitted: int) -> None:
        self.items = items
        self.omitted = omitted

    def __len__(self) -> int:
        return len(self.items) - 1

    def __getitem__(self, index: int) -> int:  # type: ignore[override]  # no slices
        if index >= len(self):
            raise IndexError(index)
        return self.items[index + (index >= self.omitted)]


class RelayedPing(NamedTuple):
    """The origin of a ping sent on behalf of another member: the requester and its own sequence number."""

    requester: MemberRecord
    sequence: int


class FailureDetector:
    """Probes members and acknowledges pings. Passes members that fail a probe to `members.suspicions`."""

    def __init__(self, members: Members) -> None:
        self.members = members
        self.view = members.view
        self.timers = members.timers
        self.timeouts = members.timeouts
        self.sequence = 0
        """Sequence number of the last ping that was sent."""
        self.pending: dict[int, MemberRecord] = {}
        """Pinged members that have not acknowledged, by sequence number; the records date from the ping."""
        self.relayed: dict[int, RelayedPing] = {}
        """Pings sent on behalf of other members, by this instance's own sequence number."""
        self.round: list[int] = []
        """Tokens of the members not yet probed in the current round-robin round; the next one is last."""
        self.health_score = 0
        """Local health score of Lifeguard: 0 is healthy, each sign of local delay adds 1."""

    def run_period(self, period: int) -> None:
        """Probe the members that are due in the period with this number."""
        for token in self._due_members(period):
            self._probe(self.view.table[token])

    def probe_before_declaring(
        self, suspect: MemberRecord, declare: Callable[..., None], *arguments: Any
    ) -> None:
        """Ping a suspect once more, and call `declare(*arguments)` one period later, with or without an ack.

        The ping carries the suspicion, so that the suspect can refute it.
        """
        sequence = self._ping(suspect)
        self.timers.schedule(self.timers.now + self.timeouts.direct, self._request_indirect_pings, sequence)
        self.timers.schedule(
            self.timers.now + self.timeouts.period, self._end_last_probe, sequence, declare, arguments
        )

    def raise_health_score(self) -> None:
        """Raise the health score by 1, up to its maximum: this instance may be the slow one."""
        self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)

    def handle_ping(self, sender: MemberRecord, message: Ping) -> None:
        """Merge the records of a Ping, send an Ack, and compare digests."""
        members = self.members
        members.updates.apply_all(message.records)
        members.send(sender, Ack(message.seq, members.records_for(sender.token), members.digest_to_send()))
        members.anti_entropy.compare_digest(sender, message.digest)

    def handle_ack(self, sender: MemberRecord, message: Ack) -> None:
        """End the probe that an Ack belongs to; forward the Ack of a ping sent for another member."""
        self.members.updates.apply_all(message.records)
        probed = self.pending.pop(message.seq, None)
        if probed is None:
            self._forward_ack(sender, message)
        elif probed.token == sender.token:
            self.health_score = max(0, self.health_score - 1)
        self.members.anti_entropy.compare_digest(sender, message.digest)

    def handle_indirect_ping(self, sender: MemberRecord, message: IndirectPing) -> None:
        """Ping a member on behalf of the sender; a later Ack of the member is forwarded to the sender."""
        self.members.updates.apply_all(message.records)
        target = self.view.table.get(message.about.token, message.about)
        if target.token == self.view.me.token:
            return
        self.sequence += 1
        self.relayed[self.sequence] = RelayedPing(sender, message.seq)
        # The longest timeout of any requester: its probe has ended by then.
        expiry = self.timers.now + self.timeouts.period * (1 + MAX_HEALTH_SCORE)
        self.timers.schedule(expiry, self.relayed.pop, self.sequence, None)
        self.members.ping(target, self.sequence)

    def _due_members(self, period: int) -> Iterable[int]:
        """Return the tokens of the ring successor and of one more member.

        The second member is the next of the shuffled round in odd periods, the second successor in even ones.
        """
        ring = self.view.ring
        if not ring:
            return ()
        successor = bisect_left(ring, self.view.me.token)
        first = ring[successor % len(ring)]
        second = self._next_of_round() if period % 2 else ring[(successor + 1) % len(ring)]
        return dict.fromkeys((first, second))

    def _next_of_round(self) -> int:
        """Return the next live member of the shuffled round, after starting a new round if it is empty."""
        while self.round and not self.view.is_live(self.round[-1]):
            self.round.pop()
        if not self.round:
            self.round = self.timers.sample(self.view.ring, len(self.view.ring))
        return self.round.pop()

    def _probe(self, target: MemberRecord) -> None:
        """Ping a member, and schedule the indirect pings and the end of the probe."""
        multiplier = 1 + self.health_score
        sequence = self._ping(target)
        now = self.timers.now
        self.timers.schedule(now + self.timeouts.direct * multiplier, self._request_indirect_pings, sequence)
        self.timers.schedule(now + self.timeouts.period * multiplier, self._end_probe, sequence)

    def _ping(self, target: MemberRecord) -> int:
        self.sequence += 1
        self.pending[self.sequence] = target
        self.members.ping(target, self.sequence)
        return self.sequence

    def _request_indirect_pings(self, sequence: int) -> None:
        """Request indirect pings if no ack has arrived, because only the direct path may be broken."""
        target = self.pending.get(sequence)
        if target is None or not self.view.is_live(target.token):
            return
        ring = self.view.ring
        others = SequenceWithoutIndex(ring, bisect_left(ring, target.token))
        for token in self.timers.sample(others, min(self.timeouts.indirect, len(others))):
            request = IndirectPing(sequence, target, self.members.records_for(token))
            self.members.send(self.view.table[token], request)

    def _end_probe(self, sequence: int) -> None:
        """Suspect the member if no ack has arrived, unless it has a newer incarnation by now."""
        target = self.pending.pop(sequence, None)
        if target is None:
            return
        known = self.view.table.get(target.token)
        if known is None:
            return
        if known.state == MemberState.ALIVE:
            self.raise_health_score()
        if known.is_live and known.incarnation == target.incarnation:
            self.members.suspicions.suspect(known, self.view.me.token)

    def _end_last_probe(
        self, sequence: int, declare: Callable[..., None], arguments: tuple[Any, ...]
    ) -> None:
        self.pending.pop(sequence, None)
        declare(*arguments)

    def _forward_ack(self, sender: MemberRecord, message: Ack) -> None:
        relayed = self.relayed.pop(message.seq, None)
        if relayed is None:
            return
        record = self.view.table.get(sender.token)
        records = () if record is None else (record,)
        self.members.send(relayed.requester, Ack(relayed.sequence, records))
