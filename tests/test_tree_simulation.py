"""Tests of limepath/discovery/simulate_tree.py: a fleet in trees, in virtual time under faults."""

import pytest

from limepath.configuration.sharing_settings import (
    DiscoverySettings,
)
from limepath.discovery.bounds import tree_bounds
from limepath.discovery.simulate_tree import run_tree
from limepath.discovery.topology import Scope, Zone
from limepath.discovery.tree_world import Plan
from limepath.report_table import all_passed
from tests.discovery_harness import SECOND


def broken(found):
    return [row for row in found.rows if not row.passed]


def small(**changes):
    return Plan(fronts=48, regions=2, zones=2, sites=8, span=5 * SECOND, caches=10)._replace(**changes)


def test_events_reach_all_within_the_bound_and_the_busiest_front_sends_little():
    found = run_tree(small(), 1)
    assert not broken(found), broken(found)


@pytest.mark.parametrize(
    "kind", ["inner-killed", "inner-stopped", "inner-slow", "root-killed", "site-killed"]
)
def test_a_fault_at_an_inner_front_delays_events_by_the_bound_at_most(kind):
    found = run_tree(small(faults=(kind,)), 2)
    assert not broken(found), broken(found)


def test_the_bounds_hold_where_datagrams_are_lost():
    found = run_tree(small(loss=0.05, faults=("inner-killed",)), 3)
    assert not broken(found), broken(found)


def test_after_a_cut_of_three_minutes_the_window_suffices():
    found = run_tree(small(fronts=32, faults=("region-cut",)), 4)
    assert not broken(found), broken(found)


def test_beyond_the_window_the_list_is_complete_again():
    found = run_tree(small(fronts=32, faults=("region-cut",), cut=60 * SECOND, broken="window"), 4)
    assert "region-cut: whole lists fetched there" in {row.what for row in broken(found)}
    newest = len(found.world.service.events)
    assert min(front.front for front in found.world.running()) > newest - 40


def test_a_fan_out_without_bound_breaks_the_bounds():
    found = run_tree(small(sites=2, broken="fan-out"), 1)
    assert "most children of any front, ever" in {row.what for row in broken(found)}


def hide(world):
    """Each front takes a fifth of the others for dead."""
    for front in world.fronts:
        hidden = world.chance.sample(world.fronts, len(world.fronts) // 5)
        world.hidden[front.index] = {other.token for other in hidden}


def test_no_front_has_more_children_than_the_bound_where_views_differ():
    found = run_tree(small(), 5, prepare=hide)
    assert (
        max(front.most_children for front in found.world.fronts)
        <= tree_bounds(DiscoverySettings(), 48, 2, 8).children
    )
    behind = [front for front in found.world.running() if front.front < len(found.world.service.events) - 200]
    assert not behind


def older(which):
    def prepare(world):
        for zone in {front.zone for front in world.fronts}:
            those = [front for front in world.fronts if front.zone == zone]
            scopes = {front.token: Scope(zone, front.site) for front in those}
            roots = Zone(zone, scopes, world.terms.relays, world.terms.fan_out).roots
            for front in those:
                front.older = which(front, front.token in roots)

    return prepare


@pytest.mark.parametrize(
    "which",
    [lambda front, root: root, lambda front, root: not root, lambda front, root: front.index % 2 == 0],
    ids=["older-roots", "newer-roots", "half"],
)
def test_older_and_newer_fronts_work_in_one_fleet(which):
    found = run_tree(small(fronts=24), 6, prepare=older(which))
    rows = {row.what: row for row in found.rows}
    assert rows["the same, all, s"].passed and rows["events that a front never had"].measured == 0
    assert not any(front.logic.counts["contradictions"] for front in found.world.running())


def test_the_same_seed_gives_the_same_run():
    one, two = (run_tree(small(fronts=24, loss=0.02), 7).rows for _ in range(2))
    assert one == two


def test_the_runs_keep_the_bounds_that_they_state():
    assert all_passed([row for row in run_tree(small(fronts=16), 8).rows if row.bound is not None])
