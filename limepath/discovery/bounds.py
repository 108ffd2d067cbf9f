"""What the settings promise of the list, computed.

The drill, the run in virtual time and `limepath discovery bounds` use it. All in microseconds but `calls` (a
second) and `streams` (of a zone). The bounds hold for a view of `fronts` instances on which all agree, on
links that lose nothing for longer than a heartbeat interval; each lost datagram in a row adds an interval.
"""

from typing import NamedTuple

from limepath.configuration.sharing_settings import DiscoverySettings
from limepath.discovery.call_budget import BUDGET_SHARE, CallBudget
from limepath.discovery.topology import longest_path
from limepath.membership.guard import MAX_DATAGRAM_BYTES

SECOND = 1_000_000
HEADER_BYTES = 190  # of a datagram beside events: sender, seal, positions, digests
PURGE_EVENT_BYTES = 16  # of a purge in a batch, at the most
CONTROL_PER_CHILD = 6  # heartbeats, subscriptions and scopes a second, to each child
CONTROL_PER_FRONT = 40  # the same, to all others
REJOIN_US = 20_000_000  # for scopes to be learnt and the whole list to come in chunks
MIN_BATCH_EVENT_BYTES = 900  # of events in a full datagram, at the least
SCOPE_BYTES_PER_SECOND = 12_000
COMMENT_INTERVAL_US = 1_000_000  # in which the service says that it is alive
LINK_DELAY_US = 100_000  # for a call to come up and be answered, and for a push
QUIET_SPAN_US = 500_000  # without an event, until a stream has sent all that it had
BATCH_DELAY_US = 20_000  # in which events are gathered before they are pushed
RELAY_RETRY_SPAN_US = 5_000_000  # for which a relay may call in vain until the next by hash tries beside it
SLOW_PARENT_US = 30_000_000  # for which a parent that does not bring what another has is passed over
EXTRA_BATCHES_PER_TICK = 4  # datagrams to those behind, beside one to each child
SNAPSHOT_CHUNKS_PER_TICK = 8  # datagrams of lists, in all
HELPERS_PER_RELAY = 1  # fronts that may call beside relays while those call in vain
LIST_CHUNK_TIME_US = 2_000  # of the wait for the whole list, times the fronts


class Bounds(NamedTuple):
    """The promises for a fleet in the star."""

    event: int  # until an event is at every front, nothing failing
    repaired: int  # the same where its push is lost
    relays_lost: int  # the same where all relays of a zone are killed, stopped or cut off in that moment
    stream_still: int  # the same where the relays' streams stand still in that moment
    restored: int  # the same where the service goes back to an older state in that moment
    alone: int  # the same at a front that no other answers, beside all others like it
    known_late: int  # until a front knows that its list may be old
    ready: int  # from the service's return until every front has the list, views being one
    calls: float
    streams: int


def freshness_limit(settings: DiscoverySettings, hops: int = 0) -> int:
    """How old the service's last confirmation may be in a list that counts as up to date.

    Each hop below a root passes it on with the next heartbeat.
    """
    return settings.stream_timeout + settings.heartbeat_timeout + hops * (settings.beat + LINK_DELAY_US)


def delivery_time(settings: DiscoverySettings, hops: int) -> int:
    """Until an event is at every front of a tree, nothing failing."""
    return hops * (settings.gather + LINK_DELAY_US)


def max_children(settings: DiscoverySettings) -> int:
    """Subscribers that a front sends events to, whatever their views."""
    return 2 * settings.fan_out


def max_watchers(settings: DiscoverySettings) -> int:
    """Subscribers that a front sends heartbeats to.

    Those of the second tree, those that passed over it, and at a root the other roots and those next by hash.
    """
    return 4 * settings.fan_out + (1 + HELPERS_PER_RELAY + 1) * settings.relays


def max_hops(settings: DiscoverySettings, fronts: int, zones: int, sites: int) -> int:
    """The most hops from a root to a front where fronts and sites are spread evenly over zones.

    0 in the star.
    """
    if not settings.site:
        return 0
    members = -(-fronts // zones)
    zone_sites = max(1, -(-sites // zones))
    return longest_path(members, zone_sites, settings.relays, settings.fan_out)


def bounds(settings: DiscoverySettings, fronts: int, zones: int = 1, sites: int = 1) -> Bounds:
    """The bounds of a fleet; `sites` counts with a site in the settings only."""
    hops = max_hops(settings, fronts, zones, sites)
    sharing = max(fronts, settings.fronts)
    budget = CallBudget(settings._replace(fronts=sharing), lambda: 1.0)
    answer = settings.stream_timeout + LINK_DELAY_US + QUIET_SPAN_US
    relay_call = int(1.5 * budget.mean_interval(settings.relays * zones)) + answer
    any_call = int(1.5 * budget.mean_interval(sharing)) + answer
    whole_list = 2 * settings.beat + LINK_DELAY_US + fronts * LIST_CHUNK_TIME_US
    event = delivery_time(settings, hops) if hops else BATCH_DELAY_US + LINK_DELAY_US
    late = freshness_limit(settings, hops)
    ready_in_turn = int(sharing / settings.ready * 1e6) if settings.ready else 0
    return Bounds(
        event=event,
        repaired=event + settings.beat,
        relays_lost=late + settings.beat + relay_call + settings.beat + event,
        stream_still=settings.stream_timeout + relay_call + event,
        restored=2 * relay_call + settings.stream_timeout + 2 * settings.beat + whole_list + event,
        alone=late + RELAY_RETRY_SPAN_US + 2 * settings.beat + any_call,
        known_late=late,
        ready=relay_call + whole_list + ready_in_turn,
        calls=2 * BUDGET_SHARE * settings.rate,
        # Relays that are back, those that stood in for them, helpers.
        streams=settings.relays * (2 + HELPERS_PER_RELAY),
    )


class TreeBounds(NamedTuple):
    """The promises for a fleet in trees, in microseconds.

    `max_bytes` and `calm_bytes(rate)` are a second, `children` those that any front sends events to.
    """

    hops: int
    event: int  # until an event is at every front; each lost datagram in a row adds an interval
    inner_lost: int  # the same where a front with children is killed, stopped or slow in that moment
    root_lost: int  # the same where a root is
    known_late: int  # until a front knows that its list is late
    rejoined: int  # from a start with nothing until a front has all, an empty list of its zone included
    reconnected: int  # from the end of a cut from the service until a root's stream has sent all
    gather: int
    children: int
    max_bytes: int
    batches: float  # a second, to each child

    def calm_bytes(self, rate: float) -> int:
        """Bytes a second that a front sends at most while nothing fails, at so many events a second."""
        events = self.children * (self.batches * HEADER_BYTES + rate * PURGE_EVENT_BYTES)
        return int(events + (self.children * CONTROL_PER_CHILD + CONTROL_PER_FRONT) * HEADER_BYTES)

    def recovery_time(self, rate: float, cut: int) -> int:
        """From the end of a cut that the window bridges until its events, so many a second, are everywhere.

        Each child is sent one datagram in a tick at the least.
        """
        datagrams = int(rate * cut / SECOND * PURGE_EVENT_BYTES / MIN_BATCH_EVENT_BYTES) + 1
        return self.reconnected + 2 * datagrams * self.gather + 2 * self.event


def tree_bounds(settings: DiscoverySettings, fronts: int, zones: int, sites: int) -> TreeBounds:
    """The bounds of a fleet whose fronts and sites are spread evenly over its zones."""
    with_site = settings if settings.site else settings._replace(site="any")
    hops = max_hops(with_site, fronts, zones, sites)
    event = delivery_time(settings, hops)
    # The place of a silent parent is taken by the next candidate.
    passed_over = settings.heartbeat_timeout + 2 * settings.beat + LINK_DELAY_US
    interval = CallBudget(settings, lambda: 1.0).mean_interval(settings.relays * zones)
    call = int(1.5 * interval) + LINK_DELAY_US + QUIET_SPAN_US
    ticks = SECOND / settings.gather
    children = max_children(settings)
    control = SECOND / settings.beat * (children + max_watchers(settings) + 4)
    datagrams = children + EXTRA_BATCHES_PER_TICK + SNAPSHOT_CHUNKS_PER_TICK  # in a tick
    return TreeBounds(
        hops=hops,
        event=event,
        inner_lost=passed_over + 2 * event,
        root_lost=passed_over + 2 * event,
        known_late=freshness_limit(settings, hops),
        rejoined=REJOIN_US + passed_over + 2 * event,
        reconnected=call + 2 * settings.stream_timeout + settings.beat,
        gather=settings.gather,
        children=children,
        max_bytes=int(
            datagrams * MAX_DATAGRAM_BYTES * ticks + control * HEADER_BYTES + SCOPE_BYTES_PER_SECOND
        ),
        batches=ticks,
    )
