"""Tests of limepath/discovery/recent_purges.py: purges are kept until no purged copy remains."""

import json
from collections import OrderedDict

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limepath.discovery.event_window import (
    bytes_needed,
)
from limepath.discovery.recent_purges import AgedPurge, RecentPurges, purge_target
from limepath.discovery.varint import CodingError, encode_varint, zigzag_encode
from tests.event_samples import MAX_BYTES, RATE, SECOND, SPAN, arrival_time, encoded, purge, repeatable

COPY_LIFETIME_US = 7_300_000


COUNT_LIMIT = 4096  # number of purges kept by a limit on their count, for comparison


def add_purge(purges, now, event, age=0):
    purges.add(now, event, json.dumps(event), age)


def numbers_of(purges):
    return [event["seq"] for event in purges.values()]


def test_purges_are_kept_until_their_copies_are_gone_at_a_front_behind_by_the_span():
    """A front that receives each purge one span late can still get it until its own copies are gone.

    A limit on the number of purges, which was used before, drops purges too early at this rate.
    """
    purges = RecentPurges(COPY_LIFETIME_US, SPAN, MAX_BYTES)
    kept_by_count = OrderedDict()
    dropped_by_count = 0
    relevant = OrderedDict()  # purges whose copies may remain at the front that is behind
    for number in range(1, RATE * 700):
        now = arrival_time(number)
        add_purge(purges, now, purge(number))
        relevant[number] = now + SPAN + COPY_LIFETIME_US
        kept_by_count[number] = True
        if len(kept_by_count) > COUNT_LIMIT:
            kept_by_count.popitem(last=False)
        while next(iter(relevant.values())) < now:
            relevant.popitem(last=False)
        oldest = next(iter(relevant))
        assert purge(oldest) in purges  # purges are dropped in order, so all later ones are kept as well
        dropped_by_count += oldest not in kept_by_count
        if number % 5000 == 0:
            assert set(relevant) <= set(numbers_of(purges))
    assert not purges.is_cut_short(arrival_time(RATE * 700))
    assert dropped_by_count > RATE * 500
    assert arrival_time(COUNT_LIMIT) < 114 * SECOND < SPAN + COPY_LIFETIME_US


def test_the_relevant_purges_of_the_largest_fleet_fit_the_size_limit():
    assert bytes_needed(RATE, SPAN + COPY_LIFETIME_US, 20) < MAX_BYTES / 4


def test_a_purge_expires_after_exactly_its_retention():
    purges = RecentPurges(COPY_LIFETIME_US, SPAN, MAX_BYTES)
    add_purge(purges, 0, purge(1))
    assert purges.retained(COPY_LIFETIME_US + SPAN) == (
        AgedPurge(1, COPY_LIFETIME_US + SPAN, encoded(purge(1))),
    )
    assert purges.retained(COPY_LIFETIME_US + SPAN + 1) == () and purges.bytes == 0


def test_a_later_purge_of_the_same_target_replaces_the_previous_one():
    purges = RecentPurges(10, 100, MAX_BYTES)
    add_purge(purges, 0, purge(1, object="00000000000000ff"))
    add_purge(purges, 1, purge(2, bucket=0xFF))
    add_purge(purges, 60, purge(3, object="FF"))
    assert numbers_of(purges) == [2, 3]
    assert purges.bytes == sum(len(encoded(event)) for event in purges.values())
    add_purge(purges, 61, purge(1, object="00000000000000ff"))  # an older purge arrives late
    assert numbers_of(purges) == [2, 3]
    assert [aged.age for aged in purges.retained(170)] == [110]


def test_transferring_a_purge_between_fronts_does_not_extend_its_retention():
    """Each front gets the purges of the previous one shortly before that one drops them.

    If ages were not transferred, restarts of fronts would keep a purge forever.
    """
    step = 100 * SECOND
    current = RecentPurges(COPY_LIFETIME_US, SPAN, MAX_BYTES)
    add_purge(current, 0, purge(1))
    now, transfers = 0, 0
    while current.retained(now + step) and transfers < 20:
        now += step
        following = RecentPurges(COPY_LIFETIME_US, SPAN, MAX_BYTES)
        for aged in current.retained(now):
            following.add_aged(now, aged)
        current = following
        transfers += 1
    assert transfers == 3 and now == SPAN


def test_a_purge_that_is_too_old_is_not_added():
    purges = RecentPurges(10, 100, MAX_BYTES)
    purges.add_aged(0, AgedPurge(1, 111, encoded(purge(1))))
    assert not purges and purges.bytes == 0
    purges.add_aged(0, AgedPurge(1, 110, encoded(purge(1))))
    assert numbers_of(purges) == [1]


@repeatable
@given(st.lists(st.tuples(st.integers(0, 200), st.integers(0, 150), st.integers(0, 9)), max_size=40))
def test_exactly_the_relevant_purges_are_retained_whatever_their_order(arrivals):
    purges = RecentPurges(10, 100, MAX_BYTES)
    latest = {}
    now = 0
    for seq, (delay, age, bucket) in enumerate(arrivals):
        now += delay // 10
        add_purge(purges, now, purge(seq, bucket=bucket), age)
        if age <= 110:
            latest[bucket] = now - age, seq
    expected = sorted(seq for accepted, seq in latest.values() if now - accepted <= 110)
    assert sorted(aged.number for aged in purges.retained(now)) == expected
    assert all(aged.age <= 110 for aged in purges.retained(now))


def test_an_early_eviction_by_the_size_limit_is_reported():
    size = len(encoded(purge(1)))
    purges = RecentPurges(COPY_LIFETIME_US, SPAN, 10 * size)
    for number in range(1, 11):
        add_purge(purges, arrival_time(number), purge(number))
    assert not purges.is_cut_short(arrival_time(10))
    add_purge(purges, arrival_time(11), purge(11))
    assert purges.is_cut_short(arrival_time(11)) and numbers_of(purges) == list(range(2, 12))
    assert purges.bytes <= 10 * size and purges.evictions.count == 1
    end = arrival_time(1) + COPY_LIFETIME_US + SPAN
    assert purges.is_cut_short(end) and not purges.is_cut_short(end + 1)


def test_expired_purges_do_not_count_as_evictions():
    purges = RecentPurges(COPY_LIFETIME_US, SPAN, MAX_BYTES)
    add_purge(purges, 0, purge(1))
    add_purge(purges, 2 * SPAN, purge(2))
    assert numbers_of(purges) == [2] and purges.evictions.count == 0


def test_data_that_is_not_the_purge_of_that_number_is_refused():
    purges = RecentPurges(COPY_LIFETIME_US, SPAN, MAX_BYTES)
    other = encoded(purge(2))
    for data in (b"", b"\xff", encoded({"seq": 1, "fleet": {"members": []}}), encoded({"seq": 1}), other):
        with pytest.raises(CodingError):
            purges.add_aged(0, AgedPurge(1, 0, data))
    assert not purges


def test_clear_drops_all_purges():
    purges = RecentPurges(COPY_LIFETIME_US, SPAN, MAX_BYTES)
    add_purge(purges, 0, purge(7))
    purges.clear()
    assert not purges and purges.bytes == 0
    add_purge(purges, 0, purge(3))
    assert numbers_of(purges) == [3]


@repeatable
@given(
    st.lists(st.tuples(st.integers(0, 99), st.integers(0, 150)), max_size=20),
    st.integers(-99, 99),
    st.integers(0, 99),
)
def test_saved_purges_are_loaded_with_their_ages_after_a_restart(arrivals, start, restarted_at):
    purges, now = RecentPurges(10, 100, MAX_BYTES), start
    for seq, (delay, age) in enumerate(arrivals):
        now += delay // 10
        add_purge(purges, now, purge(seq), age)
    image = purges.image(now)
    loaded = RecentPurges(10, 100, MAX_BYTES)
    loaded.load(restarted_at, image)  # the clock starts anew with the process
    assert loaded.retained(restarted_at) == purges.retained(now)


def test_damaged_saved_purges_are_not_loaded():
    purges = RecentPurges(COPY_LIFETIME_US, SPAN, MAX_BYTES)
    for number in range(1, 5):
        add_purge(purges, arrival_time(number), purge(number))
    image = purges.image(arrival_time(4))
    fleet = encoded({"seq": 5, "fleet": {"members": []}})
    intact = RecentPurges(COPY_LIFETIME_US, SPAN, MAX_BYTES)
    intact.load(0, image)
    assert numbers_of(intact) == [1, 2, 3, 4]
    record = purges.purges[purge_target(purge(4))].record
    for damaged in (
        b"",
        image[:-1],
        image + b"\0",
        image + encode_varint(0) + encode_varint(len(fleet)) + fleet,
        encode_varint(zigzag_encode(arrival_time(4) - 1)) + record,  # accepted after it was saved
    ):
        other = RecentPurges(COPY_LIFETIME_US, SPAN, MAX_BYTES)
        with pytest.raises(CodingError):
            other.load(0, damaged)
        assert not other


@repeatable
@given(st.binary(max_size=80))
def test_loading_arbitrary_bytes_raises_only_coding_errors(data):
    purges = RecentPurges(COPY_LIFETIME_US, SPAN, MAX_BYTES)
    try:
        purges.load(0, data)
    except CodingError:
        assert not purges


def test_all_notations_of_an_object_number_have_the_same_target():
    names = ("ff", "FF", "0x00ff", "00000000000000ff")
    assert len({purge_target(purge(1, object=name)) for name in names}) == 1
    assert purge_target(purge(1, object="11")) != purge_target(purge(1, bucket=17))
