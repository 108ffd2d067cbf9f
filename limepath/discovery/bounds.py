"""What the settings promise of the list, computed; the drill, the run in virtual time and `limepath listing
bounds` use it.

All in microseconds but `calls` (a second) and `streams` (of a zone). They hold for a view of `fronts`
instances on which all agree, on ways that lose nothing for longer than a beat; each lost datagram in a row
adds a beat.
"""

from typing import NamedTuple

from limepath.discovery.call_budget import BUDGET_SHARE, CallBudget
from limepath.discovery.topology import longest_path
from limepath.membership.guard import LARGEST

SECOND = 1_000_000
HEADER_BYTES = 190  # bytes of a datagram beside events: sender, seal, positions, digests
PURGE_EVENT_BYTES = 16  # of a purge in a batch, at the most
CONTROL_PER_CHILD, CONTROL_PER_FRONT = (
    6,
    40,
)  # heartbeats, subscriptions and scopes a second, to each child and in all
REJOIN_US = 20_000_000  # for scopes to be learnt and the whole list to come in pieces
MIN_BATCH_EVENT_BYTES = 900  # of events in a full datagram, at the least
SCOPE_BYTES_PER_SECOND = 12_000  # a second, of scopes
COMMENT_INTERVAL_US = 1_000_000  # the service says that it is alive so often
ONE_WAY_DELAY_US = 100_000  # for a call to come up and be answered, and for a push
QUIET_SPAN_US = 500_000  # without an event, until a stream has told all that it had
BATCH_DELAY_US = 20_000  # in which events are gathered before they are pushed
RELAY_RETRY_SPAN_US = 5_000_000  # for which a relay may call in vain until the next by hash tries beside it
SLOW_PARENT_US = 30_000_000  # for which a parent that does not bring what another has is passed over
EXTRA_BATCHES_PER_TICK = 4  # datagrams in a tick to those behind, beside one to each child
SNAPSHOT_CHUNKS_PER_TICK = 8  # datagrams of lists in a tick, in all
HELPERS_PER_RELAY = 1  # times the relays, that may call beside them while they call in vain


class Bounds(NamedTuple):
    event: int  # until an event is at every front, nothing failing
    repaired: int  # the same where its push is lost
    relays_gone: int  # the same where all relays of a zone are killed, stopped or cut off in that moment
    stream_still: int  # the same where the relays' streams stand still in that moment
    restored: int  # the same where the service goes back to an older state in that moment
    alone: int  # the same at a front that hears of nobody, beside all others like it
    known_late: int  # until a front knows that its list may be old
    ready: int  # from the service's return until every front has the list, views being one
    calls: float
    streams: int


def freshness_limit(terms, hops=0):
    """How old the service's last word may be in a list that counts as up to date, so many hops below a root;
    each hop tells it on with the next heartbeat.
    """
    return terms.silence + terms.patience + hops * (terms.beat + ONE_WAY_DELAY_US)


def delivery_time(terms, hops):
    """Until an event is at every front of a tree, nothing failing."""
    return hops * (terms.gather + ONE_WAY_DELAY_US)


def max_children(terms):
    """Subscribers that a front sends events to, whatever their views."""
    return 2 * terms.fan_out


def max_watchers(terms):
    """Subscribers that a front sends heartbeats to: of the second tree, those that passed over it, and at a
    root the other roots and those next by hash.
    """
    return 4 * terms.fan_out + (1 + HELPERS_PER_RELAY + 1) * terms.relays


def max_hops(terms, fronts, zones, sites):
    """The most hops from a root to a front where fronts and sites are spread evenly over zones; 0 in the
    star.
    """
    if not terms.site:
        return 0
    return longest_path(-(-fronts // zones), max(1, -(-sites // zones)), terms.relays, terms.fan_out)


def bounds(terms, fronts, zones=1, sites=1):
    """Give the Bounds; `sites` counts with a site in the settings only."""
    hops = max_hops(terms, fronts, zones, sites)
    budget = CallBudget(terms._replace(fronts=max(fronts, terms.fronts)), lambda: 1.0)
    relay_call = (
        int(1.5 * budget.span_of(terms.relays * zones)) + terms.silence + ONE_WAY_DELAY_US + QUIET_SPAN_US
    )
    whole = 2 * terms.beat + ONE_WAY_DELAY_US + fronts * 2_000
    event = delivery_time(terms, hops) if hops else BATCH_DELAY_US + ONE_WAY_DELAY_US
    late = freshness_limit(terms, hops)
    return Bounds(
        event=event,
        repaired=event + terms.beat,
        relays_gone=late + terms.beat + relay_call + terms.beat + event,
        stream_still=terms.silence + relay_call + event,
        restored=2 * relay_call + terms.silence + 2 * terms.beat + whole + event,
        alone=late
        + RELAY_RETRY_SPAN_US
        + 2 * terms.beat
        + int(1.5 * budget.span_of(max(fronts, terms.fronts)))
        + terms.silence
        + ONE_WAY_DELAY_US
        + QUIET_SPAN_US,
        known_late=late,
        ready=relay_call + whole + (int(max(fronts, terms.fronts) / terms.ready * 1e6) if terms.ready else 0),
        calls=2 * BUDGET_SHARE * terms.rate,
        streams=terms.relays * (2 + HELPERS_PER_RELAY),
    )  # relays that are back, those that stood in for them, helpers


class TreeBounds(NamedTuple):
    """The same of trees, in microseconds; `most_bytes` and `calm_bytes(rate)` are a second, `children` those
    that any front sends events to.
    """

    hops: int
    event: int  # until an event is at every front, nothing failing; each lost datagram in a row adds a beat
    inner_gone: int  # the same where a front with children is killed, stopped or slow in that moment
    root_gone: int  # the same where a root is
    known_late: int  # until a front knows that its list is late
    rejoined: (
        int  # from its start until a front that knows nothing has all, an empty list of its zone taken in
    )
    reconnected: int  # from the end of a cut from the service until a root's stream has told all
    gather: int
    children: int
    most_bytes: int
    batches: float  # a second, to each child

    def calm_bytes(self, rate):
        """Bytes a second that a front sends at most while nothing fails, so many events a second told."""
        events = self.children * (self.batches * HEADER_BYTES + rate * PURGE_EVENT_BYTES)
        return int(events + (self.children * CONTROL_PER_CHILD + CONTROL_PER_FRONT) * HEADER_BYTES)

    def whole_again(self, rate, cut):
        """From the end of a cut that the window bridges until its events, so many a second, are everywhere:
        each child is sent one datagram in a tick at the least.
        """
        datagrams = int(rate * cut / SECOND * PURGE_EVENT_BYTES / MIN_BATCH_EVENT_BYTES) + 1
        return self.reconnected + 2 * datagrams * self.gather + 2 * self.event


def tree_bounds(terms, fronts, zones, sites):
    """Give the TreeBounds of a fleet whose fronts and sites are spread evenly over its zones."""
    hops = max_hops(terms if terms.site else terms._replace(site="any"), fronts, zones, sites)
    event = delivery_time(terms, hops)
    passed = (
        terms.patience + 2 * terms.beat + ONE_WAY_DELAY_US
    )  # a silent parent's place is taken by the next candidate
    call = (
        int(1.5 * CallBudget(terms, lambda: 1.0).span_of(terms.relays * zones))
        + ONE_WAY_DELAY_US
        + QUIET_SPAN_US
    )
    ticks = SECOND / terms.gather
    per_beat = SECOND / terms.beat * (max_children(terms) + max_watchers(terms) + 4)
    most = (
        max_children(terms) + EXTRA_BATCHES_PER_TICK + SNAPSHOT_CHUNKS_PER_TICK
    ) * LARGEST * ticks + per_beat * HEADER_BYTES
    return TreeBounds(
        hops=hops,
        event=event,
        inner_gone=passed + 2 * event,
        root_gone=passed + 2 * event,
        known_late=freshness_limit(terms, hops),
        rejoined=REJOIN_US + passed + 2 * event,
        reconnected=call + 2 * terms.silence + terms.beat,
        gather=terms.gather,
        children=max_children(terms),
        most_bytes=int(most + SCOPE_BYTES_PER_SECOND),
        batches=ticks,
    )
