"""Remembers the ids of client requests that may have run at a server and must not run again.

A request has an id of its own (`X-Txn`). One that comes again under an id that is still remembered, for
example after its client's connection broke, may repeat an effect. Performs no I/O; the caller passes in the
time.
"""

from collections import OrderedDict

MAX_TRANSACTIONS = 8192  # beyond it the oldest is forgotten, so that a flood of ids cannot fill the memory


class SentTransactions:
    """The ids of requests that were sent to a server and are not known not to have run.

    Attributes:
        retention: microseconds for which an id is remembered.
    """

    def __init__(self, retention: int) -> None:
        self.retention = retention
        self._sent_at: OrderedDict[bytes, int] = OrderedDict()  # the id sent last comes last

    def __len__(self) -> int:
        return len(self._sent_at)

    def add(self, transaction_id: bytes, now: int) -> None:
        """Remember an id whose request is sent to a server at `now`, in microseconds."""
        self._sent_at[transaction_id] = now
        self._sent_at.move_to_end(transaction_id)
        self._forget_old(now)

    def discard(self, transaction_id: bytes) -> None:
        """Forget an id whose request certainly had no effect."""
        self._sent_at.pop(transaction_id, None)

    def has(self, transaction_id: bytes, now: int) -> bool:
        """Return whether a request with this id may have run."""
        self._forget_old(now)
        return transaction_id in self._sent_at

    def _forget_old(self, now: int) -> None:
        while self._sent_at:
            oldest, sent_at = next(iter(self._sent_at.items()))
            if len(self._sent_at) <= MAX_TRANSACTIONS and now - sent_at <= self.retention:
                return
            del self._sent_at[oldest]
