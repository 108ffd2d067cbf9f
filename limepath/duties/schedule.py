"""When each target that an instance owns is due: spread over the interval, handed over without a gap.

A target that another instance has served is due an interval later. One that is overdue when this instance
takes it over, or after this instance stood still, is due within half an interval at an offset of its own:
missed rounds are not made up all at once.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from limepath.configuration.sharing_settings import DutySettings
from limepath.duties.interface import ServeTarget
from limepath.hashing import mix64
from limepath.timer_queue import TimerQueue

# Parts of the interval: an interval divided by these.
LATE_PART = 4
"""A round that is later than this counts as missed."""
CATCH_UP_PART = 2
"""Missed rounds are spread over this."""
OVERDUE_PART = 8
"""The same for what has been overdue for long, so that a target that changes owners often is served too."""


class ServePermission(NamedTuple):
    """That a target may be served; the fields are those of `ServeTarget`."""

    epoch: int
    until: int


class DutySchedule:
    """The schedule of one duty at one instance.

    `permission(target)` tells whether the target may be served now; None if not.
    """

    def __init__(
        self,
        timers: TimerQueue,
        duty: int,
        settings: DutySettings,
        permission: Callable[[int], ServePermission | None],
    ):
        self.timers = timers
        self.duty = duty
        self.settings = settings
        self.permission = permission
        self.owned: set[int] = set()
        self.due_times: dict[int, int] = {}
        """When a target is due next. A due time survives that the target is lost to another instance."""
        self.last_served: dict[int, int] = {}
        """When a target was last served by any instance, as far as is known here."""
        self.salt = mix64(timers.seed + duty)
        self.missed_rounds = 0

    def offset(self, target: int, span: int) -> int:
        """Return a time within a span, for each target and instance another one."""
        return mix64(target ^ self.salt) * span >> 64

    def set_owned(self, targets: Iterable[int]) -> None:
        """Own these targets from now on, and no others."""
        targets = set(targets)
        for target in targets - self.owned:
            self._schedule_new(target)
        self.owned = targets

    def retain(self, targets: Iterable[int]) -> None:
        """Forget all targets but these, so that none that left the endpoint list is served again."""
        targets = set(targets)
        self.owned &= targets
        for times in (self.due_times, self.last_served):
            for target in [target for target in times if target not in targets]:
                del times[target]

    def _schedule_new(self, target: int) -> None:
        now = self.timers.now
        interval = self.settings.interval
        due = self.due_times.get(target)
        last_served = self.last_served.get(target)
        if last_served is not None:
            due = max(last_served + interval, due or 0)
        if due is None:
            due = now + self.offset(target, interval)
        elif due < now:
            long_overdue = now - due > interval // CATCH_UP_PART
            part = OVERDUE_PART if long_overdue else CATCH_UP_PART
            due = now + self.offset(target, interval // part)
        self._schedule_at(target, due)

    def _schedule_at(self, target: int, due: int) -> None:
        self.due_times[target] = due
        self.timers.schedule(due, self._serve_due, target, due)

    def _serve_due(self, target: int, due: int) -> None:
        if self.due_times.get(target) != due or target not in self.owned:
            return
        now = self.timers.now
        interval = self.settings.interval
        if now - due > interval // LATE_PART:  # this instance stood still
            self.missed_rounds += 1
            self._schedule_at(target, now + self.offset(target, interval // CATCH_UP_PART))
            return
        permission = self.permission(target)
        if permission is None:
            self._schedule_at(target, now + interval // OVERDUE_PART)
            return
        self.last_served[target] = now
        self.timers.emit(ServeTarget(self.duty, target, permission.epoch, permission.until))
        self._schedule_at(target, due + interval)

    def record_served(self, target: int, served_at: int) -> None:
        """Note that some instance has served the target at this time."""
        if served_at <= self.last_served.get(target, served_at - 1):
            return
        self.last_served[target] = served_at
        interval = self.settings.interval
        due = served_at + interval
        if target not in self.owned:
            self.due_times[target] = due
        elif due > self.due_times.get(target, 0) + interval // LATE_PART:
            self._schedule_at(target, due)
