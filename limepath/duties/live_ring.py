"""The hash ring of one instance's view, kept up to date as members join and leave."""

from collections.abc import Callable, Sequence

from limepath.duties.ring import Ring

FEW_CHANGES = 3
"""Changes of the view that are taken in at once; more of them wait, up to SETTLE_TIME."""
REBUILD_PART = 16
"""Single changes cost less than a ring built anew up to this part of its members."""
SETTLE_TIME = 100_000
"""Microseconds in which a view that changes much (a cold start) has its ring built once."""


class LiveRing:
    """Gathers joined and left members, and applies them to the ring when it is asked for.

    `live_members()` gives the tokens of the other live instances.
    """

    def __init__(self, token: int, live_members: Callable[[], Sequence[int]]):
        self.token = token
        self.live_members = live_members
        self.ring = Ring.of([token])
        self.added: list[int] = []
        """Members that are live and not yet on the ring."""
        self.removed: list[int] = []
        """Members on the ring that are live no more."""
        self.large_change_at: int | None = None
        """When more than FEW_CHANGES were last taken in."""

    def add(self, token: int) -> None:
        """Take a member in that has joined."""
        if token in self.removed:
            self.removed.remove(token)
        else:
            self.added.append(token)

    def remove(self, token: int) -> None:
        """Take a member off that has left or died."""
        if token in self.added:
            self.added.remove(token)
        else:
            self.removed.append(token)

    def settles_at(self, now: int) -> int | None:
        """Return until when to wait for more changes, or None if the ring may be used now.

        Where many changes are taken in now, the next many wait for SETTLE_TIME.
        """
        if len(self.added) + len(self.removed) <= FEW_CHANGES:
            return None
        if self.large_change_at is not None and now < self.large_change_at + SETTLE_TIME:
            return self.large_change_at + SETTLE_TIME
        self.large_change_at = now
        return None

    def current(self) -> Ring:
        """Return the ring of the view as it is now."""
        changes = len(self.added) + len(self.removed)
        if changes > max(FEW_CHANGES, self.ring.members // REBUILD_PART):
            self.ring = Ring.of([self.token, *self.live_members()])
        elif changes:
            self.ring = self.ring.with_changes(self.removed, self.added)
        self.added = []
        self.removed = []
        return self.ring
