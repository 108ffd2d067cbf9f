"""What `two_versions` does beside running fronts: its table of names, its verdicts, which text it runs."""

import os
import shutil

from tests import two_versions_fleet as fleet
from tests.two_versions import Check, Story, table
from tests.two_versions_fleet import Name, Text


class QuietStage:
    """A stage whose fronts are never started."""

    def __init__(self, folder):
        self.folder, self.seed = str(folder), 1


def story(folder, patience=0.0):
    texts = Text("old", "/nowhere", True), Text("new", "/nowhere", False)
    return Story(QuietStage(folder), *texts, patience)


def test_each_text_has_its_own_word_for_a_name():
    name = Name("before", "after")
    words = [Text("", "", old).word(name) for old in (True, False)]
    assert words == ["before", "after"]


def test_a_process_imports_the_text_of_its_folder(tmp_path):
    shutil.copytree("limepath", tmp_path / "limepath", ignore=shutil.ignore_patterns("__pycache__"))
    folders = [os.path.realpath(tmp_path), os.path.realpath(".")]
    assert [Text("", folder, True).imported_from() for folder in folders] == folders


def test_a_check_that_never_holds_fails_with_what_was_seen(tmp_path):
    one = story(tmp_path)
    one.check("something", lambda: 0)
    one.check("another", lambda: 3)
    assert [(check.passed, check.seen) for check in one.checks] == [(False, "0"), (True, "3")]
    lines = table(one.checks).splitlines()
    assert lines[0].endswith("failed  0") and lines[1].endswith("passed")


def test_a_check_holds_as_soon_as_what_is_looked_at_does(tmp_path):
    one, seen = story(tmp_path, patience=5.0), iter((0, 0, 7))
    one.check("something", lambda: next(seen))
    assert one.checks == [Check("old first", "something", True, "7")]


def test_a_front_that_does_not_run_has_understood_nothing(tmp_path):
    one = story(tmp_path)
    one.check_logs()
    assert len(one.checks) == fleet.FRONTS and not any(check.passed for check in one.checks)


def test_lines_of_a_former_life_and_other_events_are_not_counted(tmp_path):
    front = story(tmp_path).fronts[0]
    with open(front.path("log"), "w") as log:
        log.write('{"event": "store-new"}\n{"event": "ready"}\n{"event": "store-damaged"}\n')
    front.lines_before = 1
    assert front.logged(fleet.THROWN_AWAY) == ['{"event": "store-damaged"}']
