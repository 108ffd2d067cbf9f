"""The leases of one instance on slots of targets, granted by a majority of fixed voters.

A lease guarantees that a target has at most one owner. It runs from when its request was sent and is shorter
than the voters' grants by `drift`, so it ends before they do, independent of wall clocks (see `lease_timing`
and `voter`). An epoch is granted to one holder only and exceeds all epochs granted before, so it fences off
previous holders. The module does no I/O.
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
    """A lease of this instance; it is held until `expires_at`."""

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
        """The voters that have granted the lease, by slot."""


class LeaseManager:
    """Acquires, renews and releases one instance's leases; owns its voter if the instance is one.

    `wanted_slots(duty)` returns the slots that the instance should hold according to its view of the fleet.
    `on_change(duty)` is called when the slots that it holds have changed. `send(name, message)` sends a
    message to an instance by its name, which may be this instance itself.
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
        is_ceiling_known: bool = True,
    ):
        self.timers = timers
        self.name = name
        self.session = session
        """Identifies this incarnation of the instance to the voters."""
        self.settings = settings
        self.duties = tuple(duties)
        self.wanted_slots = wanted_slots
        self.on_change = on_change
        self.send = send
        self.voter: Voter | None = None
        if name in settings.voters:
            other_voters = [voter for voter in settings.voters if voter != name]
            self.voter = Voter(timers, settings, other_voters, ceiling, is_ceiling_known)
        self.majority = len(settings.voters) // 2 + 1
        self.held_leases: dict[tuple[int, int], Lease] = {}
        """Leases by duty and slot; an expired lease stays until the next renewal."""
        self.highest_epochs: dict[tuple[int, int], int] = {}
        """By duty and slot, the highest epoch that any instance has requested, as far as is known here."""
        self.retry_at: dict[tuple[int, int], int] = {}
        """By duty and slot, the time from which a slot that was denied may be requested again."""
        self.pending_requests: dict[int, PendingRequest] = {}
        """Requests by their round number."""
        self.round = 0
        self.is_draining = False

    def start(self) -> None:
        """Start the voter, and schedule the first renewal at a random time."""
        if self.voter:
            self.voter.start(self.send)
        delay = int(self.timers.random_fraction() * renewal_interval(self.settings))
        self.timers.schedule(self.timers.now + delay, self.renew)

    def valid_lease(self, duty: int, slot: int) -> Lease | None:
        """Return the lease on a slot, or None if this instance holds none now."""
        lease = self.held_leases.get((duty, slot))
        return lease if lease and self.timers.now < lease.expires_at else None

    def slots_held(self, duty: int) -> set[int]:
        """Return the slots of a duty that this instance holds now."""
        now = self.timers.now
        return {
            slot
            for (lease_duty, slot), lease in self.held_leases.items()
            if lease_duty == duty and now < lease.expires_at
        }

    # Acquire and renew

    def renew(self) -> None:
        """Renew the leases on wanted slots, request wanted slots that are free, release the other leases."""
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
                # A voter that has restarted does not grant an earlier epoch again, so request a higher one.
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
        """Release the slots that no majority has granted by now, so that a split vote does not block them."""
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
        """Count the votes in a voter's answer to a pending request."""
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
        """Count one vote, and acquire or renew the lease on a majority; return whether it was acquired."""
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
            if not is_new_epoch:  # the lease was released in the meantime
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

    # Expiry and release

    def _expire_leases(self) -> None:
        """Delete the leases that have expired; their epochs are not used again."""
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
        """Release all leases and request no more."""
        self.is_draining = True
        for duty in self.duties:
            self._release_held(duty, {slot for lease_duty, slot in self.held_leases if lease_duty == duty})

    # Messages

    def handle_message(self, name: str, session: int, message: Message) -> None:
        """Handle a lease message of another instance, or one that this instance sent to itself.

        `name` is the sender's name, `session` identifies the sender's incarnation.
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
            report = EpochReport(message.round, self.voter.highest_epoch(), self.voter.is_ceiling_known)
            self.send(name, report)
        elif isinstance(message, EpochReport):
            self.voter.handle_report(name, message)
