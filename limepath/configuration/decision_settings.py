"""Converts the settings in the platform's JSON to the settings of the decision module.

The keys and values in the JSON are named by the platform; only this module maps them to other names. The
front, the hollow fronts and the simulator host all use it.
"""

from collections.abc import Mapping
from typing import Any, TypedDict

from limepath.interface.settings import (
    DeliveryService,
    GracePeriods,
    Idempotency,
    KeyScope,
    Permissions,
    SlowStart,
    Topology,
)

NANOSECONDS_PER_MICROSECOND = 1000

# Names of reported load values by the names of the fields in load reports
LOAD_NAMES = {
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "fail_rate": "eps",
}
IDEMPOTENCY_BY_NAME = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.KEYED,
    "single_shot": Idempotency.NON_IDEMPOTENT,
}
KEY_SCOPE_BY_NAME = {"all": KeyScope.ALL, "zone": KeyScope.ZONE, "cell": KeyScope.CELL}
LATERAL_BY_NAME = {"none": "none", "location": "zone", "any": "any"}


class DecisionArguments(TypedDict):
    """The keyword arguments of the decision module, except its seed."""

    services: tuple[DeliveryService, ...]
    footprint: Topology
    allowance: Permissions
    cache_warmup: SlowStart
    parent_warmup: SlowStart
    grace: GracePeriods


def to_microseconds(nanoseconds: float) -> int:
    """Convert nanoseconds, the unit of durations in the settings, to whole microseconds, rounded down."""
    return int(nanoseconds) // NANOSECONDS_PER_MICROSECOND


def decision_arguments(settings: Mapping[str, Any]) -> DecisionArguments:
    """Return the settings of the decision module.

    Raises:
        KeyError, TypeError, ValueError: the settings are invalid.
    """
    family = settings.get("family-info", {})
    safety = settings["safety"]
    return {
        "services": tuple(
            delivery_service(entry, index, family) for index, entry in enumerate(settings["classes"])
        ),
        "footprint": _topology(settings, family),
        "allowance": _permissions(settings, family),
        "cache_warmup": slow_start(
            safety["cold-share"], safety["cold"], safety["overload-factor"], safety["tip-after"]
        ),
        "parent_warmup": slow_start(
            family.get("parent-floor", safety["cold-share"]),
            family.get("parent-cold", safety["cold"]),
            family.get("upper-fall-multiple", safety["overload-factor"]),
            safety["tip-after"],
        ),
        "grace": _grace_periods(safety, family),
    }


def delivery_service(entry: Mapping[str, Any], index: int, family: Mapping[str, Any]) -> DeliveryService:
    """Return the settings of one delivery service.

    Args:
        entry: the service's entry in `classes`.
        index: the index of that entry.
        family: `family-info`, whose lists are empty or have one value for each service.
    """

    def per_service(key: str, default: Any) -> Any:
        values = family.get(key) or []
        return values[index] if index < len(values) else default

    return DeliveryService(
        latency_objective=to_microseconds(entry["aim"]),
        objective_stretch=entry.get("aim-stretch", 0.0),
        deadline=to_microseconds(entry["deadline"]),
        priority_weight=entry.get("worth", 1.0),
        late_share=entry.get("late-worth", 0.0),
        idempotency=IDEMPOTENCY_BY_NAME[entry["idempotency"]],
        key_scope=KEY_SCOPE_BY_NAME[entry.get("key-scope", "all")],
        retry_window=to_microseconds(entry.get("repeat-window", 0)),
        streamed=bool(entry.get("stream", False)),
        max_age=to_microseconds(per_service("max-age", 0)),
        stale_grace=to_microseconds(per_service("class-grace", 0)),
        stale_share=per_service("class-stale-worth", 0.0),
        uncacheable=bool(per_service("never-kept", False)),
        segmented=bool(per_service("segmented", False)),
    )


def slow_start(share: float, duration_ns: float, overload_factor: float, window_ns: float) -> SlowStart:
    """Return the settings of a slow start.

    An overload factor or window of 0 means that overload makes no endpoint fail. The slow start then has no
    load limit to enforce, so its duration is 0.
    """
    duration = to_microseconds(duration_ns) if overload_factor and window_ns else 0
    return SlowStart(share, duration, overload_factor, to_microseconds(window_ns))


def _topology(settings: Mapping[str, Any], family: Mapping[str, Any]) -> Topology:
    zone = settings["az"]
    fronts = settings["replicas-of-me"]
    zone_fronts = family.get("zone-balancers") or []
    return Topology(
        zone=zone,
        hub_of=tuple(family.get("hub-of", ())),
        link_kb_s=tuple(family.get("pipe-kb-per-s", ())),
        fronts_in_zone=zone_fronts[zone] if zone < len(zone_fronts) else fronts,
        fronts=fronts,
        parent_kind=family.get("mid-kind", -1),
        origin_kind=family.get("master-kind", -1),
        transfer_kb_s=family.get("one-flow-kb-per-s", 0.0),
        weighted=settings.get("weight-kind") in ("nominal", "rough"),
    )


def _permissions(settings: Mapping[str, Any], family: Mapping[str, Any]) -> Permissions:
    limits = settings.get("limits", {})
    return Permissions(
        max_attempts=limits.get("max-attempts", 1),
        hedging=limits.get("second-copies", False),
        cancellation=limits.get("cancel", False),
        probing=limits.get("probing", False),
        peer_messages=limits.get("peers", False),
        max_retry_after=to_microseconds(limits.get("max-retry-after", 0))
        if limits.get("retry-after", False)
        else 0,
        direct=family.get("direct", False),
        join_fills=family.get("shares-fills", False),
        lateral=LATERAL_BY_NAME[family.get("lateral", "none")],
        subscribe=settings.get("membership-mode") == "subscribe",
    )


def _grace_periods(safety: Mapping[str, Any], family: Mapping[str, Any]) -> GracePeriods:
    return GracePeriods(
        to_microseconds(safety["answer-slack"]),
        to_microseconds(safety["drain-grace"]),
        to_microseconds(family.get("heed-within", 0)),
        to_microseconds(family.get("gone-everywhere", 0)),
        to_microseconds(safety.get("must-ask-in", 0)),
    )


def load_fields(settings: Mapping[str, Any]) -> tuple[str, ...]:
    """Return the names of the load values that endpoints report, in the order of the report."""
    fields = settings.get("stats", {}).get("fields", ())
    return tuple(LOAD_NAMES.get(name, name) for name in fields)
