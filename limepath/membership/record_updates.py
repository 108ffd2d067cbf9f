"""Merges received records into the member table, and decides which record overrides which.

The precedence is that of SWIM, section 4.2: a newer incarnation overrides an older one. Within one
incarnation, suspected overrides alive, and dead and left override both. Only the member itself starts a new
incarnation.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from limepath.membership.interface import MemberRecord, MemberState

if TYPE_CHECKING:
    from limepath.membership.members import Members

IDENTITY_REPLACED = "another instance is running with the same identity"


class RecordUpdates:
    """Merges records into the view of one instance. Has no state of its own."""

    def __init__(self, members: Members) -> None:
        self.members = members
        self.view = members.view

    def apply_all(self, records: Iterable[MemberRecord]) -> None:
        """Merge the records of a message; ignore the rest once one of them has stopped this instance."""
        for record in records:
            if not self.members.stopped:
                self.apply(record)

    def apply(self, record: MemberRecord) -> None:
        """Merge one record if it overrides the known record of the member."""
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
        """Store a record in the view, and queue it for dissemination."""
        if record.state != MemberState.SUSPECT:
            self.members.suspicions.clear(record.token)
        self.view.put(record)
        self.members.broadcast(record)

    def apply_to_self(self, record: MemberRecord) -> None:
        """Refute a suspicion or death of this generation, or yield to another instance of this identity.

        Of two instances that run on copies of one store, the one with the later generation keeps running.
        With equal generations, the one that started first keeps running.
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
        """Record the sender's token under its name, and declare dead the member that the sender replaces.

        Only one process can hold an address at a time. A sender with the name and address of a member but
        with another token is therefore that member, restarted with a new store.
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
        """Add an unknown member if it is live; ignore it otherwise."""
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
        """Start an incarnation that overrides `record`, and disseminate it."""
        self.members.counts["refuted"] += 1
        self.members.failure_detector.raise_health_score()
        self.view.advance_incarnation(record.incarnation + 1)
        self.members.broadcast(self.view.me)
