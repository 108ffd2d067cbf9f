"""Failure detection by rounds of checks, direct and through others (SWIM, sections 3 and 4.3).

Each period an instance checks its ring successor and one more, alternately the successor's successor and one
in a shuffled round. No answer within `direct`: others are asked to check. None by the end of the period: it
is suspected. Own missed answers stretch own time limits (Lifeguard's local health: Dadgar, Phillips, Currey
2018).
"""

from bisect import bisect_left
from collections.abc import Sequence

from limepath.membership.bounds import MAX_HEALTH_SCORE
from limepath.membership.interface import Ack, IndirectPing, MemberState


class SequenceWithoutOne(Sequence):
    """A list without one item, given by its place; nothing is copied."""

    def __init__(self, items, place):
        self.items, self.place = items, place

    def __len__(self):
        return len(self.items) - 1

    def __getitem__(self, index):
        if index >= len(self):
            raise IndexError(index)
        return self.items[index + (index >= self.place)]


class FailureDetector:
    """`members` sends, knows the view, and has the suspicions to which one that missed its check goes."""

    def __init__(self, members):
        self.members, self.view, self.timers = members, members.view, members.timers
        self.spans = members.spans
        self.pending, self.relayed = {}, {}
        self.round, self.sequence, self.missed = [], 0, 0

    def run(self, periods):
        """The checks of one period; `periods` is its number."""
        for token in self.due(periods):
            self.check(self.view.table[token])

    def due(self, periods):
        """The ring successor, and in turn the one after it or the next of a shuffled round."""
        ring = self.view.ring
        if not ring:
            return ()
        at = bisect_left(ring, self.view.me.token)
        first = ring[at % len(ring)]
        second = ring[(at + 1) % len(ring)]
        if periods % 2:
            while self.round and not self.view.is_live(self.round[-1]):
                self.round.pop()
            if not self.round:
                self.round = self.timers.sample(ring, len(ring))
            second = self.round.pop()
        return dict.fromkeys((first, second))

    def check(self, news):
        """Ping one; ask others, then suspect it, as its answer stays out."""
        stretch = 1 + self.missed
        sequence = self.ping(news)
        self.timers.schedule(self.timers.now + self.spans.direct * stretch, self.unanswered, sequence)
        self.timers.schedule(self.timers.now + self.spans.period * stretch, self.failed, sequence)

    def check_last(self, news, over, *said):
        """Ping a suspect that is about to be declared dead; `over(*said)` is called a period later."""
        sequence = self.ping(news)  # the news on it bears the suspicion: it can refute
        self.timers.schedule(self.timers.now + self.spans.direct, self.unanswered, sequence)
        self.timers.schedule(self.timers.now + self.spans.period, self.checked_last, sequence, over, said)

    def checked_last(self, sequence, over, said):
        self.pending.pop(sequence, None)
        over(*said)

    def ping(self, news):
        self.sequence += 1
        self.pending[self.sequence] = news
        self.members.ping(news, self.sequence)
        return self.sequence

    def unanswered(self, sequence):
        """No answer yet: ask others to check, for the way between us may be all that is broken."""
        if (news := self.pending.get(sequence)) is None or not self.view.is_live(news.token):
            return
        others = SequenceWithoutOne(self.view.ring, bisect_left(self.view.ring, news.token))
        for token in self.timers.sample(others, min(self.spans.indirect, len(others))):
            self.members.send(
                self.view.table[token], IndirectPing(sequence, news, self.members.records_for(token))
            )

    def failed(self, sequence):
        if (news := self.pending.pop(sequence, None)) is None:
            return
        known = self.view.table.get(news.token)
        if known is not None and known.state == MemberState.ALIVE:
            self.miss()
        if known and known.state <= MemberState.SUSPECT and known.incarnation == news.incarnation:
            self.members.suspicions.suspect(known, self.view.me.token)

    def miss(self):
        """One more sign that it is this instance that is slow."""
        self.missed = min(MAX_HEALTH_SCORE, self.missed + 1)

    def pinged(self, sender, message):
        """Answer a check."""
        members = self.members
        members.take(message.records)
        members.send(sender, Ack(message.seq, members.records_for(sender.token), members.digest_to_send()))
        members.compare(sender, message.digest)

    def acked(self, sender, message):
        """An answer to a check of this instance, or to one made for another, which is told."""
        members, table = self.members, self.view.table
        members.take(message.records)
        if news := self.pending.pop(message.seq, None):
            self.missed = max(0, self.missed - (news.token == sender.token))
        elif relayed := self.relayed.pop(message.seq, None):
            asker, sequence = relayed
            members.send(asker, Ack(sequence, (table[sender.token],) if sender.token in table else ()))
        members.compare(sender, message.digest)

    def asked_to_check(self, sender, message):
        """Ping in another's stead, and answer it if the answer comes."""
        self.members.take(message.records)
        about = self.view.table.get(message.about.token, message.about)
        if about.token == self.view.me.token:
            return
        self.sequence += 1
        self.relayed[self.sequence] = sender, message.seq
        until = self.timers.now + self.spans.period * (1 + MAX_HEALTH_SCORE)
        self.timers.schedule(until, self.relayed.pop, self.sequence, None)
        self.members.ping(about, self.sequence)
