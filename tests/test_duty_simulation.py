"""Duties in virtual time: runs with each kind of fault, and with message loss, keep the bounds."""

from itertools import pairwise

import pytest

from limepath.configuration.sharing_settings import DutyMode, DutySettings, LeaseSettings, MembershipTimeouts
from limepath.duties.bounds import bounds
from limepath.duties.faults import KINDS, Fault, FaultRun
from limepath.duties.findings import findings
from limepath.duties.simulate import record_of, simulate
from limepath.duties.world import World
from limepath.report_table import all_passed

SECOND = 1_000_000
LEASE_SETTINGS = LeaseSettings(("a", "b", "c"), 3 * SECOND, 0.01, 4)
MODES = (DutyMode.AT_LEAST_ONCE, DutyMode.ONE_OWNER)


def failed_rows(found):
    return [(row.what, row.measured, row.bound) for row in found.rows if not row.passed]


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("kind", KINDS)
def test_each_fault_keeps_the_bounds(kind, mode):
    found = simulate(5, 40, mode, 5 * SECOND, 80 * SECOND, seed=11, kinds=(kind,))
    assert [fault.kind for fault in found.faults] and not failed_rows(found)


@pytest.mark.parametrize("mode", MODES)
def test_loss_duplicates_and_reordering_keep_the_bounds(mode):
    found = simulate(
        5,
        40,
        mode,
        5 * SECOND,
        120 * SECOND,
        seed=5,
        loss=0.3,
        doubled=0.1,
        late=0.1,
        kinds=("kill", "minority"),
    )
    assert found.faults and not failed_rows(found)


def test_200_targets_replaced_within_seconds_are_served_and_the_removed_are_not():
    duty, timeouts = DutySettings("probe", DutyMode.AT_LEAST_ONCE, 5 * SECOND), MembershipTimeouts()
    world = World(4, 200, (duty,), timeouts, LEASE_SETTINGS._replace(voters=("n0", "n1", "n2")), 3)
    faults = [Fault(at * SECOND, "targets", (0,), 0) for at in (11, 12, 13, 14, 15)]
    run = FaultRun(world, faults, 40 * SECOND)
    world.start(True)
    world.run(40 * SECOND)
    rows = findings(record_of(run), duty)
    assert all_passed(rows) and len(world.removed_at) == 200 and len(world.targets) == 200
    assert all(len(world.rounds[0, target]) >= 4 for target in world.targets)


def test_the_same_seed_gives_the_same_run():
    one, again, other = (
        simulate(3, 10, DutyMode.ONE_OWNER, length=50 * SECOND, seed=seed, loss=0.1, kinds=("kill",))
        for seed in (4, 4, 5)
    )
    assert one.rows == again.rows and one.faults == again.faults
    assert other.world.messages != one.world.messages


def test_gaps_keep_the_bound_if_the_owner_dies_before_during_or_after_its_round():
    duty = DutySettings("probe", DutyMode.ONE_OWNER, 5 * SECOND)
    lease_settings = LEASE_SETTINGS._replace(voters=("n0", "n1", "n2"))
    bound = bounds(MembershipTimeouts(), duty, lease_settings, 3).gap
    undisturbed = World(3, 6, (duty,), MembershipTimeouts(), lease_settings, 9)
    undisturbed.start(True)
    undisturbed.run(30 * SECOND)
    at, owner = undisturbed.rounds[0, 1][2]
    for died_at in (at - 1, at, at + 400, at + 900):  # the answer arrives 800 us after the start of the round
        world = World(3, 6, (duty,), MembershipTimeouts(), lease_settings, 9)
        world.start(True)
        world.at(died_at, world.nodes[owner].stop)
        world.run(at + 60 * SECOND)
        times = [when for when, _ in world.rounds[0, 1]]
        assert max(b - a for a, b in pairwise(times)) <= bound and not world.lease_conflicts
        assert world.rounds[0, 1][-1][1] != owner


def test_an_instance_that_resumes_after_its_lease_expired_serves_nothing_under_it():
    duty = DutySettings("probe", DutyMode.ONE_OWNER, 2 * SECOND)
    world = World(3, 30, (duty,), MembershipTimeouts(), LEASE_SETTINGS._replace(voters=("n0", "n1", "n2")), 2)
    world.start(True)
    world.run(12 * SECOND)
    node = world.nodes[0]
    held_before = {slot for _, slot in node.instance.lease_manager.held_leases}
    assert held_before
    node.paused = True
    world.run(52 * SECOND)
    node.resume()
    assert not node.instance.lease_manager.slots_held(0)  # its leases have expired in the meantime
    world.run(92 * SECOND)
    assert not world.lease_conflicts and world.rejected_rounds == 0
    assert node.instance.lease_manager.slots_held(0)


def test_in_a_partition_the_minority_stops_serving_and_the_majority_continues():
    duty = DutySettings("probe", DutyMode.ONE_OWNER, 2 * SECOND)
    world = World(
        5,
        30,
        (duty,),
        MembershipTimeouts(),
        LEASE_SETTINGS._replace(voters=tuple(f"n{i}" for i in range(5))),
        6,
    )
    world.start(True)
    world.run(12 * SECOND)
    minority = frozenset({0, 1})
    world.network.cuts = {1: (minority, frozenset({2, 3, 4})), 2: (frozenset({2, 3, 4}), minority)}
    world.run(60 * SECOND)
    serving_late = {owner for served in world.rounds.values() for at, owner in served if at > 17 * SECOND}
    assert serving_late == {2, 3, 4} and all(served[-1][0] > 55 * SECOND for served in world.rounds.values())


def test_a_broken_bound_is_reported():
    found = simulate(3, 5, length=40 * SECOND, kinds=("kill",))
    world = found.world
    world.rounds[0, 1] = world.rounds[0, 1][:1]  # as if the target had not been served again
    run = FaultRun(world, [], world.now)
    rows = findings(record_of(run), world.duties[0])
    assert [row.what for row in rows if not row.passed] == ["longest gap, s"]
