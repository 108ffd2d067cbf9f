"""Which front a new one asks for request counts, what it accepts, and what it sends others. Free of I/O.

Times are whole microseconds.
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
FIRST_QUERY_DELAY = 500_000  # from the start; the delay is drawn between this and twice this
ANSWER_TIMEOUT = 1_000_000
MAX_QUERIES = 4  # fronts that are asked in all
HALF_WEIGHT_AGE = 600_000_000  # age at which a count weighs half
MAX_AGE = 6 * HALF_WEIGHT_AGE
MAX_ANSWERS_PER_SECOND = 64  # each one datagram to six
MAX_CHUNKS = -(-MAX_COUNTS // COUNTS_PER_MESSAGE)  # rounded up

Event = PeerMessage | CountsRead
Command = SendToMember | ReadCounts | AddCounts


@dataclass
class Statistics:
    """What was exchanged since the start."""

    queries_sent: int = 0
    counts_received: int = 0
    counts_sent: int = 0
    messages_rejected: int = 0

    def as_view(self) -> dict[str, int]:
        """Return the numbers under the names that the control socket shows them by."""
        return {
            "asked": self.queries_sent,
            "learnt": self.counts_received,
            "told": self.counts_sent,
            "refused": self.messages_rejected,
        }


class RequestCountsExchange:
    """Asks for request counts once after a start, and answers others that ask.

    Attributes:
        timers: the timer queue and the commands to be returned.
        live_members: returns the tokens of the other live fronts.
        queried: the token of the front that is being asked, or None.
        queries: how many were asked so far.
        received_chunks: numbers of the chunks that came from `queried`.
        complete: whether all chunks of one front have come.
        last_request_at: when this front last counted a request, or None.
        answer_second: the second in which `answers` were given.
        answers: how many queries came in that second.
        statistics: what was exchanged since the start.
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
        """Do what is due and handle events; return the commands in their order."""
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
        """Note that this front has counted a request itself."""
        self.last_request_at = now

    # Asking

    def _send_query(self) -> None:
        """Ask one live front, and another after ANSWER_TIMEOUT. A view without others uses up no query."""
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
        """Take a chunk from the front that was asked; chunks that are lost are not asked for again.

        One out of bounds is rejected as a whole, and nothing more is taken from its sender.
        """
        if token != self.queried or self.complete:
            return
        if not is_within_bounds(message):
            self.statistics.messages_rejected += 1
            self.queried = None
            return
        if not message.counts:  # the other front is new too
            return
        if message.chunk in self.received_chunks:
            return
        self.received_chunks.add(message.chunk)
        self.complete = len(self.received_chunks) == message.chunks
        weight = 0.5 ** (message.age / HALF_WEIGHT_AGE)
        self.statistics.counts_received += len(message.counts)
        self.timers.emit(AddCounts(tuple((obj, part, count * weight) for obj, part, count in message.counts)))

    # Answering

    def _handle_query(self, token: int) -> None:
        """Answer at most MAX_ANSWERS_PER_SECOND, however many fronts of a fleet start at once."""
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
    """Return whether a chunk's age, numbers and counts are possible."""
    return (
        0 <= message.age <= MAX_AGE
        and 0 <= message.chunk < message.chunks <= MAX_CHUNKS
        and len(message.counts) <= COUNTS_PER_MESSAGE
        and all(map(is_count_within_bounds, message.counts))
    )


def is_count_within_bounds(entry: ObjectCount) -> bool:
    """Return whether one count is possible."""
    obj, part, count = entry
    return obj >= 0 and part >= 0 and 0 < count <= MAX_COUNT_VALUE
