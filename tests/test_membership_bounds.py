"""Tests of `limepath.membership.bounds`."""

import pytest

from limepath.configuration.sharing_settings import MembershipTimeouts
from limepath.membership.bounds import minimum_suspicion_timeout


@pytest.mark.parametrize(("live", "expected"), [(5, 4_000_000), (1000, 12_000_000)])
def test_the_minimum_suspicion_timeout_grows_with_the_logarithm_of_the_group_size(
    live: int, expected: int
) -> None:
    assert minimum_suspicion_timeout(MembershipTimeouts(), live) == expected
