"""Computes upper bounds on the delivery and staleness of the endpoint list from the settings.

The drill, the simulations and `limepath discovery bounds` use them. All values are in microseconds, except
`calls` (per second) and `streams` (per zone). The bounds hold if all fronts have the same view of `fronts`
instances and no link loses datagrams for longer than a heartbeat interval; each further datagram lost in a
row adds one interval.
"""

from typing import NamedTuple

from limepath.configuration.sharing_settings import DiscoverySettings
from limepath.discovery.call_budget import BUDGET_SHARE, CallBudget
from limepath.discovery.topology import longest_path
from limepath.membership.guard import MAX_DATAGRAM_BYTES

SECOND = 1_000_000
HEADER_BYTES = 190  # per datagram: sender, authentication, positions, digests; all but the events
PURGE_EVENT_BYTES = 16  # maximum size of a purge in a batch
CONTROL_DATAGRAMS_PER_CHILD = 6  # heartbeats, subscriptions and scope messages, per second
CONTROL_DATAGRAMS_PER_FRONT = 40  # the same, per second to all fronts that are not children
REJOIN_US = 20_000_000  # to learn the scopes and receive the whole list in chunks
MIN_BATCH_EVENT_BYTES = 900  # minimum size of the events in a full datagram
SCOPE_BYTES_PER_SECOND = 12_000
COMMENT_INTERVAL_US = 1_000_000  # between two keep-alive comments of the service
LINK_DELAY_US = 100_000  # to connect to the service and receive its answer, or to deliver a push
QUIET_SPAN_US = 500_000  # without an event, after which a stream counts as caught up
BATCH_DELAY_US = 20_000  # for which events are collected before they are pushed
RELAY_RETRY_SPAN_US = 5_000_000  # of failed calls by a relay before the next front by hash calls as well
SLOW_PARENT_EXCLUSION_US = 30_000_000  # for which a parent that lacks events of another front is avoided
EXTRA_BATCHES_PER_TICK = 4  # datagrams to subscribers that are behind, in addition to one per child
SNAPSHOT_CHUNKS_PER_TICK = 8  # datagrams of lists, for all subscribers together
HELPERS_PER_RELAY = 1  # fronts per relay that may call the service as well while the calls of relays fail
LIST_CHUNK_TIME_US = 2_000  # added to the transfer time of the whole list by each front


class Bounds(NamedTuple):
    """The bounds for a fleet without trees."""

    event: int  # until an event has reached every front, without failures
    repaired: int  # the same if its push is lost
    relays_lost: int  # the same if all relays of a zone are killed, stopped or cut off at that moment
    stream_still: int  # the same if the relays' streams stall at that moment
    restored: int  # the same if the service is restored to an older state at that moment
    alone: int  # the same if no front receives answers from any other
    known_late: int  # until a front detects that its list may be stale
    ready: int  # from the service's return until every front has the list, if all views agree
    calls: float
    streams: int


def freshness_limit(settings: DiscoverySettings, hops: int = 0) -> int:
    """Return the maximum age, in microseconds, of the last confirmation of a list that counts as up to date.

    Each hop below a root forwards the confirmation with its next heartbeat.
    """
    return settings.stream_timeout + settings.heartbeat_timeout + hops * (settings.beat + LINK_DELAY_US)


def delivery_time(settings: DiscoverySettings, hops: int) -> int:
    """Return the time until an event has reached every front of a tree, in microseconds, without failures."""
    return hops * (settings.gather + LINK_DELAY_US)


def max_children(settings: DiscoverySettings) -> int:
    """Return the maximum number of subscribers that a front sends events to, even if views differ."""
    return 2 * settings.fan_out


def max_watchers(settings: DiscoverySettings) -> int:
    """Return the maximum number of subscribers that a front sends only heartbeats to.

    They are its children in the second tree, fronts that avoid it as a parent, and at a root the other roots
    and the standbys.
    """
    return 4 * settings.fan_out + (1 + HELPERS_PER_RELAY + 1) * settings.relays


def max_hops(settings: DiscoverySettings, fronts: int, zones: int, sites: int) -> int:
    """Return the maximum number of hops from a root to a front if zones have equally many fronts and sites.

    It is 0 without trees.
    """
    if not settings.site:
        return 0
    members = -(-fronts // zones)
    zone_sites = max(1, -(-sites // zones))
    return longest_path(members, zone_sites, settings.relays, settings.fan_out)


def bounds(settings: DiscoverySettings, fronts: int, zones: int = 1, sites: int = 1) -> Bounds:
    """Return the bounds of a fleet; `sites` is used only if the settings name a site."""
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
        # Relays that have returned, the fronts that replaced them, and helpers.
        streams=settings.relays * (2 + HELPERS_PER_RELAY),
    )


class TreeBounds(NamedTuple):
    """The bounds for a fleet in trees; times are in microseconds."""

    hops: int
    event: int  # until an event has reached every front; each datagram lost in a row adds one interval
    inner_lost: int  # the same if a front with children is killed, stopped or slow at that moment
    root_lost: int  # the same if a root is killed, stopped or slow at that moment
    known_late: int  # until a front detects that its list is stale
    rejoined: int  # from a start without any state, scopes included, until a front has the whole list
    reconnected: int  # from the end of a partition from the service until a root's stream has caught up
    gather: int
    children: int  # subscribers that any front sends events to
    max_bytes: int  # per second
    batches: float  # per second and child

    def steady_state_bytes(self, rate: float) -> int:
        """Return how many bytes per second a front sends at most without failures.

        `rate` is the number of events per second.
        """
        events = self.children * (self.batches * HEADER_BYTES + rate * PURGE_EVENT_BYTES)
        return int(
            events
            + (self.children * CONTROL_DATAGRAMS_PER_CHILD + CONTROL_DATAGRAMS_PER_FRONT) * HEADER_BYTES
        )

    def recovery_time(self, rate: float, cut: int) -> int:
        """Return the time from the end of a partition until every front has its events, in microseconds.

        The partition lasted `cut` microseconds, no longer than the window, and brought `rate` events per
        second. Each child is sent at least one datagram per tick.
        """
        datagrams = int(rate * cut / SECOND * PURGE_EVENT_BYTES / MIN_BATCH_EVENT_BYTES) + 1
        return self.reconnected + 2 * datagrams * self.gather + 2 * self.event


def tree_bounds(settings: DiscoverySettings, fronts: int, zones: int, sites: int) -> TreeBounds:
    """Return the bounds of a fleet whose zones have equally many fronts and sites."""
    with_site = settings if settings.site else settings._replace(site="any")
    hops = max_hops(with_site, fronts, zones, sites)
    event = delivery_time(settings, hops)
    # The next candidate replaces a silent parent.
    passed_over = settings.heartbeat_timeout + 2 * settings.beat + LINK_DELAY_US
    interval = CallBudget(settings, lambda: 1.0).mean_interval(settings.relays * zones)
    call = int(1.5 * interval) + LINK_DELAY_US + QUIET_SPAN_US
    ticks = SECOND / settings.gather
    children = max_children(settings)
    control = SECOND / settings.beat * (children + max_watchers(settings) + 4)
    datagrams = children + EXTRA_BATCHES_PER_TICK + SNAPSHOT_CHUNKS_PER_TICK  # per tick
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
