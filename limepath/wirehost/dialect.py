"""The dialect: codes, units, names and ids of the wire on one side, the contract's records on the other."""

import struct

from limepath import contract as c
from limepath.wirehost.frames import HEADER, WireError

STOP = "stop"
START = "start"
U32, U8, U16 = struct.Struct(">I"), struct.Struct(">B"), struct.Struct(">H")
ENTRY = struct.Struct(">B6sQHBHf")
LOAD_NAMES = {"rif": "inflight", "q": "queue", "busy": "util", "lat_ms": "latency_ms", "rate": "qps",
              "fail_rate": "eps"}
REPEATS = {"free": c.Repeats.IDEMPOTENT, "guarded": c.Repeats.TOKENED,
           "single_shot": c.Repeats.NON_IDEMPOTENT}
SCOPES = {"all": c.Scope.ALL, "zone": c.Scope.ZONE, "cell": c.Scope.CELL}
LATERAL = {"none": "none", "location": "zone", "any": "any"}
EVERY_PEER = 0xFFFFFFFF


def us(ns):
    return ns // 1000


def cache_of(raw):
    return int.from_bytes(raw, "big")


def enum_of(kind, value, where):
    try:
        return kind(value)
    except ValueError:
        raise WireError(f"{where}: unknown {kind.__name__.lower()} code {value}") from None


def load_of(cursor, fields):
    (count,) = cursor.take(U8)
    values = cursor.take(struct.Struct(f">{count}f"))
    return dict(zip(fields, values))


def read_up(cursor, _):
    seed, size = cursor.take(struct.Struct(">QI"))
    return START, seed, cursor.bytes(size)


def read_announce(cursor, _):
    mode, version, count = cursor.take(struct.Struct(">BII"))
    where = f"batch {cursor.sequence}"
    members = []
    for _entry in range(count):
        standing, raw, started, cell, zone, kind, weight = cursor.take(ENTRY)
        members.append(c.Member(enum_of(c.Standing, standing, where), cache_of(raw), -(-started // 1000),
                                cell, zone, kind, weight))
    return c.Roster(enum_of(c.Listing, mode, where), version, tuple(members))


def read_arrival(cursor, _):
    op, ds, org, obj, patience, size, group, part, marks = cursor.take(struct.Struct(">IBIQQfffB"))
    return c.Get(op, ds, org, obj, us(patience), size, int(group), int(part), bool(marks & 2),
                 bool(marks & 4))


def read_purge(cursor, _):
    group, age, obj = cursor.take(struct.Struct(">HQQ"))
    return c.Purge(group, us(age), obj)


def read_outcome(cursor, fields):
    op, number, verdict, raw, took, waited, closed, hint = cursor.take(struct.Struct(">IBH6sQQBB"))
    where = f"batch {cursor.sequence}"
    return c.Outcome(op, number, enum_of(c.Verdict, verdict, where), cache_of(raw), us(took), us(waited),
                     bool(closed), enum_of(c.Hint, hint, where), load_of(cursor, fields))


def read_under_way(cursor, _):
    op, number, raw, took = cursor.take(struct.Struct(">IB6sQ"))
    return c.Streaming(op, number, cache_of(raw), us(took))


def read_probe(cursor, fields):
    raw, verdict, took = cursor.take(struct.Struct(">6sHQ"))
    return c.ProbeReport(cache_of(raw), enum_of(c.Verdict, verdict, f"batch {cursor.sequence}"), us(took),
                         load_of(cursor, fields))


def read_peer(cursor, _):
    sender, size = cursor.take(struct.Struct(">IH"))
    return c.PeerWord(sender, cursor.bytes(size))


READERS = {
    10: read_purge,
    20: lambda cursor, _: c.Left(*cursor.take(U32)),
    30: read_peer,
    40: read_announce,
    50: read_outcome,
    60: read_probe,
    70: lambda cursor, _: STOP,
    80: lambda cursor, _: c.Due(*cursor.take(struct.Struct(">Q"))),
    90: read_under_way,
    100: read_arrival,
    110: read_up,
}


def read_event(cursor, fields_of):
    """Give (instance, note) of the next record; `fields_of(instance)` names the values of load reports."""
    at = cursor.at
    (code,) = cursor.take(U8)
    reader = READERS.get(code)
    if reader is None:
        raise WireError(f"batch {cursor.sequence}: unknown event code {code} at byte {HEADER.size + at}")
    (instance,) = cursor.take(U32)
    return instance, reader(cursor, fields_of(instance))


def ns(span):
    return min(span, 2 ** 63 // 1000) * 1000


def addr(cache):
    return cache.to_bytes(6, "big")


def write_forward(head, o):
    how = o.join + 2 * o.held_only + 4 * o.no_copy_above + 8 * o.renew
    return struct.pack(">BII6sQ6sBQB", 60, head, o.id, addr(o.cache), ns(o.limit), addr(o.source), o.rank,
                       ns(o.oldest), how)


def write_text(code, head, text):
    raw = text.encode()[:2000]
    return struct.pack(">BIH", code, head, len(raw)) + raw


def write_tell(head, o):
    whom = EVERY_PEER if o.peer < 0 else o.peer
    return struct.pack(">BIIH", 110, head, whom, len(o.body)) + o.body


WRITERS = {
    c.Forward: write_forward,
    c.Shed: lambda head, o: struct.pack(">BIIQ", 50, head, o.id, ns(o.come_back)),
    c.Errored: lambda head, o: struct.pack(">BII", 80, head, o.id),
    c.Withdraw: lambda head, o: struct.pack(">BIIB", 70, head, o.id, o.forward),
    c.Probe: lambda head, o: struct.pack(">BI6s", 90, head, addr(o.cache)),
    c.Wake: lambda head, o: struct.pack(">BIQQ", 30, head, o.cookie, ns(o.delay)),
    c.Subscribe: lambda head, o: struct.pack(">BIB", 130, head, o.on),
    c.AskRoster: lambda head, o: struct.pack(">BI", 120, head),
    c.CloseIdle: lambda head, o: struct.pack(">BI6s", 20, head, addr(o.cache)),
    c.Tell: write_tell,
    c.Report: lambda head, o: write_text(100, head, o.text),
}


def write_order(instance, order):
    return WRITERS[type(order)](instance, order)


def write_fault(instance, text):
    return write_text(10, instance, text)


def service_of(entry, i, family):
    def per_class(name, absent):
        values = family.get(name) or []
        return values[i] if i < len(values) else absent

    return c.DeliveryService(
        objective=us(entry["aim"]), stretch=entry.get("aim-stretch", 0.0),
        viewer_timeout=us(entry["deadline"]), revenue=entry.get("worth", 1.0),
        late_share=entry.get("late-worth", 0.0),
        repeats=REPEATS[entry["idempotency"]], scope=SCOPES[entry.get("key-scope", "all")],
        window=us(entry.get("repeat-window", 0)), streamed=bool(entry.get("stream", False)),
        fresh=us(per_class("max-age", 0)), grace=us(per_class("class-grace", 0)),
        stale_share=per_class("class-stale-worth", 0.0), uncacheable=bool(per_class("never-kept", False)),
        segmented=bool(per_class("segmented", False)))


def start_of(settings):
    """Turn the settings into the keyword arguments of `Front`; bad ones raise Key-, Type- or ValueError."""
    family, limits, safety = settings.get("family-info", {}), settings.get("limits", {}), settings["safety"]
    zone, fronts = settings["az"], settings["replicas-of-me"]
    zone_fronts = family.get("zone-balancers") or []
    services = tuple(service_of(entry, i, family) for i, entry in enumerate(settings["classes"]))
    footprint = c.Footprint(
        zone=zone, hub_of=tuple(family.get("hub-of", ())), link_kb_s=tuple(family.get("pipe-kb-per-s", ())),
        fronts_in_zone=zone_fronts[zone] if zone < len(zone_fronts) else fronts, fronts=fronts,
        parent_kind=family.get("mid-kind", -1), origin_kind=family.get("master-kind", -1),
        flow_kb_s=family.get("one-flow-kb-per-s", 0.0),
        weighted=settings.get("weight-kind") in ("nominal", "rough"))
    allowance = c.Allowance(
        forwards=limits.get("max-attempts", 1), overlap=limits.get("second-copies", False),
        withdraw=limits.get("cancel", False), probing=limits.get("probing", False),
        peers=limits.get("peers", False),
        come_back=us(limits.get("max-retry-after", 0)) if limits.get("retry-after", False) else 0,
        direct=family.get("direct", False), joins=family.get("shares-fills", False),
        lateral=LATERAL[family.get("lateral", "none")],
        subscribe=settings.get("membership-mode") == "subscribe")
    cache_warmup = c.Warmup(safety["cold-share"], us(safety["cold"]), safety["overload-factor"],
                            us(safety["tip-after"]))
    parent_warmup = c.Warmup(
        family.get("parent-floor", safety["cold-share"]), us(family.get("parent-cold", safety["cold"])),
        family.get("upper-fall-multiple", safety["overload-factor"]), us(safety["tip-after"]))
    grace = c.Grace(us(safety["answer-slack"]), us(safety["drain-grace"]), us(family.get("heed-within", 0)),
                    us(family.get("gone-everywhere", 0)), us(safety.get("must-ask-in", 0)))
    return {"services": services, "footprint": footprint, "allowance": allowance,
            "cache_warmup": cache_warmup, "parent_warmup": parent_warmup, "grace": grace}


def load_fields(settings):
    return tuple(LOAD_NAMES.get(name, name) for name in settings.get("stats", {}).get("fields", ()))
