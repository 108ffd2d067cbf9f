"""Tests of limepath/discovery/simulate.py: a fleet in the star, in virtual time under faults."""

import pytest

from limepath.discovery.simulate import KINDS, simulated
from limepath.report_table import all_passed


def test_a_fleet_that_starts_without_the_service_keeps_the_bounds_under_every_fault():
    found = simulated(40, 2, seed=3, kinds=KINDS, saved=0.5)
    assert all_passed(found.rows), [row for row in found.rows if not row.passed]


@pytest.mark.parametrize("seed", range(3))
def test_the_bounds_hold_on_links_that_lose_three_datagrams_of_ten(seed):
    found = simulated(24, 2, seed=seed, kinds=KINDS[seed::3], loss=0.3)
    assert all_passed(found.rows), [row for row in found.rows if not row.passed]


def test_without_relays_the_same_fleet_breaks_the_bounds():
    broken = {row.what for row in simulated(60, 2, alone=True).rows if not row.passed}
    assert {"most calls at the list service in a second", "most streams of one zone"} <= broken


def test_calls_and_streams_do_not_grow_with_the_fleet():
    few, many = ({row.what: row.measured for row in simulated(fronts, 2).rows} for fronts in (50, 200))
    for what in ("most calls at the list service in a second", "most streams of one zone"):
        assert many[what] <= 1.3 * few[what]
