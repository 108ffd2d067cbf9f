"""When a front may call the list service.

All fronts together keep to a number of calls a second without a leader: each draws its time out of a span
that grows with how many share the budget. The budget has two halves, one for relays (few, so each calls
often) and one for all others, who call only when no relay answers them. Until the view has stood still for a
while nobody knows how many there are: the larger of what the settings say and what has been seen counts, and
nobody is a relay to the budget. Free of I/O.
"""

from collections.abc import Callable

from limepath.configuration.sharing_settings import DiscoverySettings

VIEW_SETTLED_US = 2_000_000  # for which a view must not have changed in size
BUDGET_SHARE = 0.4  # of the budget for each half; the rest is for views that differ
MIN_CALL_INTERVAL_US = 300_000  # between calls of one front
SECOND = 1_000_000


class CallBudget:
    """Draws the times of calls; `random_fraction()` gives a number from 0 to 1."""

    def __init__(self, settings: DiscoverySettings, random_fraction: Callable[[], float]):
        self.settings = settings
        self.random_fraction = random_fraction
        self.view_size: int = 1  # live fronts last seen, this one among them
        self.view_since: int | None = None  # since when the view has had that size
        self.due: int | None = None  # when the next call may go out, None where none is wanted
        self.span: int | None = None  # the mean interval that `due` was drawn from
        self.share: float = 0.0  # of the span that was drawn
        self.wanted_since: int | None = None
        self.is_first_call: bool = True

    def update_view(self, now: int, size: int) -> None:
        """So many fronts are live, this one among them."""
        if size != self.view_size or self.view_since is None:
            self.view_size = size
            self.view_since = now

    def is_view_settled(self, now: int) -> bool:
        """Whether the size of the view has stood still for long enough."""
        return self.view_since is not None and now - self.view_since >= VIEW_SETTLED_US

    def count_sharing(self, now: int, relays: int) -> int:
        """How many share the half of the budget that this front calls under.

        `relays` are those of all zones, 0 where this front is none of them.
        """
        if relays and self.is_view_settled(now):
            return relays
        return max(self.settings.fronts, self.view_size)

    def mean_interval(self, sharing: int) -> int:
        """The mean time between two calls of one of so many, in microseconds."""
        return max(MIN_CALL_INTERVAL_US, int(sharing / (BUDGET_SHARE * self.settings.rate) * SECOND))

    def may_call(self, now: int, relays: int) -> bool:
        """Whether to call now; asked again and again while a call is wanted.

        The time drawn moves along when the mean interval changes, so that whoever turns out to be one of few
        need not wait as one of many.
        """
        span = self.mean_interval(self.count_sharing(now, relays))
        if self.due is None:
            self.wanted_since = now
            self.share = self.random_fraction() if self.is_first_call else 0.5 + self.random_fraction()
            self._draw(span)
        elif span != self.span:
            if self.settings.site:  # else all that learn at once that they are few would call at once
                self.due = now + max(0, int((self.due - now) * span / self.span))
                self.span = span
            else:
                self._draw(span)
        return now >= self.due

    def _draw(self, span: int) -> None:
        self.due = self.wanted_since + int(span * self.share)
        self.span = span

    def record_call(self) -> None:
        """A call goes out now."""
        self.due = None
        self.is_first_call = False

    def cancel(self) -> None:
        """No call is wanted any more."""
        self.due = None
