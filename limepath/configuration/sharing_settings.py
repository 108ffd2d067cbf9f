"""Settings of the work that fronts share: membership, duties and leases, the endpoint list.

`peers_file` reads them from peers.ini. Durations are integers in microseconds, sizes are in bytes.
"""

from enum import IntEnum
from typing import NamedTuple


class MembershipTimeouts(NamedTuple):
    """Timeouts of the SWIM failure detector.

    Attributes:
        period: the protocol period; the detector pings one member in each.
        direct: the timeout of a direct ping; indirect pings follow it.
        indirect: the number of members that send an indirect ping.
        suspicion: the length of the suspicion timeout, in protocol periods.
        forget: the time from a member's failure or departure to its removal from the table.
    """

    period: int = 1_000_000
    direct: int = 300_000
    indirect: int = 3
    suspicion: int = 4
    forget: int = 3_600_000_000


class LeaseSettings(NamedTuple):
    """Settings of leases and of shared results.

    Attributes:
        voters: names of the instances that grant leases; a lease needs a majority of this fixed list.
        span: the duration of a lease.
        drift: the maximum difference between clocks over a lease, as a fraction of its duration.
        slots: the number of leases that a duty is divided into.
        batch: the interval over which results are collected into one batch.
        copies: the number of other instances that a batch is sent to.
    """

    voters: tuple[str, ...] = ()
    span: int = 3_000_000
    drift: float = 0.01
    slots: int = 32
    batch: int = 250_000
    copies: int = 2


class DutyMode(IntEnum):
    """How many instances may serve a target of a duty at the same time."""

    AT_LEAST_ONCE = 0
    ONE_OWNER = 1


class DutySettings(NamedTuple):
    """Settings of a duty, which serves each of its targets once per `interval`."""

    name: str
    mode: DutyMode
    interval: int


class DiscoverySettings(NamedTuple):
    """Settings of the distribution of the endpoint list to the fronts.

    Attributes:
        zone: this front's zone.
        fronts: the minimum number of fronts that share the list service.
        rate: calls per second to the list service from the whole fleet.
        relays: the number of fronts in each zone that have a stream from the list service.
        beat: the interval between heartbeats.
        heartbeat_timeout: the time without a heartbeat after which a relay is replaced.
        stream_timeout: the time without data after which a stream from the list service is closed.
        save_interval: the minimum time between two writes of the list to the store.
        max_snapshot_bytes: the maximum size of a decoded list.
        ready: fronts that become ready per second in the whole fleet; 0 if each becomes ready at once.
        region: this front's region.
        site: this front's site; "" if the front is in no tree and subscribes to the relays of its zone.
        fan_out: children of a front in its own site's tree, and of a site's head in the tree of sites.
        gather: the time for which events are collected before they are sent to children.
        window: the time for which events are kept for subscribers that lag behind.
        window_bytes: the maximum encoded size of the kept events.
        purge_lifetime: the time from a purge until no cache has a copy of the object any more.
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
