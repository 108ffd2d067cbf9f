"""The membership logic of one instance: takes events, returns commands, does no I/O.

It implements SWIM with suspicion (Das, Gupta, Motivala 2002) and Lifeguard's local health (Dadgar, Phillips,
Currey 2018). `Members` owns the state that its parts share, checks each message and dispatches it to a part:

- `failure_detector` probes members, directly and through other members;
- `suspicion` gives a member that did not answer time to refute;
- `record_updates` decides which record overrides which, and `member_table` stores the records;
- `gossip` carries changed records on pings and acks;
- `anti_entropy` repairs differences between views that gossip has left;
- `join` contacts members at the start and after a partition; `leave` announces that this instance stops.

docs/duties.md compares the options.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import Any

from limepath.configuration.sharing_settings import MembershipTimeouts
from limepath.membership.anti_entropy import AntiEntropy
from limepath.membership.failure_detector import FailureDetector
from limepath.membership.gossip import BroadcastQueue
from limepath.membership.interface import (
    DIGEST_VERSION,
    NEWEST_VERSION,
    Ack,
    Hello,
    IndirectPing,
    LeaveRequested,
    MemberPage,
    MemberRecord,
    MemberState,
    Message,
    MessageReceived,
    MessageRelayed,
    Ping,
    Pull,
    SendMessage,
    Welcome,
)
from limepath.membership.join import JoinProtocol
from limepath.membership.leave import LeaveProtocol
from limepath.membership.member_table import MemberTable
from limepath.membership.record_updates import RecordUpdates
from limepath.membership.suspicion import Suspicions
from limepath.timer_queue import TimerQueue

REJOIN_PERIODS = 5  # protocol periods between attempts to reach lost members
NAME_IN_USE = "an instance with the same name that started earlier is alive"


class Members:
    """The membership of one instance: the interface for its host and for other logic."""

    def __init__(
        self,
        me: MemberRecord,
        seeds: Sequence[tuple[str, int]],
        timeouts: MembershipTimeouts,
        seed: int,
        version: int = NEWEST_VERSION,
    ) -> None:
        """Start with the alive record `me` as the only member.

        `seeds` are the addresses to join by; `seed` is the seed of the random number generator.
        """
        self.timeouts = timeouts
        self.version = version
        """Protocol version that this instance sends."""
        self.timers = TimerQueue(seed)
        self.view = MemberTable(me, self.timers, seeds)
        self.table = self.view.table
        self.ring = self.view.ring
        self.gossip = BroadcastQueue()
        self.periods = 0
        """Number of the current protocol period, from 1."""
        self.stopped = False
        """Whether this instance has left or yielded its identity; it ignores all events from then on."""
        self.counts = {"misaddressed": 0, "former": 0, "refuted": 0, "suspected": 0, "declared": 0}
        """Messages to and from former generations, refutations, suspicions and members declared dead."""
        self.updates = RecordUpdates(self)
        self.suspicions = Suspicions(self)
        self.failure_detector = FailureDetector(self)
        self.anti_entropy = AntiEntropy(self)
        self.join_protocol = JoinProtocol(self, seeds)
        self.leave_protocol = LeaveProtocol(self)
        self._handlers: dict[type[Message], Callable[[MemberRecord, Any], None]] = {
            Ping: self.failure_detector.handle_ping,
            Ack: self.failure_detector.handle_ack,
            IndirectPing: self.failure_detector.handle_indirect_ping,
            Welcome: self.join_protocol.handle_welcome,
            Pull: self.anti_entropy.handle_pull,
            MemberPage: self.anti_entropy.handle_page,
        }

    def start(self, now: int) -> list[Any]:
        """Send Hello to seeds, and schedule the first protocol period after a random part of a period."""
        self.timers.now = now
        self.join_protocol.start()
        first = now + int(self.timers.random_fraction() * self.timeouts.period)
        self.timers.schedule(first, self._run_period)
        return self.timers.take_commands()

    def handle(self, now: int, events: Iterable[MessageReceived | LeaveRequested]) -> list[Any]:
        """Run the timers due at `now`, handle the events, and return the commands."""
        self.timers.run_due(now)
        for event in events:
            if isinstance(event, MessageReceived):
                self._handle_message(event)
            elif isinstance(event, LeaveRequested) and not self.leave_protocol.started:
                self.leave_protocol.start()
        return self.timers.take_commands()

    def next(self) -> int | None:
        """Return when the next timer is due, in microseconds, or None without a timer."""
        return self.timers.next_due()

    def add_known_members(self, records: Iterable[MemberRecord]) -> None:
        """Add members without the join protocol (for simulations and tests in virtual time)."""
        for record in records:
            self.updates.apply(record)
        self.gossip.clear()
        self.anti_entropy.joining = False

    def send_to_member(self, token: int, message: Message) -> None:
        """Send a message of another protocol to a member if it is alive or suspected."""
        record = self.table.get(token)
        if record is not None and record.is_live:
            self.send(record, message)

    @property
    def me(self) -> MemberRecord:
        """This instance's own record."""
        return self.view.me

    @property
    def digest(self) -> int:
        """Digest of the whole view; equal views have equal digests."""
        return self.view.digests.combined

    @property
    def joining(self) -> bool:
        """Whether this instance has not yet pulled a whole view."""
        return self.anti_entropy.joining

    def is_live(self, token: int) -> bool:
        """Return whether a member is alive or suspected; always true for this instance."""
        return self.view.is_live(token)

    # Used by the parts of the membership logic

    def send(self, receiver: MemberRecord, message: Message) -> None:
        """Send a message to the current generation of a member."""
        self.timers.emit(SendMessage(receiver.host, receiver.port, receiver.session_token, message))

    def ping(self, receiver: MemberRecord, sequence: int) -> None:
        """Send a Ping with records and digest; the Ack of a Ping with `sequence` 0 is not awaited."""
        self.send(receiver, Ping(sequence, self.records_for(receiver.token), self.digest_to_send()))

    def records_for(self, token: int) -> tuple[MemberRecord, ...]:
        """Return the records to include in a message to a member."""
        return self.gossip.take_records(self.table.get(token))

    def digest_to_send(self) -> int:
        """Return the digest to include in messages; 0 if this instance sends a version without digests."""
        return self.digest if self.version >= DIGEST_VERSION else 0

    def broadcast(self, record: MemberRecord) -> None:
        """Queue a record for dissemination by gossip."""
        self.gossip.add(record, len(self.ring))

    # Internal

    def _run_period(self) -> None:
        if self.stopped:
            return
        self.periods += 1
        self.timers.schedule(self.timers.now + self.timeouts.period, self._run_period)
        self.join_protocol.expire_hellos()
        self.failure_detector.run_period(self.periods)
        if self.periods % REJOIN_PERIODS == 0 or not self.ring:
            self.join_protocol.contact_lost_members()
        self.view.forget_dead(self.timeouts.forget)

    def _handle_message(self, event: MessageReceived) -> None:
        """Check the sender and the generations, then dispatch the message."""
        sender, message = event.sender, event.message
        if self.stopped:
            return
        if sender.token == self.me.token:
            self.updates.apply_to_self(sender)
        elif isinstance(message, Hello):
            self.join_protocol.handle_hello(sender)
        elif event.to != self.me.session_token:
            self.counts["misaddressed"] += 1
            self.join_protocol.send_hello(sender.host, sender.port)
        elif self._is_of_former_generation(sender):
            self.counts["former"] += 1
        elif self._is_older_instance_of_same_name(sender):
            self.leave_protocol.yield_identity(sender, NAME_IN_USE)
        else:
            self._mark_alive(sender)
            self._dispatch(sender, message)

    def _is_of_former_generation(self, sender: MemberRecord) -> bool:
        known = self.table.get(sender.token)
        return known is not None and sender.generation < known.generation

    def _is_older_instance_of_same_name(self, sender: MemberRecord) -> bool:
        """Return whether the sender has this instance's name and started earlier.

        The sender is alive, because it has just sent a message.
        """
        me = self.me
        return sender.name == me.name and (sender.birth, sender.token) < (me.birth, me.token)

    def _mark_alive(self, sender: MemberRecord) -> None:
        self.updates.apply(sender._replace(state=MemberState.ALIVE, reported_by=0))
        if self.view.names.get(sender.name) != sender.token:
            self.updates.track_name(sender)

    def _dispatch(self, sender: MemberRecord, message: Message) -> None:
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(sender, message)
        else:
            self.timers.emit(MessageRelayed(sender, message))
