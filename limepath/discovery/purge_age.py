"""Limits the age of the purges that a front applies."""

from typing import Any

from limepath.interface.events import PurgeAnnounced


class PurgeAgeLimit:
    """Passes events on to an event loop, with the ages of purges limited to `max_age` microseconds."""

    def __init__(self, event_loop: Any, max_age: int):
        self.event_loop = event_loop
        self.max_age = max_age

    def gather(self, *events: Any) -> None:
        """Pass events on, with limited ages."""
        self.event_loop.gather(*map(self._limit, events))

    def _limit(self, event: Any) -> Any:
        if isinstance(event, PurgeAnnounced):
            return event._replace(age=min(event.age, self.max_age))
        return event
