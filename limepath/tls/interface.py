"""The interface of the TLS decisions. Times are whole microseconds: `now` of a monotonic clock, `wall` since
1970.

A generation is a number that grows each time trust or the client's key is swapped; what was verified under
another generation is not verified.
"""

from enum import Enum
from typing import Any, NamedTuple


class Failure(Enum):
    """How a handshake failed. In all of them nothing of a forward was sent: it is proven not to have run."""

    REFUSED = "refused"
    TIMED_OUT = "timed out"
    BROKE_OFF = "broke off"
    PROTOCOL = "protocol"
    EXPIRED = "certificate expired"
    NOT_YET_VALID = "certificate not yet valid"
    WRONG_NAME = "wrong name"
    UNKNOWN_ISSUER = "unknown issuer"
    REVOKED = "revoked"
    STALE_LIST = "revocation list stale"
    WEAK = "weak key"
    KEY_REFUSED = "our key refused"


PASSING = frozenset(
    (Failure.REFUSED, Failure.TIMED_OUT, Failure.BROKE_OFF, Failure.PROTOCOL)
)  # may mend by itself


class Under(NamedTuple):
    """What a session was verified under: it may be used for no other member, name or generation."""

    member: int
    name: str
    trust: int
    client: int


class Session(NamedTuple):
    """`ticket` is the library's. `until` ends its own lifetime (monotonic), `wall_until` its certificate
    chain's; from `wall_since` on the chain is valid. `once`: it may be offered once (TLS 1.3).
    """

    under: Under
    protocol: str
    ticket: Any
    until: int
    wall_since: int
    wall_until: int
    once: bool


# Notes in


class Want(NamedTuple):
    """A connection is wanted: its GET should be answered by `objective` and is lost at `until`."""

    id: int
    server: int
    resumable: bool
    objective: int
    until: int


class Shaken(NamedTuple):
    """The handshake is done."""

    id: int
    resumed: bool


class Broken(NamedTuple):
    id: int
    failure: Failure


class Unwanted(NamedTuple):
    """Nobody waits for this one any more, whether it has begun or not."""

    id: int


class Swapped(NamedTuple):
    """Trust or keys are new: what was refused for the old is tried again."""


# Orders out


class Begin(NamedTuple):
    id: int


class Refuse(NamedTuple):
    """No handshake: it is too late, or the server is left alone. The forward has not run."""

    id: int
    why: str


class Told(NamedTuple):
    """For the log: a server is left alone, or tried again."""

    server: int
    what: str
    failure: Failure | None
    span: int
