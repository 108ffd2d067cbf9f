"""From the settings, as JSON gives them, to the arguments of `DecisionEngine`; all hosts use this."""

from limepath.interface.settings import (
    DeliveryService,
    GracePeriods,
    Idempotency,
    KeyScope,
    Permissions,
    SlowStart,
    Topology,
)

LOAD_NAMES = {
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "fail_rate": "eps",
}
REPEATS = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.KEYED,
    "single_shot": Idempotency.NON_IDEMPOTENT,
}
SCOPES = {"all": KeyScope.ALL, "zone": KeyScope.ZONE, "cell": KeyScope.CELL}
LATERAL = {"none": "none", "location": "zone", "any": "any"}


def us(ns):
    return int(ns) // 1000


def service_of(entry, i, family):
    def per_class(name, absent):
        values = family.get(name) or []
        return values[i] if i < len(values) else absent

    return DeliveryService(
        latency_objective=us(entry["aim"]),
        objective_stretch=entry.get("aim-stretch", 0.0),
        deadline=us(entry["deadline"]),
        priority_weight=entry.get("worth", 1.0),
        late_share=entry.get("late-worth", 0.0),
        idempotency=REPEATS[entry["idempotency"]],
        key_scope=SCOPES[entry.get("key-scope", "all")],
        retry_window=us(entry.get("repeat-window", 0)),
        streamed=bool(entry.get("stream", False)),
        max_age=us(per_class("max-age", 0)),
        stale_grace=us(per_class("class-grace", 0)),
        stale_share=per_class("class-stale-worth", 0.0),
        uncacheable=bool(per_class("never-kept", False)),
        segmented=bool(per_class("segmented", False)),
    )


def warmup(share, span, factor, window):
    """A multiple or a time of 0 says that nothing topples: then there is no budget to keep."""
    return SlowStart(share, us(span) if factor and window else 0, factor, us(window))


def start_of(settings):
    """Turn the settings into the keyword arguments of `Front`; bad ones raise Key-, Type- or ValueError."""
    family, limits, safety = settings.get("family-info", {}), settings.get("limits", {}), settings["safety"]
    zone, fronts = settings["az"], settings["replicas-of-me"]
    zone_fronts = family.get("zone-balancers") or []
    services = tuple(service_of(entry, i, family) for i, entry in enumerate(settings["classes"]))
    footprint = Topology(
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
    allowance = Permissions(
        max_attempts=limits.get("max-attempts", 1),
        hedging=limits.get("second-copies", False),
        cancellation=limits.get("cancel", False),
        probing=limits.get("probing", False),
        peer_messages=limits.get("peers", False),
        max_retry_after=us(limits.get("max-retry-after", 0)) if limits.get("retry-after", False) else 0,
        direct=family.get("direct", False),
        join_fills=family.get("shares-fills", False),
        lateral=LATERAL[family.get("lateral", "none")],
        subscribe=settings.get("membership-mode") == "subscribe",
    )
    cache_warmup = warmup(
        safety["cold-share"], safety["cold"], safety["overload-factor"], safety["tip-after"]
    )
    parent_warmup = warmup(
        family.get("parent-floor", safety["cold-share"]),
        family.get("parent-cold", safety["cold"]),
        family.get("upper-fall-multiple", safety["overload-factor"]),
        safety["tip-after"],
    )
    grace = GracePeriods(
        us(safety["answer-slack"]),
        us(safety["drain-grace"]),
        us(family.get("heed-within", 0)),
        us(family.get("gone-everywhere", 0)),
        us(safety.get("must-ask-in", 0)),
    )
    return {
        "services": services,
        "footprint": footprint,
        "allowance": allowance,
        "cache_warmup": cache_warmup,
        "parent_warmup": parent_warmup,
        "grace": grace,
    }


def load_fields(settings):
    return tuple(LOAD_NAMES.get(name, name) for name in settings.get("stats", {}).get("fields", ()))
