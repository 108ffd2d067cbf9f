from twisted.internet.task import Clock

from limepath.logic_host import LogicHost


class Recorder:
    """A logic that notes what it is handed; `answers` are the commands of the next calls."""

    def __init__(self):
        self.handled, self.answers, self.due = [], [], None

    def handle(self, now, events):
        self.handled.append((now, events))
        if self.due is not None and self.due <= now:
            self.due = None
        answer = self.answers.pop(0) if self.answers else []
        if isinstance(answer, Exception):
            raise answer
        return answer

    def next(self):
        return self.due


class Site:
    def __init__(self, execute=None, failed=None):
        self.reactor, self.logic, self.executed, self.errors = Clock(), Recorder(), [], []
        self.host = LogicHost(
            self.reactor, self.now, self.logic, execute or self.executed.append, failed or self.errors.append
        )

    def now(self):
        return round(self.reactor.seconds() * 1e6)

    def timers(self):
        return [round(call.getTime() * 1e6) for call in self.reactor.getDelayedCalls()]


def test_events_of_one_pass_are_handled_together_and_in_order():
    site = Site()
    site.host.submit("one")
    site.host.submit("two", "three")
    assert site.logic.handled == []
    site.reactor.advance(0)
    assert site.logic.handled == [(0, ["one", "two", "three"])]
    site.host.submit("four")
    site.reactor.advance(0)
    assert site.logic.handled[1:] == [(0, ["four"])]


def test_an_event_that_a_command_brings_is_handled_in_a_pass_of_its_own():
    site = Site(execute=lambda command: site.host.submit(command))
    site.logic.answers = [["again"], []]
    site.host.submit("first")
    site.reactor.advance(0)
    assert site.logic.handled == [(0, ["first"]), (0, ["again"])]


def test_commands_are_executed_in_order_and_then_one_timer_is_armed():
    site = Site()
    site.logic.answers, site.logic.due = [["a", "b"]], 2_500_000
    site.host.submit("event")
    site.reactor.advance(0)
    assert site.executed == ["a", "b"] and site.timers() == [2_500_000]


def test_the_timer_follows_what_is_due_next():
    site = Site()
    site.logic.due = 5_000_000
    site.host.carry_out(["begun"])
    assert site.executed == ["begun"] and site.timers() == [5_000_000]
    site.logic.due = 1_000_000
    site.host.submit("sooner")
    site.reactor.advance(0)
    assert site.timers() == [1_000_000]
    site.reactor.advance(1)
    site.reactor.advance(0)
    assert site.logic.handled[-1] == (1_000_000, []) and site.timers() == []


def test_what_was_due_in_the_past_is_handled_at_once():
    site = Site()
    site.reactor.advance(3)
    site.logic.due = 1_000_000
    site.host.carry_out([])
    assert site.timers() == [3_000_000]


def test_an_error_of_the_logic_is_told_and_it_goes_on():
    site, error = Site(), ValueError("broken")
    site.logic.answers, site.logic.due = [error, ["after"]], 1_000_000
    site.host.submit("bad")
    site.reactor.advance(0)
    assert site.errors == [error] and site.timers() == [1_000_000]
    site.host.submit("good")
    site.reactor.advance(0)
    assert site.executed == ["after"]


def test_an_error_of_a_command_is_told_and_the_rest_of_the_pass_is_left_out():
    def execute(command):
        if command == "bad":
            raise OSError("no room")
        done.append(command)

    done, site = [], Site(execute=execute)
    site.logic.answers, site.logic.due = [["a", "bad", "b"]], 1_000_000
    site.host.submit("event")
    site.reactor.advance(0)
    assert done == ["a"] and [str(error) for error in site.errors] == ["no room"]
    assert site.timers() == [1_000_000]


def test_a_closed_host_handles_executes_and_times_nothing_any_more():
    def execute(command):
        done.append(command)
        if command == "last":
            site.host.close()

    done, site = [], Site(execute=execute)
    site.logic.answers, site.logic.due = [["a", "last", "b"]], 1_000_000
    site.host.submit("event")
    site.reactor.advance(0)
    assert done == ["a", "last"] and site.timers() == []
    site.host.submit("late")
    site.reactor.advance(2)
    assert len(site.logic.handled) == 1 and site.timers() == []


def test_closing_takes_back_the_timer_and_what_was_gathered():
    site = Site()
    site.logic.due = 1_000_000
    site.host.carry_out([])
    site.host.submit("gathered")
    site.host.close()
    site.reactor.advance(2)
    assert site.logic.handled == [] and site.timers() == []


def test_a_host_that_is_closed_when_it_fails_is_not_armed_again():
    site = Site(failed=lambda error: site.host.close())
    site.logic.answers, site.logic.due = [ValueError("broken")], 1_000_000
    site.host.submit("event")
    site.reactor.advance(0)
    assert site.host.closed and site.timers() == []
