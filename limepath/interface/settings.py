"""Settings of the decision engine: delivery services, topology, permissions and the periods of the rules.

`limepath.configuration.decision_settings` derives them from the deployment's settings at startup. Times are
in whole microseconds, sizes in kilobytes, rates in kilobytes per second.
"""

from enum import IntEnum
from typing import NamedTuple


class Idempotency(IntEnum):
    """Whether a request may be repeated without a further effect."""

    IDEMPOTENT = 0
    KEYED = 1
    """A repeat with the same idempotency key has no further effect within its scope and window."""
    NON_IDEMPOTENT = 2


class KeyScope(IntEnum):
    """The set of caches that recognise a repeated idempotency key."""

    ALL = 0
    ZONE = 1
    CELL = 2


class DeliveryService(NamedTuple):
    """The terms of service for one class of requests."""

    latency_objective: int
    objective_stretch: float
    """An answer is in time if it takes at most the objective plus this multiple of its sending time."""
    deadline: int
    """Maximum time that a client of this class waits for an answer."""
    priority_weight: float
    late_share: float
    """Fraction of the weight that an answer past its objective earns."""
    idempotency: Idempotency
    key_scope: KeyScope
    retry_window: int
    """Time after the first attempt during which an idempotency key is recognised."""
    streamed: bool
    max_age: int
    """Maximum age of a fresh copy; 0 if copies do not become stale."""
    stale_grace: int
    """Additional age that a copy may have if no fresh copy is available."""
    stale_share: float
    uncacheable: bool
    segmented: bool


class Topology(NamedTuple):
    """The position of this front among zones, hubs, links and other fronts."""

    zone: int
    hub_of: tuple[int, ...]
    link_kb_s: tuple[float, ...]
    """Rate of each zone's link to its parents; 0 if unlimited."""
    fronts_in_zone: int
    fronts: int
    parent_kind: int
    origin_kind: int
    transfer_kb_s: float
    """Rate of one transfer."""
    weighted: bool
    """Whether the endpoint list contains capacities."""


class Permissions(NamedTuple):
    """The permissions and limits that the deployment sets."""

    max_attempts: int
    hedging: bool
    """Whether a request may have more than one attempt in flight."""
    cancellation: bool
    probing: bool
    peer_messages: bool
    max_retry_after: int
    direct: bool
    """Whether a request may bypass the caches and go directly to a parent or the origin."""
    join_fills: bool
    """Whether a request may join a fill that is in flight for another request."""
    lateral: str
    subscribe: bool


class SlowStart(NamedTuple):
    """The capacity of a recently started endpoint, and the load that overloads it."""

    initial_share: float
    """Fraction of its full capacity that the endpoint has when it starts."""
    duration: int
    """Time from the start until the endpoint has its full capacity; 0 if no load overloads it."""
    overload_factor: float
    """The endpoint is overloaded by this multiple of its capacity ..."""
    overload_window: int
    """... if the load lasts this long."""


class GracePeriods(NamedTuple):
    """Periods of the rules on answers, drains, purges and subscriptions."""

    answer: int
    drain: int
    purge: int
    purge_complete: int
    """Time after which no endpoint holds a purged copy."""
    subscribe_within: int
