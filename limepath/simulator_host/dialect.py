"""The dialect: codes, units, names and ids of the wire on one side, the contract's records on the other."""

import struct

from limepath.configuration.decision_settings import us
from limepath.interface.commands import (
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    ForwardRequest,
    QueryEndpointList,
    RejectRequest,
    ScheduleWakeup,
    SendPeerMessage,
    SendProbe,
    SetSubscription,
    WriteLog,
)
from limepath.interface.events import (
    AttemptEnded,
    AttemptOutcome,
    CacheStatus,
    ClientDisconnected,
    Endpoint,
    EndpointListUpdated,
    EndpointState,
    PeerMessageReceived,
    ProbeEnded,
    PurgeAnnounced,
    RequestArrived,
    ResponseStarted,
    TimerFired,
    UpdateKind,
)
from limepath.simulator_host.frames import HEADER, WireError

STOP = "stop"
START = "start"
U32, U8, U16 = struct.Struct(">I"), struct.Struct(">B"), struct.Struct(">H")
ENTRY = struct.Struct(">B6sQHBHf")
EVERY_PEER = 0xFFFFFFFF


def cache_of(raw):
    return int.from_bytes(raw, "big")


def enum_of(kind, value, name, where):
    try:
        return kind(value)
    except ValueError:
        raise WireError(f"{where}: unknown {name} code {value}") from None


def load_of(cursor, fields):
    (count,) = cursor.take(U8)
    values = cursor.take(struct.Struct(f">{count}f"))
    return dict(zip(fields, values, strict=False))


def read_up(cursor, _):
    seed, size = cursor.take(struct.Struct(">QI"))
    return START, seed, cursor.bytes(size)


def read_announce(cursor, _):
    mode, version, count = cursor.take(struct.Struct(">BII"))
    where = f"batch {cursor.sequence}"
    members = []
    for _entry in range(count):
        standing, raw, started, cell, zone, kind, weight = cursor.take(ENTRY)
        members.append(
            Endpoint(
                enum_of(EndpointState, standing, "endpoint state", where),
                cache_of(raw),
                -(-started // 1000),
                cell,
                zone,
                kind,
                weight,
            )
        )
    return EndpointListUpdated(enum_of(UpdateKind, mode, "update kind", where), version, tuple(members))


def read_arrival(cursor, _):
    op, ds, org, obj, patience, size, group, part, marks = cursor.take(struct.Struct(">IBIQQfffB"))
    return RequestArrived(
        op, ds, org, obj, us(patience), size, int(group), int(part), bool(marks & 2), bool(marks & 4)
    )


def read_purge(cursor, _):
    group, age, obj = cursor.take(struct.Struct(">HQQ"))
    return PurgeAnnounced(group, us(age), obj)


def read_outcome(cursor, fields):
    op, number, verdict, raw, took, waited, closed, hint = cursor.take(struct.Struct(">IBH6sQQBB"))
    where = f"batch {cursor.sequence}"
    return AttemptEnded(
        op,
        number,
        enum_of(AttemptOutcome, verdict, "outcome", where),
        cache_of(raw),
        us(took),
        us(waited),
        bool(closed),
        enum_of(CacheStatus, hint, "cache status", where),
        load_of(cursor, fields),
    )


def read_under_way(cursor, _):
    op, number, raw, took = cursor.take(struct.Struct(">IB6sQ"))
    return ResponseStarted(op, number, cache_of(raw), us(took))


def read_probe(cursor, fields):
    raw, verdict, took = cursor.take(struct.Struct(">6sHQ"))
    return ProbeEnded(
        cache_of(raw),
        enum_of(AttemptOutcome, verdict, "outcome", f"batch {cursor.sequence}"),
        us(took),
        load_of(cursor, fields),
    )


def read_peer(cursor, _):
    sender, size = cursor.take(struct.Struct(">IH"))
    return PeerMessageReceived(sender, cursor.bytes(size))


READERS = {
    10: read_purge,
    20: lambda cursor, _: ClientDisconnected(*cursor.take(U32)),
    30: read_peer,
    40: read_announce,
    50: read_outcome,
    60: read_probe,
    70: lambda cursor, _: STOP,
    80: lambda cursor, _: TimerFired(*cursor.take(struct.Struct(">Q"))),
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
    return min(span, 2**63 // 1000) * 1000


def addr(cache):
    return cache.to_bytes(6, "big")


def write_forward(head, o):
    how = o.join_fill + 2 * o.cached_only + 4 * o.no_copy_above + 8 * o.revalidate
    return struct.pack(
        ">BII6sQ6sBQB",
        60,
        head,
        o.request,
        addr(o.endpoint),
        ns(o.time_limit),
        addr(o.source),
        o.keep_rank,
        ns(o.max_age),
        how,
    )


def write_text(code, head, text):
    raw = text.encode()[:2000]
    return struct.pack(">BIH", code, head, len(raw)) + raw


def write_tell(head, o):
    whom = EVERY_PEER if o.peer < 0 else o.peer
    return struct.pack(">BIIH", 110, head, whom, len(o.body)) + o.body


WRITERS = {
    ForwardRequest: write_forward,
    RejectRequest: lambda head, o: struct.pack(">BIIQ", 50, head, o.request, ns(o.retry_after)),
    FailRequest: lambda head, o: struct.pack(">BII", 80, head, o.request),
    CancelAttempt: lambda head, o: struct.pack(">BIIB", 70, head, o.request, o.attempt),
    SendProbe: lambda head, o: struct.pack(">BI6s", 90, head, addr(o.endpoint)),
    ScheduleWakeup: lambda head, o: struct.pack(">BIQQ", 30, head, o.cookie, ns(o.delay)),
    SetSubscription: lambda head, o: struct.pack(">BIB", 130, head, o.enabled),
    QueryEndpointList: lambda head, o: struct.pack(">BI", 120, head),
    CloseIdleConnections: lambda head, o: struct.pack(">BI6s", 20, head, addr(o.endpoint)),
    SendPeerMessage: write_tell,
    WriteLog: lambda head, o: write_text(100, head, o.text),
}


def write_order(instance, order):
    return WRITERS[type(order)](instance, order)


def write_fault(instance, text):
    return write_text(10, instance, text)
