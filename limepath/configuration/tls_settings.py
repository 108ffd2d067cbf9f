"""Settings of TLS to servers. Spans are whole microseconds. The file tls.ini tells them; see `tls_file`."""

from typing import NamedTuple


class RetryDelays(NamedTuple):
    """How long a server is left alone after failures that may pass, and after those that somebody must
    mend.
    """

    passing: int = 200_000
    passing_most: int = 5_000_000
    lasting: int = 5_000_000
    lasting_most: int = 60_000_000


class HandshakePace(NamedTuple):
    """Full handshakes: `rate` a second after `burst` at once, so many `at_once` under way; to one server and
    in all.
    """

    rate: float = 20.0
    burst: int = 10
    at_once: int = 4
    all_rate: float = 100.0
    all_burst: int = 40
    all_at_once: int = 16
    resumed_share: float = 0.25  # of a full handshake's cost, that a resumed one takes
