"""Measures the sharing of check results, by targets and by fronts, in virtual time with the real logic."""

import time

from limepath.configuration.sharing_settings import DutyMode
from limepath.duties.measure import value
from limepath.duties.simulate import simulate
from limepath.scale.measured import Fact, RoleResult, Series

SECOND_US = 1_000_000
TARGETS, FIXED_FRONTS = (100, 200, 400, 700, 1000, 1400), 60
FRONTS, FIXED_TARGETS = (12, 25, 50, 100, 200, 400), 100
INTERVAL_US, DURATION_US = 5 * SECOND_US, 15 * SECOND_US  # the default interval of a check
BYTES, DATAGRAMS = "bytes per instance and second", "messages per instance and second"


def cost(fronts, targets):
    """Return (KB, datagrams, % of a core) per second and front, including the share of membership."""
    start = time.process_time()
    rows = simulate(fronts, targets, DutyMode.AT_LEAST_ONCE, INTERVAL_US, DURATION_US, kinds=()).rows
    cpu = time.process_time() - start
    return (
        value(rows, BYTES) / 1000,
        value(rows, DATAGRAMS),
        100 * cpu / fronts / ((DURATION_US + INTERVAL_US) / SECOND_US),
    )


def subtract(costs, baseline):
    return tuple(a - b for a, b in zip(costs, baseline, strict=True))


def measure():
    """Return the RoleResult of check results."""
    baseline = cost(FIXED_FRONTS, 0)
    targets = [(size, subtract(cost(FIXED_FRONTS, size), baseline)) for size in TARGETS]
    fronts = [(size, subtract(cost(size, FIXED_TARGETS), cost(size, 0))) for size in FRONTS]
    by_targets, by_fronts = "targets checked by the whole fleet", "fronts"
    title = "check results sent by each front"
    source = "virtual time"

    def points(rows, index):
        return tuple((size, round(costs[index], 4)) for size, costs in rows)

    return RoleResult(
        (
            Series("bytes", title, "KB/s", by_targets, points(targets, 0), source),
            Series("datagrams", "the same, datagrams", "a second", by_targets, points(targets, 1), source),
            Series(
                "cpu",
                "the same, with the simulator's work",
                "% of a core",
                by_targets,
                points(targets, 2),
                source,
            ),
            Series("bytes by fronts", title, "KB/s", by_fronts, points(fronts, 0), source),
        ),
        (Fact("interval", "each target is checked once in", "s", INTERVAL_US / SECOND_US),),
        (
            f"{FIXED_FRONTS} fronts where targets vary, {FIXED_TARGETS} targets where fronts do; "
            "membership's own traffic taken off; one of 64 datagrams is encoded for the bytes",
        ),
    )
