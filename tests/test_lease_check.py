"""The model checker of the leases."""

from limepath.duties.check import explore
from limepath.report_table import all_passed


def value(rows, what):
    (row,) = [row for row in rows if row.what == what]
    return row.measured


def test_the_checker_finds_no_violation_in_the_leases_and_finds_one_with_broken_voters():
    correct = explore(2, 5, 100_000)
    assert (
        all_passed(correct.rows)
        and not correct.trace
        and value(correct.rows, "steps explored in all orders") == 5
    )
    assert value(correct.rows, "states with one holder of the slot") > 100
    three_instances = explore(3, 3, 100_000)
    assert all_passed(three_instances.rows)
    violating = explore(2, 9, 100_000, broken=True)
    assert (
        not all_passed(violating.rows)
        and violating.trace[-1].endswith("both hold the slot")
        and len(violating.trace) == 7
    )
