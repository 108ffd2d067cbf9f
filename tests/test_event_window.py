"""Tests of limepath/discovery/event_window.py: what is kept of the events for fronts that are behind."""

import json
from collections import OrderedDict

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from limepath.discovery.event_checks import json_digest
from limepath.discovery.event_coding import decode_event, encode_event
from limepath.discovery.event_window import (
    CompactedError,
    EventWindow,
    bytes_needed,
)
from limepath.discovery.recent_purges import AgedPurge, RecentPurges, purge_target
from limepath.discovery.varint import CodingError, encode_varint, zigzag_encode

SECOND = 1_000_000
RATE = 36  # purges a second at the coming size
SPAN = 300 * SECOND  # the longest cut to be bridged
MOST_BYTES = 1_000_000
GONE_EVERYWHERE = 7_300_000
NOW_MS = 1_796_000_000_000
FORMER_COUNT = 4096  # purges that were kept before they were kept by time

repeatable = settings(deadline=None, derandomize=True)


def at_rate(number):
    """When an event of this number comes, at the coming rate."""
    return number * SECOND // RATE


def purge(seq, **target):
    target = target or {"object": f"{seq * 0x9E3779B97F4A7C15 % 2**64:016x}"}
    return {"seq": seq, "invalidate": target | {"time": NOW_MS + at_rate(seq) // 1000}}


def encoded(told):
    return encode_event(told, json.dumps(told))


def add(window, now, number):
    window.add(now, number, encoded(purge(number)), json_digest(purge(number)))


def filled(count, max_bytes=MOST_BYTES, first=1, span=SPAN):
    window = EventWindow(span, max_bytes)
    for number in range(first, first + count):
        add(window, at_rate(number), number)
    return window


def told_by(window, number):
    return [decode_event(data).body["seq"] for data in window.events_after(number)]


# The window


def test_five_minutes_of_events_at_the_coming_rate_fit_the_bound():
    assert bytes_needed(RATE, SPAN, 20) == 36 * 300 * 20 == 216_000 < MOST_BYTES
    first = 30_000_000  # numbers and times are as long as after ten days
    window = filled(RATE * 400, first=first)
    last = first + RATE * 400 - 1
    assert RATE * 300 <= len(window.events) <= RATE * 300 + 1
    assert window.bytes <= bytes_needed(RATE, SPAN, 20) + 20
    assert not window.is_cut_short(at_rate(last)) and window.evictions.count == 0
    behind = last - RATE * 300
    assert len(told_by(window, behind)) == RATE * 300  # one that hears nothing for five minutes lacks these
    assert window.oldest == behind or window.oldest == behind + 1


def test_a_count_of_512_would_reach_fourteen_seconds():
    assert at_rate(512) < 15 * SECOND < SPAN


def test_an_event_is_kept_for_the_span_and_no_longer():
    window = EventWindow(SPAN, MOST_BYTES)
    add(window, 0, 1)
    add(window, SPAN, 2)
    assert told_by(window, 0) == [1, 2]
    add(window, SPAN + 1, 3)
    assert window.oldest == 2 and 1 not in window and told_by(window, 1) == [2, 3]
    window.expire(3 * SPAN)
    assert window.oldest is None and window.newest == 3 and window.bytes == 0
    assert window.events_after(3) == ()
    with pytest.raises(CompactedError):
        window.events_after(2)


def test_numbers_follow_each_other():
    window = filled(3)
    for number in (2, 3, 5):
        with pytest.raises(ValueError):
            add(window, 0, number)
    assert told_by(window, 0) == [1, 2, 3]


def test_a_window_that_begins_anew_holds_nothing_from_before():
    window = filled(5)
    window.restart(9)
    assert window.oldest is None and window.bytes == 0 and window.events_after(9) == ()
    for number in (4, 8, 10):
        assert not window.covers(number)
    add(window, SECOND, 10)
    assert told_by(window, 9) == [10]


def test_an_empty_window_covers_nothing():
    window = EventWindow(SPAN, MOST_BYTES)
    assert window.oldest is None and not window.covers(0)
    with pytest.raises(CompactedError):
        window.events_after(0)


def test_one_that_is_ahead_is_told_nothing():
    with pytest.raises(CompactedError):
        filled(3).events_after(4)


def test_a_digest_is_told_as_long_as_its_event_is_held():
    window = filled(3)
    assert window.digest(2) == json_digest(purge(2)) and window.digest(4) is None
    window.restart(3)
    assert window.digest(2) is None


def test_what_lacks_is_told_in_portions_of_one_event_at_the_least():
    window = filled(100)
    size = len(encoded(purge(1)))
    assert len(window.events_after(0, 10 * size + 1)) == 10
    assert len(window.events_after(0, 1)) == 1
    assert window.events_after(0, 10**9) == window.events_after(0)


def test_the_bound_in_bytes_is_told_when_it_cuts_the_span_short():
    size = len(encoded(purge(1)))
    window = EventWindow(SPAN, 10 * size)
    for number in range(1, 11):
        add(window, at_rate(number), number)
    assert not window.is_cut_short(at_rate(10))
    add(window, at_rate(11), 11)
    assert window.is_cut_short(at_rate(11)) and window.oldest == 2 and window.evictions.count == 1
    assert window.is_cut_short(at_rate(1) + SPAN)  # so long number 1 should have been held
    assert not window.is_cut_short(at_rate(1) + SPAN + 1)


def test_an_event_that_has_to_go_for_its_age_does_not_count_as_cut():
    size = len(encoded(purge(1)))
    window = EventWindow(SPAN, size)
    add(window, 0, 1)
    add(window, SPAN + 1, 2)
    assert told_by(window, 1) == [2] and not window.is_cut_short(SPAN + 1)


def test_an_event_over_the_bound_leaves_an_empty_window_that_says_so():
    window = EventWindow(SPAN, 10)
    add(window, 0, 1)
    assert window.oldest is None and window.bytes == 0 and window.is_cut_short(0)
    assert window.events_after(1) == () and not window.covers(0)


class WindowMachine(RuleBasedStateMachine):
    """A window beside a plain list of all events."""

    def __init__(self):
        super().__init__()
        self.now, self.number, self.most = 0, 0, 300
        self.window, self.all = EventWindow(50, self.most), []

    @rule(later=st.integers(0, 20), length=st.integers(1, 120))
    def add(self, later, length):
        self.now += later
        self.number += 1
        data = bytes(length)
        self.all.append((self.now, self.number, data))
        self.window.add(self.now, self.number, data, self.number)

    @rule(later=st.integers(0, 60))
    def expire(self, later):
        self.now += later
        self.window.expire(self.now)

    @precondition(lambda self: self.number)
    @rule(later=st.integers(0, 5))
    def restart(self, later):
        self.number += later
        self.window.restart(self.number)
        self.all = []

    @invariant()
    def holds_the_latest_unbroken(self):
        window = self.window
        held = list(window.events)
        assert held == list(range(self.number - len(held) + 1, self.number + 1))
        assert window.oldest == (held[0] if held else None)
        assert window.bytes == sum(len(one.encoded) for one in window.events.values()) <= self.most
        young = [number for at, number, data in self.all if self.now - at <= 50]
        missing = [number for number in young if number not in window]
        assert not missing or window.is_cut_short(self.now)
        for number in range(max(0, self.number - 5), self.number):
            if window.covers(number):
                assert len(window.events_after(number)) == self.number - number
        if self.number:
            assert window.events_after(self.number) == ()


TestWindowMachine = WindowMachine.TestCase
TestWindowMachine.settings = settings(deadline=None, derandomize=True, max_examples=60)


# The purges


def add_purge(purges, now, told, age=0):
    purges.add(now, told, json.dumps(told), age)


def numbers_of(purges):
    return [told["seq"] for told in purges.values()]


def test_no_purge_is_forgotten_before_its_copies_are_gone_at_a_front_that_was_behind_by_the_span():
    """A front hears of each purge a span late; until its copies are gone there, one that asks is told."""
    purges = RecentPurges(GONE_EVERYWHERE, SPAN, MOST_BYTES)
    former = OrderedDict()
    forgotten_by_count = 0
    matter = OrderedDict()  # purges whose copies are not gone at the front that is behind
    for number in range(1, RATE * 700):
        now = at_rate(number)
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
    assert not purges.is_cut_short(at_rate(RATE * 700))
    assert forgotten_by_count > RATE * 500
    assert at_rate(FORMER_COUNT) < 114 * SECOND < SPAN + GONE_EVERYWHERE


def test_the_purges_that_matter_at_the_coming_rate_fit_the_bound():
    assert bytes_needed(RATE, SPAN + GONE_EVERYWHERE, 20) < MOST_BYTES / 4


def test_a_purge_is_kept_to_the_microsecond():
    purges = RecentPurges(GONE_EVERYWHERE, SPAN, MOST_BYTES)
    add_purge(purges, 0, purge(1))
    assert purges.retained(GONE_EVERYWHERE + SPAN) == (
        AgedPurge(1, GONE_EVERYWHERE + SPAN, encoded(purge(1))),
    )
    assert purges.retained(GONE_EVERYWHERE + SPAN + 1) == () and purges.bytes == 0


def test_a_later_purge_of_the_same_takes_the_place_of_the_former():
    purges = RecentPurges(10, 100, MOST_BYTES)
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
    kept_by = RecentPurges(GONE_EVERYWHERE, SPAN, MOST_BYTES)
    add_purge(kept_by, 0, purge(1))
    now, handed_on = 0, 0
    while kept_by.retained(now + step) and handed_on < 20:
        now += step
        following = RecentPurges(GONE_EVERYWHERE, SPAN, MOST_BYTES)
        for kept in kept_by.retained(now):
            following.add_aged(now, kept)
        kept_by = following
        handed_on += 1
    assert handed_on == 3 and now == SPAN


def test_a_purge_that_comes_too_old_is_not_taken_in():
    purges = RecentPurges(10, 100, MOST_BYTES)
    purges.add_aged(0, AgedPurge(1, 111, encoded(purge(1))))
    assert not purges and purges.bytes == 0
    purges.add_aged(0, AgedPurge(1, 110, encoded(purge(1))))
    assert numbers_of(purges) == [1]


@repeatable
@given(st.lists(st.tuples(st.integers(0, 200), st.integers(0, 150), st.integers(0, 9)), max_size=40))
def test_in_whatever_order_they_come_what_is_told_on_matters_and_all_that_matters_is(comings):
    purges = RecentPurges(10, 100, MOST_BYTES)
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
        add_purge(purges, at_rate(number), purge(number))
    assert not purges.is_cut_short(at_rate(10))
    add_purge(purges, at_rate(11), purge(11))
    assert purges.is_cut_short(at_rate(11)) and numbers_of(purges) == list(range(2, 12))
    assert purges.bytes <= 10 * size and purges.evictions.count == 1
    end = at_rate(1) + GONE_EVERYWHERE + SPAN
    assert purges.is_cut_short(end) and not purges.is_cut_short(end + 1)


def test_what_is_forgotten_for_its_age_does_not_count_as_cut():
    purges = RecentPurges(GONE_EVERYWHERE, SPAN, MOST_BYTES)
    add_purge(purges, 0, purge(1))
    add_purge(purges, 2 * SPAN, purge(2))
    assert numbers_of(purges) == [2] and purges.evictions.count == 0


def test_what_is_no_purge_or_no_event_is_refused():
    purges = RecentPurges(GONE_EVERYWHERE, SPAN, MOST_BYTES)
    other = encoded(purge(2))
    for data in (b"", b"\xff", encoded({"seq": 1, "fleet": {"members": []}}), encoded({"seq": 1}), other):
        with pytest.raises(CodingError):
            purges.add_aged(0, AgedPurge(1, 0, data))
    assert not purges


def test_all_are_forgotten_with_their_list():
    purges = RecentPurges(GONE_EVERYWHERE, SPAN, MOST_BYTES)
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
    purges, now = RecentPurges(10, 100, MOST_BYTES), start
    for seq, (since, age) in enumerate(comings):
        now += since // 10
        add_purge(purges, now, purge(seq), age)
    image = purges.image(now)
    again = RecentPurges(10, 100, MOST_BYTES)
    again.load(later, image)  # its clock begins anew
    assert again.retained(later) == purges.retained(now)


def test_saved_purges_that_are_damaged_are_not_taken_in():
    purges = RecentPurges(GONE_EVERYWHERE, SPAN, MOST_BYTES)
    for number in range(1, 5):
        add_purge(purges, at_rate(number), purge(number))
    image = purges.image(at_rate(4))
    fleet = encoded({"seq": 5, "fleet": {"members": []}})
    whole = RecentPurges(GONE_EVERYWHERE, SPAN, MOST_BYTES)
    whole.load(0, image)
    assert numbers_of(whole) == [1, 2, 3, 4]
    record = purges.purges[purge_target(purge(4))].record
    for spoilt in (
        b"",
        image[:-1],
        image + b"\0",
        image + encode_varint(0) + encode_varint(len(fleet)) + fleet,
        encode_varint(zigzag_encode(at_rate(4) - 1)) + record,  # accepted after it was saved
    ):
        other = RecentPurges(GONE_EVERYWHERE, SPAN, MOST_BYTES)
        with pytest.raises(CodingError):
            other.load(0, spoilt)
        assert not other


@repeatable
@given(st.binary(max_size=80))
def test_any_saved_bytes_are_purges_or_a_typed_error(data):
    purges = RecentPurges(GONE_EVERYWHERE, SPAN, MOST_BYTES)
    try:
        purges.load(0, data)
    except CodingError:
        assert not purges


def test_an_object_is_the_same_however_its_number_is_written():
    names = ("ff", "FF", "0x00ff", "00000000000000ff")
    assert len({purge_target(purge(1, object=name)) for name in names}) == 1
    assert purge_target(purge(1, object="11")) != purge_target(purge(1, bucket=17))
