"""Tests of what many fronts hold back together: new connections, and counts told to a newcomer."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limepath.configuration import peers_file
from limepath.configuration.ini import SettingError
from limepath.connection_pacing.connections import Connections, rush
from limepath.discovery.simulate import most_in
from limepath.frequency_exchange.interface import (
    CARRIED,
    MOST,
    AddCounts,
    CountsRead,
    PeerMessage,
    ReadCounts,
    RequestCounts,
    RequestCountsQuery,
    SendToMember,
)
from limepath.frequency_exchange.newcomer import ANSWER_TIMEOUT, ASKED, HALF, TRIES, Newcomer
from limepath.interface.commands import ForwardRequest, RejectRequest
from limepath.interface.events import (
    AttemptEnded,
    AttemptOutcome,
    CacheStatus,
    ConnectionAvailabilityChanged,
    RequestArrived,
    RequestCountsReceived,
    RequestCountsWanted,
)
from tests.discovery_harness import PEERS
from tests.fake_host import PARENT, SECOND, FakeHost

MS = 1000


@settings(max_examples=40, deadline=None, derandomize=True)
@given(fronts=st.integers(1, 300), seed=st.integers(0, 999))
def test_however_many_fronts_start_at_once_a_member_sees_no_rush_of_connections(fronts, seed):
    chance, times = Random(seed), []
    for _ in range(fronts):
        pace = Connections(100.0, lambda: fronts, chance.random)
        pace.listed(0, [1])
        for now in range(0, 3_000_000, 10_000):  # each wants as many as it may have
            if pace.may(1, now):
                pace.took(1, now)
                times.append(now)
    assert most_in(sorted(times), 99_999) <= 28  # ten on average; by chance some more
    assert most_in(sorted(times), 999_999) <= 150


def test_a_connection_that_is_up_is_a_way_though_no_turn_is_due():
    pace = Connections(10.0, lambda: 100, lambda: 0.5)
    pace.listed(0, [1, 2])
    assert dict(pace.rooms(0)) == {1: False, 2: False} and pace.next() == 5 * SECOND
    pace.took(1, 5 * SECOND)
    pace.changed(1, 1)
    assert (
        dict(pace.rooms(5 * SECOND)) == {1: True, 2: True}
        and not pace.may(1, 14 * SECOND)
        and pace.may(1, 15 * SECOND)
    )
    pace.changed(1, 0)
    assert pace.rooms(6 * SECOND) == [(1, False)] and pace.next() == 15 * SECOND
    pace.listed(6 * SECOND, [2])
    assert pace.may(1, 6 * SECOND) and pace.next() is None  # one that has gone has no pace


def get(ident, obj=7):
    return RequestArrived(ident, 0, 0, obj, 5 * SECOND, 0.0, 0, 0, False, False)


def forwards(orders):
    return [order for order in orders if isinstance(order, ForwardRequest)]


def test_a_get_goes_to_no_cache_without_a_way_and_is_shed_at_once_where_there_is_none():
    host = FakeHost()
    home = forwards(host.hear(get(1)))[0].endpoint
    host.hear(ConnectionAvailabilityChanged(home, False))
    other = forwards(host.hear(get(2)))[0].endpoint
    assert other != home
    host.hear(ConnectionAvailabilityChanged(home, True))
    assert forwards(host.hear(get(3)))[0].endpoint == home
    host = FakeHost()
    host.hear(*(ConnectionAvailabilityChanged(cache.id, False) for cache in host.front.caches.values()))
    told = host.hear(get(4))
    assert [type(order) for order in told] == [RejectRequest] and told[0].retry_after > 0


def test_a_parent_without_a_way_from_here_is_a_fill_source_all_the_same():
    host = FakeHost()
    host.hear(
        *(
            ConnectionAvailabilityChanged(cache.id, False)
            for cache in host.front.caches.values()
            if cache.upper
        )
    )
    first = forwards(host.hear(get(1)))[0]
    told = host.hear(
        AttemptEnded(1, 0, AttemptOutcome.MISS, first.endpoint, 1000, 0, False, CacheStatus.NONE, {})
    )
    assert host.front.caches[forwards(told)[0].source].member.kind == PARENT


def test_counts_of_another_front_rank_what_this_one_has_not_counted():
    old, new, blank = FakeHost(), FakeHost(seed=8), FakeHost(seed=9)
    ident = 0
    for obj in range(1, 40):
        for _ in range(20 if obj < 4 else 1):
            ident += 1
            old.hear(get(ident, obj))
    counts = old.hear(RequestCountsWanted(10, 5))[-1]
    assert (
        counts.cookie == 5
        and {obj for obj, _, _ in counts.counts[:3]} == {1, 2, 3}
        and counts.counts[0][2] == 20
    )
    new.hear(RequestCountsReceived(counts.counts))
    ranks = []
    for host in (new, blank):
        for obj in range(50, 110):
            host.front.shelf.rank((obj, 0), 0)
        ranks.append(host.front.shelf.rank((2, 0), 0))
    assert ranks[0] == 3 > ranks[1]
    assert len(new.front.shelf.side) < 10  # what was asked for has gone from the waiting ones


def newcomer(live=(2, 3)):
    one = Newcomer(1, lambda: list(live))
    one.start(0)
    return one


def run(one, until):
    out = []
    while (due := one.next()) is not None and due <= until:
        out += one.handle(due)
    return out


def test_a_newcomer_asks_another_where_one_is_silent_or_new_itself_and_gives_up_at_last():
    one = newcomer()
    asked = [order for order in run(one, 60 * SECOND) if isinstance(order, SendToMember)]
    assert len(asked) == TRIES and all(order.message == RequestCountsQuery() for order in asked)
    one = newcomer()
    first = run(one, SECOND)[0].token
    assert not one.handle(SECOND, [PeerMessage(first, RequestCounts(0, ()))])  # as new as this one
    assert run(one, SECOND + 2 * ANSWER_TIMEOUT) and not one.done


def test_counts_are_worth_less_with_age_and_come_only_from_the_one_that_was_asked():
    one = newcomer()
    asked = run(one, SECOND)[0].token
    tally = RequestCounts(HALF, ((7, 0, 8.0),))
    assert not one.handle(SECOND, [PeerMessage(9, tally)])
    assert one.handle(SECOND, [PeerMessage(asked, tally)]) == [AddCounts(((7, 0, 4.0),))] and one.done
    assert not one.handle(SECOND, [PeerMessage(asked, tally)]) and not run(one, 60 * SECOND)


@pytest.mark.parametrize(
    "nonsense",
    [
        RequestCounts(-1, ((7, 0, 8.0),)),
        RequestCounts(0, ((7, 0, -1.0),)),
        RequestCounts(0, ((7, 0, float("nan")),)),
        RequestCounts(0, ((-7, 0, 1.0),)),
        RequestCounts(0, ((7, 0, 1.0),), 3, 2),
        RequestCounts(0, ((7, 0, 1.0),), 0, 99),
        RequestCounts(0, ((7, 0, 1.0),) * (CARRIED + 1)),
    ],
)
def test_nonsense_is_refused_whole_and_another_is_asked(nonsense):
    one = newcomer()
    asked = run(one, SECOND)[0].token
    assert not one.handle(SECOND, [PeerMessage(asked, nonsense)]) and one.counts["refused"] == 1
    assert run(one, SECOND + 2 * ANSWER_TIMEOUT)


def test_a_whole_table_is_told_in_bounded_parts_and_a_fleet_that_asks_at_once_is_held_off():
    one = newcomer()
    one.handle(0, [])
    asks = [
        order
        for token in range(300)
        for order in one.handle(10, [PeerMessage(token, RequestCountsQuery())])
        if isinstance(order, ReadCounts)
    ]
    assert len(asks) == ASKED and asks[0].most == MOST
    table = tuple((obj, 0, 2.0) for obj in range(1000))
    assert one.handle(20, [CountsRead(5, table)]) == [
        SendToMember(5, RequestCounts(0, (), 0, 1))
    ]  # it has counted nothing itself
    one.saw_get(10)
    parts = [order.message for order in one.handle(30, [CountsRead(5, table)])]
    assert (
        sum(len(part.counts) for part in parts) == MOST
        and {part.of for part in parts} == {len(parts)}
        and parts[0].age == 20
    )


def test_the_pace_wants_to_know_how_many_share_it(tmp_path):
    file = tmp_path / "peers.ini"
    file.write_text(PEERS + "[caches]\nconnections = 100\n")
    with pytest.raises(SettingError, match=r"\[caches\]: wants \[listing\]"):
        peers_file.read(file)
    file.write_text(PEERS + "[listing]\nfronts = 9\n[caches]\nconnections = 100\nready = 50\n")
    read = peers_file.read(file)
    assert read.connections == 100 and read.listing.ready == 50.0


def test_a_rush_is_three_deviations_above_the_mean():
    assert (rush(100.0, 100_000), rush(100.0, 1_000_000)) == (20, 130)


def test_a_front_connects_to_a_member_when_its_turn_has_come():
    pace = Connections(100.0, lambda: 200, lambda: 0.25)  # one in 2 s for each
    pace.listed(0, ["s-1"])
    assert not pace.may("s-1", 499_999) and pace.may("s-1", 500_000)
    assert pace.rooms(0) == [("s-1", False)] and pace.next() == 500_000
    assert pace.rooms(500_000) == [("s-1", True)] and pace.rooms(500_001) == []
    pace.took("s-1", 500_000)
    assert pace.may("s-1", 2_499_999) is False and pace.rooms(600_000) == [("s-1", False)]
    assert pace.changed("s-1", 1) is None and pace.rooms(700_000) == [("s-1", True)]
