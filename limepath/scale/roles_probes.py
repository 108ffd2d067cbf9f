"""Check results told to all: bytes by targets and by fronts, in virtual time by the real duties logic."""

import time

from limepath.configuration.sharing_settings import DutyMode
from limepath.duties.measure import value
from limepath.duties.simulate import simulate
from limepath.scale.measured import Fact, RoleResult, Series

SECOND = 1_000_000
TARGETS, FEW_FRONTS = (100, 200, 400, 700, 1000, 1400), 60
FRONTS, FEW_TARGETS = (12, 25, 50, 100, 200, 400), 100
INTERVAL, LENGTH = 5 * SECOND, 15 * SECOND  # the shipped interval
BYTES, DATAGRAMS = "bytes per instance and second", "messages per instance and second"


def cost(fronts, targets):
    """(KB, datagrams, % of a core) a second and front, the membership's share of them included."""
    began = time.process_time()
    rows = simulate(fronts, targets, DutyMode.AT_LEAST_ONCE, INTERVAL, LENGTH, kinds=()).rows
    cpu = time.process_time() - began
    return (
        value(rows, BYTES) / 1000,
        value(rows, DATAGRAMS),
        100 * cpu / fronts / ((LENGTH + INTERVAL) / SECOND),
    )


def less(one, base):
    return tuple(a - b for a, b in zip(one, base, strict=True))


def measure():
    """Return the RoleResult of check results."""
    calm = cost(FEW_FRONTS, 0)
    targets = [(size, less(cost(FEW_FRONTS, size), calm)) for size in TARGETS]
    fronts = [(size, less(cost(size, FEW_TARGETS), cost(size, 0))) for size in FRONTS]
    by_targets, by_fronts = "targets checked by the whole fleet", "fronts"
    what = "check results sent by each front"
    source = "virtual time"

    def points(rows, at):
        return tuple((size, round(costs[at], 4)) for size, costs in rows)

    return RoleResult(
        (
            Series("bytes", what, "KB/s", by_targets, points(targets, 0), source),
            Series("datagrams", "the same, datagrams", "a second", by_targets, points(targets, 1), source),
            Series(
                "cpu",
                "the same, with the simulator's work",
                "% of a core",
                by_targets,
                points(targets, 2),
                source,
            ),
            Series("bytes by fronts", what, "KB/s", by_fronts, points(fronts, 0), source),
        ),
        (Fact("interval", "each target is checked once in", "s", INTERVAL / SECOND),),
        (
            f"{FEW_FRONTS} fronts where targets vary, {FEW_TARGETS} targets where fronts do; membership's "
            "own traffic taken off; one of 64 datagrams is encoded for the bytes",
        ),
    )
