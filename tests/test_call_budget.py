"""Tests of limepath/discovery/call_budget.py: the rate limit of calls to the list service."""

import pytest

from limepath.configuration.sharing_settings import (
    DiscoverySettings,
)
from limepath.discovery.call_budget import CallBudget
from limepath.discovery.interface import (
    OpenStream,
    StreamClosed,
)
from tests.discovery_harness import MS, SECOND, STAR_SETTINGS, EngineHarness


@pytest.mark.parametrize("sharing, interval_us", [(200, 25_000_000), (2, 300_000)])
def test_the_mean_interval_grows_with_how_many_share_the_budget(sharing, interval_us):
    budget = CallBudget(DiscoverySettings(fronts=200, rate=20.0), lambda: 0.5)
    assert budget.mean_interval(sharing) == interval_us


def test_a_small_view_does_not_raise_the_rate_of_calls():
    budget = CallBudget(DiscoverySettings(fronts=200), lambda: 0.0)
    budget.update_view(0, 3)
    assert (
        budget.count_sharing(0, 2) == 200
        and budget.count_sharing(3 * SECOND, 2) == 2
        and budget.count_sharing(3 * SECOND, 0) == 200
    )
    front = EngineHarness([], settings=STAR_SETTINGS._replace(fronts=200)).run(120 * SECOND)
    for _ in range(3):
        front.handle(StreamClosed("refused"))
        front.run(20 * SECOND)
    assert len(front.emitted(OpenStream)) <= 180 // 12  # the rate of one front out of 200


def test_fronts_that_learn_at_once_of_a_smaller_share_count_do_not_call_at_once():
    settings = DiscoverySettings(fronts=1000, site="a")
    budgets = [CallBudget(settings, lambda share=share: share / 40) for share in range(40)]
    called, times = [], []
    for now in range(0, 12 * SECOND, 100 * MS):
        for budget in budgets:
            budget.update_view(now, 1000)
            relays = 40 if now >= 5 * SECOND else 0
            if budget not in called and budget.may_call(now, relays):
                called.append(budget)
                times.append(now)
    assert len([now for now in times if 5 * SECOND <= now < 6 * SECOND]) <= 10
    assert len(called) == 40
