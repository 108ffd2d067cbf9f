"""The mean time that a transfer of each delivery service takes, learnt from what this front has sent."""

from collections.abc import Sequence

from limepath.interface.events import RequestArrived
from limepath.interface.settings import DeliveryService

WEIGHT_OF_LATEST = 32  # a mean moves by one part in so many of what the latest transfer differs from it


class SendingTimes:
    """Mean sending times in microseconds; a service's begins at its latency objective.

    Attributes:
        by_service: one for each delivery service, by its index.
        mean: over all requests that may be answered by caches.
    """

    def __init__(self, services: Sequence[DeliveryService], transfer_kb_s: float) -> None:
        self._transfer_kb_s = transfer_kb_s
        self.by_service: list[int] = [service.latency_objective for service in services]
        self.mean: float = min(self.by_service, default=0)

    def count_arrival(self, event: RequestArrived, service: DeliveryService) -> int:
        """Learn from a request that has arrived; give the time that its own transfer is expected to take."""
        mean = self.by_service[event.service]
        expected = mean
        if event.size_kb and self._transfer_kb_s:
            expected = int(event.size_kb / self._transfer_kb_s * 1_000_000)
        self.by_service[event.service] += (expected - mean) // WEIGHT_OF_LATEST
        if not service.uncacheable:
            self.mean += (mean - self.mean) / WEIGHT_OF_LATEST
        return expected

    def count_transfer(self, service_index: int, duration: int) -> None:
        """Learn from a transfer that took `duration` microseconds."""
        self.by_service[service_index] += (duration - self.by_service[service_index]) // WEIGHT_OF_LATEST
