"""Dissemination of member records on pings and acks (SWIM, section 4.1: infection-style dissemination)."""

from collections import OrderedDict
from itertools import islice
from math import ceil, log2
from typing import NamedTuple

from limepath.membership.interface import MemberRecord, MemberState

MAX_RECORDS = 8  # on one message
RETRANSMIT_MULTIPLIER = (
    3  # times log2 of the members: how often a record is sent (memberlist: RetransmitMult)
)


class Broadcast(NamedTuple):
    """A record to be sent on so many more messages."""

    record: MemberRecord
    transmits_left: int


class BroadcastQueue:
    """Records that are still to be disseminated: the newest first, then each in its turn."""

    def __init__(self) -> None:
        self._queue: OrderedDict[int, Broadcast] = OrderedDict()
        """By token of the member; the next to be sent first."""

    def __contains__(self, token: int) -> bool:
        return token in self._queue

    def add(self, record: MemberRecord, live: int) -> None:
        """Queue a changed record, in place of an older one, at so many other live members."""
        self._queue[record.token] = Broadcast(record, RETRANSMIT_MULTIPLIER * ceil(log2(live + 2)))
        self._queue.move_to_end(record.token, last=False)

    def take_records(self, receiver: MemberRecord | None) -> tuple[MemberRecord, ...]:
        """Return the records for one message, and count them as sent once more.

        The receiver's own record, if it is known, goes first where it says what the receiver should refute.
        """
        records: list[MemberRecord] = []
        if receiver is not None and receiver.state not in (MemberState.ALIVE, MemberState.LEFT):
            records.append(receiver)
        for token in list(islice(self._queue, MAX_RECORDS - len(records))):
            record, transmits_left = self._queue.pop(token)
            records.append(record)
            if transmits_left > 1:
                self._queue[token] = Broadcast(record, transmits_left - 1)  # behind all others
        return tuple(records)

    def discard(self, token: int) -> None:
        """Disseminate nothing more about a member."""
        self._queue.pop(token, None)

    def clear(self) -> None:
        """Disseminate nothing of what is queued."""
        self._queue.clear()
