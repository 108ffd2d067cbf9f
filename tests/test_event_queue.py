"""Tests of the queue of calls between the components of the decision engine."""

from limepath.decisions.event_queue import EventQueue


class Recorder:
    """Records the names of its calls; some calls put further calls into the queue."""

    def __init__(self) -> None:
        self.queue = EventQueue(seed=7)
        self.recorded: list[str] = []

    def record(self, name: str) -> None:
        self.recorded.append(name)

    def record_and_put(self, name: str, *followers: str) -> None:
        self.recorded.append(name)
        for follower in followers:
            self.queue.put(self.record, follower)


def test_calls_to_all_receivers_run_in_the_order_in_which_they_were_put():
    first = Recorder()
    second = Recorder()
    second.queue = first.queue
    second.recorded = first.recorded
    first.queue.put(first.record_and_put, "a", "a1", "a2")
    first.queue.put(second.record_and_put, "b", "b1")
    first.queue.put(first.record, "c")
    first.queue.run()
    assert first.recorded == ["a", "b", "c", "a1", "a2", "b1"]


def test_timers_that_are_due_run_by_due_time_then_in_the_order_in_which_they_were_put():
    recorder = Recorder()
    queue = recorder.queue
    for due, name in ((30, "late"), (10, "first"), (20, "second"), (10, "first too")):
        queue.put_at(due, recorder.record, name)
    queue.now = 20
    queue.put(recorder.record, "put before")
    queue.run()
    assert recorder.recorded == ["put before", "first", "first too", "second"]
    assert queue.next_due() == 30


def test_without_timers_nothing_is_due():
    assert EventQueue(seed=1).next_due() is None


def test_random_fractions_depend_on_the_seed_and_on_how_many_were_drawn():
    first, same_seed, other_seed = EventQueue(seed=7), EventQueue(seed=7), EventQueue(seed=8)
    fractions = [first.random_fraction() for _ in range(100)]
    assert fractions == [same_seed.random_fraction() for _ in range(100)]
    assert fractions != [other_seed.random_fraction() for _ in range(100)]
    assert len(set(fractions)) == 100
    assert all(0 <= fraction < 1 for fraction in fractions)
