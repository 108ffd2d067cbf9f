"""The members one instance knows: all records, the ring of live members, and the dead for a while.

Dead and left members are remembered so that late gossip does not bring them back; they are forgotten by age
and beyond a number.
"""

from bisect import bisect_left, insort
from collections.abc import Iterable

from limepath.membership.digests import ViewDigests
from limepath.membership.interface import MemberJoined, MemberLeft, MemberRecord
from limepath.timer_queue import TimerQueue

MAX_REMEMBERED_DEAD = 4096


class MemberTable:
    """Records by token, and what is derived from them. Changes of the live set go out as commands."""

    def __init__(self, me: MemberRecord, timers: TimerQueue, seeds: Iterable[tuple[str, int]] = ()) -> None:
        """Start with no member but `me`; `seeds` are the addresses by which this instance joins."""
        self.me = me
        """This instance's own record, which is not in `table`."""
        self.timers = timers
        self.table: dict[int, MemberRecord] = {}
        """Latest record of every other member, by token."""
        self.ring: list[int] = []
        """Tokens of the other live members, sorted."""
        self.names: dict[str, int] = {}
        """Token of the member that last sent a message under a name."""
        self.dead: dict[int, MemberRecord] = {}
        """Members that are dead or have left, in the order in which they became so."""
        self.dead_since: dict[int, int] = {}
        """When they became so, in microseconds, in the same order."""
        self.live_at_seeds: dict[tuple[str, int], int] = dict.fromkeys(seeds, 0)
        """How many live members have a seed's address."""
        self.digests = ViewDigests()
        self.digests.toggle(me)

    def is_live(self, token: int) -> bool:
        """Return whether a member counts as alive, suspected or not; this instance does."""
        if token == self.me.token:
            return True
        record = self.table.get(token)
        return record is not None and record.is_live

    def put(self, record: MemberRecord) -> None:
        """Write another member's record, and emit how the live set changed by it."""
        previous = self.table.get(record.token)
        self.table[record.token] = record
        if previous is not None and previous.is_live:
            self._replace_live(previous, record)
        elif record.is_live:
            self._add_live(record)
        if not record.is_live:
            self.dead[record.token] = record
            self.dead_since.setdefault(record.token, self.timers.now)

    def advance_incarnation(self, incarnation: int) -> None:
        """Give this instance a newer incarnation."""
        self.digests.toggle(self.me)
        self.me = self.me._replace(incarnation=incarnation)
        self.digests.toggle(self.me)

    def forget_dead(self, max_age: int) -> None:
        """Drop members dead for longer than `max_age` microseconds, and the oldest beyond the maximum."""
        oldest = self.timers.now - max_age
        excess = len(self.dead) - MAX_REMEMBERED_DEAD
        expired: list[int] = []
        for token, since in self.dead_since.items():
            if since >= oldest and len(expired) >= excess:
                break
            expired.append(token)
        for token in expired:
            self._forget(token)

    def _forget(self, token: int) -> None:
        del self.dead[token]
        del self.dead_since[token]
        record = self.table.pop(token, None)
        if record is not None and self.names.get(record.name) == token:
            del self.names[record.name]

    def _replace_live(self, previous: MemberRecord, record: MemberRecord) -> None:
        self._uncount(previous)
        if not record.is_live:
            del self.ring[bisect_left(self.ring, record.token)]
            self.timers.emit(MemberLeft(record))
            return
        self._count(record)
        if previous.generation != record.generation:  # it restarted before it was missed
            self.timers.emit(MemberLeft(previous))
            self.timers.emit(MemberJoined(record))

    def _add_live(self, record: MemberRecord) -> None:
        self._count(record)
        insort(self.ring, record.token)
        self.dead.pop(record.token, None)
        self.dead_since.pop(record.token, None)
        self.timers.emit(MemberJoined(record))

    def _count(self, record: MemberRecord) -> None:
        self.digests.toggle(record)
        self._change_live_at_seed(record, 1)

    def _uncount(self, record: MemberRecord) -> None:
        self.digests.toggle(record)
        self._change_live_at_seed(record, -1)

    def _change_live_at_seed(self, record: MemberRecord, change: int) -> None:
        address = (record.host, record.port)
        if address in self.live_at_seeds:
            self.live_at_seeds[address] += change
