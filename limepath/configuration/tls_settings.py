"""Settings of TLS to servers. `tls_file` reads them from tls.ini. Durations are integers in microseconds."""

from typing import NamedTuple


class SessionSettings(NamedTuple):
    """Settings of the cache of TLS sessions.

    Attributes:
        max_sessions: the maximum number of sessions.
        max_per_server: the maximum number of sessions of one server.
        max_age: the maximum age of a session.
    """

    max_sessions: int = 512
    max_per_server: int = 8
    max_age: int = 3_600_000_000


class RetryDelays(NamedTuple):
    """Delays before the next connection to a server after a failure; they double up to a maximum.

    Attributes:
        transient: the first delay after a transient failure.
        transient_max: the maximum delay after transient failures.
        permanent: the first delay after a failure that an operator must repair.
        permanent_max: the maximum delay after failures that an operator must repair.
    """

    transient: int = 200_000
    transient_max: int = 5_000_000
    permanent: int = 5_000_000
    permanent_max: int = 60_000_000


class HandshakePace(NamedTuple):
    """Limits on handshakes: token buckets for each server and for all servers together.

    Attributes:
        rate: handshakes per second with one server.
        burst: the size of the bucket of one server, in handshakes.
        at_once: the maximum number of concurrent handshakes with one server.
        all_rate: handshakes per second with all servers.
        all_burst: the size of the bucket of all servers, in handshakes.
        all_at_once: the maximum number of concurrent handshakes with all servers.
        resumed_share: the cost of a resumed handshake, as a fraction of the cost of a full handshake.
    """

    rate: float = 20.0
    burst: int = 10
    at_once: int = 4
    all_rate: float = 100.0
    all_burst: int = 40
    all_at_once: int = 16
    resumed_share: float = 0.25
