"""The faults of tests.faulty_system: a signal to read new ones may come at any line of one that happens."""

import errno
import json
import signal
import sys

import pytest

from tests.faulty_system import Faults

ONGOING = {"fail": {"accept": ["ENFILE", 10**9]}}


@pytest.fixture
def control(tmp_path):
    return tmp_path / "faults.json"


@pytest.fixture
def faults(control):
    control.write_text(json.dumps(ONGOING))
    faults = Faults(str(control))
    before = signal.signal(signal.SIGUSR1, faults.read)
    yield faults
    signal.signal(signal.SIGUSR1, before)


def errors_of(act):
    """The numbers of the errors that this raises: one or none."""
    try:
        act()
    except OSError as error:
        return [error.errno]
    return []


def with_signal_at(line, act):
    """Act, and have a SIGUSR1 come just before this line of all that Python runs for it; give the errors, and
    whether it ran so many lines.
    """
    passed, before = 0, sys.gettrace()

    def trace(_, event, __):
        nonlocal passed
        if event == "line":
            passed += 1
            if passed == line:
                signal.raise_signal(signal.SIGUSR1)
        return trace

    sys.settrace(trace)
    try:
        errors = errors_of(act)
    finally:
        sys.settrace(before)
    return errors, passed >= line


def test_new_faults_are_in_force_wherever_their_signal_meets_one_that_takes_effect(control, faults):
    line, reached = 0, True
    while reached:
        line += 1
        control.write_text(json.dumps(ONGOING))
        faults.read()
        applied, counted = faults.applied, faults.done.get("accept", 0)
        control.write_text(json.dumps({"fail": {}}))
        errors, reached = with_signal_at(line, lambda: faults.happens("accept"))
        if reached:
            assert errors in ([], [errno.ENFILE]), line
            told = json.loads(control.with_name("faults.json.done").read_text())
            assert told["applied"] == applied + 1, line
            assert told.get("accept", 0) == counted + len(errors), line
            assert errors_of(lambda: faults.happens("accept")) == [], line
    assert line > 20, "the signal met too few lines"
