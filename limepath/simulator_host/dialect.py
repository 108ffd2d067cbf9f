"""The dialect: codes, units, names and ids of the wire on one side, the contract's records on the other."""

import struct

from limepath import contract as c
from limepath.configuration.decision_settings import us
from limepath.simulator_host.frames import HEADER, WireError

STOP = "stop"
START = "start"
U32, U8, U16 = struct.Struct(">I"), struct.Struct(">B"), struct.Struct(">H")
ENTRY = struct.Struct(">B6sQHBHf")
EVERY_PEER = 0xFFFFFFFF


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
            c.Member(
                enum_of(c.Standing, standing, where),
                cache_of(raw),
                -(-started // 1000),
                cell,
                zone,
                kind,
                weight,
            )
        )
    return c.Roster(enum_of(c.Listing, mode, where), version, tuple(members))


def read_arrival(cursor, _):
    op, ds, org, obj, patience, size, group, part, marks = cursor.take(struct.Struct(">IBIQQfffB"))
    return c.Get(
        op, ds, org, obj, us(patience), size, int(group), int(part), bool(marks & 2), bool(marks & 4)
    )


def read_purge(cursor, _):
    group, age, obj = cursor.take(struct.Struct(">HQQ"))
    return c.Purge(group, us(age), obj)


def read_outcome(cursor, fields):
    op, number, verdict, raw, took, waited, closed, hint = cursor.take(struct.Struct(">IBH6sQQBB"))
    where = f"batch {cursor.sequence}"
    return c.Outcome(
        op,
        number,
        enum_of(c.Verdict, verdict, where),
        cache_of(raw),
        us(took),
        us(waited),
        bool(closed),
        enum_of(c.Hint, hint, where),
        load_of(cursor, fields),
    )


def read_under_way(cursor, _):
    op, number, raw, took = cursor.take(struct.Struct(">IB6sQ"))
    return c.Streaming(op, number, cache_of(raw), us(took))


def read_probe(cursor, fields):
    raw, verdict, took = cursor.take(struct.Struct(">6sHQ"))
    return c.ProbeReport(
        cache_of(raw),
        enum_of(c.Verdict, verdict, f"batch {cursor.sequence}"),
        us(took),
        load_of(cursor, fields),
    )


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
    return min(span, 2**63 // 1000) * 1000


def addr(cache):
    return cache.to_bytes(6, "big")


def write_forward(head, o):
    how = o.join + 2 * o.held_only + 4 * o.no_copy_above + 8 * o.renew
    return struct.pack(
        ">BII6sQ6sBQB", 60, head, o.id, addr(o.cache), ns(o.limit), addr(o.source), o.rank, ns(o.oldest), how
    )


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
