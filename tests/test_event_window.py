"""Tests of limepath/discovery/event_window.py: the latest events, for subscribers that are behind."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from limepath.discovery.event_checks import json_digest
from limepath.discovery.event_coding import decode_event
from limepath.discovery.event_window import (
    CompactedError,
    EventWindow,
    bytes_needed,
)
from tests.event_samples import MOST_BYTES, RATE, SECOND, SPAN, at_rate, encoded, purge


def add(window, now, number):
    window.add(now, number, encoded(purge(number)), json_digest(purge(number)))


def filled(count, max_bytes=MOST_BYTES, first=1, span=SPAN):
    window = EventWindow(span, max_bytes)
    for number in range(first, first + count):
        add(window, at_rate(number), number)
    return window


def told_by(window, number):
    return [decode_event(data).body["seq"] for data in window.events_after(number)]


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
