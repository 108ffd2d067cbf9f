"""What ruff and mypy still find, as the lists of exceptions in pyproject.toml.

    python -m tests.lint_ignores            print the lists that the present text needs
    python -m tests.lint_ignores --write    put them into pyproject.toml
    python -m tests.lint_ignores --check    status 1 where pyproject.toml holds other lists

Run from the project's root. Both tools run with the settings of pyproject.toml without its lists, so a line
leaves the lists once nothing of its kind is found any more.
"""

import argparse
import json
import re
import subprocess
import sys
import tempfile
from collections import defaultdict
from collections.abc import Iterable
from difflib import unified_diff
from pathlib import Path

SETTINGS = Path("pyproject.toml")
BEGIN = "# The lists of what is left begin here: python -m tests.lint_ignores --write makes them anew."
END = "# The lists of what is left end here."
MOST_CODES_ON_A_LINE = 10
# A test says by its name what it checks, and pytest passes its arguments: no docstring or types are wanted.
TESTS, TESTS_DO_WITHOUT = "tests/*.py", ("ANN", "D1")
# These hold everywhere, and never stand on a list.
WITHOUT_EXCEPTION = re.compile(r"(E|F|W|I|B|UP)\d+")
MYPY_FINDING = re.compile(r"^(?P<file>[^:]+\.py):\d+: error: .*\[(?P<code>[a-z-]+)\]$")


class ToolError(Exception):
    """A tool ended in a way that tells nothing about the code."""


def run_tool(*words: str) -> str:
    """Return what a tool prints; status 1 says that it found something."""
    done = subprocess.run([sys.executable, "-m", *words], capture_output=True, text=True, check=False)
    if done.returncode not in (0, 1):
        raise ToolError(f"{words[0]} ended with status {done.returncode}, expected 0 or 1: {done.stderr}")
    return done.stdout


def settings_without_lists(text: str) -> str:
    """Return the text of pyproject.toml without the part between the two marks."""
    before, begin, rest = text.partition(BEGIN)
    _, end, after = rest.partition(END)
    if not begin or not end:
        raise ToolError(f"{SETTINGS}: found no part between {BEGIN!r} and {END!r}, expected both marks")
    return before + after


def place_of(file: str) -> str:
    """Return the pattern that stands for a file: its package's, or its own below tests and at the top."""
    path = Path(file)
    if path.parts[0] == "limepath" and len(path.parts) > 2:
        return f"{path.parts[0]}/{path.parts[1]}/*.py"
    return path.as_posix()


def ruff_codes() -> dict[str, set[str]]:
    """Return the rule codes that ruff finds beyond the standing exceptions, by pattern of files.

    Ruff runs until nothing new is found: where a code stands on the list, a `noqa` for it is an unused one.
    """
    codes: dict[str, set[str]] = defaultdict(set)
    while findings := ruff_findings({**codes, TESTS: set(TESTS_DO_WITHOUT)}):
        for finding in findings:
            file = Path(finding["filename"]).relative_to(Path.cwd())
            codes[place_of(str(file))].add(finding["code"])
    return codes


def ruff_findings(ignored: dict[str, set[str]]) -> list[dict[str, str]]:
    """Return what ruff finds where `ignored` stands in place of the lists in pyproject.toml."""
    entries = ", ".join(
        f"{json.dumps(place)} = {json.dumps(sorted(codes))}" for place, codes in ignored.items()
    )
    table = f"lint.per-file-ignores = {{ {entries} }}"
    found = json.loads(run_tool("ruff", "check", ".", "--output-format", "json", "--config", table))
    return [finding for finding in found if not WITHOUT_EXCEPTION.fullmatch(finding["code"])]


def mypy_codes(settings: str) -> dict[str, set[str]]:
    """Return the error codes that mypy finds, by module."""
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(settings)
        file.flush()
        printed = run_tool("mypy", "--config-file", file.name)
    codes: dict[str, set[str]] = defaultdict(set)
    for line in printed.splitlines():
        if finding := MYPY_FINDING.match(line):
            module = finding["file"].removesuffix(".py").removesuffix("/__init__").replace("/", ".")
            codes[module].add(finding["code"])
        elif ": error: " in line:
            raise ToolError(f"mypy: found no error code, which the list needs: {line}")
    return codes


def array(words: Iterable[str]) -> str:
    """Return a TOML array of sorted strings, on several lines where it is long."""
    quoted = [json.dumps(word) for word in sorted(words)]
    if len(quoted) <= MOST_CODES_ON_A_LINE and sum(map(len, quoted)) < 80:
        return f"[{', '.join(quoted)}]"
    lines, line = [], ""
    for word in quoted:
        if len(line) + len(word) > 100:
            lines.append(line)
            line = ""
        line += f" {word},"
    return "[\n" + "\n".join(f"   {line}" for line in [*lines, line]) + "\n]"


def lists(settings: str) -> str:
    """Return both lists as TOML."""
    lines = [
        "[tool.ruff.lint.per-file-ignores]",
        "# A test says by its name what it checks, and pytest passes its arguments.",
        f"{json.dumps(TESTS)} = {array(TESTS_DO_WITHOUT)}",
        "# What is left: each line goes when its package or file is whole.",
    ]
    lines += [f"{json.dumps(place)} = {array(codes)}" for place, codes in sorted(ruff_codes().items())]
    modules: dict[tuple[str, ...], list[str]] = defaultdict(list)
    for module, codes in mypy_codes(settings).items():
        modules[tuple(sorted(codes))].append(module)
    lines += [
        "",
        "# What is left of mypy's findings: a module leaves its list when it has none of these codes.",
    ]
    for codes, names in sorted(modules.items()):
        lines += [
            "[[tool.mypy.overrides]]",
            f"module = {array(names)}",
            f"disable_error_code = {array(codes)}",
            "",
        ]
    return "\n".join(lines).rstrip() + "\n"


def main() -> int:
    """Print, write or compare the lists; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    choice = parser.add_mutually_exclusive_group()
    choice.add_argument("--write", action="store_true")
    choice.add_argument("--check", action="store_true")
    options = parser.parse_args()
    text = SETTINGS.read_text(encoding="utf-8")
    needed = lists(settings_without_lists(text))
    before, _, rest = text.partition(BEGIN)
    wanted = f"{before}{BEGIN}\n{needed}{END}{rest.partition(END)[2]}"
    if options.write:
        SETTINGS.write_text(wanted, encoding="utf-8")
    elif options.check:
        difference = list(unified_diff(text.splitlines(), wanted.splitlines(), "present", "needed", n=0))
        print("\n".join(difference) or f"{SETTINGS}: the lists are what the text needs")
        return 1 if difference else 0
    else:
        print(needed, end="")
    return 0


if __name__ == "__main__":
    sys.exit(main())
