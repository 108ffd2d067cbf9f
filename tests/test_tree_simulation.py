"""Tests of limepath/discovery/simulate_tree.py: a simulated fleet in the tree topology with faults."""

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


def failed_rows(run):
    return [row for row in run.rows if not row.passed]


def small_plan(**changes):
    return Plan(fronts=48, regions=2, zones=2, sites=8, span=5 * SECOND, caches=10)._replace(**changes)


def test_events_reach_all_fronts_within_the_bounds_of_delay_and_traffic():
    run = run_tree(small_plan(), 1)
    assert not failed_rows(run), failed_rows(run)


@pytest.mark.parametrize(
    "kind", ["inner-killed", "inner-stopped", "inner-slow", "root-killed", "site-killed"]
)
def test_a_fault_delays_events_at_most_by_the_bound(kind):
    run = run_tree(small_plan(faults=(kind,)), 2)
    assert not failed_rows(run), failed_rows(run)


def test_the_bounds_hold_if_datagrams_are_lost():
    run = run_tree(small_plan(loss=0.05, faults=("inner-killed",)), 3)
    assert not failed_rows(run), failed_rows(run)


def test_fronts_catch_up_by_the_window_after_a_partition_of_three_minutes():
    run = run_tree(small_plan(fronts=32, faults=("region-cut",)), 4)
    assert not failed_rows(run), failed_rows(run)


def test_fronts_download_the_list_if_the_window_is_too_short():
    run = run_tree(small_plan(fronts=32, faults=("region-cut",), cut=60 * SECOND, broken="window"), 4)
    assert "region-cut: complete lists fetched there" in {row.what for row in failed_rows(run)}
    newest = len(run.world.service.events)
    assert min(front.last_applied for front in run.world.running()) > newest - 40


def test_an_unlimited_fan_out_exceeds_the_bounds():
    run = run_tree(small_plan(sites=2, broken="fan-out"), 1)
    assert "most children of any front, ever" in {row.what for row in failed_rows(run)}


def hide_fronts(world):
    """Hide a random fifth of the fronts from each front."""
    for front in world.fronts:
        hidden = world.random.sample(world.fronts, len(world.fronts) // 5)
        world.hidden[front.index] = {other.token for other in hidden}


def test_the_number_of_children_is_bounded_if_views_differ():
    run = run_tree(small_plan(), 5, prepare=hide_fronts)
    assert (
        max(front.most_children for front in run.world.fronts)
        <= tree_bounds(DiscoverySettings(), 48, 2, 8).children
    )
    behind = [
        front for front in run.world.running() if front.last_applied < len(run.world.service.events) - 200
    ]
    assert not behind


def make_older(is_older):
    def prepare(world):
        for zone in {front.zone for front in world.fronts}:
            members = [front for front in world.fronts if front.zone == zone]
            scopes = {front.token: Scope(zone, front.site) for front in members}
            roots = Zone(zone, scopes, world.settings.relays, world.settings.fan_out).roots
            for front in members:
                front.older = is_older(front, front.token in roots)

    return prepare


@pytest.mark.parametrize(
    "is_older",
    [lambda front, root: root, lambda front, root: not root, lambda front, root: front.index % 2 == 0],
    ids=["older-roots", "newer-roots", "half"],
)
def test_fronts_of_older_and_newer_versions_work_in_one_fleet(is_older):
    run = run_tree(small_plan(fronts=24), 6, prepare=make_older(is_older))
    rows = {row.what: row for row in run.rows}
    assert rows["the same, all, s"].passed and rows["events that a front never had"].measured == 0
    assert not any(front.logic.counts["contradictions"] for front in run.world.running())


def test_the_same_seed_gives_the_same_run():
    first, second = (run_tree(small_plan(fronts=24, loss=0.02), 7).rows for _ in range(2))
    assert first == second


def test_all_stated_bounds_hold():
    assert all_passed([row for row in run_tree(small_plan(fronts=16), 8).rows if row.bound is not None])
