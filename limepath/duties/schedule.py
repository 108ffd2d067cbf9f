"""The schedule of one duty at an instance: when each target that the instance owns is due.

Due times are spread over the interval. A target that another instance has served is due one interval after
that, so a change of owner leaves no gap. A target that is overdue when this instance takes it over, or after
this instance was suspended, is due at a target-specific offset within half an interval, so that missed rounds
are not all made up at once.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from limepath.configuration.sharing_settings import DutySettings
from limepath.duties.interface import ServeTarget
from limepath.hashing import mix64
from limepath.timer_queue import TimerQueue

# Each span below is the interval divided by the constant.
LATE_DIVISOR = 4
"""A round that is late by more than this span counts as missed."""
CATCH_UP_DIVISOR = 2
"""Missed rounds are spread over this span."""
LONG_OVERDUE_DIVISOR = 8
"""Long overdue rounds are spread over this span, so that a target that often changes owners is served.

A target without a permission is tried again after the same span.
"""


class ServePermission(NamedTuple):
    """Permission to serve a target; the fields are those of `ServeTarget`."""

    epoch: int
    until: int


class DutySchedule:
    """The schedule of one duty at one instance.

    `permission(target)` returns the permission to serve the target now, or None.
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
        """When each target is due next; kept when the target passes to another instance."""
        self.last_served: dict[int, int] = {}
        """When each target was last served by any instance, as far as is known here."""
        self.salt = mix64(timers.seed + duty)
        self.missed_rounds = 0

    def offset(self, target: int, span: int) -> int:
        """Return an offset within a span that depends on the target and the instance."""
        return mix64(target ^ self.salt) * span >> 64

    def set_owned(self, targets: Iterable[int]) -> None:
        """Set the targets that this instance owns from now on."""
        targets = set(targets)
        for target in targets - self.owned:
            self._schedule_new(target)
        self.owned = targets

    def retain(self, targets: Iterable[int]) -> None:
        """Delete all other targets, so that none that left the endpoint list is served again."""
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
            long_overdue = now - due > interval // CATCH_UP_DIVISOR
            divisor = LONG_OVERDUE_DIVISOR if long_overdue else CATCH_UP_DIVISOR
            due = now + self.offset(target, interval // divisor)
        self._schedule_at(target, due)

    def _schedule_at(self, target: int, due: int) -> None:
        self.due_times[target] = due
        self.timers.schedule(due, self._serve_due, target, due)

    def _serve_due(self, target: int, due: int) -> None:
        if self.due_times.get(target) != due or target not in self.owned:
            return
        now = self.timers.now
        interval = self.settings.interval
        if now - due > interval // LATE_DIVISOR:  # this instance was suspended
            self.missed_rounds += 1
            self._schedule_at(target, now + self.offset(target, interval // CATCH_UP_DIVISOR))
            return
        permission = self.permission(target)
        if permission is None:
            self._schedule_at(target, now + interval // LONG_OVERDUE_DIVISOR)
            return
        self.last_served[target] = now
        self.timers.emit(ServeTarget(self.duty, target, permission.epoch, permission.until))
        self._schedule_at(target, due + interval)

    def record_served(self, target: int, served_at: int) -> None:
        """Record that an instance has served the target at this time."""
        if served_at <= self.last_served.get(target, served_at - 1):
            return
        self.last_served[target] = served_at
        interval = self.settings.interval
        due = served_at + interval
        if target not in self.owned:
            self.due_times[target] = due
        elif due > self.due_times.get(target, 0) + interval // LATE_DIVISOR:
            self._schedule_at(target, due)
