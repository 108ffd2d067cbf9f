"""Helpers for tests of membership: member records, single instances without a network, simulated groups."""

from typing import Any

from limepath.configuration.sharing_settings import DutyMode, DutySettings, LeaseSettings, MembershipTimeouts
from limepath.duties.world import World
from limepath.membership.interface import (
    REFUTATION_BITS,
    MemberRecord,
    MemberState,
    Message,
    MessageReceived,
    SendMessage,
    YieldIdentity,
)
from limepath.membership.members import Members

SECOND = 1_000_000  # microseconds
TIMEOUTS = MembershipTimeouts()
HOST = "127.0.0.1"
FIRST_PORT = 1000


def record(
    token: int,
    generation: int = 1,
    birth: int = 1,
    name: str | None = None,
    port: int | None = None,
    state: MemberState = MemberState.ALIVE,
    refutations: int = 0,
) -> MemberRecord:
    """Return a member's record; name and port are derived from the token unless they are given."""
    incarnation = (generation << REFUTATION_BITS) + refutations
    return MemberRecord(
        token, name or f"n{token}", HOST, port or FIRST_PORT + token, incarnation, birth, state
    )


def started_members(token: int = 1, others: Any = (2, 3, 4), **changes: Any) -> Members:
    """Return a started instance with `others` as members; `changes` are passed to `record` for its own."""
    members = Members(record(token, **changes), (), TIMEOUTS, token)
    members.start(0)
    members.add_known_members([record(other) for other in others])
    members.timers.take_commands()
    return members


def receive(
    members: Members,
    sender: MemberRecord,
    message: Message,
    now: int = SECOND // 100,
    to: int | None = None,
) -> list[SendMessage | YieldIdentity]:
    """Pass a message to an instance, addressed to its current session unless `to` is given."""
    session = members.me.session_token if to is None else to
    commands = members.handle(now, [MessageReceived(sender, session, message)])
    return [command for command in commands if isinstance(command, (SendMessage, YieldIdentity))]


def yields(commands: list[SendMessage | YieldIdentity]) -> list[YieldIdentity]:
    """Return the YieldIdentity commands among the results of `receive`."""
    return [command for command in commands if isinstance(command, YieldIdentity)]


def virtual_group(instances: int, seed: int, **network: float) -> World:
    """Return a simulated group with one duty; `network` has the shares of messages lost, doubled and late."""
    duties = (DutySettings("probe", DutyMode.AT_LEAST_ONCE, 5 * SECOND),)
    return World(instances, 10, duties, TIMEOUTS, LeaseSettings(), seed, **network)
