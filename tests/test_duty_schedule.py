"""The schedule of a duty: spread of rounds, missed rounds and changes of owner."""

from itertools import pairwise

from limepath.configuration.sharing_settings import DutyMode, DutySettings
from limepath.duties.interface import (
    ServeTarget,
)
from limepath.duties.schedule import DutySchedule, ServePermission
from limepath.timer_queue import TimerQueue

SECOND = 1_000_000


def schedule_of(seed=1, interval=4 * SECOND):
    timers = TimerQueue(seed)
    return timers, DutySchedule(
        timers,
        0,
        DutySettings("probe", DutyMode.AT_LEAST_ONCE, interval),
        lambda target: ServePermission(0, 0),
    )


def served(timers, span, step=10_000):
    rounds, end = [], timers.now + span
    while timers.now < end:
        timers.run_due(timers.now + step)
        rounds += [
            (timers.now, command.target)
            for command in timers.take_commands()
            if isinstance(command, ServeTarget)
        ]
    return rounds


def test_rounds_of_an_interval_are_spread_and_missed_ones_not_made_up_at_once():
    timers, schedule = schedule_of()
    schedule.set_owned(range(200))
    first = served(timers, 4 * SECOND)
    assert sorted(target for _, target in first) == list(range(200))
    halves = [sum(at <= 2 * SECOND for at, _ in first), sum(at > 2 * SECOND for at, _ in first)]
    assert min(halves) > 60
    timers.run_due(timers.now + 30 * SECOND)  # the instance was suspended
    assert timers.take_commands() == []
    after = served(timers, 2 * SECOND)
    assert len(after) == 200 and len([at for at, _ in after if at < timers.now - 1.9 * SECOND]) < 40


def test_a_target_served_by_another_is_due_an_interval_later_and_one_that_changes_owners_is_served():
    timers, schedule = schedule_of()
    timers.run_due(10 * SECOND)
    schedule.record_served(7, 9 * SECOND)
    schedule.set_owned([7])
    assert served(timers, 6 * SECOND)[0][0] == 13 * SECOND
    timers, schedule = schedule_of()
    schedule.set_owned([7])
    rounds = []
    for _ in range(40):  # owned for half a second at a time
        rounds += served(timers, SECOND // 2)
        schedule.set_owned([])
        timers.run_due(timers.now + SECOND // 2)
        schedule.set_owned([7])
    times = [at for at, _ in rounds]
    assert len(times) >= 4 and max(b - a for a, b in pairwise(times)) <= 10 * SECOND
