"""One duty's share at one instance: which of the duty's targets this instance owns."""

from collections.abc import Collection

from limepath.configuration.sharing_settings import DutyMode, DutySettings
from limepath.duties.leases import LeaseManager
from limepath.duties.ring import KeyedTarget, Ring, key_of
from limepath.duties.schedule import DutySchedule, ServePermission
from limepath.timer_queue import TimerQueue

UNLIMITED = ServePermission(epoch=0, until=0)
"""The permission of duties that need no lease."""


class DutyShare:
    """The targets of one duty, and the schedule of those that this instance owns.

    `lease_manager` is that of the instance, if any duty needs leases; targets are mapped to `slots` slots.
    """

    def __init__(
        self,
        timers: TimerQueue,
        duty: int,
        settings: DutySettings,
        slots: int,
        lease_manager: LeaseManager | None,
    ):
        self.duty = duty
        self.settings = settings
        self.slots = slots
        self.lease_manager = lease_manager if settings.mode == DutyMode.ONE_OWNER else None
        """None where this duty needs no lease."""
        self.keyed_targets: list[KeyedTarget] = []
        """All targets of the duty, in order of their keys."""
        self.is_stale = True
        """Whether targets, view or leases have changed since `divide`."""
        self.schedule = DutySchedule(timers, duty, settings, self.permission)

    def permission(self, target: int) -> ServePermission | None:
        """Return under which lease the target may be served now, or None if it may not."""
        if self.lease_manager is None:
            return UNLIMITED
        lease = self.lease_manager.valid_lease(self.duty, self.slot_of(target))
        return ServePermission(lease.epoch, lease.expires_at) if lease else None

    def slot_of(self, target: int) -> int:
        """Return the slot whose lease covers the target."""
        return key_of(target) % self.slots

    def set_targets(self, targets: Collection[int]) -> None:
        """Take all targets of the duty as the endpoint list has them now."""
        self.keyed_targets = sorted(KeyedTarget(key_of(target), target) for target in set(targets))
        self.schedule.retain(targets)
        self.is_stale = True

    def divide(self, ring: Ring, token: int) -> None:
        """Own the targets that are this instance's by the ring or by the slots that it holds."""
        self.is_stale = False
        if self.lease_manager is None:
            owned = ring.targets_of(token, self.keyed_targets)
        else:
            held = self.lease_manager.slots_held(self.duty)
            owned = [entry.target for entry in self.keyed_targets if self.slot_of(entry.target) in held]
        self.schedule.set_owned(owned)
