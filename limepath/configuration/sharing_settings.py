"""Settings of what fronts share: membership, duties and leases, the endpoint list.

Spans are whole microseconds, sizes bytes. The file peers.ini tells them; see `peers_file`.
"""

from enum import IntEnum
from typing import NamedTuple


class MembershipTimeouts(NamedTuple):
    """`suspicion` counts periods; `indirect` instances are asked to check in our stead."""

    period: int = 1_000_000
    direct: int = 300_000
    indirect: int = 3
    suspicion: int = 4
    forget: int = 3_600_000_000


class LeaseSettings(NamedTuple):
    """`voters` are names, fixed: a majority is counted of them. Clocks run apart by `drift` of a span at
    most. Results are passed on every `batch`, to `copies` others at a time.
    """

    voters: tuple = ()
    span: int = 3_000_000
    drift: float = 0.01
    slots: int = 32
    batch: int = 250_000
    copies: int = 2


class DutyMode(IntEnum):
    """How many instances may serve a target of a duty at one time."""

    AT_LEAST_ONCE = 0
    ONE_OWNER = 1


class DutySettings(NamedTuple):
    """A duty: each of its targets is served once in `interval`."""

    name: str
    mode: DutyMode
    interval: int


class DiscoverySettings(NamedTuple):
    """What the settings tell. `rate` is calls a second of the whole fleet at the list service, `fronts` how
    many share it at the least; a zone has `relays`.
    """

    zone: str = ""
    fronts: int = 1
    rate: float = 20.0
    relays: int = 2
    beat: int = 500_000
    heartbeat_timeout: int = 1_500_000
    stream_timeout: int = 2_500_000
    save_interval: int = 1_000_000
    max_snapshot_bytes: int = 4_000_000  # of a list, decoded
    ready: float = 0.0  # fronts that become ready a second, of the whole fleet; 0: each at once
    region: str = ""
    site: str = ""  # empty: this front subscribes to the relays of its zone and stands in no tree
    fan_out: int = 4  # children of a front in its own site's tree, and of a site's head in that of sites
    gather: int = 250_000  # for which events are gathered before they go to children
    window: int = 300_000_000  # events kept for those behind: so long, ...
    window_bytes: int = 1_000_000  # ... and at most so many bytes of them, coded
    purge_lifetime: int = 60_000_000  # after a purge, until its copies are gone everywhere
