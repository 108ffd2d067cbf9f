"""What a run under faults showed, beside its bounds: for runs in virtual time and drills alike."""

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
    """What was recorded of a run. Times are microseconds, pairs of them spans, instances are indices."""

    timeouts: MembershipTimeouts
    lease_settings: LeaseSettings
    instances: int
    began_at: int
    ended_at: int
    faults: Sequence[Any]  # with `at` and `length`
    targets: Collection[Any]  # on the endpoint list at the end
    added_at: Mapping[Any, int]  # by target, removed ones too
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
    neighbours_away: int
    messages: int
    sampled_messages: int
    sampled_bytes: int
    views_agree: bool

    def bound(self, duty: DutySettings) -> Bounds:
        """Return the bounds of this run."""
        return bounds(self.timeouts, duty, self.lease_settings, self.instances, self.neighbours_away)

    def outage_between(self, since: int, until: int) -> int:
        """Return how long the duties could not be served within a span."""
        return sum(max(0, min(until, end) - max(since, begin)) for begin, end in self.outages)

    def disturbances(self, duty: DutySettings, bound: Bounds) -> list[tuple[int, int]]:
        """Return the spans in which views may differ: the start, faults, and deaths declared falsely."""
        slack = bound.disagreement
        spans = [(fault.at, fault.at + fault.length + slack) for fault in self.faults]
        spans += [(at - slack, at + slack) for at, _ in self.false_deaths]
        start = dissemination_time(self.timeouts, self.instances) + duty.interval
        spans.append((self.began_at, self.began_at + start))
        return spans

    def round_times(self) -> Iterator[tuple[int, list[int], int]]:
        """Give for each target when it was added, the times of its rounds, and when it was removed."""
        for target in [*self.targets, *self.removed_at]:
            times = [at for at, _ in self.rounds.get((0, target), ())]
            yield self.added_at[target], times, self.removed_at.get(target, self.ended_at)


@dataclass
class RoundFindings:
    """What the rounds of all targets showed."""

    served: int = 0
    longest_gap: int = 0
    most_duplicates: int = 0  # of one target
    undisturbed_duplicates: int = 0  # while nothing had changed


def examine_rounds(record: RunRecord, duty: DutySettings, bound: Bounds) -> RoundFindings:
    """Find the gaps between rounds of a target, and rounds within half an interval of the one before."""
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
    """Return how many of the times lie in none of the spans."""
    return sum(not any(begin <= at <= end for begin, end in spans) for at in times)


def take_overs(record: RunRecord) -> list[int]:
    """Return for each death the times until a target that was the dead one's was served again."""
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
    """Return the rows of one run, with their bounds."""
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
        CheckResult("time, s", round((record.ended_at - record.began_at) / SECOND, 1)),
        CheckResult("faults", len(record.faults)),
        CheckResult("ring neighbours away at once, most", record.neighbours_away),
    ]


def _round_rows(record: RunRecord, duty: DutySettings, bound: Bounds) -> list[CheckResult]:
    rounds = examine_rounds(record, duty, bound)
    changes = [fault.length for fault in record.faults] + [0 for _ in record.false_deaths]
    duplicates_bound = most_duplicates(duty, bound, changes)
    rows = [
        CheckResult("rounds served", rounds.served),
        at_most("longest gap, s", seconds(rounds.longest_gap), seconds(_gap_bound(record, bound))),
        at_most("most doubles of one target", rounds.most_duplicates, duplicates_bound),
        at_most("doubles while nothing had changed", rounds.undisturbed_duplicates, 0),
        at_most("rounds at targets gone, after the grace", record.rounds_after_removal, 0),
    ]
    if duty.mode == DutyMode.ONE_OWNER:
        rows += [
            at_most("moments at which two held one slot", record.lease_conflicts, 0),
            CheckResult("rounds turned away for an older epoch", record.rejected_rounds),
        ]
    return rows


def _gap_bound(record: RunRecord, bound: Bounds) -> int:
    return bound.restart if record.has_restarts else bound.gap


def _take_over_rows(record: RunRecord, bound: Bounds) -> list[CheckResult]:
    times = take_overs(record)
    longest = bound.take_over + _gap_bound(record, bound) - bound.gap
    return [
        CheckResult("take-over, median, s", seconds(int(median(times))) if times else None),
        at_most("take-over, worst, s", seconds(max(times, default=0)), seconds(longest)),
    ]


def _membership_rows(record: RunRecord) -> list[CheckResult]:
    span = (record.ended_at - record.began_at) / SECOND
    mean_bytes = record.sampled_bytes / max(1, record.sampled_messages)
    sent = round(mean_bytes * record.messages / record.instances / span)
    return [
        CheckResult("declared dead though alive", len(record.false_deaths)),
        CheckResult("messages per instance and second", round(record.messages / record.instances / span, 2)),
        CheckResult("bytes per instance and second", sent),
        CheckResult("gave way", record.yielded),
        CheckResult("views agree at the end", record.views_agree, True, record.views_agree),
    ]
