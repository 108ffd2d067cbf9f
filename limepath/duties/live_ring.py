"""The hash ring of one instance's view, kept up to date as members join and leave."""

from collections.abc import Callable, Sequence

from limepath.duties.ring import Ring

MAX_IMMEDIATE_CHANGES = 3
"""Up to this many changes of the view are applied at once; more of them may wait for SETTLE_TIME."""
REBUILD_DIVISOR = 16
"""Single changes cost less than a rebuild up to the number of the ring's members divided by this."""
SETTLE_TIME = 100_000
"""Microseconds within which the ring is built only once while a view changes fast, as in a cold start."""


class LiveRing:
    """Collects joins and departures, and applies them to the ring when `current` is called.

    `live_members()` returns the tokens of the other live instances.
    """

    def __init__(self, token: int, live_members: Callable[[], Sequence[int]]):
        self.token = token
        self.live_members = live_members
        self.ring = Ring.of([token])
        self.added: list[int] = []
        """Live members that are not on the ring yet."""
        self.removed: list[int] = []
        """Members on the ring that are no longer live."""
        self.large_change_at: int | None = None
        """When more than MAX_IMMEDIATE_CHANGES changes were last applied together."""

    def add(self, token: int) -> None:
        """Add a member that has joined."""
        if token in self.removed:
            self.removed.remove(token)
        else:
            self.added.append(token)

    def remove(self, token: int) -> None:
        """Remove a member that has left or died."""
        if token in self.added:
            self.added.remove(token)
        else:
            self.removed.append(token)

    def settles_at(self, now: int) -> int | None:
        """Return the time until which to wait for more changes, or None if the ring may be used now.

        When more than MAX_IMMEDIATE_CHANGES are applied now, the next such batch waits for SETTLE_TIME.
        """
        if len(self.added) + len(self.removed) <= MAX_IMMEDIATE_CHANGES:
            return None
        if self.large_change_at is not None and now < self.large_change_at + SETTLE_TIME:
            return self.large_change_at + SETTLE_TIME
        self.large_change_at = now
        return None

    def current(self) -> Ring:
        """Apply the collected changes and return the ring of the present view."""
        changes = len(self.added) + len(self.removed)
        if changes > max(MAX_IMMEDIATE_CHANGES, self.ring.members // REBUILD_DIVISOR):
            self.ring = Ring.of([self.token, *self.live_members()])
        elif changes:
            self.ring = self.ring.with_changes(self.removed, self.added)
        self.added = []
        self.removed = []
        return self.ring
