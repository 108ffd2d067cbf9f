"""Tests of limepath/discovery/recent_purges.py: purges are kept until no old copy is left."""

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

GONE_EVERYWHERE = 7_300_000


FORMER_COUNT = 4096  # purges that were kept before they were kept by time


def add_purge(purges, now, told, age=0):
    purges.add(now, told, json.dumps(told), age)


def numbers_of(purges):
    return [told["seq"] for told in purges.values()]


def test_no_purge_is_forgotten_before_its_copies_are_gone_at_a_front_that_was_behind_by_the_span():
    """A front hears of each purge a span late; until its copies are gone there, one that asks is told."""
    purges = RecentPurges(GONE_EVERYWHERE, SPAN, MAX_BYTES)
    former = OrderedDict()
    forgotten_by_count = 0
    matter = OrderedDict()  # purges whose copies are not gone at the front that is behind
    for number in range(1, RATE * 700):
        now = arrival_time(number)
        add_purge(purges, now, purge(number))
        matter[number] = now + SPAN + GONE_EVERYWHERE
        former[number] = True
        if len(former) > FORMER_COUNT:
            former.popitem(last=False)
        while next(iter(matter.values())) < now:
            matter.popitem(last=False)
        oldest = next(iter(matter))
        assert purge(oldest) in purges  # they are forgotten in order, so all later ones are held as well
        forgotten_by_count += oldest not in former
        if number % 5000 == 0:
            assert set(matter) <= set(numbers_of(purges))
    assert not purges.is_cut_short(arrival_time(RATE * 700))
    assert forgotten_by_count > RATE * 500
    assert arrival_time(FORMER_COUNT) < 114 * SECOND < SPAN + GONE_EVERYWHERE


def test_the_purges_that_matter_at_the_coming_rate_fit_the_bound():
    assert bytes_needed(RATE, SPAN + GONE_EVERYWHERE, 20) < MAX_BYTES / 4


def test_a_purge_is_kept_to_the_microsecond():
    purges = RecentPurges(GONE_EVERYWHERE, SPAN, MAX_BYTES)
    add_purge(purges, 0, purge(1))
    assert purges.retained(GONE_EVERYWHERE + SPAN) == (
        AgedPurge(1, GONE_EVERYWHERE + SPAN, encoded(purge(1))),
    )
    assert purges.retained(GONE_EVERYWHERE + SPAN + 1) == () and purges.bytes == 0


def test_a_later_purge_of_the_same_takes_the_place_of_the_former():
    purges = RecentPurges(10, 100, MAX_BYTES)
    add_purge(purges, 0, purge(1, object="00000000000000ff"))
    add_purge(purges, 1, purge(2, bucket=0xFF))
    add_purge(purges, 60, purge(3, object="FF"))
    assert numbers_of(purges) == [2, 3]
    assert purges.bytes == sum(len(encoded(told)) for told in purges.values())
    add_purge(purges, 61, purge(1, object="00000000000000ff"))  # an older one comes late
    assert numbers_of(purges) == [2, 3]
    assert [kept.age for kept in purges.retained(170)] == [110]


def test_ages_go_along_so_that_restarts_do_not_keep_a_purge_for_ever():
    """Each front hears all from the one before, shortly before that one forgets."""
    step = 100 * SECOND
    kept_by = RecentPurges(GONE_EVERYWHERE, SPAN, MAX_BYTES)
    add_purge(kept_by, 0, purge(1))
    now, handed_on = 0, 0
    while kept_by.retained(now + step) and handed_on < 20:
        now += step
        following = RecentPurges(GONE_EVERYWHERE, SPAN, MAX_BYTES)
        for kept in kept_by.retained(now):
            following.add_aged(now, kept)
        kept_by = following
        handed_on += 1
    assert handed_on == 3 and now == SPAN


def test_a_purge_that_comes_too_old_is_not_taken_in():
    purges = RecentPurges(10, 100, MAX_BYTES)
    purges.add_aged(0, AgedPurge(1, 111, encoded(purge(1))))
    assert not purges and purges.bytes == 0
    purges.add_aged(0, AgedPurge(1, 110, encoded(purge(1))))
    assert numbers_of(purges) == [1]


@repeatable
@given(st.lists(st.tuples(st.integers(0, 200), st.integers(0, 150), st.integers(0, 9)), max_size=40))
def test_in_whatever_order_they_come_what_is_told_on_matters_and_all_that_matters_is(comings):
    purges = RecentPurges(10, 100, MAX_BYTES)
    latest = {}
    now = 0
    for seq, (later, age, bucket) in enumerate(comings):
        now += later // 10
        add_purge(purges, now, purge(seq, bucket=bucket), age)
        if age <= 110:
            latest[bucket] = now - age, seq
    expected = sorted(seq for accepted, seq in latest.values() if now - accepted <= 110)
    assert sorted(kept.number for kept in purges.retained(now)) == expected
    assert all(kept.age <= 110 for kept in purges.retained(now))


def test_the_bound_in_bytes_is_told_when_it_makes_a_purge_be_forgotten():
    size = len(encoded(purge(1)))
    purges = RecentPurges(GONE_EVERYWHERE, SPAN, 10 * size)
    for number in range(1, 11):
        add_purge(purges, arrival_time(number), purge(number))
    assert not purges.is_cut_short(arrival_time(10))
    add_purge(purges, arrival_time(11), purge(11))
    assert purges.is_cut_short(arrival_time(11)) and numbers_of(purges) == list(range(2, 12))
    assert purges.bytes <= 10 * size and purges.evictions.count == 1
    end = arrival_time(1) + GONE_EVERYWHERE + SPAN
    assert purges.is_cut_short(end) and not purges.is_cut_short(end + 1)


def test_what_is_forgotten_for_its_age_does_not_count_as_cut():
    purges = RecentPurges(GONE_EVERYWHERE, SPAN, MAX_BYTES)
    add_purge(purges, 0, purge(1))
    add_purge(purges, 2 * SPAN, purge(2))
    assert numbers_of(purges) == [2] and purges.evictions.count == 0


def test_what_is_no_purge_or_no_event_is_refused():
    purges = RecentPurges(GONE_EVERYWHERE, SPAN, MAX_BYTES)
    other = encoded(purge(2))
    for data in (b"", b"\xff", encoded({"seq": 1, "fleet": {"members": []}}), encoded({"seq": 1}), other):
        with pytest.raises(CodingError):
            purges.add_aged(0, AgedPurge(1, 0, data))
    assert not purges


def test_all_are_forgotten_with_their_list():
    purges = RecentPurges(GONE_EVERYWHERE, SPAN, MAX_BYTES)
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
def test_saved_purges_come_back_with_their_ages_in_another_life(comings, start, later):
    purges, now = RecentPurges(10, 100, MAX_BYTES), start
    for seq, (since, age) in enumerate(comings):
        now += since // 10
        add_purge(purges, now, purge(seq), age)
    image = purges.image(now)
    again = RecentPurges(10, 100, MAX_BYTES)
    again.load(later, image)  # its clock begins anew
    assert again.retained(later) == purges.retained(now)


def test_saved_purges_that_are_damaged_are_not_taken_in():
    purges = RecentPurges(GONE_EVERYWHERE, SPAN, MAX_BYTES)
    for number in range(1, 5):
        add_purge(purges, arrival_time(number), purge(number))
    image = purges.image(arrival_time(4))
    fleet = encoded({"seq": 5, "fleet": {"members": []}})
    whole = RecentPurges(GONE_EVERYWHERE, SPAN, MAX_BYTES)
    whole.load(0, image)
    assert numbers_of(whole) == [1, 2, 3, 4]
    record = purges.purges[purge_target(purge(4))].record
    for spoilt in (
        b"",
        image[:-1],
        image + b"\0",
        image + encode_varint(0) + encode_varint(len(fleet)) + fleet,
        encode_varint(zigzag_encode(arrival_time(4) - 1)) + record,  # accepted after it was saved
    ):
        other = RecentPurges(GONE_EVERYWHERE, SPAN, MAX_BYTES)
        with pytest.raises(CodingError):
            other.load(0, spoilt)
        assert not other


@repeatable
@given(st.binary(max_size=80))
def test_any_saved_bytes_are_purges_or_a_typed_error(data):
    purges = RecentPurges(GONE_EVERYWHERE, SPAN, MAX_BYTES)
    try:
        purges.load(0, data)
    except CodingError:
        assert not purges


def test_an_object_is_the_same_however_its_number_is_written():
    names = ("ff", "FF", "0x00ff", "00000000000000ff")
    assert len({purge_target(purge(1, object=name)) for name in names}) == 1
    assert purge_target(purge(1, object="11")) != purge_target(purge(1, bucket=17))
