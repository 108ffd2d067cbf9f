"""Limits the rate at which the fleet calls the list service.

The fronts share a number of calls per second without a leader: each draws the time of its call at random from
an interval that is proportional to the number of fronts that share the budget. One part of the budget is for
relays, which are few and may therefore call often; another part is for all other fronts, which call only if
no relay answers. Until the size of the view has been stable for a while, the number of fronts is uncertain:
then the larger of the configured and the observed number is used, and no front counts as a relay.

Performs no I/O.
"""

from collections.abc import Callable

from limepath.configuration.sharing_settings import DiscoverySettings

VIEW_SETTLED_US = 2_000_000  # without a change of size, after which a view counts as settled
BUDGET_SHARE = 0.4  # share of the rate for each of the two parts; the rest allows for views that differ
MIN_CALL_INTERVAL_US = 300_000  # between calls of one front
SECOND = 1_000_000


class CallBudget:
    """Draws the times of calls; `random_fraction()` returns a number between 0 and 1."""

    def __init__(self, settings: DiscoverySettings, random_fraction: Callable[[], float]):
        self.settings = settings
        self.random_fraction = random_fraction
        self.view_size: int = 1  # number of live fronts, including this one
        self.view_since: int | None = None  # since when the view has had this size
        self.due: int | None = None  # when the next call may start, None if no call is wanted
        self.span: int | None = None  # the mean interval from which `due` was drawn
        self.share: float = 0.0  # the random multiple of `span` after which the call is due
        self.wanted_since: int | None = None
        self.is_first_call: bool = True

    def update_view(self, now: int, size: int) -> None:
        """Record the number of live fronts, including this one."""
        if size != self.view_size or self.view_since is None:
            self.view_size = size
            self.view_since = now

    def is_view_settled(self, now: int) -> bool:
        """Return whether the size of the view has been stable for long enough."""
        return self.view_since is not None and now - self.view_since >= VIEW_SETTLED_US

    def count_sharing(self, now: int, relays: int) -> int:
        """Return the number of fronts that share the part of the budget that this front uses.

        `relays` is the number of relays of all zones, or 0 if this front is not a relay.
        """
        if relays and self.is_view_settled(now):
            return relays
        return max(self.settings.fronts, self.view_size)

    def mean_interval(self, sharing: int) -> int:
        """Return the mean time between two calls of one front if `sharing` fronts share the budget part."""
        return max(MIN_CALL_INTERVAL_US, int(sharing / (BUDGET_SHARE * self.settings.rate) * SECOND))

    def may_call(self, now: int, relays: int) -> bool:
        """Return whether to call now; the caller repeats this as long as it wants to call.

        If the mean interval changes, the due time is adapted. A front that turns out to share the budget with
        few others thus does not wait as long as with many.
        """
        span = self.mean_interval(self.count_sharing(now, relays))
        if self.due is None:
            self.wanted_since = now
            self.share = self.random_fraction() if self.is_first_call else 0.5 + self.random_fraction()
            self._draw(span)
        elif span != self.span:
            if self.settings.site:  # otherwise all fronts that learn this at once would call at once
                self.due = now + max(0, int((self.due - now) * span / self.span))
                self.span = span
            else:
                self._draw(span)
        return now >= self.due

    def _draw(self, span: int) -> None:
        self.due = self.wanted_since + int(span * self.share)
        self.span = span

    def record_call(self) -> None:
        """Record that a call starts."""
        self.due = None
        self.is_first_call = False

    def cancel(self) -> None:
        """Discard the due time, because no call is wanted any more."""
        self.due = None
