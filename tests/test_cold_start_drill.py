"""Tests of the drills of the endpoint list: several real processes under faults."""

from tests.discovery_harness import command, drill


def test_real_fronts_start_cold_and_have_all_events_while_relays_fail():
    kinds = "start-killed,relays-killed,relay-held,slow,restored,stores-cut"
    status, rows = drill("--fronts", "6", "--faults", kinds, "--seed", "2")
    known = {what: row for what, row in rows.items() if ": a drain and a purge" in what}
    assert len(known) == 5 and all(
        row["measured"] < row["bound"] + 25 for row in known.values()
    )  # all came to know, however slow
    assert (
        rows["link faults that took no effect"]["holds"]
        and rows["most streams of one zone, those of stopped processes aside"]["holds"]
    )
    assert "200: " in rows["GETs answered, shed, errored or not taken"]["measured"]
    assert rows["GETs answered before any list was confirmed"]["measured"] == 0


def test_the_drill_fails_where_each_front_calls_by_itself():
    status, rows = drill("--fronts", "16", "--alone")
    assert status == 1 and not rows["most streams of one zone, those of stopped processes aside"]["holds"]


def test_real_fronts_in_trees_have_all_events_while_a_front_with_children_fails():
    kinds = "inner-killed,inner-stopped,inner-held"
    status, rows = drill("--fronts", "10", "--sites", "4", "--faults", kinds, "--seed", "2")
    known = {what: row for what, row in rows.items() if ": a drain and a purge" in what}
    assert len(known) == 3 and all(row["measured"] < row["bound"] + 25 for row in known.values()), known
    assert rows["link faults that took no effect"]["holds"]
    assert rows["most streams of one zone, those of stopped processes aside"]["holds"]
    assert rows["GETs answered before any list was confirmed"]["measured"] == 0


def test_a_run_fails_when_its_bound_is_broken_and_refuses_an_unknown_fault():
    words = ("coldstart", "tree", "--fronts", "40", "--sites", "2", "--zones", "2", "--faults", "none")
    done = command(*words, "--span", "2s", "--broken", "fan-out")
    assert done.returncode == 1 and "BROKEN" in done.stdout
    done = command("coldstart", "tree", "--faults", "earthquake")
    assert done.returncode == 2 and "earthquake" in done.stderr and not done.stdout
