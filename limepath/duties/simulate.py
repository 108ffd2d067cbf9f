"""Runs of a fleet in virtual time under faults; a run with the same seed gives the same report."""

import gc
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from random import Random
from typing import NamedTuple

from limepath.configuration.sharing_settings import DutyMode, DutySettings, LeaseSettings, MembershipTimeouts
from limepath.duties.bounds import bounds
from limepath.duties.faults import KINDS, SECOND, Fault, FaultRun, draw_faults
from limepath.duties.findings import RunRecord, findings
from limepath.duties.world import World
from limepath.report_table import CheckResult

MANY_INSTANCES = 50
"""With more instances, a run has only two kinds of fault by default."""
VERY_MANY_INSTANCES = 400
"""With more instances, a run has only one kind of fault by default."""


class Findings(NamedTuple):
    """The rows of a run's report, the faults of the run and its simulation."""

    rows: list[CheckResult]
    faults: list[Fault]
    world: World


def record_of(run: FaultRun, began_at: int = 0) -> RunRecord:
    """Return the record of a run so far."""
    world = run.world
    return RunRecord(
        timeouts=world.timeouts,
        lease_settings=world.lease_settings,
        instances=len(world.nodes),
        began_at=began_at,
        ended_at=run.end,
        faults=run.faults,
        targets=world.targets,
        added_at=world.added_at,
        removed_at=world.removed_at,
        rounds=world.rounds,
        rounds_after_removal=world.rounds_after_removal,
        rejected_rounds=world.rejected_rounds,
        lease_conflicts=len(world.lease_conflicts),
        deaths=run.deaths,
        false_deaths=world.false_deaths,
        yielded=len(world.yielded),
        outages=run.outages,
        has_restarts=run.has_restarts,
        unreachable_neighbours=run.unreachable_neighbours,
        messages=world.messages,
        sampled_messages=world.sampled_messages,
        sampled_bytes=world.sampled_bytes,
        views_agree=world.views_agree(),
    )


def default_kinds(instances: int, seed: int) -> Sequence[str]:
    """Return all kinds of fault, or for many instances a random choice of them drawn from the seed."""
    if instances <= MANY_INSTANCES:
        return KINDS
    return Random(seed).sample(KINDS, 1 if instances > VERY_MANY_INSTANCES else 2)


@contextmanager
def garbage_collection_off() -> Iterator[None]:
    """Disable garbage collection in the context: many objects would be scanned often to find few cycles."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


def simulate(
    instances: int = 5,
    targets: int = 100,
    mode: DutyMode = DutyMode.AT_LEAST_ONCE,
    interval: int = 5 * SECOND,
    length: int | None = None,
    seed: int = 1,
    loss: float = 0.0,
    doubled: float = 0.0,
    late: float = 0.0,
    kinds: Sequence[str] | None = None,
    voters: int = 5,
    timeouts: MembershipTimeouts = MembershipTimeouts(),
    lease_settings: LeaseSettings = LeaseSettings(),
    cold: bool = False,
) -> Findings:
    """Run a fleet under faults; return the findings.

    `interval` and `length`, the time in which faults begin, are in microseconds. `loss`, `doubled` and `late`
    are fractions of the datagrams. If `kinds` is None, `default_kinds` are used. If `cold` is true, no
    instance knows another at the start.
    """
    if kinds is None:
        kinds = default_kinds(instances, seed)
    names = tuple(f"n{index}" for index in range(min(instances, voters)))
    lease_settings = lease_settings._replace(voters=names)
    duty = DutySettings("probe", mode, interval)
    settle = bounds(timeouts, duty, lease_settings, instances).disagreement
    first = 2 * interval + (settle if cold else 0)
    length = length or first + len(kinds) * (30 * SECOND + settle)
    world = World(instances, targets, (duty,), timeouts, lease_settings, seed, loss, doubled, late)
    faults = draw_faults(kinds, instances, first, length, settle, seed) if kinds else []
    run = FaultRun(world, faults, length + interval)
    world.start(not cold)
    run.check_availability()
    with garbage_collection_off():
        world.run(run.end)
    return Findings(findings(record_of(run), duty), faults, world)
