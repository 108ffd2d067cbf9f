"""Tests of tests.faulty_system: the signal to read new faults may arrive at any line of a failing call."""

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


def raised_errors(call):
    """Return a list with the errno that `call` raises, or an empty list."""
    try:
        call()
    except OSError as error:
        return [error.errno]
    return []


def call_with_signal_at(line, call):
    """Run `call` and raise SIGUSR1 just before its `line`-th executed line.

    Return the errors raised, and whether that many lines were executed.
    """
    line_count, before = 0, sys.gettrace()

    def trace(_, event, __):
        nonlocal line_count
        if event == "line":
            line_count += 1
            if line_count == line:
                signal.raise_signal(signal.SIGUSR1)
        return trace

    sys.settrace(trace)
    try:
        errors = raised_errors(call)
    finally:
        sys.settrace(before)
    return errors, line_count >= line


def test_new_faults_apply_wherever_their_signal_interrupts_a_failing_call(control, faults):
    line, reached = 0, True
    while reached:
        line += 1
        control.write_text(json.dumps(ONGOING))
        faults.read()
        applied, counted = faults.applied, faults.done.get("accept", 0)
        control.write_text(json.dumps({"fail": {}}))
        errors, reached = call_with_signal_at(line, lambda: faults.fail_call("accept"))
        if reached:
            assert errors in ([], [errno.ENFILE]), line
            counts = json.loads(control.with_name("faults.json.done").read_text())
            assert counts["applied"] == applied + 1, line
            assert counts.get("accept", 0) == counted + len(errors), line
            assert raised_errors(lambda: faults.fail_call("accept")) == [], line
    assert line > 20, f"the signal was raised at only {line} lines"
