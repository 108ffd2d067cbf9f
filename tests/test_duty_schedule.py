"""The schedule of a duty: spread of rounds, missed rounds and changes of owner."""

from itertools import pairwise

from limepath.configuration.sharing_settings import DutyMode, DutySettings
from limepath.duties.interface import (
    ServeTarget,
)
from limepath.duties.schedule import DutySchedule, ServePermission
from limepath.timer_queue import TimerQueue

SECOND = 1_000_000


def make_schedule(seed=1, interval=4 * SECOND):
    timers = TimerQueue(seed)
    return timers, DutySchedule(
        timers,
        0,
        DutySettings("probe", DutyMode.AT_LEAST_ONCE, interval),
        lambda target: ServePermission(0, 0),
    )


def run_and_collect_rounds(timers, span, step=10_000):
    rounds, end = [], timers.now + span
    while timers.now < end:
        timers.run_due(timers.now + step)
        rounds += [
            (timers.now, command.target)
            for command in timers.take_commands()
            if isinstance(command, ServeTarget)
        ]
    return rounds


def test_rounds_are_spread_over_the_interval_and_missed_rounds_not_made_up_at_once():
    timers, schedule = make_schedule()
    schedule.set_owned(range(200))
    first_rounds = run_and_collect_rounds(timers, 4 * SECOND)
    assert sorted(target for _, target in first_rounds) == list(range(200))
    halves = [sum(at <= 2 * SECOND for at, _ in first_rounds), sum(at > 2 * SECOND for at, _ in first_rounds)]
    assert min(halves) > 60
    timers.run_due(timers.now + 30 * SECOND)  # the instance was suspended
    assert timers.take_commands() == []
    later_rounds = run_and_collect_rounds(timers, 2 * SECOND)
    assert (
        len(later_rounds) == 200
        and len([at for at, _ in later_rounds if at < timers.now - 1.9 * SECOND]) < 40
    )


def test_a_target_served_by_another_is_due_an_interval_later_and_is_served_despite_owner_changes():
    timers, schedule = make_schedule()
    timers.run_due(10 * SECOND)
    schedule.record_served(7, 9 * SECOND)
    schedule.set_owned([7])
    assert run_and_collect_rounds(timers, 6 * SECOND)[0][0] == 13 * SECOND
    timers, schedule = make_schedule()
    schedule.set_owned([7])
    rounds = []
    for _ in range(40):  # the target is owned for half a second of each second
        rounds += run_and_collect_rounds(timers, SECOND // 2)
        schedule.set_owned([])
        timers.run_due(timers.now + SECOND // 2)
        schedule.set_owned([7])
    times = [at for at, _ in rounds]
    assert len(times) >= 4 and max(b - a for a, b in pairwise(times)) <= 10 * SECOND
