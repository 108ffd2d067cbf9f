"""Which record overrides which: received records are merged into the member table.

The order is that of SWIM, section 4.2: a newer incarnation overrides an older one, and within one incarnation
a suspicion overrides alive, and dead or left override both. Only the member itself starts a new incarnation.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from limepath.membership.interface import MemberRecord, MemberState

if TYPE_CHECKING:
    from limepath.membership.members import Members

IDENTITY_REPLACED = "another instance goes on under this identity"


class RecordUpdates:
    """Merges records into the view of one instance. Owns no state."""

    def __init__(self, members: Members) -> None:
        self.members = members
        self.view = members.view

    def apply_all(self, records: Iterable[MemberRecord]) -> None:
        """Merge the records that a message carries, until this instance takes no further part."""
        for record in records:
            if not self.members.stopped:
                self.apply(record)

    def apply(self, record: MemberRecord) -> None:
        """Merge one record, if it overrides what is known."""
        if record.token == self.view.me.token:
            self.apply_to_self(record)
            return
        known = self.view.table.get(record.token)
        if known is None:
            self._apply_unknown(record)
            return
        if record.incarnation < known.incarnation:
            return
        is_newer = record.incarnation > known.incarnation
        if record.state == MemberState.SUSPECT:
            self._apply_suspect(record, is_newer)
        elif record.state == MemberState.ALIVE:
            if is_newer:
                self.put(record)
        elif is_newer or record.state > known.state:
            self.put(record)

    def put(self, record: MemberRecord) -> None:
        """Write a record into the view, and disseminate it."""
        if record.state != MemberState.SUSPECT:
            self.members.suspicions.clear(record.token)
        self.view.put(record)
        self.members.broadcast(record)

    def apply_to_self(self, record: MemberRecord) -> None:
        """Refute what is said of this generation; yield to another instance under this identity.

        Of two instances that run on copies of one store, the one of the later generation goes on, and of one
        generation, the one that started first.
        """
        me = self.view.me
        if self.members.leave_protocol.started:
            return
        if record.birth != me.birth and record.generation >= me.generation:
            if record.generation > me.generation or record.birth < me.birth:
                self.members.leave_protocol.yield_identity(record, IDENTITY_REPLACED)
            return
        if record.state != MemberState.ALIVE and record.incarnation >= me.incarnation:
            self._refute(record)

    def track_name(self, sender: MemberRecord) -> None:
        """Track who speaks under a name, and declare dead whose address the sender has taken.

        One process holds an address at a time: a member of the same name and address under another token
        lost its store and started anew.
        """
        names = self.view.names
        former_token = names.get(sender.name)
        names[sender.name] = sender.token
        if former_token in (None, sender.token) or not self.view.is_live(former_token):
            return
        former = self.view.table[former_token]
        if (former.host, former.port) == (sender.host, sender.port):
            self.put(former._replace(state=MemberState.DEAD, reported_by=self.view.me.token))

    def _apply_unknown(self, record: MemberRecord) -> None:
        """Add a member; one that is unknown and not live is of no interest."""
        if not record.is_live:
            return
        self.put(record._replace(state=MemberState.ALIVE))
        if record.state == MemberState.SUSPECT:
            self.members.suspicions.suspect(record, record.reported_by)

    def _apply_suspect(self, record: MemberRecord, is_newer: bool) -> None:
        if is_newer:
            self.put(record._replace(state=MemberState.ALIVE))
        if self.view.is_live(record.token):
            self.members.suspicions.suspect(record, record.reported_by)

    def _refute(self, record: MemberRecord) -> None:
        """Go on under an incarnation that overrides `record`."""
        self.members.counts["refuted"] += 1
        self.members.failure_detector.raise_health_score()
        self.view.advance_incarnation(record.incarnation + 1)
        self.members.broadcast(self.view.me)
