"""The report of a run under faults, with its bounds; for runs in virtual time and for drills."""

from bisect import bisect_left
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from itertools import pairwise
from statistics import median
from typing import Any

from limepath.configuration.sharing_settings import DutyMode, DutySettings, LeaseSettings, MembershipTimeouts
from limepath.duties.bounds import Bounds, bounds, most_duplicates
from limepath.membership.bounds import dissemination_time
from limepath.report_table import CheckResult, at_most, seconds

SECOND = 1_000_000


@dataclass
class RunRecord:
    """The record of a run. Times are microseconds, pairs of times are periods, instances are indices."""

    timeouts: MembershipTimeouts
    lease_settings: LeaseSettings
    instances: int
    began_at: int
    ended_at: int
    faults: Sequence[Any]  # with `at` and `length`
    targets: Collection[Any]  # those on the endpoint list at the end
    added_at: Mapping[Any, int]  # by target, including removed ones
    removed_at: Mapping[Any, int]
    rounds: Mapping[tuple[int, Any], Sequence[tuple[int, int]]]  # by duty and target: (time, instance)
    rounds_after_removal: int
    rejected_rounds: int
    lease_conflicts: int
    deaths: Sequence[tuple[int, int]]  # (time, instance)
    false_deaths: Sequence[tuple[int, int]]
    yielded: int
    outages: Sequence[tuple[int, int]]
    has_restarts: bool
    unreachable_neighbours: int
    messages: int
    sampled_messages: int
    sampled_bytes: int
    views_agree: bool

    def bound(self, duty: DutySettings) -> Bounds:
        """Return the bounds of this run."""
        return bounds(self.timeouts, duty, self.lease_settings, self.instances, self.unreachable_neighbours)

    def outage_between(self, since: int, until: int) -> int:
        """Return for how long the duties could not be served between two times."""
        return sum(max(0, min(until, end) - max(since, begin)) for begin, end in self.outages)

    def disturbances(self, duty: DutySettings, bound: Bounds) -> list[tuple[int, int]]:
        """Return the periods in which views may differ: at the start, around faults and false deaths."""
        slack = bound.disagreement
        spans = [(fault.at, fault.at + fault.length + slack) for fault in self.faults]
        spans += [(at - slack, at + slack) for at, _ in self.false_deaths]
        start = dissemination_time(self.timeouts, self.instances) + duty.interval
        spans.append((self.began_at, self.began_at + start))
        return spans

    def round_times(self) -> Iterator[tuple[int, list[int], int]]:
        """Yield for each target when it was added, the times of its rounds, and when it was removed."""
        for target in [*self.targets, *self.removed_at]:
            times = [at for at, _ in self.rounds.get((0, target), ())]
            yield self.added_at[target], times, self.removed_at.get(target, self.ended_at)


@dataclass
class RoundFindings:
    """The findings on the rounds of all targets."""

    served: int = 0
    longest_gap: int = 0
    most_duplicates: int = 0  # of one target
    undisturbed_duplicates: int = 0  # in periods without a change


def examine_rounds(record: RunRecord, duty: DutySettings, bound: Bounds) -> RoundFindings:
    """Find gaps between rounds of a target, and rounds within half an interval of the previous one."""
    found = RoundFindings()
    disturbed = record.disturbances(duty, bound)
    for added_at, times, removed_at in record.round_times():
        found.served += len(times)
        for since, until in pairwise([added_at, *times, removed_at]):
            gap = until - since - record.outage_between(since, until)
            found.longest_gap = max(found.longest_gap, gap)
        duplicates = [until for before, until in pairwise(times) if until - before < duty.interval // 2]
        found.most_duplicates = max(found.most_duplicates, len(duplicates))
        found.undisturbed_duplicates += count_outside(duplicates, disturbed)
    return found


def count_outside(times: Iterable[int], spans: Sequence[tuple[int, int]]) -> int:
    """Return how many of the times lie outside all of the periods."""
    return sum(not any(begin <= at <= end for begin, end in spans) for at in times)


def take_overs(record: RunRecord) -> list[int]:
    """Return for each death the times until the targets of the dead instance were served again."""
    found: list[int] = []
    for (duty, target), rounds in record.rounds.items():
        if duty != 0 or target in record.removed_at:
            continue
        times = [at for at, _ in rounds]
        for death, instance in record.deaths:
            index = bisect_left(times, death)
            if 0 < index < len(rounds) and rounds[index - 1][1] == instance:
                found.append(times[index] - death - record.outage_between(death, times[index]))
    return found


def findings(record: RunRecord, duty: DutySettings) -> list[CheckResult]:
    """Return the rows of the report of one run, with their bounds."""
    bound = record.bound(duty)
    return [
        *_run_rows(record, duty),
        *_round_rows(record, duty, bound),
        *_take_over_rows(record, bound),
        *_membership_rows(record),
    ]


def _run_rows(record: RunRecord, duty: DutySettings) -> list[CheckResult]:
    return [
        CheckResult("instances", record.instances),
        CheckResult("targets", len(record.targets)),
        CheckResult("interval, s", seconds(duty.interval)),
        CheckResult("duration, s", round((record.ended_at - record.began_at) / SECOND, 1)),
        CheckResult("faults", len(record.faults)),
        CheckResult("most ring neighbours unreachable at once", record.unreachable_neighbours),
    ]


def _round_rows(record: RunRecord, duty: DutySettings, bound: Bounds) -> list[CheckResult]:
    rounds = examine_rounds(record, duty, bound)
    changes = [fault.length for fault in record.faults] + [0 for _ in record.false_deaths]
    duplicates_bound = most_duplicates(duty, bound, changes)
    rows = [
        CheckResult("rounds served", rounds.served),
        at_most("longest gap, s", seconds(rounds.longest_gap), seconds(_gap_bound(record, bound))),
        at_most("most duplicate rounds of one target", rounds.most_duplicates, duplicates_bound),
        at_most("duplicate rounds without a change", rounds.undisturbed_duplicates, 0),
        at_most("rounds at removed targets after the grace period", record.rounds_after_removal, 0),
    ]
    if duty.mode == DutyMode.ONE_OWNER:
        rows += [
            at_most("times at which two instances held one slot", record.lease_conflicts, 0),
            CheckResult("rounds rejected for an older epoch", record.rejected_rounds),
        ]
    return rows


def _gap_bound(record: RunRecord, bound: Bounds) -> int:
    return bound.restart if record.has_restarts else bound.gap


def _take_over_rows(record: RunRecord, bound: Bounds) -> list[CheckResult]:
    times = take_overs(record)
    longest = bound.take_over + _gap_bound(record, bound) - bound.gap
    return [
        CheckResult("take-over, median, s", seconds(int(median(times))) if times else None),
        at_most("take-over, longest, s", seconds(max(times, default=0)), seconds(longest)),
    ]


def _membership_rows(record: RunRecord) -> list[CheckResult]:
    span = (record.ended_at - record.began_at) / SECOND
    mean_bytes = record.sampled_bytes / max(1, record.sampled_messages)
    sent = round(mean_bytes * record.messages / record.instances / span)
    return [
        CheckResult("live instances declared dead", len(record.false_deaths)),
        CheckResult("messages per instance and second", round(record.messages / record.instances / span, 2)),
        CheckResult("bytes per instance and second", sent),
        CheckResult("instances that yielded their identity", record.yielded),
        CheckResult("views agree at the end", record.views_agree, True, record.views_agree),
    ]
