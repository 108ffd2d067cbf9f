"""The member table of one instance: all records, the ring of live members, and recently dead members.

Records of members that are dead or have left are retained so that late gossip does not add these members
again. They are removed after a maximum age and beyond a maximum number.
"""

from bisect import bisect_left, insort
from collections.abc import Iterable

from limepath.membership.digests import ViewDigests
from limepath.membership.interface import MemberJoined, MemberLeft, MemberRecord
from limepath.timer_queue import TimerQueue

MAX_REMEMBERED_DEAD = 4096


class MemberTable:
    """Records by token, and state derived from them. Emits a command for each change of the live set."""

    def __init__(self, me: MemberRecord, timers: TimerQueue, seeds: Iterable[tuple[str, int]] = ()) -> None:
        """Start with `me` as the only member; `seeds` are the addresses by which this instance joins."""
        self.me = me
        """Record of this instance, which is not in `table`."""
        self.timers = timers
        self.table: dict[int, MemberRecord] = {}
        """Latest record of every other member, by token."""
        self.ring: list[int] = []
        """Tokens of the other live members, sorted."""
        self.names: dict[str, int] = {}
        """Token of the member that last sent a message, by member name."""
        self.dead: dict[int, MemberRecord] = {}
        """Members that are dead or have left, by token, the longest dead first."""
        self.dead_since: dict[int, int] = {}
        """When each member in `dead` died or left, in microseconds, in the same order."""
        self.live_at_seeds: dict[tuple[str, int], int] = dict.fromkeys(seeds, 0)
        """Number of live members at each seed address."""
        self.digests = ViewDigests()
        self.digests.toggle(me)

    def is_live(self, token: int) -> bool:
        """Return whether a member is alive or suspected; always true for this instance."""
        if token == self.me.token:
            return True
        record = self.table.get(token)
        return record is not None and record.is_live

    def put(self, record: MemberRecord) -> None:
        """Store the record of another member, and emit the resulting changes of the live set."""
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
        """Set a newer incarnation of this instance."""
        self.digests.toggle(self.me)
        self.me = self.me._replace(incarnation=incarnation)
        self.digests.toggle(self.me)

    def forget_dead(self, max_age: int) -> None:
        """Remove members dead for longer than `max_age` microseconds, and the oldest beyond the maximum."""
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
        self._untrack_live(previous)
        if not record.is_live:
            del self.ring[bisect_left(self.ring, record.token)]
            self.timers.emit(MemberLeft(record))
            return
        self._track_live(record)
        if previous.generation != record.generation:  # it restarted before it was declared dead
            self.timers.emit(MemberLeft(previous))
            self.timers.emit(MemberJoined(record))

    def _add_live(self, record: MemberRecord) -> None:
        self._track_live(record)
        insort(self.ring, record.token)
        self.dead.pop(record.token, None)
        self.dead_since.pop(record.token, None)
        self.timers.emit(MemberJoined(record))

    def _track_live(self, record: MemberRecord) -> None:
        self.digests.toggle(record)
        self._change_live_at_seed(record, 1)

    def _untrack_live(self, record: MemberRecord) -> None:
        self.digests.toggle(record)
        self._change_live_at_seed(record, -1)

    def _change_live_at_seed(self, record: MemberRecord, change: int) -> None:
        address = (record.host, record.port)
        if address in self.live_at_seeds:
            self.live_at_seeds[address] += change
