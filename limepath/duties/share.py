"""The share of one instance in one duty: the targets of the duty that the instance owns."""

from collections.abc import Collection

from limepath.configuration.sharing_settings import DutyMode, DutySettings
from limepath.duties.leases import LeaseManager
from limepath.duties.ring import KeyedTarget, Ring, key_of
from limepath.duties.schedule import DutySchedule, ServePermission
from limepath.timer_queue import TimerQueue

UNLIMITED = ServePermission(epoch=0, until=0)
"""The permission to serve targets of duties that use no leases."""


class DutyShare:
    """The targets of one duty, and the schedule of those that this instance owns.

    `lease_manager` is the instance's lease manager, or None if no duty uses leases. Targets are mapped to
    `slots` slots.
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
        """None if this duty uses no leases."""
        self.keyed_targets: list[KeyedTarget] = []
        """All targets of the duty, sorted by their keys."""
        self.is_stale = True
        """Whether targets, view or leases have changed since the last `update_owned`."""
        self.schedule = DutySchedule(timers, duty, settings, self.permission)

    def permission(self, target: int) -> ServePermission | None:
        """Return the permission to serve the target now, or None without a valid lease."""
        if self.lease_manager is None:
            return UNLIMITED
        lease = self.lease_manager.valid_lease(self.duty, self.slot_of(target))
        return ServePermission(lease.epoch, lease.expires_at) if lease else None

    def slot_of(self, target: int) -> int:
        """Return the slot whose lease covers the target."""
        return key_of(target) % self.slots

    def set_targets(self, targets: Collection[int]) -> None:
        """Replace the targets of the duty with those that are on the endpoint list now."""
        self.keyed_targets = sorted(KeyedTarget(key_of(target), target) for target in set(targets))
        self.schedule.retain(targets)
        self.is_stale = True

    def update_owned(self, ring: Ring, token: int) -> None:
        """Set the owned targets: those that the ring assigns to this instance, or those in its held slots."""
        self.is_stale = False
        if self.lease_manager is None:
            owned = ring.targets_of(token, self.keyed_targets)
        else:
            held = self.lease_manager.slots_held(self.duty)
            owned = [entry.target for entry in self.keyed_targets if self.slot_of(entry.target) in held]
        self.schedule.set_owned(owned)
