"""The voter: grants and denies leases on slots; the epoch of each new grant exceeds all earlier ones.

The leases follow Gray and Cheriton (1989), with a majority of fixed voters, as in Paxos, in place of a single
server. Only the epoch ceiling has to survive a crash: it is persisted in blocks, before any epoch above it is
granted. A voter that has just started grants nothing for `startup_silence`, because grants of its previous
incarnation may still be valid. A voter whose store is new or lost also waits for epoch reports from enough
other voters that every possible majority includes one of them. The module does no I/O.
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
"""How far the persisted ceiling is set above the granted epoch, so that one write covers this many epochs."""

SendToVoter = Callable[[str, Message], object]
"""Sends a message to the voter of that name."""


class Grant:
    """A voter's latest grant on one slot; it may have expired."""

    __slots__ = ("epoch", "expires_at", "holder")

    def __init__(self, holder: Hashable, epoch: int, expires_at: int):
        self.holder = holder
        self.epoch = epoch
        self.expires_at = expires_at


class Voter:
    """The voter of one instance.

    `ceiling` and `is_ceiling_known` come from the store. A holder is identified by its session, which is
    different for each incarnation of an instance.
    """

    def __init__(
        self,
        timers: TimerQueue,
        settings: LeaseSettings,
        other_voters: Sequence[str],
        ceiling: int,
        is_ceiling_known: bool,
    ):
        self.timers = timers
        self.settings = settings
        self.other_voters = other_voters
        self.ceiling = ceiling
        """The persisted epoch ceiling: no higher epoch has been granted yet."""
        self.epoch_floor = ceiling
        """Epochs up to this one may have been granted by a previous incarnation and are not granted again."""
        self.is_ceiling_known = is_ceiling_known
        """Whether `ceiling` is known to cover every epoch that this voter ever granted."""
        self.grants: dict[tuple[int, int], Grant] = {}
        """The latest grant by duty and slot."""
        self.silent_until: int | None = None
        """The time before which the voter grants nothing; None until `start` is called."""
        self.query_round = 0
        self.reports: dict[str, EpochReport] = {}

    def start(self, send: SendToVoter) -> None:
        """Start the startup silence, and query the other voters if the store does not give the ceiling."""
        self.silent_until = self.timers.now + startup_silence(self.settings)
        self.query_epochs(send)

    def can_vote(self) -> bool:
        """Return whether the voter answers requests now."""
        if self.silent_until is None:
            return False
        return self.is_ceiling_known and self.timers.now >= self.silent_until

    def is_valid(self, grant: Grant) -> bool:
        """Return whether a grant has not expired yet."""
        return self.timers.now < grant.expires_at

    def handle_request(self, holder: Hashable, request: LeaseRequest) -> LeaseGrant | None:
        """Return the answer to a request, or None while this voter may not vote."""
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
        """Grant or renew the lease on one slot and return None, or return the denial."""
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
        """Expire the released grants at once, except those of other holders."""
        for slot, epoch in release.slots:
            grant = self.grants.get((release.duty, slot))
            if grant and grant.holder == holder and grant.epoch == epoch:
                grant.expires_at = self.timers.now

    def highest_epoch(self) -> int:
        """Return an upper bound of all epochs that this voter has granted."""
        return max([self.ceiling, *(grant.epoch for grant in self.grants.values())])

    def query_epochs(self, send: SendToVoter) -> None:
        """Query the other voters for their ceilings, and repeat until enough of them have reported."""
        if self.is_ceiling_known:
            return
        if not self.other_voters:
            self._adopt_reports()
            return
        self.query_round += 1
        for name in self.other_voters:
            send(name, EpochQuery(self.query_round))
        self.timers.schedule(self.timers.now + renewal_interval(self.settings), self.query_epochs, send)

    def handle_report(self, name: str, report: EpochReport) -> None:
        """Record another voter's ceiling, and adopt the highest one once enough voters have reported.

        Enough is a number of voters with known ceilings such that every majority includes one of them.
        Reports of all other voters suffice in any case: in a new fleet no voter has a known ceiling.
        """
        if self.is_ceiling_known or name not in self.other_voters:
            return
        self.reports[name] = report
        voters = len(self.other_voters) + 1
        majority = voters // 2 + 1
        enough = voters - majority + 1
        known_ceilings = sum(known.is_ceiling_known for known in self.reports.values())
        if known_ceilings >= enough or len(self.reports) == len(self.other_voters):
            self._adopt_reports()

    def _adopt_reports(self) -> None:
        ceiling = max([self.ceiling, *(report.ceiling for report in self.reports.values())])
        self.epoch_floor = ceiling
        self.is_ceiling_known = True
        self._raise_ceiling(ceiling)
