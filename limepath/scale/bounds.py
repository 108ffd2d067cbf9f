"""What the settings promise of a scale run, and the operators' budgets, computed: the run is judged by these.

Times are whole microseconds, rates are by second. The promises are those of `listing.bounds` and of the
membership (`peers.members.detection`, `spread`); SLACK is added to times, for a machine that plays the whole
fleet, and a sample's span, for what is seen by samples only.
"""

from math import ceil, log
from typing import NamedTuple

from limepath.listing.bounds import bounds as listing_bounds
from limepath.peers.members import detection, spread
from limepath.scale.faults import LOSS, Kind

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


class Promise(NamedTuple):
    """Bounds of one run. `datagrams_sent` is None where the settings state no fan-out."""

    event: dict[str, int]  # by phase: until an event is at all fronts that no fault struck
    late_known: int  # from a cut until each front behind it knows that it is late
    whole_again: int  # from the end of a fault until each front that it struck is whole
    disagreement: int  # from the last change until all views are one
    datagrams_sent: float | None
    budget: Budget


BUDGET = Budget()


def promised(peers, fronts, zones, phases, events, budget=BUDGET):
    """The Promise of a run: `peers` is the PeersOpening of its settings as stated, `phases` the names of its
    phases, `events` about how many it tells in each.
    """
    told = listing_bounds(peers.listing, fronts, zones)
    unpaced = listing_bounds(peers.listing._replace(ready=0.0), fronts, zones)
    within = {phase: event_bound(peers, told, phase, fronts, events, budget) for phase in phases}
    return Promise(
        event=within,
        late_known=told.known_late + SLACK + SAMPLE,
        whole_again=unpaced.ready + SLACK + SAMPLE,
        disagreement=detection(peers.spans, fronts) + spread(peers.spans, fronts) + SLACK + SAMPLE,
        datagrams_sent=datagrams(peers),
        budget=budget,
    )


def event_bound(peers, told, phase, fronts, events, budget):
    """Never more than the operators' time; less where the settings promise less."""
    if phase == "calm":
        bound = told.event
    elif phase == Kind.LOSS:
        bound = told.event + lost_in_a_row(fronts * events, LOSS) * peers.listing.beat
    else:
        bound = told.relays_gone
    return min(budget.purge, bound + SLACK)


def lost_in_a_row(pieces, loss):
    """The longest run of losses that is expected once in so many pieces."""
    return max(1, ceil(log(max(2, pieces)) / log(1 / loss)))


def datagrams(peers):
    """Datagrams a second that a front with all the children that its fan-out allows may send: for each child
    a batch each gathering span and an answer each heartbeat; the membership's and the counts' own beside.
    """
    terms = peers.listing
    fan_out = getattr(terms, "fan_out", None)
    if fan_out is None:
        return None
    children = 2 * fan_out
    batches, heartbeats = SECOND / terms.gather, SECOND / terms.beat
    membership = (2 * 2 + peers.spans.indirect) * SECOND / peers.spans.period
    return 2 * (children * (batches + heartbeats) + 2 * heartbeats) + 4 * membership
