"""How many attempts of this front a server may hold: its base limit and an adaptive factor.

The factor follows what many fronts together ask of the server: it falls by each sign of overload in the
server's answers and rises by answers in time (docs/design.md, exception 1).
"""

from limepath.decisions.request import PendingRequest

ATTEMPTS_PER_CAPACITY = 2.1  # transfers that a server may hold for each that it can send at full rate
LEAST_ATTEMPTS = 2  # that it may hold of one front, at parents and the origin one more
OVERLOAD_DECREASE = 0.7  # of its factor that an overloaded server retains each time
LEAST_FACTOR = 0.02
RECOVERY_EXPONENT = 0.3  # of the decrease that an answer in time takes back: some three for one overload
GROWTH_EXPONENT = 0.1  # the same beyond the base limit, where it is slower


class ConcurrencyLimit:
    """The limit of one server.

    Attributes:
        base_concurrency: transfers that the server can send at full rate.
        fronts: how many fronts share the server.
        factor: under 1 where the server is overloaded, over 1 where other fronts leave capacity free.
    """

    def __init__(self, is_upstream: bool) -> None:
        self._is_upstream = is_upstream
        self.base_concurrency: float = 0.0
        self.fronts: int = 1
        self.factor: float = 1.0

    def base_limit(self) -> float:
        """This front's part of what the server may hold, before the factor."""
        part = ATTEMPTS_PER_CAPACITY * self.base_concurrency / self.fronts
        return max(LEAST_ATTEMPTS + self._is_upstream, part)

    def limit_for(self, request: PendingRequest) -> float:
        """How many attempts the server may hold when it is offered `request`. Under 1 it is a probability."""
        if request.service.uncacheable:  # what can go nowhere else is not declined for the sake of fills
            return self.base_limit()
        return self.base_limit() * self.factor ** (1 / request.size_factor)

    def record_outcome(self, is_overloaded: bool, active_attempts: int) -> None:
        """Adapt the factor to a sign of overload or an answer in time, with so many attempts still active."""
        if is_overloaded:
            self.factor = max(LEAST_FACTOR, self.factor * OVERLOAD_DECREASE)
        elif self.factor < 1 or self._is_upstream:
            self.factor = min(1, self.factor / OVERLOAD_DECREASE**RECOVERY_EXPONENT)
        elif (
            active_attempts + 1 >= self.base_limit() * self.factor
        ):  # only a full one shows that it can take more
            whole = ATTEMPTS_PER_CAPACITY * self.base_concurrency / self.base_limit()
            self.factor = max(1, min(whole, self.factor / OVERLOAD_DECREASE**GROWTH_EXPONENT))
