"""Moving averages of the time that a transfer takes, by delivery service."""

from collections.abc import Sequence

from limepath.interface.events import RequestArrived
from limepath.interface.settings import DeliveryService

AVERAGING_DIVISOR = 32  # each transfer moves the mean by this fraction (1/32) of its difference from the mean


class SendingTimes:
    """Mean sending times, in microseconds. The initial value is the service's latency objective.

    Attributes:
        by_service: mean sending time of each delivery service, by its index.
        mean: mean sending time of all requests that caches may answer.
    """

    def __init__(self, services: Sequence[DeliveryService], transfer_kb_s: float) -> None:
        self._transfer_kb_s = transfer_kb_s
        self.by_service: list[int] = [service.latency_objective for service in services]
        self.mean: float = min(self.by_service, default=0)

    def record_arrival(self, event: RequestArrived, service: DeliveryService) -> int:
        """Update the means with a request that arrived; return the expected sending time of its transfer."""
        mean = self.by_service[event.service]
        expected = mean
        if event.size_kb and self._transfer_kb_s:
            expected = int(event.size_kb / self._transfer_kb_s * 1_000_000)
        self.by_service[event.service] += (expected - mean) // AVERAGING_DIVISOR
        if not service.uncacheable:
            self.mean += (mean - self.mean) / AVERAGING_DIVISOR
        return expected

    def record_transfer(self, service_index: int, duration: int) -> None:
        """Update the mean of the service with a transfer that took `duration` microseconds."""
        self.by_service[service_index] += (duration - self.by_service[service_index]) // AVERAGING_DIVISOR
