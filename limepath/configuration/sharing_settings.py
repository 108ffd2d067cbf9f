"""Settings of what fronts share: membership, duties and leases, the endpoint list.

They are read from peers.ini by `peers_file`. Durations are whole microseconds, sizes bytes.
"""

from enum import IntEnum
from typing import NamedTuple


class MembershipTimeouts(NamedTuple):
    """Timeouts of the SWIM failure detector.

    Attributes:
        period: the protocol period, in which one member is pinged.
        direct: until a ping that is not answered is sent through other members.
        indirect: how many members are asked to ping in our stead.
        suspicion: periods of which the suspicion timeout is made.
        forget: until a member that has failed or left is forgotten.
    """

    period: int = 1_000_000
    direct: int = 300_000
    indirect: int = 3
    suspicion: int = 4
    forget: int = 3_600_000_000


class LeaseSettings(NamedTuple):
    """Leases, and results that are shared.

    Attributes:
        voters: names of the instances that grant leases, fixed: a majority is counted of them.
        span: the duration of a lease.
        drift: how far clocks run apart at the most, as a fraction of a lease's duration.
        slots: into how many leases a duty is divided.
        batch: the interval in which results are collected before they are sent.
        copies: how many others they are sent to.
    """

    voters: tuple[str, ...] = ()
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
    """How the endpoint list reaches the fronts.

    Attributes:
        zone: this front's zone.
        fronts: how many fronts share the list service, at the least.
        rate: calls a second at the list service, of the whole fleet.
        relays: fronts of each zone that hold a stream of the list service.
        beat: the interval between heartbeats.
        heartbeat_timeout: until a relay that does not answer is replaced.
        stream_timeout: until a silent stream of the list service is given up.
        save_interval: the least time between two writes of the list to the store.
        max_snapshot_bytes: the largest list that is taken, decoded.
        ready: fronts that become ready a second, of the whole fleet; 0 if each does at once.
        region: this front's region.
        site: this front's site; "" if it subscribes to the relays of its zone and stands in no tree.
        fan_out: children of a front in its own site's tree, and of a site's head in the tree of sites.
        gather: for how long events are collected before they are sent to children.
        window: for how long events are kept for subscribers that lag behind.
        window_bytes: how many bytes of them are kept at the most, encoded.
        purge_lifetime: after a purge, until its copies are gone everywhere.
    """

    zone: str = ""
    fronts: int = 1
    rate: float = 20.0
    relays: int = 2
    beat: int = 500_000
    heartbeat_timeout: int = 1_500_000
    stream_timeout: int = 2_500_000
    save_interval: int = 1_000_000
    max_snapshot_bytes: int = 4_000_000
    ready: float = 0.0
    region: str = ""
    site: str = ""
    fan_out: int = 4
    gather: int = 250_000
    window: int = 300_000_000
    window_bytes: int = 1_000_000
    purge_lifetime: int = 60_000_000
