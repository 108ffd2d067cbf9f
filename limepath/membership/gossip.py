"""Dissemination of member records on pings and acks (SWIM, section 4.1: infection-style dissemination)."""

from collections import OrderedDict
from itertools import islice
from math import ceil, log2
from typing import NamedTuple

from limepath.membership.interface import MemberRecord, MemberState

MAX_RECORDS = 8  # records per message
RETRANSMIT_MULTIPLIER = (
    3  # a record is sent this many times log2 of the number of members (memberlist: RetransmitMult)
)


class Broadcast(NamedTuple):
    """A record, and the number of messages that it is still to be sent with."""

    record: MemberRecord
    transmits_left: int


class BroadcastQueue:
    """Records to be disseminated: the newest first, then in round-robin order."""

    def __init__(self) -> None:
        self._queue: OrderedDict[int, Broadcast] = OrderedDict()
        """Broadcasts by token of the member, the next to be sent first."""

    def __contains__(self, token: int) -> bool:
        return token in self._queue

    def add(self, record: MemberRecord, live: int) -> None:
        """Queue a changed record, replacing an older one; `live` is the number of other live members."""
        self._queue[record.token] = Broadcast(record, RETRANSMIT_MULTIPLIER * ceil(log2(live + 2)))
        self._queue.move_to_end(record.token, last=False)

    def take_records(self, receiver: MemberRecord | None) -> tuple[MemberRecord, ...]:
        """Return the records for one message, and count each of them as sent.

        The record of the receiver goes first if it is suspected or dead, so that the receiver can refute it.
        """
        records: list[MemberRecord] = []
        if receiver is not None and receiver.state not in (MemberState.ALIVE, MemberState.LEFT):
            records.append(receiver)
        for token in list(islice(self._queue, MAX_RECORDS - len(records))):
            record, transmits_left = self._queue.pop(token)
            records.append(record)
            if transmits_left > 1:
                self._queue[token] = Broadcast(record, transmits_left - 1)  # after all other records
        return tuple(records)

    def discard(self, token: int) -> None:
        """Remove the record of a member from the queue."""
        self._queue.pop(token, None)

    def clear(self) -> None:
        """Remove all records from the queue."""
        self._queue.clear()
