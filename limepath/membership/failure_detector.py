"""Failure detection by protocol periods of direct and indirect pings (SWIM, sections 3 and 4.3).

Each period an instance pings its ring successor and one more member, alternately the successor's successor
and the next of a shuffled round. Without an ack within the direct timeout other members are asked to ping it;
without one by the end of the period it is suspected. Acks that an instance misses itself stretch its own
timeouts (Lifeguard's local health multiplier: Dadgar, Phillips, Currey 2018).
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Iterable, Sequence
from typing import TYPE_CHECKING, Any, NamedTuple

from limepath.membership.bounds import MAX_HEALTH_SCORE
from limepath.membership.interface import Ack, IndirectPing, MemberRecord, MemberState, Ping

if TYPE_CHECKING:
    from limepath.membership.members import Members


class SequenceWithoutOne(Sequence[int]):
    """A sequence without the item at one index; nothing is copied."""

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
    """A ping sent in another member's stead: who asked, and its sequence number of the probe."""

    requester: MemberRecord
    sequence: int


class FailureDetector:
    """Probes members, and answers probes. Members that fail a probe go to `members.suspicions`."""

    def __init__(self, members: Members) -> None:
        self.members = members
        self.view = members.view
        self.timers = members.timers
        self.timeouts = members.timeouts
        self.sequence = 0
        """Number of the last ping."""
        self.pending: dict[int, MemberRecord] = {}
        """Members whose ack is awaited, as known when pinged, by the ping's sequence number."""
        self.relayed: dict[int, RelayedPing] = {}
        """Pings sent in others' stead, by this instance's own sequence number."""
        self.round: list[int] = []
        """Members still to be probed in the shuffled round, the next one last."""
        self.health_score = 0
        """Local health of Lifeguard: 0 is healthy, each sign of own delay adds one."""

    def run_period(self, period: int) -> None:
        """Probe the members due in a period, given its number."""
        for token in self._due_members(period):
            self._probe(self.view.table[token])

    def probe_before_declaring(
        self, suspect: MemberRecord, declare: Callable[..., None], *arguments: Any
    ) -> None:
        """Ping a suspect once more; a period later `declare(*arguments)` is called in any case.

        The ping carries the suspicion, so that the suspect can refute it.
        """
        sequence = self._ping(suspect)
        self.timers.schedule(self.timers.now + self.timeouts.direct, self._request_indirect_pings, sequence)
        self.timers.schedule(
            self.timers.now + self.timeouts.period, self._end_last_probe, sequence, declare, arguments
        )

    def raise_health_score(self) -> None:
        """Count one more sign that it is this instance that is slow."""
        self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)

    def handle_ping(self, sender: MemberRecord, message: Ping) -> None:
        """Answer a probe."""
        members = self.members
        members.updates.apply_all(message.records)
        members.send(sender, Ack(message.seq, members.records_for(sender.token), members.digest_to_send()))
        members.anti_entropy.compare_digest(sender, message.digest)

    def handle_ack(self, sender: MemberRecord, message: Ack) -> None:
        """End a probe of this instance; pass on the ack of one made in another's stead."""
        self.members.updates.apply_all(message.records)
        probed = self.pending.pop(message.seq, None)
        if probed is None:
            self._pass_on_ack(sender, message)
        elif probed.token == sender.token:
            self.health_score = max(0, self.health_score - 1)
        self.members.anti_entropy.compare_digest(sender, message.digest)

    def handle_indirect_ping(self, sender: MemberRecord, message: IndirectPing) -> None:
        """Ping a member in the sender's stead; its ack is passed on if it comes."""
        self.members.updates.apply_all(message.records)
        target = self.view.table.get(message.about.token, message.about)
        if target.token == self.view.me.token:
            return
        self.sequence += 1
        self.relayed[self.sequence] = RelayedPing(sender, message.seq)
        # the requester, however slow, has given up by then
        expiry = self.timers.now + self.timeouts.period * (1 + MAX_HEALTH_SCORE)
        self.timers.schedule(expiry, self.relayed.pop, self.sequence, None)
        self.members.ping(target, self.sequence)

    def _due_members(self, period: int) -> Iterable[int]:
        """Return the ring successor, and in turn the one after it or the next of the shuffled round."""
        ring = self.view.ring
        if not ring:
            return ()
        successor = bisect_left(ring, self.view.me.token)
        first = ring[successor % len(ring)]
        second = self._next_of_round() if period % 2 else ring[(successor + 1) % len(ring)]
        return dict.fromkeys((first, second))

    def _next_of_round(self) -> int:
        """Return the next live member of the shuffled round; a new round begins when one is over."""
        while self.round and not self.view.is_live(self.round[-1]):
            self.round.pop()
        if not self.round:
            self.round = self.timers.sample(self.view.ring, len(self.view.ring))
        return self.round.pop()

    def _probe(self, target: MemberRecord) -> None:
        """Ping a member; without an ack others are asked, then it is suspected."""
        stretch = 1 + self.health_score
        sequence = self._ping(target)
        now = self.timers.now
        self.timers.schedule(now + self.timeouts.direct * stretch, self._request_indirect_pings, sequence)
        self.timers.schedule(now + self.timeouts.period * stretch, self._end_probe, sequence)

    def _ping(self, target: MemberRecord) -> int:
        self.sequence += 1
        self.pending[self.sequence] = target
        self.members.ping(target, self.sequence)
        return self.sequence

    def _request_indirect_pings(self, sequence: int) -> None:
        """Without an ack so far, ask others: only the path between the two may be broken."""
        target = self.pending.get(sequence)
        if target is None or not self.view.is_live(target.token):
            return
        ring = self.view.ring
        others = SequenceWithoutOne(ring, bisect_left(ring, target.token))
        for token in self.timers.sample(others, min(self.timeouts.indirect, len(others))):
            request = IndirectPing(sequence, target, self.members.records_for(token))
            self.members.send(self.view.table[token], request)

    def _end_probe(self, sequence: int) -> None:
        """Without an ack until now, suspect the member, unless it went on to a newer incarnation."""
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

    def _pass_on_ack(self, sender: MemberRecord, message: Ack) -> None:
        relayed = self.relayed.pop(message.seq, None)
        if relayed is None:
            return
        record = self.view.table.get(sender.token)
        records = () if record is None else (record,)
        self.members.send(relayed.requester, Ack(relayed.sequence, records))
