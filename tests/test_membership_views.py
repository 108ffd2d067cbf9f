"""Tests of membership in simulated fleets after a cold start and after a partition."""

from limepath.configuration.sharing_settings import (
    DutyMode,
    DutySettings,
    LeaseSettings,
    MembershipTimeouts,
)
from limepath.duties.world import World
from limepath.membership.bounds import dissemination_time
from tests.discovery_harness import SECOND


def test_views_after_a_cold_start_agree_within_the_dissemination_time():
    world = World(
        100,
        4,
        (DutySettings("probe", DutyMode.AT_LEAST_ONCE, 5 * SECOND),),
        MembershipTimeouts(),
        LeaseSettings(),
        1,
    )
    world.start(False)
    world.run(dissemination_time(MembershipTimeouts(), 100))
    assert world.views_agree()  # takes 2 s; took 9.5 s when only one page per period was pulled


def test_partitions_that_suspected_each_other_declare_no_live_member_dead():
    world = World(
        150,
        4,
        (DutySettings("probe", DutyMode.AT_LEAST_ONCE, 20 * SECOND),),
        MembershipTimeouts(),
        LeaseSettings(),
        1,
    )
    world.start(True)
    world.run(3 * SECOND)
    first_half = frozenset(range(75))
    world.network.cuts["split"] = first_half, frozenset(range(150)) - first_half
    world.network.cuts["back"] = frozenset(range(150)) - first_half, first_half
    world.run(9 * SECOND)
    world.network.cuts.clear()
    world.run(40 * SECOND)
    assert not world.false_deaths and world.views_agree()
