"""Tests of the queue of calls between the parts of the decisions."""

from limepath.decisions.event_queue import EventQueue


class Recorder:
    """Puts calls that note their names, some of which put further calls."""

    def __init__(self) -> None:
        self.queue = EventQueue(seed=7)
        self.called: list[str] = []

    def note(self, name: str) -> None:
        self.called.append(name)

    def note_and_put(self, name: str, *followers: str) -> None:
        self.called.append(name)
        for follower in followers:
            self.queue.put(self.note, follower)


def test_calls_run_in_the_order_in_which_they_were_put_whatever_their_receiver():
    first = Recorder()
    second = Recorder()
    second.queue = first.queue
    second.called = first.called
    first.queue.put(first.note_and_put, "a", "a1", "a2")
    first.queue.put(second.note_and_put, "b", "b1")
    first.queue.put(first.note, "c")
    first.queue.run()
    assert first.called == ["a", "b", "c", "a1", "a2", "b1"]


def test_timers_that_are_due_run_by_due_time_then_in_the_order_in_which_they_were_put():
    recorder = Recorder()
    queue = recorder.queue
    for due, name in ((30, "late"), (10, "first"), (20, "second"), (10, "first too")):
        queue.put_at(due, recorder.note, name)
    queue.now = 20
    queue.put(recorder.note, "put before")
    queue.run()
    assert recorder.called == ["put before", "first", "first too", "second"]
    assert queue.next_due() == 30


def test_without_timers_nothing_is_due():
    assert EventQueue(seed=1).next_due() is None


def test_random_fractions_depend_on_the_seed_and_on_how_many_were_drawn():
    first, again, other = EventQueue(seed=7), EventQueue(seed=7), EventQueue(seed=8)
    drawn = [first.random_fraction() for _ in range(100)]
    assert drawn == [again.random_fraction() for _ in range(100)]
    assert drawn != [other.random_fraction() for _ in range(100)]
    assert len(set(drawn)) == 100
    assert all(0 <= fraction < 1 for fraction in drawn)
