"""Joining the group and contacting lost members again, by Hello and Welcome.

An instance sends Hello to seeds at the start, to lost members periodically, and to the sender of a message
that was addressed to another generation. The Welcome contains the generation of the member that answers.
The receiver of a Hello learns nothing from it, because the datagram may be a replay.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from limepath.membership.interface import Hello, MemberRecord, MemberState, SendMessage, Welcome

if TYPE_CHECKING:
    from limepath.membership.members import Members

MAX_SEEDS = 3  # seeds contacted at the start
MAX_HELLOS = 8  # recently contacted addresses kept, which also limits the new ones contacted in one period
MAX_LOST = 2  # lost members contacted per attempt
UNKNOWN_SESSION = 0


class JoinProtocol:
    """Sends Hello, and answers it with Welcome."""

    def __init__(self, members: Members, seeds: Sequence[tuple[str, int]]) -> None:
        """Create the protocol; `seeds` are the addresses of members to join by."""
        self.members = members
        self.view = members.view
        self.timers = members.timers
        self.timeouts = members.timeouts
        self.seeds = tuple(seeds)
        self.hellos_sent: dict[tuple[str, int], int] = {}
        """When Hello was last sent to each address, in microseconds."""

    def start(self) -> None:
        """Send Hello to up to MAX_SEEDS seeds, drawn at random."""
        for host, port in self.timers.sample(self.seeds, min(MAX_SEEDS, len(self.seeds))):
            self.send_hello(host, port)

    def send_hello(self, host: str, port: int) -> None:
        """Send Hello, at most once per direct timeout to one address and to MAX_HELLOS addresses a period."""
        me = self.view.me
        if (host, port) == (me.host, me.port) or self.members.stopped:
            return
        if not self._may_send_hello(host, port):
            return
        self.hellos_sent[host, port] = self.timers.now
        self.timers.emit(SendMessage(host, port, UNKNOWN_SESSION, Hello()))

    def expire_hellos(self) -> None:
        """Remove the entries of Hellos that were sent a period ago or earlier."""
        oldest = self.timers.now - self.timeouts.period
        self.hellos_sent = {address: sent for address, sent in self.hellos_sent.items() if sent > oldest}

    def contact_lost_members(self) -> None:
        """Send Hello to some dead members and seeds without a live member, so that partitions merge again."""
        dead = [record for record in self.view.dead.values() if record.state == MemberState.DEAD]
        lost = [(record.host, record.port) for record in dead]
        lost += [address for address in self.seeds if not self.view.live_at_seeds[address]]
        for host, port in self.timers.sample(lost, min(MAX_LOST, len(lost))):
            self.send_hello(host, port)

    def handle_hello(self, sender: MemberRecord) -> None:
        """Answer with a Welcome; the sender is not added as a member."""
        welcome = Welcome(self.members.records_for(sender.token))
        self.members.send(sender, welcome)

    def handle_welcome(self, sender: MemberRecord, message: Welcome) -> None:
        """Merge the records, then pull the sender's view while joining, else send a ping with the digest."""
        self.members.updates.apply_all(message.records)
        if self.members.joining:
            self.members.anti_entropy.pull(sender)
        else:
            self.members.ping(sender, 0)

    def _may_send_hello(self, host: str, port: int) -> bool:
        last_sent = self.hellos_sent.get((host, port))
        if last_sent is None:
            return len(self.hellos_sent) < MAX_HELLOS
        return self.timers.now - last_sent >= self.timeouts.direct
