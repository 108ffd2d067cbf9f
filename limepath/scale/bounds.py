"""Bounds that a scale run is checked against, computed from its settings and the operators' budgets.

Times are whole microseconds, rates are per second. The bounds are those of the endpoint list
(`discovery.bounds`) and of membership (`membership.bounds`). SLACK_US is added to times because one machine
simulates the whole fleet, and SAMPLE_INTERVAL_US to times that are only observed by samples.
"""

from math import ceil, log
from typing import NamedTuple

from limepath.discovery import bounds as listing
from limepath.discovery.bounds import bounds as listing_bounds
from limepath.membership.bounds import detection_time, dissemination_time
from limepath.scale.faults import LOSS, Kind

tree_bounds = getattr(listing, "tree_bounds", None)  # None in versions without the tree

SECOND_US = 1_000_000
PURGE_LIMIT_US = 7_300_000  # maximum time until a purge is done on all fronts (issue 35)
CPU_SHARE_LIMIT = 0.035  # fraction of a core for all control work of a front (issue 35)
MEMORY_LIMIT_BYTES = 128_000_000  # memory of a front (issue 35)
SENT_BYTES_PER_S = 24_000  # control traffic that a front sends (issue 35)
MAX_FAULT_TRAFFIC_FACTOR = (
    4.0  # limit of a front's traffic in a fault, relative to the calm phase's worst second
)
SLACK_US = 2 * SECOND_US
SAMPLE_INTERVAL_US = SECOND_US


class Budget(NamedTuple):
    """The operators' limits for the control work of one front."""

    bytes_sent: float = SENT_BYTES_PER_S
    cpu_share: float = CPU_SHARE_LIMIT
    memory: float = MEMORY_LIMIT_BYTES
    purge: int = PURGE_LIMIT_US
    fault_traffic_factor: float = MAX_FAULT_TRAFFIC_FACTOR


class Shape(NamedTuple):
    """The sizes of a fleet that bounds depend on, and the rate of events per second."""

    fronts: int
    zones: int
    sites: int
    rate: float


class RunBounds(NamedTuple):
    """The bounds of one run; None where the settings define no such bound, as with a star of relays."""

    event: dict[str, int]  # by phase: until an event is at all fronts that are not affected by a fault
    lateness_detection: int  # from a cut until each front behind it has detected that its list is late
    recovery_time: dict[str, int]  # by kind of fault: from its end until each affected front has recovered
    disagreement: int  # from the last change until all views agree
    children: int | None  # maximum number of fronts that a front sends events to
    list_bytes: float | None  # bytes per second that the busiest front sends for the list without faults
    window: int | None  # the longest cut after which events are still sent one by one
    budget: Budget


BUDGET = Budget()


def tree_bounds_of(peers, shape):
    """Return the TreeBounds, or None where the settings define no tree."""
    if tree_bounds is None or not peers.listing.site:
        return None
    return tree_bounds(peers.listing, shape.fronts, shape.zones, shape.sites)


def compute_run_bounds(peers, shape, phases, schedule, budget=BUDGET):
    """Return the RunBounds of a run.

    `peers` is the PeersSettings of the run as stated, `phases` are the names of its phases, `schedule` its
    faults.
    """
    tree = tree_bounds_of(peers, shape)
    list_bounds = listing_bounds(peers.listing._replace(ready=0.0), shape.fronts, shape.zones)
    events = shape.rate * schedule.end / SECOND_US
    event_bounds = {
        phase: event_bound(peers, list_bounds, tree, phase, shape.fronts * events) for phase in phases
    }
    return RunBounds(
        event={phase: min(budget.purge, bound + SLACK_US) for phase, bound in event_bounds.items()},
        lateness_detection=(tree or list_bounds).known_late + SLACK_US + SAMPLE_INTERVAL_US,
        recovery_time={
            fault.kind: recovery_time(list_bounds, tree, fault, shape) for fault in schedule.faults
        },
        disagreement=detection_time(peers.spans, shape.fronts)
        + dissemination_time(peers.spans, shape.fronts)
        + SLACK_US
        + SAMPLE_INTERVAL_US,
        children=tree and tree.children,
        list_bytes=tree and tree.steady_state_bytes(shape.rate),
        window=tree and peers.listing.window,
        budget=budget,
    )


def event_bound(peers, list_bounds, tree, phase, deliveries):
    """Return the time until an event is at all fronts in a phase, on a machine that is not busy."""
    if phase == "calm":
        return (tree or list_bounds).event
    if phase == Kind.LOSS:
        return (tree or list_bounds).event + longest_loss_run(deliveries, LOSS) * peers.listing.beat
    if tree:
        return max(tree.inner_lost, tree.root_lost)
    return list_bounds.relays_lost


def longest_loss_run(deliveries, loss):
    """Return the length of the longest run of losses that is expected once in this many deliveries."""
    return max(1, ceil(log(max(2, deliveries)) / log(1 / loss)))


def recovery_time(list_bounds, tree, fault, shape):
    """Return the time from the end of a fault until each affected front has all events."""
    if tree is None:
        bound = list_bounds.ready
    elif fault.kind == Kind.CUT:
        bound = tree.recovery_time(shape.rate, fault.until - fault.at)
    else:
        bound = max(tree.rejoined, tree.recovery_time(shape.rate, fault.until - fault.at))
    return bound + SLACK_US + SAMPLE_INTERVAL_US
