"""Tests of the script that generates the lists of lint exceptions in pyproject.toml."""

import tomllib

import pytest

from tests import lint_ignores
from tests.lint_ignores import BEGIN, END, ToolError, array, pattern_of, settings_without_lists


@pytest.mark.parametrize(
    ("file", "pattern"),
    [
        ("limepath/front/start.py", "limepath/front/*.py"),
        ("limepath/store.py", "limepath/store.py"),
        ("tests/soak.py", "tests/soak.py"),
    ],
)
def test_a_package_has_one_entry_and_any_other_file_its_own(file, pattern):
    assert pattern_of(file) == pattern


@pytest.mark.parametrize("count", [0, 1, 5, 10, 11, 40])
def test_an_array_contains_all_strings_sorted(count):
    strings = [f"CODE{number:03}" for number in range(count, 0, -1)]
    assert tomllib.loads(f"array = {array(strings)}")["array"] == sorted(strings)


def test_the_lists_between_the_markers_are_removed():
    assert settings_without_lists(f"before\n{BEGIN}\nlists\n{END}\nafter\n") == "before\n\nafter\n"


@pytest.mark.parametrize("text", ["", BEGIN, END, f"{END}\n{BEGIN}"])
def test_settings_without_both_markers_are_refused(text):
    with pytest.raises(ToolError, match="expected both markers"):
        settings_without_lists(text)


def test_a_finding_is_listed_unless_its_rule_is_mandatory(tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)
    package = tmp_path / "limepath" / "part"
    package.mkdir(parents=True)
    (package / "__init__.py").write_text("")
    (package / "work.py").write_text("from os import *\n\nCOUNT: int = 'one'\n\ndef f(): pass\n")
    settings = '[tool.ruff.lint]\nselect = ["ANN", "F"]\n[tool.mypy]\nfiles = ["limepath"]\n'
    (tmp_path / "pyproject.toml").write_text(f"{settings}{BEGIN}\n{END}\n")
    generated = tomllib.loads(lint_ignores.lists(settings))["tool"]
    assert generated["ruff"]["lint"]["per-file-ignores"]["limepath/part/*.py"] == ["ANN201"]
    assert generated["mypy"]["overrides"] == [
        {"module": ["limepath.part.work"], "disable_error_code": ["assignment"]}
    ]


def test_a_failing_tool_raises_an_error(tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)
    (tmp_path / "pyproject.toml").write_text('[tool.ruff.lint]\nselect = ["NO-SUCH-RULE"]\n')
    with pytest.raises(ToolError, match="ruff ended with status 2"):
        lint_ignores.ruff_codes()
