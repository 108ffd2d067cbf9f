"""The host of a front's instance of the duties: its store, datagram socket, timer and control socket.

The host executes the instance's commands; `probe_sharing` executes those that concern the front's probes. If
the host fails, the front continues without sharing.
"""

import os
import sqlite3
import time
from collections.abc import Callable
from typing import Any

from limepath.configuration.peers_file import PeersSettings
from limepath.configuration.platform import FrontSettings
from limepath.duties.boot_clock import clock
from limepath.duties.instance import Instance
from limepath.duties.interface import MESSAGES as DUTY_MESSAGES
from limepath.duties.interface import (
    EpochReport,
    LeaseGrant,
    PersistEpochCeiling,
    ResultShared,
    ServeTarget,
)
from limepath.duties.probe_sharing import DecisionLoop, ProbeSender, ProbeSharing, kinds_by_duty
from limepath.log import Log
from limepath.logic_host import LogicHost
from limepath.membership import control
from limepath.membership.host import DatagramSocket, StartError
from limepath.membership.identity import EPOCH_CEILING_ROW, Identity, epoch_ceiling_row, next_identity
from limepath.membership.interface import (
    MESSAGES,
    REFUTATION_BITS,
    LeaveCompleted,
    LeaveRequested,
    LogEvent,
    MemberRecord,
    Message,
    MessageRelayed,
    SendMessage,
    YieldIdentity,
)
from limepath.store import DAMAGED, NEW, PendingWrites, Store, StoreLockedError, StoreUnusableError

REPORT_INTERVAL = 10_000_000
"""Microseconds between log lines about dropped datagrams."""
TOKEN_BITS = 63


def random_token() -> int:
    """Return TOKEN_BITS random bits of the operating system, for an instance's identity."""
    return int.from_bytes(os.urandom(8), "big") >> (64 - TOKEN_BITS)


def message_types(settings: PeersSettings) -> tuple[type[Message], ...]:
    """Return the types of all messages that instances exchange with these settings."""
    types: tuple[type[Message], ...] = MESSAGES + DUTY_MESSAGES
    if settings.listing:  # imported only if used
        from limepath.discovery.interface import MESSAGES as DISCOVERY_MESSAGES
        from limepath.frequency_exchange.interface import MESSAGES as FREQUENCY_MESSAGES

        types += DISCOVERY_MESSAGES + FREQUENCY_MESSAGES
    return types


class InstanceHost:
    """Runs the instance of the duties of one front; owns its store and its sockets.

    Raises StartError if the store, the keys or the address cannot be used.
    """

    def __init__(
        self,
        reactor: Any,
        loop: DecisionLoop,
        probes: ProbeSender,
        log: Log,
        settings: PeersSettings,
        front: FrontSettings,
    ):
        self.reactor = reactor
        self.log = log
        self.settings = settings
        self.store: Store
        """Stores the identity, the epoch ceiling and the rows of other parts of the front."""
        self.datagram_socket: DatagramSocket
        self._open_files()
        self.identity: Identity = self._load_identity()
        self.writes = PendingWrites(self.store, log)
        """Rows that must be written before messages that depend on them are sent."""
        self.instance = self._make_instance(front.seed)
        self.logic_host = LogicHost(reactor, clock, self.instance, self.execute, self._fail)
        kinds = self._target_kinds(front)
        self.probe_sharing = ProbeSharing(loop, probes, self.instance, kinds, self.submit, clock)
        self.control: Any = None
        """The listening control socket."""
        self.is_stopped = False
        """Whether this front has stopped sharing."""
        self.keys_read_at = clock()
        self.reported_at = clock()
        self.message_handlers: list[Any] = []
        """Objects whose `handle_message(sender, message)` receives messages to other modules."""
        self.event_listeners = self.probe_sharing.event_listeners
        self.views: dict[str, Callable[[], Any]] = {"peers": self.view}
        """The functions that return the views of the control socket, by the name in the request."""
        self.stop_callbacks: list[Callable[[], object]] = []
        """Functions that are called when this front stops sharing."""
        self.counts = {"held_back": 0}
        self.probe_sharing.attach()

    def _open_files(self) -> None:
        settings = self.settings
        try:
            self.store = Store(settings.store)
            types = message_types(settings)
            self.datagram_socket = DatagramSocket(
                self.reactor, settings.listen, settings.keys, types, self.log, self.submit
            )
        except (StoreLockedError, StoreUnusableError, OSError) as error:
            raise StartError(str(error)) from None

    def _load_identity(self) -> Identity:
        """Read this instance's identity, and write it for the new incarnation before the identity is used."""
        identity, rows = next_identity(self.store.all(), random_token)
        try:
            self.store.put(rows)
        except sqlite3.Error as error:
            raise StartError(f"{self.settings.store}: {error}") from None
        return identity

    def _make_instance(self, seed: int) -> Instance:
        settings = self.settings
        host, port = settings.advertise
        me = MemberRecord(
            self.identity.token,
            settings.name,
            host,
            port,
            self.identity.generation << REFUTATION_BITS,
            time.time_ns() // 1000,
        )
        return Instance(
            me,
            settings.seeds,
            settings.spans,
            settings.plans,
            settings.leasing,
            seed,
            self.identity.ceiling,
            self.identity.is_ceiling_known,
        )

    def _target_kinds(self, front: FrontSettings) -> list[set[int]]:
        topology = front.arguments["footprint"]
        upper_kinds = {"parents": topology.parent_kind, "origin": topology.origin_kind}
        return kinds_by_duty(
            self.settings.plans, self.settings.kinds, upper_kinds, len(front.settings["models"])
        )

    # Start and stop

    def start(self) -> None:
        """Open the datagram socket and the control socket, and join; on an error stop sharing."""
        try:
            self.datagram_socket.open()
            if self.settings.control:
                self.control = control.listen(self.reactor, self.settings.control, self.views)
        except Exception as error:  # the front continues without sharing; the log names the file to correct
            self.log.info("sharing-off", str(error), file=self.settings.file)
            self.stop()
            return
        self._log_start()
        self.logic_host.carry_out(self.instance.start(clock()))
        self.submit(*self.probe_sharing.all_targets())

    def _log_start(self) -> None:
        if self.store.initial_state == DAMAGED:
            self.log.info("store-damaged", "joins as a new instance", put_aside=self.store.damaged_path)
        elif self.store.initial_state == NEW:
            self.log.info("store-new", "joins as a new instance", store=self.settings.store)
        host, port = self.settings.listen
        self.log.info(
            "sharing",
            name=self.settings.name,
            listening=f"{host}:{port}",
            life=self.identity.generation,
            token=f"{self.identity.token:016x}",
            duties=len(self.settings.plans),
        )

    def stop(self) -> None:
        """Stop sharing; the front continues on its own."""
        self.is_stopped = True
        self.probe_sharing.detach()
        self.datagram_socket.close()
        self.datagram_socket.report()
        self.logic_host.close()
        for callback in self.stop_callbacks:
            callback()
        if self.control:
            self.control.stopListening()
        self.store.close()

    def _fail(self, error: Exception) -> None:
        """Stop sharing after an error of the logic, so that the front continues to serve requests."""
        self.log.fault("sharing", error)
        self.stop()

    # Events and commands

    def submit(self, *events: object) -> None:
        """Queue events; they are handled once all input of this pass of the reactor has been read."""
        self.logic_host.submit(*events)

    def execute(self, command: object) -> None:
        """Execute one command of the instance."""
        if self._depends_on_pending_write(command):
            self.counts["held_back"] += 1
        elif isinstance(command, SendMessage):
            self.datagram_socket.send(self.instance.members.me, command)
        elif isinstance(command, ServeTarget):
            self.probe_sharing.serve(command)
        elif isinstance(command, ResultShared):
            self.probe_sharing.report(command.result)
        elif isinstance(command, PersistEpochCeiling):
            self.writes.put(epoch_ceiling_row(command.ceiling))
        elif isinstance(command, LogEvent):
            self.log.info(command.event, **command.fields)
        elif isinstance(command, MessageRelayed):
            for handler in self.message_handlers:
                handler.handle_message(command.sender, command.message)
        elif isinstance(command, YieldIdentity):
            self._yield_identity(command)
        elif isinstance(command, LeaveCompleted):
            self.stop()

    def _yield_identity(self, command: YieldIdentity) -> None:
        other = command.other
        self.log.info(
            "gives-way",
            command.reason + "; this front stops sharing",
            name=other.name,
            other=f"{other.host}:{other.port}",
            life=other.generation,
        )
        self.stop()

    def _depends_on_pending_write(self, command: object) -> bool:
        """Return whether the command depends on an epoch ceiling that a crash could lose.

        Grants, epoch reports and rounds under a lease are dropped until the epoch ceiling is on the disk, as
        if the network had lost them.
        """
        if EPOCH_CEILING_ROW not in self.writes.rows:
            return False
        if isinstance(command, ServeTarget):
            return bool(command.epoch)
        return isinstance(command, SendMessage) and isinstance(command.message, (LeaseGrant, EpochReport))

    def send_to_member(self, token: int, message: Message) -> None:
        """Send a message of another module to the live member with this token."""
        members = self.instance.members
        members.timers.now = clock()
        members.send_to_member(token, message)
        for command in members.timers.take_commands():
            self.datagram_socket.send(members.me, command)

    # Called by the front

    def sweep(self) -> None:
        """Retry pending writes, and at their intervals reread the keys and log dropped datagrams."""
        if self.is_stopped:
            return
        self.writes.retry()
        now = clock()
        if now - self.keys_read_at > self.settings.keys_reread:
            self.keys_read_at = now
            self.datagram_socket.reload_keys()
        if now - self.reported_at > REPORT_INTERVAL:
            self.reported_at = now
            self.datagram_socket.report()

    def reload(self) -> None:
        """Reread the keys."""
        if not self.is_stopped:
            self.datagram_socket.reload_keys()

    def leave(self) -> None:
        """Begin to leave: hand over the duties and notify the other members."""
        self.submit(LeaveRequested())

    def view(self) -> dict[str, Any]:
        """Return the view that `limepath membership show` prints."""
        self.instance.timers.now = clock()
        view = self.instance.view()._asdict()
        view["counts"] |= self.probe_sharing.counts
        view["counts"] |= self.counts
        view["counts"]["datagrams_sent"] = self.datagram_socket.sent
        view["counts"] |= {
            f"datagrams {kind}": count for kind, count in self.datagram_socket.guard.counts.items()
        }
        return view
