"""Tests of limepath/discovery/call_budget.py: when a front may call the list service."""

import pytest

from limepath.configuration.sharing_settings import DiscoverySettings
from limepath.discovery.call_budget import CallBudget


@pytest.mark.parametrize("sharing, interval_us", [(200, 25_000_000), (2, 300_000)])
def test_the_mean_interval_grows_with_how_many_share_the_budget(sharing, interval_us):
    budget = CallBudget(DiscoverySettings(fronts=200, rate=20.0), lambda: 0.5)
    assert budget.mean_interval(sharing) == interval_us
