"""Events and commands of `admission`, and the sessions of `sessions`.

Times are whole microseconds: `now` on a monotonic clock, `wall` since 1970-01-01 UTC.

A generation is a number that grows each time the trusted roots or the client's key are replaced. A
verification holds only for the generations that it was made under.
"""

from enum import Enum
from typing import Any, NamedTuple


class Failure(Enum):
    """Why a handshake failed. Nothing of a forward was sent in any of these cases, so it was not executed."""

    REFUSED = "refused"
    TIMED_OUT = "timed out"
    CONNECTION_LOST = "broke off"
    PROTOCOL = "protocol"
    EXPIRED = "certificate expired"
    NOT_YET_VALID = "certificate not yet valid"
    WRONG_NAME = "wrong name"
    UNKNOWN_ISSUER = "unknown issuer"
    REVOKED = "revoked"
    STALE_REVOCATION_LIST = "revocation list stale"
    WEAK_KEY = "weak key"
    CLIENT_KEY_REFUSED = "our key refused"


# Failures that may pass without a change of certificates or keys.
TRANSIENT_FAILURES = frozenset(
    (Failure.REFUSED, Failure.TIMED_OUT, Failure.CONNECTION_LOST, Failure.PROTOCOL)
)


class VerificationScope(NamedTuple):
    """What a server was verified for. A session may be used only for an equal scope.

    Attributes:
        member: the server's identifier.
        name: the name that the server's certificate must carry.
        trust_generation: the generation of the trusted roots and revocation lists.
        key_generation: the generation of the client's certificate and key.
    """

    member: int
    name: str
    trust_generation: int
    key_generation: int


class Session(NamedTuple):
    """A TLS session that can be resumed.

    Attributes:
        scope: what the server was verified for.
        protocol: the version of TLS, as OpenSSL names it.
        ticket: the session object of OpenSSL.
        expires_at: when the session's own lifetime ends, on the monotonic clock.
        valid_from: when the server's certificate chain becomes valid, on the wall clock.
        valid_until: when the server's certificate chain expires, on the wall clock.
        single_use: whether it may be offered only once, as in TLS 1.3.
    """

    scope: VerificationScope
    protocol: str
    ticket: Any
    expires_at: int
    valid_from: int
    valid_until: int
    single_use: bool


# Events


class HandshakeRequested(NamedTuple):
    """A connection is needed.

    Attributes:
        id: the handshake's identifier.
        server: the server's identifier.
        resumable: whether a session can be offered.
        objective: when the GET that needs the connection should be answered.
        deadline: when that GET is given up.
    """

    id: int
    server: int
    resumable: bool
    objective: int
    deadline: int


class HandshakeCompleted(NamedTuple):
    """A handshake succeeded, with or without resumption."""

    id: int
    resumed: bool


class HandshakeFailed(NamedTuple):
    """A handshake that had started failed."""

    id: int
    failure: Failure


class HandshakeCancelled(NamedTuple):
    """A handshake is no longer needed, whether it has started or not."""

    id: int


class KeySetReplaced(NamedTuple):
    """Trusted roots or keys were replaced: servers that failed with the old ones are tried again."""


# Commands


class StartHandshake(NamedTuple):
    """Start a handshake that was requested."""

    id: int


class RefuseHandshake(NamedTuple):
    """Don't start a handshake: its deadline passed or its server is in backoff. The forward was not sent."""

    id: int
    reason: str


class LogServerState(NamedTuple):
    """Log that a server enters or leaves backoff.

    Attributes:
        server: the server's identifier.
        message: the text of the log line.
        failure: the failure that caused the backoff, or None when it ends.
        backoff: microseconds until the server is tried again, 0 when the backoff ends.
    """

    server: int
    message: str
    failure: Failure | None
    backoff: int
