"""What the settings promise of the list, computed; the drill, the run in virtual time and `limepath listing
bounds` use it.

All in microseconds but `calls` (a second) and `streams` (of a zone). They hold for a view of `fronts`
instances on which all agree, on ways that lose nothing for longer than a beat; each lost datagram in a row
adds a beat.
"""

from typing import NamedTuple

from limepath.listing.calls import PART, Budget

COMMENT = 1_000_000  # the service says that it is alive so often
WAY = 100_000  # for a call to come up and be answered, and for a push
QUIET = 500_000  # without an event, until a stream has told all that it had
BATCH = 20_000  # in which events are gathered before they are pushed
TURN = 5_000_000  # for which a relay may call in vain until the next by hash tries beside it
HELPERS = 1  # times the relays, that may call beside them while they call in vain


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


def fresh(terms):
    """How old the service's last word may be in a list that counts as up to date."""
    return terms.silence + terms.patience


def bounds(terms, fronts, zones=1):
    """Give the Bounds."""
    budget = Budget(terms._replace(fronts=max(fronts, terms.fronts)), lambda: 1.0)
    relay_call = int(1.5 * budget.span_of(terms.relays * zones)) + terms.silence + WAY + QUIET
    whole = 2 * terms.beat + WAY + fronts * 2_000
    event = BATCH + WAY
    return Bounds(
        event=event,
        repaired=event + terms.beat,
        relays_gone=fresh(terms) + terms.beat + relay_call + terms.beat + event,
        stream_still=terms.silence + relay_call + event,
        restored=2 * relay_call + terms.silence + 2 * terms.beat + whole + event,
        alone=fresh(terms)
        + TURN
        + 2 * terms.beat
        + int(1.5 * budget.span_of(max(fronts, terms.fronts)))
        + terms.silence
        + WAY
        + QUIET,
        known_late=fresh(terms),
        ready=relay_call + whole + (int(max(fronts, terms.fronts) / terms.ready * 1e6) if terms.ready else 0),
        calls=2 * PART * terms.rate,
        streams=terms.relays * (2 + HELPERS),
    )  # relays that are back, those that stood in for them, helpers
