"""Tests of the cold-start drill: the endpoint list in several real processes under faults."""

from tests.discovery_harness import command, drill


def test_real_fronts_start_cold_and_have_all_events_while_relays_fail():
    kinds = "start-killed,relays-killed,relay-held,slow,restored,stores-cut"
    status, rows = drill("--fronts", "6", "--faults", kinds, "--seed", "2")
    delivery_rows = {what: row for what, row in rows.items() if ": a drain and a purge" in what}
    # All fronts receive the events; 25 s allow for a slow machine.
    assert len(delivery_rows) == 5 and all(
        row["measured"] < row["bound"] + 25 for row in delivery_rows.values()
    )
    assert (
        rows["link faults that took no effect"]["holds"]
        and rows["most streams of one zone, those of stopped processes aside"]["holds"]
    )
    assert "200: " in rows["GETs answered, shed, errored or not taken"]["measured"]
    assert rows["GETs answered before any list was confirmed"]["measured"] == 0


def test_the_drill_fails_when_each_front_calls_the_list_service():
    status, rows = drill("--fronts", "16", "--alone")
    assert status == 1 and not rows["most streams of one zone, those of stopped processes aside"]["holds"]


def test_real_fronts_in_trees_have_all_events_while_a_front_with_children_fails():
    kinds = "inner-killed,inner-stopped,inner-held"
    status, rows = drill("--fronts", "10", "--sites", "4", "--faults", kinds, "--seed", "2")
    delivery_rows = {what: row for what, row in rows.items() if ": a drain and a purge" in what}
    assert len(delivery_rows) == 3 and all(
        row["measured"] < row["bound"] + 25 for row in delivery_rows.values()
    ), delivery_rows
    assert rows["link faults that took no effect"]["holds"]
    assert rows["most streams of one zone, those of stopped processes aside"]["holds"]
    assert rows["GETs answered before any list was confirmed"]["measured"] == 0


def test_a_run_fails_when_its_bound_is_broken_and_refuses_an_unknown_fault():
    arguments = ("coldstart", "tree", "--fronts", "40", "--sites", "2", "--zones", "2", "--faults", "none")
    completed = command(*arguments, "--span", "2s", "--broken", "fan-out")
    assert completed.returncode == 1 and "BROKEN" in completed.stdout
    completed = command("coldstart", "tree", "--faults", "earthquake")
    assert completed.returncode == 2 and "earthquake" in completed.stderr and not completed.stdout
