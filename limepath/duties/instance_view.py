"""The state that a running instance reports on its control socket. The keys are part of that interface."""

from collections.abc import Sequence
from typing import Any, NamedTuple

from limepath.duties.leases import LeaseManager
from limepath.duties.share import DutyShare
from limepath.duties.shared_results import SharedResults
from limepath.membership.interface import MemberRecord
from limepath.membership.members import Members

STATE_NAMES = ("alive", "suspect", "dead", "left")
"""Names of the states, indexed by MemberState."""


class InstanceView(NamedTuple):
    """The state of an instance, in values that can be encoded as JSON."""

    me: dict[str, Any]
    members: list[dict[str, Any]]
    duties: list[dict[str, Any]]
    counts: dict[str, int]


def describe_self(
    members: Members, lease_manager: LeaseManager | None, now: int, is_draining: bool
) -> dict[str, Any]:
    """Return the instance's identity and state; `now_us` is the time of its monotonic clock."""
    me = members.me
    voter = lease_manager.voter if lease_manager else None
    return {
        "name": me.name,
        "token": f"{me.token:016x}",
        "life": me.generation,
        "incarnation": me.incarnation,
        "joined": not members.joining,
        "leaving": is_draining,
        "votes": voter.can_vote() if voter else False,
        "epoch_ceiling": voter.ceiling if voter else 0,
        "now_us": now,
    }


def describe_members(members: Members) -> list[dict[str, Any]]:
    """Return a row for each known member, including this instance, sorted by name."""
    records = [members.me, *members.table.values()]
    return [describe_member(record) for record in sorted(records, key=lambda one: (one.name, one.token))]


def describe_member(record: MemberRecord) -> dict[str, Any]:
    """Return the row of one member."""
    return {
        "name": record.name,
        "token": f"{record.token:016x}",
        "address": f"{record.host}:{record.port}",
        "state": STATE_NAMES[record.state],
        "incarnation": record.incarnation,
        "life": record.generation,
    }


def describe_duty(share: DutyShare) -> dict[str, Any]:
    """Return one duty, the number of its targets that this instance owns, and its lease epochs by slot."""
    row: dict[str, Any] = {
        "name": share.settings.name,
        "mode": share.settings.mode.name.lower().replace("_", "-"),
        "interval_us": share.settings.interval,
        "targets": len(share.keyed_targets),
        "owned": len(share.schedule.owned),
    }
    manager = share.lease_manager
    if manager is not None:
        row["slots"] = {
            slot: manager.held_leases[share.duty, slot].epoch
            for slot in sorted(manager.slots_held(share.duty))
        }
        row["epoch"] = max(row["slots"].values(), default=0)
    return row


def describe_counts(members: Members, results: SharedResults, shares: Sequence[DutyShare]) -> dict[str, int]:
    """Return the counts of the membership, of shared results and of missed rounds."""
    counts = dict(members.counts)
    counts["view"] = len(members.ring) + 1
    counts |= {f"results {kind}": count for kind, count in results.counts.items()}
    counts["rounds missed"] = sum(share.schedule.missed_rounds for share in shares)
    return counts
