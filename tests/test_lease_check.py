"""The model checker of the leases: it finds no violation in the real rule, and one in a broken rule."""

from limepath.duties.check import explore
from limepath.report_table import all_passed


def value(rows, what):
    (row,) = [row for row in rows if row.what == what]
    return row.measured


def test_the_checker_finds_no_violation_and_finds_the_broken_rule_at_once():
    good = explore(2, 5, 100_000)
    assert all_passed(good.rows) and not good.trace and value(good.rows, "steps explored in all orders") == 5
    assert value(good.rows, "states with one holder of the slot") > 100
    three = explore(3, 3, 100_000)
    assert all_passed(three.rows)
    bad = explore(2, 9, 100_000, broken=True)
    assert not all_passed(bad.rows) and bad.trace[-1].endswith("both hold the slot") and len(bad.trace) == 7
