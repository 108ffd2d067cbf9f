"""The bounds computed from the settings of the duties."""

from limepath.configuration.sharing_settings import DutyMode, DutySettings, LeaseSettings, MembershipTimeouts
from limepath.duties.bounds import bounds, most_duplicates
from limepath.duties.lease_timing import startup_silence

SECOND = 1_000_000
LEASE_SETTINGS = LeaseSettings(("a", "b", "c"), 3 * SECOND, 0.01, 4)


def test_bounds_grow_with_the_settings_that_they_depend_on():
    duty = DutySettings("probe", DutyMode.AT_LEAST_ONCE, 5 * SECOND)
    default, slow = (
        bounds(MembershipTimeouts(), duty, LEASE_SETTINGS, 5),
        bounds(MembershipTimeouts(suspicion=8), duty, LEASE_SETTINGS, 5),
    )
    assert (
        slow.gap > default.gap and bounds(MembershipTimeouts(), duty, LEASE_SETTINGS, 500).gap > default.gap
    )
    assert bounds(MembershipTimeouts(), duty, LEASE_SETTINGS, 5, 3).gap > default.gap
    leased = duty._replace(mode=DutyMode.ONE_OWNER)
    short, long = (
        bounds(MembershipTimeouts(), leased, LEASE_SETTINGS._replace(span=span * SECOND), 5)
        for span in (3, 60)
    )
    assert long.gap - short.gap >= 25 * SECOND and long.restart - long.gap == startup_silence(
        LEASE_SETTINGS._replace(span=60 * SECOND)
    )
    assert (
        most_duplicates(duty, default, [0]) < most_duplicates(duty, default, [60 * SECOND])
        and most_duplicates(duty, default, []) == 0
    )
