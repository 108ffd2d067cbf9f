"""The consistent hash ring of the duties."""

import pytest

from limepath.configuration.sharing_settings import LeaseSettings, MembershipTimeouts
from limepath.duties.instance import Instance
from limepath.duties.live_ring import MAX_IMMEDIATE_CHANGES, REBUILD_DIVISOR
from limepath.duties.ring import (
    EMPTY_RING,
    MAX_CACHED_POINTS,
    MAX_CACHED_RINGS,
    POINTS_PER_MEMBER,
    Ring,
    key_of,
)
from limepath.membership.interface import REFUTATION_BITS, MemberRecord, MemberState

FLEET = 600
"""The number of instances in the view that the test changes."""


@pytest.fixture(autouse=True)
def no_cached_rings():
    """Start each test with an empty cache of rings."""
    Ring.cached.clear()
    yield
    Ring.cached.clear()


def test_rings_of_the_same_members_are_the_same_object():
    ring = EMPTY_RING.plus(1).plus(2).plus(3)
    assert ring.minus(2) is EMPTY_RING.plus(3).plus(1)
    assert Ring.of([3, 1]) is Ring.of([1, 3]) and Ring.of([3, 1]).owners == EMPTY_RING.plus(1).plus(3).owners


def test_removing_a_member_changes_the_owner_of_its_targets_only():
    ring = EMPTY_RING.plus(1).plus(2).plus(3)
    smaller = ring.minus(2)
    lost = [target for target in range(999) if ring.owner(key_of(target)) == 2]
    assert {smaller.owner(key_of(target)) for target in lost} == {1, 3}
    stayed = [target for target in range(999) if target not in lost]
    assert [target for target in stayed if ring.owner(key_of(target)) != smaller.owner(key_of(target))] == []


def test_small_rings_are_cached_up_to_a_number():
    for token in range(2 * MAX_CACHED_RINGS):
        Ring.of([token])
    assert len(Ring.cached) == MAX_CACHED_RINGS


def test_large_rings_are_cached_up_to_a_number_of_points():
    fitting_rings = 4
    members = MAX_CACHED_POINTS // POINTS_PER_MEMBER // fitting_rings
    ring = Ring.of(range(members - fitting_rings))
    for token in range(members, members + 2 * fitting_rings):
        ring = ring.minus(token - members).plus(token)
        assert sum(len(other.points) for other in Ring.cached.values()) <= MAX_CACHED_POINTS
    assert len(Ring.cached) == fitting_rings and next(reversed(Ring.cached.values())) is ring


def test_a_ring_larger_than_the_cache_limit_is_cached_while_it_is_the_newest():
    members = MAX_CACHED_POINTS // POINTS_PER_MEMBER + 1
    ring = Ring.of(range(members))
    assert list(Ring.cached.values()) == [ring]
    assert Ring.of([1, 2]) is Ring.of([2, 1]) and ring not in Ring.cached.values()


@pytest.mark.parametrize(
    "changes",
    [
        1,
        MAX_IMMEDIATE_CHANGES,
        MAX_IMMEDIATE_CHANGES + 1,
        FLEET // REBUILD_DIVISOR,
        FLEET // REBUILD_DIVISOR + 1,
        60,
    ],
)
def test_the_ring_of_a_changing_view_equals_the_ring_built_from_its_members(changes):
    others = [
        MemberRecord(token, f"n{token}", "h", 1, 1 << REFUTATION_BITS, 1) for token in range(2, FLEET + 1)
    ]
    late = others[:changes]
    instance = Instance(
        MemberRecord(1, "n1", "h", 1, 1 << REFUTATION_BITS, 1),
        (),
        MembershipTimeouts(),
        (),
        LeaseSettings(),
        1,
    )
    instance.preload_members(others[changes:])
    assert instance.live_ring.current() is Ring.of([1, *instance.members.ring])
    instance.preload_members(
        [*late, *(other._replace(state=MemberState.DEAD) for other in others[-changes // 2 :])]
    )
    for other in others[-changes // 2 :]:
        instance.remove_member(other)
    updated = instance.live_ring.current()
    Ring.cached.clear()
    rebuilt = Ring.of([1, *instance.members.ring])
    assert rebuilt.members == len(instance.members.ring) + 1 < FLEET
    assert (updated.points, updated.owners, updated.digest) == (
        rebuilt.points,
        rebuilt.owners,
        rebuilt.digest,
    )
