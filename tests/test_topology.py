"""Tests of limepath/discovery/topology.py: the trees over the fronts of a zone."""

from collections import Counter
from random import Random

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from limepath.configuration.sharing_settings import DiscoverySettings
from limepath.discovery.engine import DiscoveryEngine
from limepath.discovery.topology import Scope, Zone, longest_path, position

FRONTS, SITES = 260, 12  # per zone of the largest fleet: 5,200 fronts at 240 sites in 20 zones
RELAYS, FAN_OUT = 2, 4

tokens = st.integers(0, (1 << 64) - 1)
sites = st.sampled_from(["", *(f"site-{number}" for number in range(9))])
views = st.dictionaries(tokens, sites, min_size=1, max_size=60).map(
    lambda view: {token: Scope("sur", site) for token, site in view.items()}
)
relay_counts = st.integers(1, 4)
fan_outs = st.integers(2, 5)
repeatable = settings(deadline=None, derandomize=True)


def full_zone(seed=1, fronts=FRONTS, site_count=SITES):
    rng = Random(seed)
    return {rng.getrandbits(63): Scope("sur", f"site-{number % site_count}") for number in range(fronts)}


def uneven_zone(seed, fronts, site_count):
    """Return a zone with one front at each site, except that one site has all others."""
    rng = Random(seed)
    return {
        rng.getrandbits(63): Scope("sur", f"site-{max(0, number - fronts + site_count)}")
        for number in range(fronts)
    }


def positions(scopes, relays=RELAYS, fan_out=FAN_OUT):
    zone = Zone("sur", scopes, relays, fan_out)
    return {token: zone.position(token) for token in scopes}


def below_roots(all_positions, scopes):
    """Return the positions of the fronts that have a site and are not roots."""
    return {token: at for token, at in all_positions.items() if not at.is_root and scopes[token].site}


def hops(token, all_positions, choices):
    """Return the number of hops to a root if each front uses the first of its `choices`."""
    steps = 0
    while not all_positions[token].is_root:
        token = choices(all_positions[token])[0]
        steps += 1
        assert steps <= len(all_positions), "the parents form a cycle"
    return steps


def first_tree(at):
    return at.candidates


def changed_parents(before, after):
    return [
        token
        for token in after
        if not after[token].is_root and before[token].candidates[:1] != after[token].candidates[:1]
    ]


@repeatable
@given(views, relay_counts, fan_outs)
def test_every_front_reaches_a_root_and_no_path_is_longer_than_computed(scopes, relays, fan_out):
    all_positions = positions(scopes, relays, fan_out)
    names = {scope.site for scope in scopes.values() if scope.site}
    limit = longest_path(len(scopes), len(names), relays, fan_out)
    assert max(hops(token, all_positions, first_tree) for token in scopes) <= limit
    for token, at in all_positions.items():
        assert token not in at.candidates and token not in at.backups
        assert len(set(at.candidates)) == len(at.candidates) and len(set(at.backups)) == len(at.backups)
        assert set(at.candidates) <= set(scopes) and set(at.backups) <= set(scopes)
        if not at.is_root:
            assert all_positions[at.candidates[-1]].is_root


@repeatable
@given(views, relay_counts, fan_outs)
def test_candidates_are_the_ancestors_then_the_other_roots(scopes, relays, fan_out):
    all_positions = positions(scopes, relays, fan_out)
    roots = {token for token, at in all_positions.items() if at.is_root}
    for at in below_roots(all_positions, scopes).values():
        assert set(at.candidates) >= roots
        parent = at.candidates[0]
        if parent not in roots:
            assert at.candidates[1:] == all_positions[parent].candidates


@repeatable
@given(views, relay_counts, fan_outs)
def test_no_front_has_more_children_than_twice_the_fan_out_in_either_tree(scopes, relays, fan_out):
    all_positions = positions(scopes, relays, fan_out)
    below = below_roots(all_positions, scopes)
    children = Counter(at.candidates[0] for at in below.values())
    second_children = Counter(at.backups[0] for at in below.values() if at.backups)
    assert max(children.values(), default=0) <= 2 * fan_out
    assert max(second_children.values(), default=0) <= 2 * fan_out
    for root in (token for token, at in all_positions.items() if at.is_root):
        assert children[root] <= fan_out


@repeatable
@given(views, relay_counts, fan_outs)
@example({1: Scope("sur", "a"), 2: Scope("sur", "b"), 3: Scope("sur", "c")}, 1, 2)
def test_the_backup_differs_from_the_parent_if_there_are_other_fronts(scopes, relays, fan_out):
    all_positions = positions(scopes, relays, fan_out)
    below = below_roots(all_positions, scopes)
    roots = sum(at.is_root for at in all_positions.values())
    for at in below.values():
        others = len(below) - 1 + roots - 1
        assert bool(at.backups) == (others > 0)
        assert at.candidates[0] not in at.backups
    assert all(
        at.backups == at.candidates[1:]
        for token, at in all_positions.items()
        if not at.is_root and token not in below
    )


@repeatable
@given(views, relay_counts, fan_outs)
def test_only_the_head_of_a_site_has_a_parent_outside_it(scopes, relays, fan_out):
    all_positions = positions(scopes, relays, fan_out)
    outside = Counter(
        scopes[token].site
        for token, at in below_roots(all_positions, scopes).items()
        if all_positions[at.candidates[0]].is_root or scopes[at.candidates[0]].site != scopes[token].site
    )
    named = {scopes[token].site for token in below_roots(all_positions, scopes)}
    assert outside == dict.fromkeys(named, 1)


@repeatable
@given(views, relay_counts, fan_outs, st.randoms())
def test_the_order_of_a_view_does_not_change_the_trees(scopes, relays, fan_out, rng):
    shuffled = list(scopes)
    rng.shuffle(shuffled)
    reordered = {token: scopes[token] for token in shuffled}
    assert positions(scopes, relays, fan_out) == positions(reordered, relays, fan_out)
    me = shuffled[0]
    assert position(me, reordered, relays, fan_out) == positions(scopes, relays, fan_out)[me]


@repeatable
@given(views, relay_counts)
def test_roots_are_the_relays_that_older_versions_subscribe_to(scopes, relays):
    all_positions = positions(scopes, relays)
    me = next(iter(scopes))
    older = DiscoveryEngine(
        me,
        DiscoverySettings(zone="sur", relays=relays),
        1,
        lambda: [token for token in scopes if token != me],
    )
    assert {token for token, at in all_positions.items() if at.is_root} == set(older.upstream.rank(relays))


@repeatable
@given(views, relay_counts)
def test_a_front_without_a_site_subscribes_to_the_roots_and_has_no_subscribers(scopes, relays):
    all_positions = positions(scopes, relays)
    roots = {token for token, at in all_positions.items() if at.is_root}
    for token, at in all_positions.items():
        if not at.is_root and not scopes[token].site:
            assert set(at.candidates) == roots
            others = (at_other for other, at_other in all_positions.items() if other != token)
            assert all(token not in at_other.candidates + at_other.backups for at_other in others)


def test_the_candidates_of_a_root_are_the_other_roots():
    all_positions = positions(full_zone())
    root, other = (token for token, at in all_positions.items() if at.is_root)
    assert all_positions[root].candidates == all_positions[root].backups == (other,)
    assert position(7, {7: Scope("sur", "a")}, 2, 4) == (True, (), ())


def test_fronts_of_another_zone_are_ignored():
    scopes = full_zone(fronts=30)
    elsewhere = {token ^ 1 << 63: Scope("norte", scope.site) for token, scope in scopes.items()}
    me = next(iter(scopes))
    assert position(me, scopes | elsewhere, RELAYS, FAN_OUT) == position(me, scopes, RELAYS, FAN_OUT)


@pytest.mark.parametrize("seed", range(5))
def test_five_hops_reach_the_largest_fleet_and_no_front_has_children_in_both_trees(seed):
    scopes = full_zone(seed)
    all_positions = positions(scopes)
    assert max(hops(token, all_positions, first_tree) for token in scopes) == 5
    assert longest_path(FRONTS, SITES, RELAYS, FAN_OUT) == 6  # reached if one site has most of the fronts
    below = below_roots(all_positions, scopes)
    inner = {at.candidates[0] for at in below.values()}
    second_inner = {at.backups[0] for at in below.values()}
    assert all(all_positions[token].is_root for token in inner & second_inner)


@repeatable
@given(st.integers(1, 150), st.integers(1, 30), relay_counts, fan_outs, st.integers(0, 1000), st.booleans())
def test_the_computed_depth_holds_for_even_and_uneven_zones(fronts, site_count, relays, fan_out, seed, even):
    scopes = (full_zone if even else uneven_zone)(seed, fronts, site_count)
    all_positions = positions(scopes, relays, fan_out)
    longest = max(hops(token, all_positions, first_tree) for token in scopes)
    assert longest <= longest_path(fronts, min(site_count, fronts), relays, fan_out)


def test_the_computed_depth_is_reached_by_an_uneven_zone():
    reached = set()
    for seed in range(20):
        all_positions = positions(uneven_zone(seed, FRONTS, SITES))
        reached.add(max(hops(token, all_positions, first_tree) for token in all_positions))
    assert max(reached) == longest_path(FRONTS, SITES, RELAYS, FAN_OUT)


def test_a_front_that_leaves_changes_few_parents():
    scopes = full_zone(3)
    before = positions(scopes)
    below = below_roots(before, scopes)
    inner = {at.candidates[0] for at in below.values()}
    counts = {}
    for gone in scopes:
        rest = {token: scope for token, scope in scopes.items() if token != gone}
        changed = changed_parents(before, positions(rest))
        counts[gone] = len(changed)
        if (
            gone in below and below[gone].candidates[0] in below
        ):  # not the head of a site whose parent is a root
            parent = below[gone].candidates[0]
            if scopes[parent].site == scopes[gone].site:
                assert {scopes[token].site for token in changed} <= {scopes[gone].site}
    leaves = [counts[token] for token in below if token not in inner]
    largest_site = max(Counter(scope.site for scope in scopes.values()).values())
    assert max(leaves) <= largest_site // FAN_OUT
    heads = RELAYS * FAN_OUT
    assert max(counts.values()) <= largest_site + heads + FAN_OUT
    assert sum(counts.values()) / len(counts) < 0.02 * FRONTS


@pytest.mark.parametrize(("relays", "fan_out"), [(0, 4), (2, 1), (2, 0), (-1, 4)])
def test_too_few_relays_or_too_small_a_fan_out_are_rejected(relays, fan_out):
    with pytest.raises(ValueError):
        position(7, {7: Scope("sur", "a")}, relays, fan_out)
    with pytest.raises(ValueError):
        longest_path(10, 2, relays, fan_out)
