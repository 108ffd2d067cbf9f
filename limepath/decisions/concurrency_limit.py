"""Limits the attempts that this front has active at a server: a base limit times an adaptive factor.

The factor adapts to the load that all fronts together cause: each sign of overload in the server's answers
lowers it, and each answer in time raises it (docs/design.md, exception 1).
"""

from limepath.decisions.request import PendingRequest

ATTEMPTS_PER_CAPACITY = 2.1  # attempts that a server may hold per transfer that it can send at full rate
MIN_ATTEMPTS = 2  # minimum base limit of one front; parents and the origin have one more
OVERLOAD_DECREASE = 0.7  # multiplies the factor at each sign of overload
MIN_FACTOR = 0.02
RECOVERY_EXPONENT = 0.3  # an answer in time undoes this power of a decrease; about three undo all of it
GROWTH_EXPONENT = 0.1  # the same above the base limit, where the factor grows more slowly


class ConcurrencyLimit:
    """The limit of one server.

    Attributes:
        base_concurrency: number of transfers that the server can send at full rate.
        fronts: number of fronts that share the server.
        factor: less than 1 if the server is overloaded, more than 1 if other fronts leave capacity unused.
    """

    def __init__(self, is_upstream: bool) -> None:
        self._is_upstream = is_upstream
        self.base_concurrency: float = 0.0
        self.fronts: int = 1
        self.factor: float = 1.0

    def base_limit(self) -> float:
        """Return this front's share of the attempts that the server may hold, before the factor applies."""
        front_share = ATTEMPTS_PER_CAPACITY * self.base_concurrency / self.fronts
        return max(MIN_ATTEMPTS + self._is_upstream, front_share)

    def limit_for(self, request: PendingRequest) -> float:
        """Return the limit that applies to `request`; a limit under 1 is a probability of acceptance."""
        # The factor does not apply to pass-through requests: no other server can take them, so they are not
        # declined in favour of fills.
        if request.service.uncacheable:
            return self.base_limit()
        return self.base_limit() * self.factor ** (1 / request.size_factor)

    def record_outcome(self, is_overloaded: bool, active_attempts: int, work: float = 1.0) -> None:
        """Adapt the factor to a sign of overload or an answer in time.

        An overloaded server still gives answers without bytes in time, so an answer in time raises the factor
        in proportion to its work.

        Args:
            is_overloaded: whether the server is overloaded.
            active_attempts: number of attempts that are still active at the server.
            work: the server's work for the answer, as a fraction of a transfer's.
        """
        if is_overloaded:
            self.factor = max(MIN_FACTOR, self.factor * OVERLOAD_DECREASE)
        elif self.factor < 1 or self._is_upstream:
            self.factor = min(1, self.factor / OVERLOAD_DECREASE ** (RECOVERY_EXPONENT * work))
        elif active_attempts + 1 >= self.base_limit() * self.factor:
            # Only a server at its limit shows that it can take more.
            full_capacity_factor = ATTEMPTS_PER_CAPACITY * self.base_concurrency / self.base_limit()
            grown_factor = self.factor / OVERLOAD_DECREASE ** (GROWTH_EXPONENT * work)
            self.factor = max(1, min(full_capacity_factor, grown_factor))
