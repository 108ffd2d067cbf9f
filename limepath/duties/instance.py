"""One instance: membership and duties behind one `handle`, for the host, the simulation and the tests alike.

Events and commands are those of `membership.interface` and `duties.interface`. Free of I/O.
"""

from collections import deque
from collections.abc import Iterable, Sequence
from typing import Any

from limepath.configuration.sharing_settings import DutyMode, DutySettings, LeaseSettings, MembershipTimeouts
from limepath.duties.instance_view import (
    InstanceView,
    describe_counts,
    describe_duty,
    describe_members,
    describe_self,
)
from limepath.duties.interface import (
    LEASE_MESSAGES,
    ProbeResult,
    ProbeResults,
    SendToMember,
    TargetServed,
    TargetsUpdated,
)
from limepath.duties.leases import LeaseManager
from limepath.duties.live_ring import LiveRing
from limepath.duties.ring import KeyedTarget, key_of
from limepath.duties.share import DutyShare
from limepath.duties.shared_results import SharedResults
from limepath.membership.interface import (
    NEWEST_VERSION,
    LeaveCompleted,
    LeaveRequested,
    MemberJoined,
    MemberLeft,
    MemberRecord,
    Message,
    MessageReceived,
    MessageRelayed,
    YieldIdentity,
)
from limepath.membership.members import Members
from limepath.timer_queue import TimerQueue

DUTIES_SEED = 0x5EED
"""Keeps the random numbers of the duties apart from those of the membership."""


class Instance:
    """An instance's membership, leases, schedules and shared results.

    `me` is its own record, `ceiling` and `sure` are what its store knows of epochs (see `voter`), `speaks` is
    the newest protocol version that it uses.
    """

    def __init__(
        self,
        me: MemberRecord,
        seeds: Sequence[tuple[str, int]],
        timeouts: MembershipTimeouts,
        duties: Sequence[DutySettings],
        lease_settings: LeaseSettings,
        seed: int,
        ceiling: int = 0,
        sure: bool = True,
        speaks: int = NEWEST_VERSION,
    ):
        self.members = Members(me, seeds, timeouts, seed, speaks)
        self.timers = TimerQueue(seed ^ DUTIES_SEED)
        self.token = me.token
        self.tokens_by_name: dict[str, int] = {}
        """Of the live members; the voters are configured by name."""
        self.is_draining = False
        self.has_ended = False
        """Whether this instance has left or yielded its identity."""
        self.live_ring = LiveRing(me.token, lambda: self.members.ring)
        self.slot_keys = sorted(KeyedTarget(key_of(slot + 1), slot) for slot in range(lease_settings.slots))
        self.wanted_slots: list[int] | None = None
        """The slots that the ring assigns to this instance; None while they are to be computed."""
        self.loopback: deque[Message] = deque()
        """Lease messages of this instance to its own voter, and back."""
        self.lease_manager = self._make_lease_manager(me, duties, lease_settings, ceiling, sure)
        self.shares = [
            DutyShare(self.timers, duty, settings, lease_settings.slots, self.lease_manager)
            for duty, settings in enumerate(duties)
        ]
        self.shared_results = SharedResults(
            self.timers,
            me.token,
            [settings.interval for settings in duties],
            lease_settings,
            lambda: self.members.ring,
            self.members.is_live,
        )

    def _make_lease_manager(
        self,
        me: MemberRecord,
        duties: Sequence[DutySettings],
        settings: LeaseSettings,
        ceiling: int,
        sure: bool,
    ) -> LeaseManager | None:
        leased = [duty for duty, plan in enumerate(duties) if plan.mode == DutyMode.ONE_OWNER]
        if not leased:
            return None
        return LeaseManager(
            self.timers,
            me.name,
            me.session_token,
            settings,
            leased,
            self._find_wanted_slots,
            self._on_leases_changed,
            self._send_to_voter,
            ceiling,
            sure,
        )

    # What the host calls

    def start(self, now: int) -> list[Any]:
        """Start membership and leases; return the commands that follow."""
        self.timers.now = now
        if self.lease_manager:
            self.lease_manager.start()
        return self._settle(now, self.members.start(now))

    def handle(self, now: int, events: Sequence[Any]) -> list[Any]:
        """Take in events at `now` and do what is due; return the commands that follow, in their order."""
        member_events = [event for event in events if isinstance(event, (MessageReceived, LeaveRequested))]
        if any(isinstance(event, LeaveRequested) for event in member_events) and not self.is_draining:
            self._leave()
        commands = self._settle(now, self.members.handle(now, member_events))
        if len(member_events) == len(events):
            return commands
        self.timers.now = now
        for event in events:
            if isinstance(event, TargetServed):
                self._handle_target_served(event)
            elif isinstance(event, TargetsUpdated):
                self._handle_targets_updated(event)
        return commands + self._settle(now, [])

    def next(self) -> int | None:
        """When to call `handle` again at the latest, or None."""
        due_times = [due for due in (self.members.next(), self.timers.next_due()) if due is not None]
        return min(due_times) if due_times and not self.has_ended else None

    def find_answer(self, target: int, max_age: int) -> ProbeResult | None:
        """Return a shared result that stands in for a probe (see `SharedResults.find_answer`)."""
        return self.shared_results.find_answer(target, max_age)

    def preload_members(self, records: Iterable[MemberRecord]) -> None:
        """Know these members from the start, without joining by messages."""
        self.members.add_known_members(records)
        for command in self.members.timers.take_commands():
            if isinstance(command, MemberJoined):
                self.add_member(command.member)

    def view(self) -> InstanceView:
        """Return what the control socket reports of this instance."""
        return InstanceView(
            describe_self(self.members, self.lease_manager, self.timers.now, self.is_draining),
            describe_members(self.members),
            [describe_duty(share) for share in self.shares],
            describe_counts(self.members, self.shared_results, self.shares),
        )

    # Events of the duties

    def _handle_targets_updated(self, event: TargetsUpdated) -> None:
        self.shares[event.duty].set_targets(event.targets)
        self.shared_results.retain(event.duty, event.targets)

    def _handle_target_served(self, event: TargetServed) -> None:
        """Share this instance's own result, of a scheduled round or of a probe that the front asked for."""
        self.shared_results.add_own(event.duty, event.target, event.outcome, event.duration, event.load)
        served_at = self.timers.now - event.duration
        self.shares[event.duty].schedule.record_served(event.target, served_at)

    def _leave(self) -> None:
        """Hand over before leaving: release the leases, serve no target any more."""
        self.is_draining = True
        if self.lease_manager:
            self.lease_manager.leave()
        for share in self.shares:
            share.schedule.set_owned(())

    # Membership and duties in turn

    def _settle(self, now: int, commands: Iterable[Any]) -> list[Any]:
        """Apply the membership's commands and do what the duties have due, until nothing is left."""
        settled: list[Any] = []
        self.timers.now = now
        while True:
            settled += self._apply_member_commands(commands)
            if self.has_ended:
                return settled
            self._deliver_loopback()
            self.timers.run_due(now)
            self._divide_stale_shares(now)
            self.timers.run_due(now)
            settled += self._send_commands()
            commands = self.members.timers.take_commands()
            if not commands and not self.loopback:
                return settled

    def _apply_member_commands(self, commands: Iterable[Any]) -> list[Any]:
        """Take in what concerns the duties; return the commands that the host carries out."""
        remaining: list[Any] = []
        for command in commands:
            if isinstance(command, MessageRelayed) and self._handle_message(command.sender, command.message):
                continue
            if isinstance(command, MemberJoined):
                self.add_member(command.member)
            elif isinstance(command, MemberLeft):
                self.remove_member(command.member)
            else:
                if isinstance(command, (YieldIdentity, LeaveCompleted)):
                    self.has_ended = True
                remaining.append(command)
        return remaining

    def _handle_message(self, sender: MemberRecord, message: Message) -> bool:
        """Take a message in; return False for one of another logic, which the host hands on."""
        if isinstance(message, ProbeResults):
            for known in self.shared_results.receive(message.results):
                schedule = self.shares[known.result.duty].schedule
                schedule.record_served(known.result.target, known.served_at)
            return True
        if self.lease_manager and isinstance(message, LEASE_MESSAGES):
            self.lease_manager.handle_message(sender.name, sender.session_token, message)
            return True
        return False

    def _deliver_loopback(self) -> None:
        me = self.members.me
        while self.loopback and self.lease_manager:
            self.lease_manager.handle_message(me.name, me.session_token, self.loopback.popleft())

    def _divide_stale_shares(self, now: int) -> None:
        for share in self.shares:
            if not share.is_stale or self.is_draining:
                continue
            settles_at = self.live_ring.settles_at(now)
            if settles_at is None:
                share.divide(self.live_ring.current(), self.token)
            else:
                self.timers.schedule(settles_at, self._look_again)

    def _look_again(self) -> None:
        """Nothing to do: stale shares are looked at whenever a timer has run."""

    def _send_commands(self) -> list[Any]:
        """Send the duties' messages through the membership; return the other commands."""
        remaining: list[Any] = []
        for command in self.timers.take_commands():
            if isinstance(command, SendToMember):
                self.members.send_to_member(command.token, command.message)
            else:
                remaining.append(command)
        return remaining

    # The view and the leases

    def add_member(self, record: MemberRecord) -> None:
        """Take in a member that has joined."""
        self.live_ring.add(record.token)
        self.tokens_by_name[record.name] = record.token
        self._on_view_changed()

    def remove_member(self, record: MemberRecord) -> None:
        """Take off a member that has left or died."""
        self.live_ring.remove(record.token)
        if self.tokens_by_name.get(record.name) == record.token:
            del self.tokens_by_name[record.name]
        self._on_view_changed()

    def _on_view_changed(self) -> None:
        self.wanted_slots = None
        for share in self.shares:
            share.is_stale = True

    def _on_leases_changed(self, duty: int) -> None:
        self.shares[duty].is_stale = True

    def _find_wanted_slots(self, duty: int) -> list[int]:
        if self.wanted_slots is None:
            self.wanted_slots = self.live_ring.current().targets_of(self.token, self.slot_keys)
        return self.wanted_slots

    def _send_to_voter(self, name: str, message: Message) -> None:
        if name == self.members.me.name:
            self.loopback.append(message)
        elif (token := self.tokens_by_name.get(name)) is not None:
            self.members.send_to_member(token, message)
