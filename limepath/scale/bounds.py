"""What the settings promise of a scale run, and the operators' budgets, computed: the run is judged by these.

Times are whole microseconds, rates are by second. The promises are those of `listing.bounds` and of the
membership (`membership.bounds`); SLACK is added to times, for a machine that plays the whole
fleet, and a sample's span, for what is seen by samples only.
"""

from math import ceil, log
from typing import NamedTuple

from limepath.discovery import bounds as listing
from limepath.discovery.bounds import bounds as listing_bounds
from limepath.membership.bounds import detection_time, dissemination_time
from limepath.scale.faults import LOSS, Kind

tree_bounds = getattr(listing, "tree_bounds", None)  # a text before the tree has none

SECOND = 1_000_000
REQUIRED = 7_300_000  # a purge is done everywhere within that (issue 35)
CPU_SHARE = 0.035  # of a core, for all control of a front (issue 35)
MEMORY = 128_000_000  # bytes of a front (issue 35)
BYTES = 24_000  # sent a second by a front for control (issue 35)
STORM = 4.0  # times the calm's worst second, that any front may send in a fault
SLACK = 2 * SECOND
SAMPLE = SECOND  # between samples


class Budget(NamedTuple):
    """What the operators allow one front for control."""

    bytes_sent: float = BYTES
    cpu_share: float = CPU_SHARE
    memory: float = MEMORY
    purge: int = REQUIRED
    storm: float = STORM


class Shape(NamedTuple):
    """The sizes that bounds depend on, and events a second."""

    fronts: int
    zones: int
    sites: int
    rate: float


class Promise(NamedTuple):
    """Bounds of one run; None where the settings state nothing of the kind, as the star of relays does."""

    event: dict[str, int]  # by phase: until an event is at all fronts that no fault struck
    late_known: int  # from a cut until each front behind it knows that it is late
    whole_again: dict[str, int]  # by kind of fault: from its end until each front that it struck is whole
    disagreement: int  # from the last change until all views are one
    children: int | None  # fronts that one sends events to
    list_bytes: float | None  # sent a second for the list by the busiest front, nothing failing
    window: int | None  # the longest cut after which events still come one by one
    budget: Budget


BUDGET = Budget()


def tree_of(peers, shape):
    """The TreeBounds, or None where the settings make no tree."""
    if tree_bounds is None or not peers.listing.site:
        return None
    return tree_bounds(peers.listing, shape.fronts, shape.zones, shape.sites)


def promised(peers, shape, phases, schedule, budget=BUDGET):
    """The Promise of a run: `peers` is the PeersOpening of its settings as stated, `phases` the names of its
    phases, `schedule` its faults.
    """
    tree = tree_of(peers, shape)
    told = listing_bounds(peers.listing._replace(ready=0.0), shape.fronts, shape.zones)
    events = shape.rate * schedule.end / SECOND
    within = {phase: event_bound(peers, told, tree, phase, shape.fronts * events) for phase in phases}
    return Promise(
        event={phase: min(budget.purge, bound + SLACK) for phase, bound in within.items()},
        late_known=(tree or told).known_late + SLACK + SAMPLE,
        whole_again={fault.kind: whole_again(told, tree, fault, shape) for fault in schedule.faults},
        disagreement=detection_time(peers.spans, shape.fronts)
        + dissemination_time(peers.spans, shape.fronts)
        + SLACK
        + SAMPLE,
        children=tree and tree.children,
        list_bytes=tree and tree.steady_state_bytes(shape.rate),
        window=tree and peers.listing.window,
        budget=budget,
    )


def event_bound(peers, told, tree, phase, pieces):
    """Until an event is everywhere in a phase, on a machine that is not busy."""
    if phase == "calm":
        return (tree or told).event
    if phase == Kind.LOSS:
        return (tree or told).event + lost_in_a_row(pieces, LOSS) * peers.listing.beat
    if tree:
        return max(tree.inner_lost, tree.root_lost)
    return told.relays_lost


def lost_in_a_row(pieces, loss):
    """The longest run of losses that is expected once in so many pieces."""
    return max(1, ceil(log(max(2, pieces)) / log(1 / loss)))


def whole_again(told, tree, fault, shape):
    """From the end of a fault until each front that it struck has all events and knows it."""
    if tree is None:
        bound = told.ready
    elif fault.kind == Kind.CUT:
        bound = tree.recovery_time(shape.rate, fault.until - fault.at)
    else:
        bound = max(tree.rejoined, tree.recovery_time(shape.rate, fault.until - fault.at))
    return bound + SLACK + SAMPLE
