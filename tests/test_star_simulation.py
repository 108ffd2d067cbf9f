"""Tests of limepath/discovery/simulate.py: a simulated fleet in the star topology with faults."""

import pytest

from limepath.discovery.simulate import KINDS, simulate_star
from limepath.report_table import all_passed


def test_a_fleet_that_starts_without_the_service_keeps_the_bounds_under_every_fault():
    run = simulate_star(40, 2, seed=3, kinds=KINDS, saved=0.5)
    assert all_passed(run.rows), [row for row in run.rows if not row.passed]


@pytest.mark.parametrize("seed", range(3))
def test_the_bounds_hold_if_thirty_percent_of_datagrams_are_lost(seed):
    run = simulate_star(24, 2, seed=seed, kinds=KINDS[seed::3], loss=0.3)
    assert all_passed(run.rows), [row for row in run.rows if not row.passed]


def test_a_fleet_without_relays_exceeds_the_bounds():
    exceeded = {row.what for row in simulate_star(60, 2, alone=True).rows if not row.passed}
    assert {"most calls at the list service in a second", "most streams of one zone"} <= exceeded


def test_calls_and_streams_do_not_grow_with_the_fleet():
    small, large = ({row.what: row.measured for row in simulate_star(fronts, 2).rows} for fronts in (50, 200))
    for what in ("most calls at the list service in a second", "most streams of one zone"):
        assert large[what] <= 1.3 * small[what]
