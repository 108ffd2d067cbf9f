"""Shared duties of real front processes with datagrams on loopback, under faults."""

import json
import os
import subprocess
import sys

import pytest


def drill(*options):
    completed = subprocess.run(
        [sys.executable, "-m", "limepath", "duties", "drill", "--json", *options],
        capture_output=True,
        text=True,
        timeout=600,
        env=os.environ | {"PYTHONPATH": os.getcwd()},
    )
    assert completed.returncode in (0, 1), completed.stderr
    return json.loads(completed.stdout)


@pytest.mark.parametrize("mode", ("at-least-once", "one-owner"))
def test_real_fronts_share_their_rounds_while_one_is_killed_and_stopped(mode):
    output = drill(
        "--instances",
        "3",
        "--targets",
        "12",
        "--interval",
        "1s",
        "--faults",
        "2",
        "--seed",
        "4",
        "--mode",
        mode,
        "--only",
        "kill,stop",
    )
    rows = {row["what"]: row["measured"] for row in output["rows"]}
    assert (
        rows["views agree at the end"] is True
        and rows["rounds served"] >= 12
        and rows["instances that yielded their identity"] == 0
    )
    assert rows["rounds at removed targets after the grace period"] == 0
    conflicts = "times at which two instances held one slot"
    assert (conflicts in rows) == (mode == "one-owner")
    assert mode != "one-owner" or rows[conflicts] == 0


def test_a_delayed_round_of_a_former_lease_holder_is_rejected_by_its_epoch():
    output = drill(
        "--instances",
        "3",
        "--targets",
        "24",
        "--interval",
        "500ms",
        "--faults",
        "1",
        "--seed",
        "2",
        "--mode",
        "one-owner",
        "--only",
        "held",
    )
    rows = {row["what"]: row["measured"] for row in output["rows"]}
    assert rows["link faults that took no effect"] == 0
    assert (
        rows["rounds rejected for an older epoch"] > 0
        and rows["times at which two instances held one slot"] == 0
    )
    assert rows["views agree at the end"] is True
