"""The bounds that the settings of the duties promise."""

from limepath.configuration.sharing_settings import DutyMode, DutySettings, LeaseSettings, MembershipTimeouts
from limepath.duties.bounds import bounds, most_duplicates
from limepath.duties.lease_timing import startup_silence

SECOND = 1_000_000
LEASE_SETTINGS = LeaseSettings(("a", "b", "c"), 3 * SECOND, 0.01, 4)


def test_bounds_grow_with_what_they_are_made_of():
    plan = DutySettings("probe", DutyMode.AT_LEAST_ONCE, 5 * SECOND)
    plain, slow = (
        bounds(MembershipTimeouts(), plan, LEASE_SETTINGS, 5),
        bounds(MembershipTimeouts(suspicion=8), plan, LEASE_SETTINGS, 5),
    )
    assert slow.gap > plain.gap and bounds(MembershipTimeouts(), plan, LEASE_SETTINGS, 500).gap > plain.gap
    assert bounds(MembershipTimeouts(), plan, LEASE_SETTINGS, 5, 3).gap > plain.gap
    leased = plan._replace(mode=DutyMode.ONE_OWNER)
    short, long = (
        bounds(MembershipTimeouts(), leased, LEASE_SETTINGS._replace(span=span * SECOND), 5)
        for span in (3, 60)
    )
    assert long.gap - short.gap >= 25 * SECOND and long.restart - long.gap == startup_silence(
        LEASE_SETTINGS._replace(span=60 * SECOND)
    )
    assert (
        most_duplicates(plan, plain, [0]) < most_duplicates(plan, plain, [60 * SECOND])
        and most_duplicates(plan, plain, []) == 0
    )
