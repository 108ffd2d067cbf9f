"""Settings of TLS to servers, read from tls.ini by `tls_file`. Durations are whole microseconds."""

from typing import NamedTuple


class SessionSettings(NamedTuple):
    """The cache of TLS sessions.

    Attributes:
        most: sessions in all.
        each: sessions of one server.
        longest: microseconds until a session is dropped.
    """

    most: int = 512
    each: int = 8
    longest: int = 3_600_000_000


class RetryDelays(NamedTuple):
    """Backoff of a server after failures, and its limit.

    Attributes:
        passing: the first delay after a failure that may pass by itself.
        passing_most: the longest delay after such failures.
        lasting: the first delay after a failure that somebody must mend.
        lasting_most: the longest delay after such failures.
    """

    passing: int = 200_000
    passing_most: int = 5_000_000
    lasting: int = 5_000_000
    lasting_most: int = 60_000_000


class HandshakePace(NamedTuple):
    """Token buckets of full handshakes, one for each server and one for all.

    Attributes:
        rate: handshakes a second to one server.
        burst: how many may follow one another at once.
        at_once: how many may be in progress with one server.
        all_rate: handshakes a second to all servers.
        all_burst: how many of these may follow one another at once.
        all_at_once: how many of these may be in progress.
        resumed_share: the cost of a resumed handshake, in full ones.
    """

    rate: float = 20.0
    burst: int = 10
    at_once: int = 4
    all_rate: float = 100.0
    all_burst: int = 40
    all_at_once: int = 16
    resumed_share: float = 0.25
