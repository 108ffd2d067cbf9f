"""At most one owner: an instance's leases on slots of targets, granted by a majority of fixed voters.

A lease runs from when its request was sent and is shorter than the voters' grants by `drift`: it ends first,
whatever wall clocks do (see `lease_timing` and `voter`). An epoch is granted to one holder only and above all
that were granted before, so it fences off a former holder. Free of I/O.
"""

from collections.abc import Callable, Collection, Iterable, Sequence

from limepath.configuration.sharing_settings import LeaseSettings
from limepath.duties.interface import (
    DeniedSlot,
    EpochQuery,
    EpochReport,
    LeaseGrant,
    LeaseRelease,
    LeaseRequest,
    SlotEpoch,
)
from limepath.duties.lease_timing import holder_duration, renewal_interval
from limepath.duties.voter import SendToVoter, Voter
from limepath.membership.interface import Message
from limepath.timer_queue import TimerQueue


class Lease:
    """A lease that this instance holds until it expires."""

    __slots__ = ("epoch", "expires_at")

    def __init__(self, epoch: int, expires_at: int):
        self.epoch = epoch
        self.expires_at = expires_at


class PendingRequest:
    """A lease request whose votes are being counted."""

    __slots__ = ("duty", "epochs", "sent_at", "votes")

    def __init__(self, sent_at: int, duty: int, slots: Iterable[SlotEpoch]):
        self.sent_at = sent_at
        self.duty = duty
        self.epochs: dict[int, int] = dict(slots)
        """The requested epoch by slot."""
        self.votes: dict[int, set[str]] = {}
        """The voters that granted, by slot."""


class LeaseManager:
    """Holder of one instance's leases, and owner of its voter if it is one.

    `wanted_slots(duty)` gives the slots that it should hold by its view of the fleet. `on_change(duty)` is
    called when the slots that it holds have changed. `send(name, message)` sends to a voter, itself included.
    """

    def __init__(
        self,
        timers: TimerQueue,
        name: str,
        session: int,
        settings: LeaseSettings,
        duties: Iterable[int],
        wanted_slots: Callable[[int], Collection[int]],
        on_change: Callable[[int], object],
        send: SendToVoter,
        ceiling: int = 0,
        sure: bool = True,
    ):
        self.timers = timers
        self.name = name
        self.session = session
        """Names this incarnation of the instance to the voters."""
        self.settings = settings
        self.duties = tuple(duties)
        self.wanted_slots = wanted_slots
        self.on_change = on_change
        self.send = send
        self.voter: Voter | None = None
        if name in settings.voters:
            other_voters = [voter for voter in settings.voters if voter != name]
            self.voter = Voter(timers, settings, other_voters, ceiling, sure)
        self.majority = len(settings.voters) // 2 + 1
        self.held_leases: dict[tuple[int, int], Lease] = {}
        """By duty and slot, as all below; expired ones stay until the next renewal."""
        self.highest_epochs: dict[tuple[int, int], int] = {}
        """The highest epoch that this instance knows to have been requested by anyone."""
        self.retry_at: dict[tuple[int, int], int] = {}
        """When a slot that was denied may be requested again."""
        self.pending_requests: dict[int, PendingRequest] = {}
        """By round."""
        self.round = 0
        self.is_draining = False

    def start(self) -> None:
        """Start the voter and the renewals, the first of them at a random time."""
        if self.voter:
            self.voter.start(self.send)
        delay = int(self.timers.random_fraction() * renewal_interval(self.settings))
        self.timers.schedule(self.timers.now + delay, self.renew)

    def valid_lease(self, duty: int, slot: int) -> Lease | None:
        """Return the lease that this instance holds now."""
        lease = self.held_leases.get((duty, slot))
        return lease if lease and self.timers.now < lease.expires_at else None

    def slots_held(self, duty: int) -> set[int]:
        """Return the slots of a duty that this instance holds now."""
        now = self.timers.now
        return {
            slot for (of, slot), lease in self.held_leases.items() if of == duty and now < lease.expires_at
        }

    # Acquire and renew

    def renew(self) -> None:
        """Renew what is held and still wanted, acquire what is wanted and free, release the rest."""
        if self.is_draining:
            return
        self.timers.schedule(self.timers.now + renewal_interval(self.settings), self.renew)
        self._expire_leases()
        for duty in self.duties:
            wanted = set(self.wanted_slots(duty))
            pending = {
                slot
                for request in self.pending_requests.values()
                if request.duty == duty
                for slot in request.epochs
            }
            self._release_held(duty, self.slots_held(duty) - wanted)
            slots = self._slots_to_request(duty, wanted, pending)
            if slots:
                self._send_request(duty, slots)

    def _slots_to_request(self, duty: int, wanted: set[int], pending: set[int]) -> list[SlotEpoch]:
        slots: list[SlotEpoch] = []
        for slot in sorted(wanted):
            key = duty, slot
            lease = self.held_leases.get(key)
            highest = self.highest_epochs.get(key, 0)
            if lease and highest <= lease.epoch:
                slots.append(SlotEpoch(slot, lease.epoch))
            elif lease:
                # A voter that has started anew grants no former epoch: go on with a higher one.
                slots.append(SlotEpoch(slot, highest + 1))
            elif slot not in pending and self.retry_at.get(key, 0) <= self.timers.now:
                slots.append(SlotEpoch(slot, highest + 1))
        return slots

    def _send_request(self, duty: int, slots: Sequence[SlotEpoch]) -> None:
        self.round += 1
        self.pending_requests[self.round] = PendingRequest(self.timers.now, duty, slots)
        request = LeaseRequest(duty, self.round, tuple(slots))
        for voter in self.settings.voters:
            self.send(voter, request)
        ends_at = self.timers.now + renewal_interval(self.settings) - 1
        self.timers.schedule(ends_at, self.end_request, self.round)

    def end_request(self, request_round: int) -> None:
        """Release what no majority has granted by now, so that a split vote does not block the slot."""
        request = self.pending_requests.pop(request_round, None)
        if request is None:
            return
        lost = [
            SlotEpoch(slot, epoch)
            for slot, epoch in request.epochs.items()
            if (request.duty, slot) not in self.held_leases
        ]
        for slot, epoch in lost:
            key = request.duty, slot
            self._record_epoch(key, epoch)
            delay = int(self.timers.random_fraction() * renewal_interval(self.settings))
            self._postpone(key, self.timers.now + delay)
        self._send_release(request.duty, lost)

    def _record_epoch(self, key: tuple[int, int], epoch: int) -> None:
        self.highest_epochs[key] = max(epoch, self.highest_epochs.get(key, 0))

    def _postpone(self, key: tuple[int, int], until: int) -> None:
        self.retry_at[key] = max(self.retry_at.get(key, 0), until)

    # Votes

    def handle_grant(self, voter: str, grant: LeaseGrant) -> None:
        """Count a voter's answer to a request that is pending."""
        request = self.pending_requests.get(grant.round)
        if request is None or request.duty != grant.duty or voter not in self.settings.voters:
            return
        self._record_denials(request, grant.denied)
        acquired = False
        for slot in grant.granted:
            if slot in request.epochs:
                acquired |= self._count_vote(request, slot, voter)
        if acquired:
            self.on_change(grant.duty)

    def _record_denials(self, request: PendingRequest, denied: Iterable[DeniedSlot]) -> None:
        for slot, epoch, remaining in denied:
            if slot in request.epochs:
                key = request.duty, slot
                self._record_epoch(key, epoch)
                self._postpone(key, self.timers.now + min(remaining, self.settings.span))

    def _count_vote(self, request: PendingRequest, slot: int, voter: str) -> bool:
        """Count one vote; with a majority acquire or renew the lease. Return whether it was acquired."""
        voters = request.votes.setdefault(slot, set())
        voters.add(voter)
        expires_at = request.sent_at + holder_duration(self.settings)
        if len(voters) < self.majority or expires_at <= self.timers.now or self.is_draining:
            return False
        key = request.duty, slot
        epoch = request.epochs[slot]
        lease = self.held_leases.get(key)
        is_new_epoch = epoch > self.highest_epochs.get(key, 0)
        if lease is None:
            if not is_new_epoch:  # it was released meanwhile
                return False
            self.held_leases[key] = Lease(epoch, expires_at)
            self.highest_epochs[key] = epoch
            self.retry_at.pop(key, None)
            return True
        if lease.epoch == epoch or is_new_epoch:
            lease.epoch = epoch
            lease.expires_at = max(lease.expires_at, expires_at)
            self.highest_epochs[key] = epoch
        return False

    # Expire and release

    def _expire_leases(self) -> None:
        """Forget leases that have expired; their epochs are not used again."""
        expired = [key for key, lease in self.held_leases.items() if lease.expires_at <= self.timers.now]
        for key in expired:
            self._record_epoch(key, self.held_leases.pop(key).epoch)
        for duty in sorted({duty for duty, _ in expired}):
            self.on_change(duty)

    def _release_held(self, duty: int, slots: Collection[int]) -> None:
        released = [SlotEpoch(slot, self.held_leases.pop((duty, slot)).epoch) for slot in sorted(slots)]
        for slot, epoch in released:
            self._record_epoch((duty, slot), epoch)
        if released:
            self.on_change(duty)
            self._send_release(duty, released)

    def _send_release(self, duty: int, slots: Sequence[SlotEpoch]) -> None:
        if slots:
            for voter in self.settings.voters:
                self.send(voter, LeaseRelease(duty, tuple(slots)))

    def leave(self) -> None:
        """Release all leases and request none any more."""
        self.is_draining = True
        for duty in self.duties:
            self._release_held(duty, {slot for of, slot in self.held_leases if of == duty})

    # Messages

    def handle_message(self, name: str, session: int, message: Message) -> None:
        """Take in a lease message of another instance, or of this one to itself.

        `name` and `session` are those of the sender and of its incarnation.
        """
        if isinstance(message, LeaseGrant):
            self.handle_grant(name, message)
        elif self.voter is None:
            return
        elif isinstance(message, LeaseRequest):
            grant = self.voter.handle_request(session, message)
            if grant is not None:
                self.send(name, grant)
        elif isinstance(message, LeaseRelease):
            self.voter.handle_release(session, message)
        elif isinstance(message, EpochQuery):
            report = EpochReport(message.round, self.voter.highest_epoch(), self.voter.sure)
            self.send(name, report)
        elif isinstance(message, EpochReport):
            self.voter.handle_report(name, message)
