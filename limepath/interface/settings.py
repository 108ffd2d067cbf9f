"""Settings of the decisions: delivery services, topology, permissions and the periods of the rules.

Made once at start from the deployment's settings by `limepath.configuration.decision_settings`. Times are
whole microseconds, sizes kilobytes, rates kilobytes per second.
"""

from enum import IntEnum
from typing import NamedTuple


class Idempotency(IntEnum):
    """Whether the effect of a request may happen again."""

    IDEMPOTENT = 0
    KEYED = 1
    """A repeat with the same idempotency key has no further effect within its scope and window."""
    NON_IDEMPOTENT = 2


class KeyScope(IntEnum):
    """The caches that recognise a repeated idempotency key."""

    ALL = 0
    ZONE = 1
    CELL = 2


class DeliveryService(NamedTuple):
    """A class of requests and its terms."""

    latency_objective: int
    objective_stretch: float
    """An answer counts as in time up to the objective plus this many times its sending time."""
    deadline: int
    """Longest time that a client of this class waits."""
    priority_weight: float
    late_share: float
    """Share of the weight that an answer past its objective still earns."""
    idempotency: Idempotency
    key_scope: KeyScope
    retry_window: int
    """How long after the first attempt an idempotency key is recognised."""
    streamed: bool
    max_age: int
    """Age up to which a copy is fresh; 0 where copies do not age."""
    stale_grace: int
    """How much older a copy may be where nothing fresh is to be had."""
    stale_share: float
    uncacheable: bool
    segmented: bool


class Topology(NamedTuple):
    """Where this front stands among zones, hubs, links and other fronts."""

    zone: int
    hub_of: tuple[int, ...]
    link_kb_s: tuple[float, ...]
    """Rate of each zone's link to its parents; 0 where it has no limit."""
    fronts_in_zone: int
    fronts: int
    parent_kind: int
    origin_kind: int
    transfer_kb_s: float
    """Rate of one transfer."""
    weighted: bool
    """Whether the endpoint list tells capacities."""


class Permissions(NamedTuple):
    """What the deployment permits."""

    max_attempts: int
    hedging: bool
    """Whether a request may have several attempts in flight."""
    cancellation: bool
    probing: bool
    peer_messages: bool
    max_retry_after: int
    direct: bool
    """Whether a request may go past the caches, straight to a parent or the origin."""
    join_fills: bool
    """Whether a request may join a fill that is in flight for another."""
    lateral: str
    subscribe: bool


class SlowStart(NamedTuple):
    """Capacity of an endpoint that has started, and what overloads it."""

    initial_share: float
    """Share of its capacity that it has at its start."""
    duration: int
    """Time from its start until it has all of it; 0 where nothing overloads it."""
    overload_factor: float
    """It falls at this many times its capacity ..."""
    overload_window: int
    """... for this long."""


class GracePeriods(NamedTuple):
    """Periods of the rules on answers, drains, purges and subscriptions."""

    answer: int
    drain: int
    purge: int
    purge_complete: int
    """Time after which a purged copy is gone from every endpoint."""
    subscribe_within: int
