"""When a front may call the list service, so that all fronts together keep to a number of calls a second
without a leader.

Each draws its time out of a span that grows with how many share the budget. The budget has two halves, one
for relays (few, so each calls often) and one for all others, who call only when no relay tells them anything.
Until the view has stood still for a while nobody knows how many there are: the larger of what the settings
tell and what has been seen counts, and nobody is a relay to the budget. Free of I/O.
"""

VIEW_SETTLED_US = 2_000_000  # for which a view must not have changed in size
BUDGET_SHARE = 0.4  # of the budget for each half; the rest is for views that differ
MIN_CALL_INTERVAL_US = 300_000  # between calls of one front


class CallBudget:
    """`chance()` gives a number from 0 to 1, drawn."""

    def __init__(self, terms, chance):
        self.terms = terms
        self.chance = chance
        self.seen = 1
        self.since = None
        self.due = None
        self.span = None
        self.share = 0.0
        self.first = True

    def view(self, now, size):
        """So many instances live, this one among them."""
        if size != self.seen or self.since is None:
            self.seen = size
            self.since = now

    def settled(self, now):
        return self.since is not None and now - self.since >= VIEW_SETTLED_US

    def sharing(self, now, relays):
        """How many share the half of the budget that this front calls under; `relays` are those of all zones,
        0 where it is none of them.
        """
        if relays and self.settled(now):
            return relays
        return max(self.terms.fronts, self.seen)

    def span_of(self, sharing):
        """The mean time between two calls of one of so many.

        >>> from limepath.configuration.sharing_settings import DiscoverySettings
        >>> budget = CallBudget(DiscoverySettings(fronts=200, rate=20.0), lambda: 0.5)
        >>> budget.span_of(200), budget.span_of(2)
        (25000000, 300000)
        """
        return max(MIN_CALL_INTERVAL_US, int(sharing / (BUDGET_SHARE * self.terms.rate) * 1e6))

    def may_call(self, now, relays):
        """Whether to call now; asked again and again while a call is wanted. The time drawn moves along when
        the span changes, so that whoever turns out to be one of few need not wait as one of many.
        """
        span = self.span_of(self.sharing(now, relays))
        if self.due is None or span != self.span:
            if self.due is None:
                self.since_wanted = now
                self.share = self.chance() if self.first else 0.5 + self.chance()
            if self.due is not None and self.terms.site:  # else all that learn at once that they are few call
                self.due = now + max(0, int((self.due - now) * span / self.span))
            else:
                self.due = self.since_wanted + int(span * self.share)
            self.span = span
        return now >= self.due

    def called(self):
        """A call goes out now."""
        self.due = None
        self.first = False

    def unwanted(self):
        """No call is wanted any more."""
        self.due = None
