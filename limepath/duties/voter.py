"""A voter: grants and denies leases on slots, each grant with an epoch above all that were granted before.

As Gray and Cheriton's leases (1989), with a majority of fixed voters, as in Paxos, in place of one server.
What must survive a crash is the ceiling of epochs: it is persisted in blocks, before any grant above it. A
voter that has just started grants nothing for `startup_silence`, since grants of its former incarnation may
still hold. One whose store is new or lost grants nothing either until it has reports from so many others
that every majority is among them. Free of I/O.
"""

from collections.abc import Callable, Hashable, Sequence

from limepath.configuration.sharing_settings import LeaseSettings
from limepath.duties.interface import (
    DeniedSlot,
    EpochQuery,
    EpochReport,
    LeaseGrant,
    LeaseRelease,
    LeaseRequest,
    PersistEpochCeiling,
)
from limepath.duties.lease_timing import renewal_interval, startup_silence
from limepath.membership.interface import Message
from limepath.timer_queue import TimerQueue

EPOCHS_RESERVED = 1000
"""Epochs by which the persisted ceiling is ahead of the highest grant: one write for so many."""

SendToVoter = Callable[[str, Message], object]
"""Sends a message to the voter of that name."""


class Grant:
    """What a voter has granted on one slot."""

    __slots__ = ("epoch", "expires_at", "holder")

    def __init__(self, holder: Hashable, epoch: int, expires_at: int):
        self.holder = holder
        self.epoch = epoch
        self.expires_at = expires_at


class Voter:
    """The voter of one instance. `ceiling` and `sure` come from the store; a holder is one incarnation."""

    def __init__(
        self,
        timers: TimerQueue,
        settings: LeaseSettings,
        other_voters: Sequence[str],
        ceiling: int,
        sure: bool,
    ):
        self.timers = timers
        self.settings = settings
        self.other_voters = other_voters
        self.ceiling = ceiling
        """No epoch above this one was granted yet."""
        self.epoch_floor = ceiling
        """Epochs up to this one may have been granted by a former incarnation, and are not granted again."""
        self.sure = sure
        """Whether `ceiling` is known to cover all that was ever granted here."""
        self.grants: dict[tuple[int, int], Grant] = {}
        """By duty and slot."""
        self.silent_until: int | None = None
        """Nothing is granted before this time; None until `start`."""
        self.query_round = 0
        self.reports: dict[str, EpochReport] = {}

    def start(self, send: SendToVoter) -> None:
        """Begin the silence after a start, and query the other voters where the store does not suffice."""
        self.silent_until = self.timers.now + startup_silence(self.settings)
        self.query_epochs(send)

    def can_vote(self) -> bool:
        """Whether requests are answered now."""
        if self.silent_until is None:
            return False
        return self.sure and self.timers.now >= self.silent_until

    def is_valid(self, grant: Grant) -> bool:
        """Whether a grant has not expired."""
        return self.timers.now < grant.expires_at

    def handle_request(self, holder: Hashable, request: LeaseRequest) -> LeaseGrant | None:
        """Return the answer to a request, or None while this voter grants nothing."""
        if not self.can_vote():
            return None
        granted: list[int] = []
        denied: list[DeniedSlot] = []
        for slot, epoch in request.slots:
            denial = self._grant_or_deny(request.duty, slot, holder, epoch)
            if denial is None:
                granted.append(slot)
            else:
                denied.append(denial)
        return LeaseGrant(request.duty, request.round, tuple(granted), tuple(denied))

    def _grant_or_deny(self, duty: int, slot: int, holder: Hashable, epoch: int) -> DeniedSlot | None:
        """Renew or grant one slot and return None, or return why not."""
        now = self.timers.now
        grant = self.grants.get((duty, slot))
        if grant and grant.holder == holder and grant.epoch == epoch:
            grant.expires_at = now + self.settings.span
            return None
        if grant and grant.holder != holder and self.is_valid(grant):
            return DeniedSlot(slot, grant.epoch, grant.expires_at - now)
        highest = max(grant.epoch if grant else 0, self.epoch_floor)
        if epoch <= highest:
            return DeniedSlot(slot, highest, 0)
        if epoch > self.ceiling:
            self._raise_ceiling(epoch + EPOCHS_RESERVED)
        self.grants[duty, slot] = Grant(holder, epoch, now + self.settings.span)
        return None

    def _raise_ceiling(self, ceiling: int) -> None:
        self.ceiling = ceiling
        self.timers.emit(PersistEpochCeiling(ceiling))

    def handle_release(self, holder: Hashable, release: LeaseRelease) -> None:
        """Let grants of this holder expire now; others' stay."""
        for slot, epoch in release.slots:
            grant = self.grants.get((release.duty, slot))
            if grant and grant.holder == holder and grant.epoch == epoch:
                grant.expires_at = self.timers.now

    def highest_epoch(self) -> int:
        """No epoch above this one was granted here."""
        return max([self.ceiling, *(grant.epoch for grant in self.grants.values())])

    def query_epochs(self, send: SendToVoter) -> None:
        """Ask the other voters for their ceilings, repeatedly until enough have reported."""
        if self.sure:
            return
        if not self.other_voters:
            self._adopt_reports()
            return
        self.query_round += 1
        for name in self.other_voters:
            send(name, EpochQuery(self.query_round))
        self.timers.schedule(self.timers.now + renewal_interval(self.settings), self.query_epochs, send)

    def handle_report(self, name: str, report: EpochReport) -> None:
        """Take in another voter's ceiling; become sure once enough are known.

        Enough are so many sure voters that each majority holds one of them, or all there are (a new fleet).
        """
        if self.sure or name not in self.other_voters:
            return
        self.reports[name] = report
        voters = len(self.other_voters) + 1
        majority = voters // 2 + 1
        enough = voters - majority + 1
        sure_reports = sum(known.sure for known in self.reports.values())
        if sure_reports >= enough or len(self.reports) == len(self.other_voters):
            self._adopt_reports()

    def _adopt_reports(self) -> None:
        ceiling = max([self.ceiling, *(report.ceiling for report in self.reports.values())])
        self.epoch_floor = ceiling
        self.sure = True
        self._raise_ceiling(ceiling)
