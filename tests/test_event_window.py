"""Tests of limepath/discovery/event_window.py: the window of recent events."""

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
from tests.event_samples import MAX_BYTES, RATE, SECOND, SPAN, arrival_time, encoded, purge


def add(window, now, number):
    window.add(now, number, encoded(purge(number)), json_digest(purge(number)))


def filled_window(count, max_bytes=MAX_BYTES, first=1, span=SPAN):
    window = EventWindow(span, max_bytes)
    for number in range(first, first + count):
        add(window, arrival_time(number), number)
    return window


def numbers_after(window, number):
    return [decode_event(data).body["seq"] for data in window.events_after(number)]


def test_five_minutes_of_events_of_the_largest_fleet_fit_the_size_limit():
    assert bytes_needed(RATE, SPAN, 20) == 36 * 300 * 20 == 216_000 < MAX_BYTES
    first = 30_000_000  # so that numbers and times are encoded as long as after ten days
    window = filled_window(RATE * 400, first=first)
    last = first + RATE * 400 - 1
    assert RATE * 300 <= len(window.events) <= RATE * 300 + 1
    assert window.bytes <= bytes_needed(RATE, SPAN, 20) + 20
    assert not window.is_cut_short(arrival_time(last)) and window.evictions.count == 0
    behind = last - RATE * 300  # the last event of a front that has been cut off for five minutes
    assert len(numbers_after(window, behind)) == RATE * 300
    assert window.oldest == behind or window.oldest == behind + 1


def test_a_limit_of_512_events_would_cover_less_than_fifteen_seconds():
    assert arrival_time(512) < 15 * SECOND < SPAN


def test_an_event_is_kept_for_the_span_and_no_longer():
    window = EventWindow(SPAN, MAX_BYTES)
    add(window, 0, 1)
    add(window, SPAN, 2)
    assert numbers_after(window, 0) == [1, 2]
    add(window, SPAN + 1, 3)
    assert window.oldest == 2 and 1 not in window and numbers_after(window, 1) == [2, 3]
    window.expire(3 * SPAN)
    assert window.oldest is None and window.newest == 3 and window.bytes == 0
    assert window.events_after(3) == ()
    with pytest.raises(CompactedError):
        window.events_after(2)


def test_a_number_that_does_not_follow_the_last_one_is_rejected():
    window = filled_window(3)
    for number in (2, 3, 5):
        with pytest.raises(ValueError):
            add(window, 0, number)
    assert numbers_after(window, 0) == [1, 2, 3]


def test_a_restarted_window_holds_no_earlier_events():
    window = filled_window(5)
    window.restart(9)
    assert window.oldest is None and window.bytes == 0 and window.events_after(9) == ()
    for number in (4, 8, 10):
        assert not window.covers(number)
    add(window, SECOND, 10)
    assert numbers_after(window, 9) == [10]


def test_an_empty_window_covers_nothing():
    window = EventWindow(SPAN, MAX_BYTES)
    assert window.oldest is None and not window.covers(0)
    with pytest.raises(CompactedError):
        window.events_after(0)


def test_events_after_a_number_ahead_of_the_window_are_not_available():
    with pytest.raises(CompactedError):
        filled_window(3).events_after(4)


def test_a_digest_is_available_as_long_as_its_event_is_kept():
    window = filled_window(3)
    assert window.digest(2) == json_digest(purge(2)) and window.digest(4) is None
    window.restart(3)
    assert window.digest(2) is None


def test_missing_events_are_returned_in_portions_of_at_least_one_event():
    window = filled_window(100)
    size = len(encoded(purge(1)))
    assert len(window.events_after(0, 10 * size + 1)) == 10
    assert len(window.events_after(0, 1)) == 1
    assert window.events_after(0, 10**9) == window.events_after(0)


def test_an_early_eviction_by_the_size_limit_is_reported():
    size = len(encoded(purge(1)))
    window = EventWindow(SPAN, 10 * size)
    for number in range(1, 11):
        add(window, arrival_time(number), number)
    assert not window.is_cut_short(arrival_time(10))
    add(window, arrival_time(11), 11)
    assert window.is_cut_short(arrival_time(11)) and window.oldest == 2 and window.evictions.count == 1
    assert window.is_cut_short(arrival_time(1) + SPAN)  # event 1 should have been kept until then
    assert not window.is_cut_short(arrival_time(1) + SPAN + 1)


def test_an_expired_event_does_not_count_as_evicted_early():
    size = len(encoded(purge(1)))
    window = EventWindow(SPAN, size)
    add(window, 0, 1)
    add(window, SPAN + 1, 2)
    assert numbers_after(window, 1) == [2] and not window.is_cut_short(SPAN + 1)


def test_an_event_over_the_size_limit_leaves_an_empty_window_and_is_reported():
    window = EventWindow(SPAN, 10)
    add(window, 0, 1)
    assert window.oldest is None and window.bytes == 0 and window.is_cut_short(0)
    assert window.events_after(1) == () and not window.covers(0)


class WindowMachine(RuleBasedStateMachine):
    """Compares a window with a plain list of all events."""

    def __init__(self):
        super().__init__()
        self.now, self.number, self.max_bytes = 0, 0, 300
        self.window, self.all = EventWindow(50, self.max_bytes), []

    @rule(elapsed=st.integers(0, 20), length=st.integers(1, 120))
    def add(self, elapsed, length):
        self.now += elapsed
        self.number += 1
        data = bytes(length)
        self.all.append((self.now, self.number, data))
        self.window.add(self.now, self.number, data, self.number)

    @rule(elapsed=st.integers(0, 60))
    def expire(self, elapsed):
        self.now += elapsed
        self.window.expire(self.now)

    @precondition(lambda self: self.number)
    @rule(skipped=st.integers(0, 5))
    def restart(self, skipped):
        self.number += skipped
        self.window.restart(self.number)
        self.all = []

    @invariant()
    def holds_the_latest_events_without_gaps(self):
        window = self.window
        numbers = list(window.events)
        assert numbers == list(range(self.number - len(numbers) + 1, self.number + 1))
        assert window.oldest == (numbers[0] if numbers else None)
        assert window.bytes == sum(len(event.encoded) for event in window.events.values()) <= self.max_bytes
        recent = [number for at, number, data in self.all if self.now - at <= 50]
        missing = [number for number in recent if number not in window]
        assert not missing or window.is_cut_short(self.now)
        for number in range(max(0, self.number - 5), self.number):
            if window.covers(number):
                assert len(window.events_after(number)) == self.number - number
        if self.number:
            assert window.events_after(self.number) == ()


TestWindowMachine = WindowMachine.TestCase


TestWindowMachine.settings = settings(deadline=None, derandomize=True, max_examples=60)
