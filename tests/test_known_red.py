"""Tests of the list of known failures, in separate pytest runs."""

import pytest

TESTS = """
def test_good(): pass
def test_bad(): assert 1 == 2
def test_worse(): assert 1 == 3
"""


@pytest.fixture
def run(pytester, request, monkeypatch):
    """Return a function that runs TESTS with a list and returns (exit status, output)."""

    def run(text, *arguments):
        pytester.makeini("[pytest]\ntestpaths = inner")
        pytester.mkdir("inner")
        pytester.path.joinpath("inner/test_inner.py").write_text(TESTS)
        if text is not None:
            pytester.path.joinpath("KNOWN-RED.txt").write_text(text)
        result = pytester.runpytest_subprocess("-p", "tests.known_red", *arguments)
        return result.ret, result.stdout.str() + result.stderr.str()

    monkeypatch.setenv("PYTHONPATH", str(request.config.rootpath))
    return run


BAD, WORSE = (
    "inner/test_inner.py::test_bad | pytest inner, no seed | one is not two | 18",
    "inner/test_inner.py::test_worse | python -m tests.soak 17 17, seed 17 | nor three | 19",
)


def test_failing_listed_tests_are_printed_and_do_not_fail_the_run(run):
    status, output = run(f"{BAD}\n\n{WORSE}\n")
    assert (
        status == 0
        and f"KNOWN RED {BAD}" in output
        and f"KNOWN RED {WORSE}" in output
        and "1 passed, 2 xfailed" in output
    )


@pytest.mark.parametrize(
    ("third", "exit_status", "expected"),
    [
        ("", 0, "1 passed, 2 xfailed"),
        ("inner/test_inner.py::test_good | pytest inner, no seed | none | 20", 1, "test_good passes"),
        (
            "inner/test_inner.py::test_gone | pytest inner, no seed | moved | 18",
            4,
            "test does not exist: inner/test_inner.py::test_gone",
        ),
    ],
)
def test_list_has_the_same_effect_with_several_processes(run, third, exit_status, expected):
    status, output = run(f"{BAD}\n{WORSE}\n{third}", "-n", "2")
    assert status == exit_status and expected in output
    assert exit_status == 4 or f"KNOWN RED {BAD}" in output and f"KNOWN RED {WORSE}" in output


def test_failure_of_an_unlisted_test_fails_the_run(run):
    status, output = run(BAD)
    assert status == 1 and "1 failed, 1 passed, 1 xfailed" in output


@pytest.mark.parametrize("text", [None, "", "\n"])
def test_missing_or_empty_list_has_no_effect(run, text):
    status, output = run(text)
    assert status == 1 and "2 failed, 1 passed" in output and "KNOWN RED" not in output


def test_passing_listed_test_fails_the_run(run):
    status, output = run(
        f"{BAD}\n{WORSE}\ninner/test_inner.py::test_good | pytest inner, no seed | none | 20"
    )
    assert status == 1 and "test_good passes" in output


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (
            f"{BAD}\ninner/test_inner.py::test_gone | pytest inner, no seed | moved | 18",
            "test does not exist: inner/test_inner.py::test_gone",
        ),
        ("inner/test_inner.py::test_bad | pytest inner, no seed | no issue", "KNOWN-RED.txt:1"),
        ("inner/test_inner.py::test_bad | cause | 18", "KNOWN-RED.txt:1"),  # the former form
        ("test_bad | pytest inner, no seed | cause | 18", "KNOWN-RED.txt:1"),
        ("inner/test_inner.py::test_bad | pytest inner | the command has none | 18", "KNOWN-RED.txt:1"),
        ("inner/test_inner.py::test_bad | pytest inner, no seed | no number | later", "KNOWN-RED.txt:1"),
        ("inner/test_inner.py::test_bad | pytest inner, no seed |  | 18", "KNOWN-RED.txt:1"),
        (f"{BAD}\n{BAD}", "KNOWN-RED.txt:2"),
        (
            "\n".join(f"inner/test_inner.py::test_{i} | pytest inner, no seed | c | 1" for i in range(4)),
            "4 tests listed",
        ),
    ],
)
def test_invalid_list_fails_the_run(run, text, expected):
    status, output = run(text)
    assert status not in (0, 1, 5) and expected in output


def test_selected_part_of_the_tests_need_not_include_listed_ones(run):
    status, output = run(f"{BAD}\n{WORSE}", "-k", "bad")
    assert status == 0 and "KNOWN RED" in output
