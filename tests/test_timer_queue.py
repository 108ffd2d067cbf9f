"""Timers run in order of their time; what is drawn depends on the seed alone."""

import pytest

from limepath.hashing import mix64
from limepath.timer_queue import TimerQueue


def test_mix64_is_a_function_that_maps_different_numbers_apart():
    assert mix64(1) == mix64(1) != mix64(2)


def test_what_is_due_runs_in_order_of_its_time_and_then_as_scheduled():
    timers, run = TimerQueue(seed=1), []
    timers.schedule(20, run.append, "later")
    timers.schedule(10, run.append, "first")
    timers.schedule(10, run.append, "second")
    timers.schedule(30, run.append, "not yet")
    timers.run_due(20)
    assert run == ["first", "second", "later"] and timers.next_due() == 30


@pytest.mark.parametrize("count", [2, 9, 50])
def test_a_sample_has_distinct_items_and_the_same_for_the_same_seed(count):
    drawn = TimerQueue(seed=5).sample(range(10), count)
    assert len(set(drawn)) == len(drawn) == min(count, 10)
    assert drawn == TimerQueue(seed=5).sample(range(10), count)


def test_commands_are_taken_once():
    timers = TimerQueue(seed=1)
    timers.emit("probe")
    assert timers.take_commands() == ["probe"] and timers.take_commands() == []
