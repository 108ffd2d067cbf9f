"""Tests of the timer queue: order of callbacks, seeded random numbers, pending commands."""

import pytest

from limepath.hashing import mix64
from limepath.timer_queue import TimerQueue


def test_mix64_is_deterministic_and_maps_different_numbers_to_different_values():
    assert mix64(1) == mix64(1) != mix64(2)


def test_due_callbacks_run_by_time_and_then_in_scheduling_order():
    timers, called = TimerQueue(seed=1), []
    timers.schedule(20, called.append, "later")
    timers.schedule(10, called.append, "first")
    timers.schedule(10, called.append, "second")
    timers.schedule(30, called.append, "not yet")
    timers.run_due(20)
    assert called == ["first", "second", "later"] and timers.next_due() == 30


@pytest.mark.parametrize("count", [2, 9, 50])
def test_a_sample_has_distinct_items_that_depend_only_on_the_seed(count):
    sample = TimerQueue(seed=5).sample(range(10), count)
    assert len(set(sample)) == len(sample) == min(count, 10)
    assert sample == TimerQueue(seed=5).sample(range(10), count)


def test_commands_are_taken_once():
    timers = TimerQueue(seed=1)
    timers.emit("probe")
    assert timers.take_commands() == ["probe"] and timers.take_commands() == []
