"""Tests of `two_versions` without running fronts: names, check results and imported versions."""

import os
import shutil

from tests import two_versions_fleet as fleet
from tests.two_versions import Check, Scenario, table
from tests.two_versions_fleet import Name, Version


class IdleTestbed:
    """A testbed whose fronts are not started."""

    def __init__(self, folder):
        self.folder, self.seed = str(folder), 1


def scenario(folder, timeout=0.0):
    versions = Version("old", "/nowhere", True), Version("new", "/nowhere", False)
    return Scenario(IdleTestbed(folder), *versions, timeout)


def test_name_depends_on_the_version():
    name = Name("before", "after")
    names = [Version("", "", old).field(name) for old in (True, False)]
    assert names == ["before", "after"]


def test_process_imports_the_version_of_its_folder(tmp_path):
    shutil.copytree("limepath", tmp_path / "limepath", ignore=shutil.ignore_patterns("__pycache__"))
    folders = [os.path.realpath(tmp_path), os.path.realpath(".")]
    assert [Version("", folder, True).import_folder() for folder in folders] == folders


def test_failed_check_has_the_observed_value(tmp_path):
    run = scenario(tmp_path)
    run.check("something", lambda: 0)
    run.check("another", lambda: 3)
    assert [(check.passed, check.seen) for check in run.checks] == [(False, "0"), (True, "3")]
    lines = table(run.checks).splitlines()
    assert lines[0].endswith("failed  0") and lines[1].endswith("passed")


def test_check_passes_as_soon_as_its_value_is_accepted(tmp_path):
    run, seen = scenario(tmp_path, timeout=5.0), iter((0, 0, 7))
    run.check("something", lambda: next(seen))
    assert run.checks == [Check("old first", "something", True, "7")]


def test_checks_of_logs_fail_for_a_front_that_does_not_run(tmp_path):
    run = scenario(tmp_path)
    run.check_logs()
    assert len(run.checks) == fleet.FRONTS and not any(check.passed for check in run.checks)


def test_log_events_of_earlier_processes_and_other_events_are_ignored(tmp_path):
    front = scenario(tmp_path).fronts[0]
    with open(front.path("log"), "w") as log:
        log.write('{"event": "store-new"}\n{"event": "ready"}\n{"event": "store-damaged"}\n')
    front.log_offset = 1
    assert front.log_events(fleet.STORE_DISCARDED) == ['{"event": "store-damaged"}']
