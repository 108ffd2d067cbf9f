"""A small scale run on loopback: hollow fronts in two processes beside a real one; verdicts and refusals."""

import json
import os
import subprocess
import sys

import pytest

DEADLINE = 300  # seconds for one run, however busy the machine is
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
SMALL = (
    *("--fronts", "13", "--real", "1", "--processes", "2", "--caches", "4"),
    *("--regions", "2", "--zones", "2", "--sites", "4", "--seed", "1"),
)


def run(*words):
    return subprocess.run(
        [sys.executable, "-m", "limepath.cli.scale_run", *words],
        capture_output=True,
        text=True,
        timeout=DEADLINE,
        cwd=ROOT,
    )


def rows_of(done):
    return {row["what"]: row for row in json.loads(done.stdout)["rows"]}


@pytest.fixture(scope="module")
def struck():
    """A run with a purge wave, a front that is killed, loss, a cut, and a stopped relay."""
    words = (
        "--purges",
        "3",
        "--duration",
        "24s",
        "--faults",
        "relay-killed,loss,cut,relay-stopped",
        "--json",
    )
    return run(*SMALL, *words)


def test_a_small_run_tells_what_every_front_used_and_when_it_knew(struck):
    assert struck.returncode in (0, 1), struck.stderr
    told = json.loads(struck.stdout)
    assert told["use"]["calm"]["all"]["fronts"] == 12
    assert told["use"]["calm"]["all"]["sent_bytes"]["membership"]["median"] > 0
    assert told["use"]["calm"]["all"]["received_bytes"]["list"]["median"] > 0
    assert told["arrivals"]["calm"]["purge"]["all"]["events"] > 0
    assert told["hollow_processes"] == 2
    assert {"cores", "python"} <= told["machine"].keys() and told["command"].startswith("limepath scale run")
    rows = rows_of(struck)
    assert rows["requests to real fronts, served"]["measured"] > 0


def test_no_event_is_lost_and_all_agree_in_the_end(struck):
    rows = rows_of(struck)
    assert rows["lost events, all fronts"]["measured"] == 0
    for what in (
        "fronts with the list before the measured time",
        "fronts that saw all others by then",
        "fronts with the list at the end",
        "fronts that see all others at the end",
    ):
        assert rows[what]["measured"] == 13, what


def test_every_fault_took_effect_and_those_struck_came_back(struck):
    rows = rows_of(struck)
    for kind in ("relay-killed", "loss", "cut", "relay-stopped"):
        assert rows[f"{kind}: times that it took effect"]["measured"] > 0, kind
    assert not [what for what in rows if "never whole again" in what]
    assert any(what.startswith("relay-killed: 1 fronts whole again") for what in rows)


def test_a_bound_that_is_broken_on_purpose_gives_status_1():
    done = run(*SMALL, "--purges", "2", "--duration", "5s", "--budget-bytes", "1", "--json")
    assert done.returncode == 1, done.stderr
    told = json.loads(done.stdout)
    row = rows_of(done)["calm: busiest front, bytes sent a second"]
    assert not told["holds"] and not row["holds"] and row["bound"] == 1


@pytest.mark.parametrize(
    "words, told",
    [
        (("--fronts", "4", "--real", "5"), "--real 5: more than --fronts 4"),
        (("--fronts", "10", "--sites", "11"), "--sites 11: more than --fronts 10"),
        (("--fronts", "9000", "--caches", "100000"), "--fronts 9000: needs"),
        (("--faults", "los"), "--faults 'los': no such fault; did you mean 'loss'?"),
        (("--faults", "cut"), "--faults cut: --regions 1 leaves no other"),
        (("--duration", "1s"), "--duration: expected at least 5s"),
        (("--budget-bytes", "0"), "--budget-bytes 0: expected more than 0"),
    ],
)
def test_what_cannot_be_is_refused_in_one_line_and_nothing_written(words, told, tmp_path):
    kept = tmp_path / "kept"
    done = run(*words, "--keep", str(kept))
    assert done.returncode == 2
    assert done.stderr.startswith(f"limepath: {told}") and done.stderr.count("\n") == 1
    assert not done.stdout and not kept.exists()


def test_a_folder_that_holds_something_is_refused(tmp_path):
    (tmp_path / "other").write_text("mine")
    done = run("--fronts", "4", "--keep", str(tmp_path))
    assert done.returncode == 2 and "expected a new or empty folder" in done.stderr
    assert (tmp_path / "other").read_text() == "mine"
