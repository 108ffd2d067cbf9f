"""Checks that files named in docs/architecture.md and tests named in docs/terms-audit.md exist."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
ARCHITECTURE, AUDIT = ROOT / "docs/architecture.md", ROOT / "docs/terms-audit.md"
MAX_LINES = 200
CODE = re.compile(r"`([^`\n]+)`")
# The path of a file or folder, with or without `limepath/`: `store.py`, `front/start.py`, `discovery/`.
FILE = re.compile(r"(?<![\w/.-])((?:[a-z_]+/)*[a-z_]+\.(?:py|ini|toml|md)|(?:[a-z_]+/)+)(?![\w/])")

# A test file, a test after its file, or a test of the last file named in the same line.
TEST = re.compile(r"\b(?:(test_\w+)::)?(test_\w+)")


def paths_named(text: str) -> set[str]:
    """Return the paths in backticks and in diagrams, which are lines indented by four spaces."""
    diagrams = [line for line in text.splitlines() if line.startswith("    ")]
    return {path for part in [*CODE.findall(text), *diagrams] for path in FILE.findall(part)}


def exists(path: str, root: Path = ROOT) -> bool:
    """Whether a path exists below limepath/ or below the root.

    Paths in `decisions/` count as existing as long as that package does not exist.
    """
    if path.startswith("decisions/") and not (root / "limepath/decisions").is_dir():
        return True
    return (root / "limepath" / path).exists() or (root / path).exists()


def test_each_file_on_the_architecture_page_exists():
    named = paths_named(ARCHITECTURE.read_text(encoding="utf-8"))
    assert len(named) > 50, "expected more than 50 paths in backticks or diagrams"
    missing = sorted(path for path in named if not exists(path))
    assert not missing, f"docs/architecture.md names paths that do not exist: {missing}"


def test_the_architecture_page_names_each_package():
    named = {path.split("/")[0] for path in paths_named(ARCHITECTURE.read_text(encoding="utf-8"))}
    packages = {path.parent.name for path in (ROOT / "limepath").glob("*/__init__.py")}
    assert packages <= named


def test_the_architecture_page_is_limited_in_length():
    assert len(ARCHITECTURE.read_text(encoding="utf-8").splitlines()) < MAX_LINES


@pytest.mark.parametrize(
    ("text", "paths"),
    [
        ("`store.py` and `front/start.py`, or `discovery/`", {"store.py", "front/start.py", "discovery/"}),
        ("    a ─> front/turn.py ─> decisions/engine.py", {"front/turn.py", "decisions/engine.py"}),
        ("`limepath run`, `handle(now, events)`, `[listing]`, `a/b`", set()),
        ("a word, and front/start.py without backticks", set()),
    ],
)
def test_paths_are_found_in_backticks_and_diagrams(text, paths):
    assert paths_named(text) == paths


def test_a_missing_path_is_detected(tmp_path):
    (tmp_path / "limepath/decisions").mkdir(parents=True)
    (tmp_path / "limepath/store.py").write_text("")
    assert exists("store.py", tmp_path)
    assert not exists("stores.py", tmp_path)
    assert not exists("decisions/engine.py", tmp_path)


def names_by_file(folder: Path) -> dict[str, set[str]]:
    """Return the names of the tests of each test file, by the file's name."""
    return {
        path.stem: {
            node.name
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8")))
            if isinstance(node, ast.FunctionDef) and node.name.startswith("test_")
        }
        for path in folder.glob("test_*.py")
    }


def missing_tests(text: str, tests: dict[str, set[str]]) -> list[str]:
    """Return the tests that a page names but that do not exist, each as "line: file::name"."""
    missing = []
    for number, line in enumerate(text.splitlines(), 1):
        file = ""
        for named_file, name in TEST.findall(line):
            file = named_file or (name if name in tests else file)
            is_file = not named_file and name in tests
            known = tests.get(file, set()) if file else set().union(*tests.values())
            if not is_file and name not in known:
                missing.append(f"{number}: {file}::{name}")
    return missing


def test_each_test_in_the_audit_exists():
    text = AUDIT.read_text(encoding="utf-8")
    assert len(TEST.findall(text)) > 100, "expected more than 100 names of tests"
    assert missing_tests(text, names_by_file(ROOT / "tests")) == []


@pytest.mark.parametrize(
    ("line", "missing"),
    [
        ("test_front::test_a, test_b", []),
        ("test_front (all)", []),
        ("`test_tls::test_c`, test_front::test_a, `test_b`", []),
        ("test_a alone", []),
        ("test_front::test_c", ["1: test_front::test_c"]),
        ("test_front::test_a, test_c", ["1: test_front::test_c"]),
        ("test_gone::test_a", ["1: test_gone::test_a"]),
        ("test_gone (all)", ["1: ::test_gone"]),
    ],
)
def test_a_missing_test_is_detected(line, missing):
    assert missing_tests(line, {"test_front": {"test_a", "test_b"}, "test_tls": {"test_c"}}) == missing
