"""Tests of the exchange of request counts: their use at a new front, and bounds of queries and answers."""

import pytest

from limepath.frequency_exchange.exchange import (
    ANSWER_TIMEOUT,
    HALF_WEIGHT_AGE,
    MAX_ANSWERS_PER_SECOND,
    MAX_QUERIES,
    RequestCountsExchange,
)
from limepath.frequency_exchange.interface import (
    COUNTS_PER_MESSAGE,
    MAX_COUNTS,
    AddCounts,
    CountsRead,
    PeerMessage,
    ReadCounts,
    RequestCounts,
    RequestCountsQuery,
    SendToMember,
)
from limepath.interface.events import RequestArrived, RequestCountsReceived, RequestCountsWanted
from tests.fake_host import SECOND, FakeHost


def get(ident, obj=7):
    return RequestArrived(ident, 0, 0, obj, 5 * SECOND, 0.0, 0, 0, False, False)


def test_counts_of_another_front_rank_objects_that_a_new_front_has_not_counted():
    old, new, blank = FakeHost(), FakeHost(seed=8), FakeHost(seed=9)
    ident = 0
    for obj in range(1, 40):
        for _ in range(20 if obj < 4 else 1):
            ident += 1
            old.handle(get(ident, obj))
    counts = old.handle(RequestCountsWanted(10, 5))[-1]
    assert (
        counts.cookie == 5
        and {obj for obj, _, _ in counts.counts[:3]} == {1, 2, 3}
        and counts.counts[0][2] == 20
    )
    new.handle(RequestCountsReceived(counts.counts))
    ranks = []
    for host in (new, blank):
        for obj in range(50, 110):
            host.front.frequency_table.count_request((obj, 0), 0)
        ranks.append(host.front.frequency_table.count_request((2, 0), 0))
    assert ranks[0] == 3 > ranks[1]
    assert len(new.front.frequency_table.history) < 10  # requested objects have left the history


def new_front(live=(2, 3)):
    exchange = RequestCountsExchange(1, lambda: list(live))
    exchange.start(0)
    return exchange


def run(exchange, until):
    out = []
    while (due := exchange.next()) is not None and due <= until:
        out += exchange.handle(due)
    return out


def test_a_new_front_queries_others_if_one_does_not_answer_or_is_new_and_gives_up_after_four():
    exchange = new_front()
    queried = [command for command in run(exchange, 60 * SECOND) if isinstance(command, SendToMember)]
    assert len(queried) == MAX_QUERIES and all(command.message == RequestCountsQuery() for command in queried)
    exchange = new_front()
    first = run(exchange, SECOND)[0].token
    assert not exchange.handle(
        SECOND, [PeerMessage(first, RequestCounts(0, ()))]
    )  # the other front is new too
    assert run(exchange, SECOND + 2 * ANSWER_TIMEOUT) and not exchange.complete


def test_counts_weigh_less_with_age_and_are_accepted_only_from_the_queried_front():
    exchange = new_front()
    queried = run(exchange, SECOND)[0].token
    counts = RequestCounts(HALF_WEIGHT_AGE, ((7, 0, 8.0),))
    assert not exchange.handle(SECOND, [PeerMessage(9, counts)])
    assert (
        exchange.handle(SECOND, [PeerMessage(queried, counts)]) == [AddCounts(((7, 0, 4.0),))]
        and exchange.complete
    )
    assert not exchange.handle(SECOND, [PeerMessage(queried, counts)]) and not run(exchange, 60 * SECOND)


@pytest.mark.parametrize(
    "invalid",
    [
        RequestCounts(-1, ((7, 0, 8.0),)),
        RequestCounts(0, ((7, 0, -1.0),)),
        RequestCounts(0, ((7, 0, float("nan")),)),
        RequestCounts(0, ((-7, 0, 1.0),)),
        RequestCounts(0, ((7, 0, 1.0),), 3, 2),
        RequestCounts(0, ((7, 0, 1.0),), 0, 99),
        RequestCounts(0, ((7, 0, 1.0),) * (COUNTS_PER_MESSAGE + 1)),
    ],
)
def test_a_message_out_of_bounds_is_rejected_and_another_front_is_queried(invalid):
    exchange = new_front()
    queried = run(exchange, SECOND)[0].token
    assert (
        not exchange.handle(SECOND, [PeerMessage(queried, invalid)])
        and exchange.statistics.messages_rejected == 1
    )
    assert run(exchange, SECOND + 2 * ANSWER_TIMEOUT)


def test_a_table_is_sent_in_bounded_chunks_and_answers_per_second_are_limited():
    exchange = new_front()
    exchange.handle(0, [])
    reads = [
        command
        for token in range(300)
        for command in exchange.handle(10, [PeerMessage(token, RequestCountsQuery())])
        if isinstance(command, ReadCounts)
    ]
    assert len(reads) == MAX_ANSWERS_PER_SECOND and reads[0].most == MAX_COUNTS
    table = tuple((obj, 0, 2.0) for obj in range(1000))
    assert exchange.handle(20, [CountsRead(5, table)]) == [
        SendToMember(5, RequestCounts(0, (), 0, 1))
    ]  # a new front sends no counts
    exchange.record_request(10)
    chunks = [command.message for command in exchange.handle(30, [CountsRead(5, table)])]
    assert (
        sum(len(chunk.counts) for chunk in chunks) == MAX_COUNTS
        and {chunk.chunks for chunk in chunks} == {len(chunks)}
        and chunks[0].age == 20
    )
