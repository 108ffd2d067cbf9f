"""One instance of the duties: membership, leases, schedules and shared results behind one `handle` method.

The host, the simulation and the tests all use it. Events and commands are those of `membership.interface` and
`duties.interface`. The module does no I/O.
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
"""Makes the random numbers of the duties independent of those of the membership."""


class Instance:
    """An instance's membership, leases, schedules and shared results.

    `me` is its own record. `ceiling` and `is_ceiling_known` are the epoch ceiling from its store and whether
    it had one (see `voter`). `newest_version` is the newest protocol version that the instance uses.
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
        is_ceiling_known: bool = True,
        newest_version: int = NEWEST_VERSION,
    ):
        self.members = Members(me, seeds, timeouts, seed, newest_version)
        self.timers = TimerQueue(seed ^ DUTIES_SEED)
        self.token = me.token
        self.tokens_by_name: dict[str, int] = {}
        """The tokens of the live members, because voters are configured by name."""
        self.is_draining = False
        self.has_ended = False
        """Whether this instance has left or yielded its identity."""
        self.live_ring = LiveRing(me.token, lambda: self.members.ring)
        self.slot_keys = sorted(KeyedTarget(key_of(slot + 1), slot) for slot in range(lease_settings.slots))
        self.wanted_slots: list[int] | None = None
        """The slots that the ring assigns to this instance; None if they have to be computed again."""
        self.loopback: deque[Message] = deque()
        """Lease messages between this instance and its own voter, in both directions."""
        self.lease_manager = self._make_lease_manager(me, duties, lease_settings, ceiling, is_ceiling_known)
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
        is_ceiling_known: bool,
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
            is_ceiling_known,
        )

    # What the host calls

    def start(self, now: int) -> list[Any]:
        """Start membership and leases; return the resulting commands."""
        self.timers.now = now
        if self.lease_manager:
            self.lease_manager.start()
        return self._run_until_idle(now, self.members.start(now))

    def handle(self, now: int, events: Sequence[Any]) -> list[Any]:
        """Handle events at the time `now` and run the timers that are due; return the commands in order."""
        member_events = [event for event in events if isinstance(event, (MessageReceived, LeaveRequested))]
        if any(isinstance(event, LeaveRequested) for event in member_events) and not self.is_draining:
            self._leave()
        commands = self._run_until_idle(now, self.members.handle(now, member_events))
        if len(member_events) == len(events):
            return commands
        self.timers.now = now
        for event in events:
            if isinstance(event, TargetServed):
                self._handle_target_served(event)
            elif isinstance(event, TargetsUpdated):
                self._handle_targets_updated(event)
        return commands + self._run_until_idle(now, [])

    def next(self) -> int | None:
        """Return the latest time at which `handle` must be called again, or None."""
        due_times = [due for due in (self.members.next(), self.timers.next_due()) if due is not None]
        return min(due_times) if due_times and not self.has_ended else None

    def find_recent_result(self, target: int, max_age: int) -> ProbeResult | None:
        """Return a shared result that can replace a probe, or None (see `SharedResults`)."""
        return self.shared_results.find_recent_result(target, max_age)

    def preload_members(self, records: Iterable[MemberRecord]) -> None:
        """Add known members before the start, without exchanging join messages."""
        self.members.add_known_members(records)
        for command in self.members.timers.take_commands():
            if isinstance(command, MemberJoined):
                self.add_member(command.member)

    def view(self) -> InstanceView:
        """Return the view of this instance that the control socket reports."""
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
        """Share a result of this instance, of a scheduled round or of a probe that its front requested."""
        self.shared_results.add_own(event.duty, event.target, event.outcome, event.duration, event.load)
        served_at = self.timers.now - event.duration
        self.shares[event.duty].schedule.record_served(event.target, served_at)

    def _leave(self) -> None:
        """Release the leases and stop serving, so that others take over before this instance leaves."""
        self.is_draining = True
        if self.lease_manager:
            self.lease_manager.leave()
        for share in self.shares:
            share.schedule.set_owned(())

    # Processing of commands and timers

    def _run_until_idle(self, now: int, commands: Iterable[Any]) -> list[Any]:
        """Apply the membership's commands and run the duties' timers until neither yields another command."""
        collected: list[Any] = []
        self.timers.now = now
        while True:
            collected += self._apply_member_commands(commands)
            if self.has_ended:
                return collected
            self._deliver_loopback()
            self.timers.run_due(now)
            self._update_stale_shares(now)
            self.timers.run_due(now)
            collected += self._send_commands()
            commands = self.members.timers.take_commands()
            if not commands and not self.loopback:
                return collected

    def _apply_member_commands(self, commands: Iterable[Any]) -> list[Any]:
        """Handle the commands that concern the duties; return the others, which the host executes."""
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
        """Handle a message of the duties; return False for other messages, which the host passes on."""
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

    def _update_stale_shares(self, now: int) -> None:
        for share in self.shares:
            if not share.is_stale or self.is_draining:
                continue
            settles_at = self.live_ring.settles_at(now)
            if settles_at is None:
                share.update_owned(self.live_ring.current(), self.token)
            else:
                self.timers.schedule(settles_at, self._on_ring_settled)

    def _on_ring_settled(self) -> None:
        """Do nothing: `_run_until_idle` updates the stale shares whenever a timer has run."""

    def _send_commands(self) -> list[Any]:
        """Pass the duties' messages to the membership for sending; return the other commands."""
        remaining: list[Any] = []
        for command in self.timers.take_commands():
            if isinstance(command, SendToMember):
                self.members.send_to_member(command.token, command.message)
            else:
                remaining.append(command)
        return remaining

    # Changes of the view and of the leases

    def add_member(self, record: MemberRecord) -> None:
        """Add a member that has joined."""
        self.live_ring.add(record.token)
        self.tokens_by_name[record.name] = record.token
        self._on_view_changed()

    def remove_member(self, record: MemberRecord) -> None:
        """Remove a member that has left or died."""
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
