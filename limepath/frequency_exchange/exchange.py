"""The exchange of request counts: queries of a new front and answers to the queries of other fronts.

The module does no I/O. Times are integers in microseconds.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from limepath.frequency_exchange.interface import (
    COUNTS_PER_MESSAGE,
    MAX_COUNT_VALUE,
    MAX_COUNTS,
    AddCounts,
    CountsRead,
    ObjectCount,
    PeerMessage,
    ReadCounts,
    RequestCounts,
    RequestCountsQuery,
    SendToMember,
)
from limepath.timer_queue import TimerQueue

SECOND = 1_000_000
FIRST_QUERY_DELAY = 500_000  # minimum delay after the start; the random delay is up to twice as long
ANSWER_TIMEOUT = 1_000_000
MAX_QUERIES = 4  # total number of queries after a start
HALF_WEIGHT_AGE = 600_000_000  # age at which the weight of a count is one half
MAX_AGE = 6 * HALF_WEIGHT_AGE
MAX_ANSWERS_PER_SECOND = 64  # an answer is one to six datagrams
MAX_CHUNKS = -(-MAX_COUNTS // COUNTS_PER_MESSAGE)  # rounded up

Event = PeerMessage | CountsRead
Command = SendToMember | ReadCounts | AddCounts


@dataclass
class Statistics:
    """Counters since the start."""

    queries_sent: int = 0
    counts_received: int = 0
    counts_sent: int = 0
    messages_rejected: int = 0

    def as_view(self) -> dict[str, int]:
        """Return the counters by the names that the control socket uses."""
        return {
            "asked": self.queries_sent,
            "learnt": self.counts_received,
            "told": self.counts_sent,
            "refused": self.messages_rejected,
        }


class RequestCountsExchange:
    """Queries other fronts for request counts after a start, and answers the queries of other fronts.

    Attributes:
        timers: the timer queue and the commands to be returned.
        live_members: returns the tokens of the other live fronts.
        queried: the token of the front that was queried last, or None.
        queries: the number of queries sent.
        received_chunks: the numbers of the chunks received from the front `queried`.
        complete: whether all chunks of one front have been received.
        last_request_at: when this front last counted a request, or None.
        answer_second: the second that `answers` refers to.
        answers: the number of queries received in that second.
        statistics: counters since the start.
    """

    def __init__(self, seed: int, live_members: Callable[[], Sequence[int]]) -> None:
        self.timers = TimerQueue(seed)
        self.live_members = live_members
        self.queried: int | None = None
        self.queries = 0
        self.received_chunks: set[int] = set()
        self.complete = False
        self.last_request_at: int | None = None
        self.answer_second = 0
        self.answers = 0
        self.statistics = Statistics()

    def start(self, now: int) -> None:
        """Schedule the first query."""
        self.timers.now = now
        delay = int(FIRST_QUERY_DELAY * (1 + self.timers.random_fraction()))
        self.timers.schedule(now + delay, self._send_query)

    def handle(self, now: int, events: Iterable[Event] = ()) -> list[Command]:
        """Run the timers that are due, handle the events and return the commands in execution order."""
        self.timers.run_due(now)
        for event in events:
            if isinstance(event, CountsRead):
                self._send_counts(event)
            elif isinstance(event.message, RequestCountsQuery):
                self._handle_query(event.token)
            else:
                self._handle_counts(event.token, event.message)
        return self.timers.take_commands()

    def next(self) -> int | None:
        """Return when the next timer is due, or None."""
        return self.timers.next_due()

    def record_request(self, now: int) -> None:
        """Record that this front has counted a request."""
        self.last_request_at = now

    # Queries of this front

    def _send_query(self) -> None:
        """Query one live front, and another after ANSWER_TIMEOUT; without live fronts no query is used up."""
        if self.complete or self.queries >= MAX_QUERIES:
            return
        live = self.live_members()
        if live:
            self.queries += 1
            self.queried = self.timers.sample(live, 1)[0]
            self.received_chunks = set()
            self.statistics.queries_sent += 1
            self.timers.emit(SendToMember(self.queried, RequestCountsQuery()))
        self.timers.schedule(self.timers.now + ANSWER_TIMEOUT, self._send_query)

    def _handle_counts(self, token: int, message: RequestCounts) -> None:
        """Accept a chunk from the queried front. Lost chunks are not requested again.

        A chunk out of bounds is rejected as a whole, and further chunks of its sender are ignored.
        """
        if token != self.queried or self.complete:
            return
        if not is_within_bounds(message):
            self.statistics.messages_rejected += 1
            self.queried = None
            return
        if not message.counts:  # the queried front is new too
            return
        if message.chunk in self.received_chunks:
            return
        self.received_chunks.add(message.chunk)
        self.complete = len(self.received_chunks) == message.chunks
        weight = 0.5 ** (message.age / HALF_WEIGHT_AGE)
        self.statistics.counts_received += len(message.counts)
        self.timers.emit(AddCounts(tuple((obj, part, count * weight) for obj, part, count in message.counts)))

    # Answers to other fronts

    def _handle_query(self, token: int) -> None:
        """Answer at most MAX_ANSWERS_PER_SECOND queries, because a whole fleet may start at once."""
        second = self.timers.now // SECOND
        if second != self.answer_second:
            self.answer_second = second
            self.answers = 0
        self.answers += 1
        if self.answers <= MAX_ANSWERS_PER_SECOND:
            self.timers.emit(ReadCounts(token, MAX_COUNTS))

    def _send_counts(self, event: CountsRead) -> None:
        is_new = self.last_request_at is None
        counts = () if is_new else event.counts[:MAX_COUNTS]
        age = 0 if is_new else self.timers.now - self.last_request_at
        chunks = [
            counts[start : start + COUNTS_PER_MESSAGE] for start in range(0, len(counts), COUNTS_PER_MESSAGE)
        ] or [()]
        for number, chunk in enumerate(chunks):
            self.statistics.counts_sent += len(chunk)
            message = RequestCounts(age, tuple(chunk), number, len(chunks))
            self.timers.emit(SendToMember(event.token, message))


def is_within_bounds(message: RequestCounts) -> bool:
    """Return whether a chunk's age, chunk numbers and counts are within bounds."""
    return (
        0 <= message.age <= MAX_AGE
        and 0 <= message.chunk < message.chunks <= MAX_CHUNKS
        and len(message.counts) <= COUNTS_PER_MESSAGE
        and all(map(is_count_within_bounds, message.counts))
    )


def is_count_within_bounds(entry: ObjectCount) -> bool:
    """Return whether the object, part and count of an entry are within bounds."""
    obj, part, count = entry
    return obj >= 0 and part >= 0 and 0 < count <= MAX_COUNT_VALUE
