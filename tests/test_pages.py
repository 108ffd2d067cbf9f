"""What the pages name exists: files of the program on the architecture page, tests in the audit's table."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
ARCHITECTURE, AUDIT = ROOT / "docs/architecture.md", ROOT / "docs/terms-audit.md"
MOST_LINES = 200
CODE = re.compile(r"`([^`\n]+)`")
# A path of a file or folder: `store.py`, `front/start.py`, `discovery/`, also with `limepath/` before it.
FILE = re.compile(r"(?<![\w/.-])((?:[a-z_]+/)*[a-z_]+\.(?:py|ini|toml|md)|(?:[a-z_]+/)+)(?![\w/])")


def paths_named(text: str) -> set[str]:
    """Return the paths in backticks and in drawings, which are lines that are indented by four spaces."""
    drawings = [line for line in text.splitlines() if line.startswith("    ")]
    return {path for part in [*CODE.findall(text), *drawings] for path in FILE.findall(part)}


def exists(path: str, root: Path = ROOT) -> bool:
    """Whether a path is there, below limepath/ or from the root.

    The files of `decisions/` are checked like all others from the moment that the package is there.
    """
    if path.startswith("decisions/") and not (root / "limepath/decisions").is_dir():
        return True
    return (root / "limepath" / path).exists() or (root / path).exists()


def test_each_file_on_the_architecture_page_exists():
    named = paths_named(ARCHITECTURE.read_text(encoding="utf-8"))
    assert len(named) > 50, "the page names its files in backticks"
    missing = sorted(path for path in named if not exists(path))
    assert not missing, f"docs/architecture.md names what is not there: {missing}"


def test_the_architecture_page_names_each_package():
    named = {path.split("/")[0] for path in paths_named(ARCHITECTURE.read_text(encoding="utf-8"))}
    packages = {path.parent.name for path in (ROOT / "limepath").glob("*/__init__.py")}
    assert packages <= named


def test_the_architecture_page_stays_one_page():
    assert len(ARCHITECTURE.read_text(encoding="utf-8").splitlines()) < MOST_LINES


@pytest.mark.parametrize(
    ("text", "paths"),
    [
        ("`store.py` and `front/start.py`, or `discovery/`", {"store.py", "front/start.py", "discovery/"}),
        ("    a ─> front/turn.py ─> decisions/engine.py", {"front/turn.py", "decisions/engine.py"}),
        ("`limepath run`, `handle(now, events)`, `[listing]`, `a/b`", set()),
        ("a word, and front/start.py without backticks", set()),
    ],
)
def test_paths_are_found_in_backticks_and_drawings(text, paths):
    assert paths_named(text) == paths


def test_a_path_that_is_not_there_is_noticed(tmp_path):
    (tmp_path / "limepath/decisions").mkdir(parents=True)
    (tmp_path / "limepath/store.py").write_text("")
    assert exists("store.py", tmp_path)
    assert not exists("stores.py", tmp_path)
    assert not exists("decisions/engine.py", tmp_path)
