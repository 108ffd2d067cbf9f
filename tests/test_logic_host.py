"""Tests of `limepath.logic_host`: batches of events, execution of commands, errors and the timer."""

from twisted.internet.task import Clock

from limepath.logic_host import LogicHost


class RecordingLogic:
    """Fake logic that records calls of `handle`; `results` are the commands or errors of the next calls."""

    def __init__(self):
        self.handled = []
        self.results = []
        self.due = None

    def handle(self, now, events):
        self.handled.append((now, events))
        if self.due is not None and self.due <= now:
            self.due = None
        result = self.results.pop(0) if self.results else []
        if isinstance(result, Exception):
            raise result
        return result

    def next(self):
        return self.due


class LogicHostFixture:
    """Fixture with a LogicHost on a virtual clock, its fake logic, and the executed commands and errors."""

    def __init__(self, execute=None, on_error=None):
        self.reactor = Clock()
        self.logic = RecordingLogic()
        self.executed = []
        self.errors = []
        self.host = LogicHost(
            self.reactor,
            self.now,
            self.logic,
            execute or self.executed.append,
            on_error or self.errors.append,
        )

    def now(self):
        return round(self.reactor.seconds() * 1e6)

    def timers(self):
        return [round(call.getTime() * 1e6) for call in self.reactor.getDelayedCalls()]


def test_events_of_one_iteration_are_handled_together_and_in_order():
    fixture = LogicHostFixture()
    fixture.host.submit("one")
    fixture.host.submit("two", "three")
    assert fixture.logic.handled == []
    fixture.reactor.advance(0)
    assert fixture.logic.handled == [(0, ["one", "two", "three"])]
    fixture.host.submit("four")
    fixture.reactor.advance(0)
    assert fixture.logic.handled[1:] == [(0, ["four"])]


def test_an_event_submitted_by_a_command_is_handled_in_the_next_iteration():
    fixture = LogicHostFixture(execute=lambda command: fixture.host.submit(command))
    fixture.logic.results = [["again"], []]
    fixture.host.submit("first")
    fixture.reactor.advance(0)
    assert fixture.logic.handled == [(0, ["first"]), (0, ["again"])]


def test_commands_are_executed_in_order_and_then_one_timer_is_armed():
    fixture = LogicHostFixture()
    fixture.logic.results, fixture.logic.due = [["a", "b"]], 2_500_000
    fixture.host.submit("event")
    fixture.reactor.advance(0)
    assert fixture.executed == ["a", "b"] and fixture.timers() == [2_500_000]


def test_the_timer_is_armed_for_the_next_due_time():
    fixture = LogicHostFixture()
    fixture.logic.due = 5_000_000
    fixture.host.carry_out(["begun"])
    assert fixture.executed == ["begun"] and fixture.timers() == [5_000_000]
    fixture.logic.due = 1_000_000
    fixture.host.submit("sooner")
    fixture.reactor.advance(0)
    assert fixture.timers() == [1_000_000]
    fixture.reactor.advance(1)
    fixture.reactor.advance(0)
    assert fixture.logic.handled[-1] == (1_000_000, []) and fixture.timers() == []


def test_a_due_time_in_the_past_is_handled_in_the_next_iteration():
    fixture = LogicHostFixture()
    fixture.reactor.advance(3)
    fixture.logic.due = 1_000_000
    fixture.host.carry_out([])
    assert fixture.timers() == [3_000_000]


def test_an_error_of_the_logic_is_reported_and_the_logic_keeps_running():
    fixture, error = LogicHostFixture(), ValueError("broken")
    fixture.logic.results, fixture.logic.due = [error, ["after"]], 1_000_000
    fixture.host.submit("bad")
    fixture.reactor.advance(0)
    assert fixture.errors == [error] and fixture.timers() == [1_000_000]
    fixture.host.submit("good")
    fixture.reactor.advance(0)
    assert fixture.executed == ["after"]


def test_an_error_of_a_command_is_reported_and_the_remaining_commands_are_dropped():
    def execute(command):
        if command == "bad":
            raise OSError("no room")
        executed.append(command)

    executed, fixture = [], LogicHostFixture(execute=execute)
    fixture.logic.results, fixture.logic.due = [["a", "bad", "b"]], 1_000_000
    fixture.host.submit("event")
    fixture.reactor.advance(0)
    assert executed == ["a"] and [str(error) for error in fixture.errors] == ["no room"]
    assert fixture.timers() == [1_000_000]


def test_a_closed_host_handles_and_executes_nothing_and_has_no_timer():
    def execute(command):
        executed.append(command)
        if command == "last":
            fixture.host.close()

    executed, fixture = [], LogicHostFixture(execute=execute)
    fixture.logic.results, fixture.logic.due = [["a", "last", "b"]], 1_000_000
    fixture.host.submit("event")
    fixture.reactor.advance(0)
    assert executed == ["a", "last"] and fixture.timers() == []
    fixture.host.submit("late")
    fixture.reactor.advance(2)
    assert len(fixture.logic.handled) == 1 and fixture.timers() == []


def test_closing_cancels_the_timer_and_drops_submitted_events():
    fixture = LogicHostFixture()
    fixture.logic.due = 1_000_000
    fixture.host.carry_out([])
    fixture.host.submit("gathered")
    fixture.host.close()
    fixture.reactor.advance(2)
    assert fixture.logic.handled == [] and fixture.timers() == []


def test_a_host_closed_by_its_error_callback_is_not_armed_again():
    fixture = LogicHostFixture(on_error=lambda error: fixture.host.close())
    fixture.logic.results, fixture.logic.due = [ValueError("broken")], 1_000_000
    fixture.host.submit("event")
    fixture.reactor.advance(0)
    assert fixture.host.closed and fixture.timers() == []
