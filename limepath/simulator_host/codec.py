"""Decodes the records of the simulator's wire protocol into events, and encodes commands as records.

The protocol has codes, units and ids of its own; `limepath.interface` defines the events and commands.
"""

import struct

from limepath.configuration.decision_settings import to_microseconds
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
ENDPOINT_ENTRY = struct.Struct(">B6sQHBHf")
ALL_PEERS = 0xFFFFFFFF


def decode_endpoint_id(address):
    return int.from_bytes(address, "big")


def decode_enum(kind, value, name, context):
    try:
        return kind(value)
    except ValueError:
        raise WireError(f"{context}: unknown {name} code {value}") from None


def read_load(cursor, load_fields):
    (count,) = cursor.take(U8)
    values = cursor.take(struct.Struct(f">{count}f"))
    return dict(zip(load_fields, values, strict=False))


def read_start(cursor, _):
    seed, size = cursor.take(struct.Struct(">QI"))
    return START, seed, cursor.bytes(size)


def read_endpoint_list(cursor, _):
    kind_code, version, count = cursor.take(struct.Struct(">BII"))
    context = f"batch {cursor.sequence}"
    endpoints = []
    for _entry in range(count):
        state, address, started_at, cell, zone, kind, weight = cursor.take(ENDPOINT_ENTRY)
        endpoints.append(
            Endpoint(
                decode_enum(EndpointState, state, "endpoint state", context),
                decode_endpoint_id(address),
                -(-started_at // 1000),
                cell,
                zone,
                kind,
                weight,
            )
        )
    return EndpointListUpdated(
        decode_enum(UpdateKind, kind_code, "update kind", context), version, tuple(endpoints)
    )


def read_request_arrived(cursor, _):
    request, service, tenant, obj, time_left, size, group, part, flags = cursor.take(
        struct.Struct(">IBIQQfffB")
    )
    return RequestArrived(
        request,
        service,
        tenant,
        obj,
        to_microseconds(time_left),
        size,
        int(group),
        int(part),
        bool(flags & 2),
        bool(flags & 4),
    )


def read_purge(cursor, _):
    group, age, obj = cursor.take(struct.Struct(">HQQ"))
    return PurgeAnnounced(group, to_microseconds(age), obj or None)  # 0 on this wire: no object is named


def read_attempt_ended(cursor, load_fields):
    request, number, outcome, address, duration, queued, answered, cache_status = cursor.take(
        struct.Struct(">IBH6sQQBB")
    )
    context = f"batch {cursor.sequence}"
    return AttemptEnded(
        request,
        number,
        decode_enum(AttemptOutcome, outcome, "outcome", context),
        decode_endpoint_id(address),
        to_microseconds(duration),
        to_microseconds(queued),
        bool(answered),
        decode_enum(CacheStatus, cache_status, "cache status", context),
        read_load(cursor, load_fields),
    )


def read_response_started(cursor, _):
    request, number, address, duration = cursor.take(struct.Struct(">IB6sQ"))
    return ResponseStarted(request, number, decode_endpoint_id(address), to_microseconds(duration))


def read_probe_ended(cursor, load_fields):
    address, outcome, duration = cursor.take(struct.Struct(">6sHQ"))
    return ProbeEnded(
        decode_endpoint_id(address),
        decode_enum(AttemptOutcome, outcome, "outcome", f"batch {cursor.sequence}"),
        to_microseconds(duration),
        read_load(cursor, load_fields),
    )


def read_peer_message(cursor, _):
    sender, size = cursor.take(struct.Struct(">IH"))
    return PeerMessageReceived(sender, cursor.bytes(size))


READERS = {
    10: read_purge,
    20: lambda cursor, _: ClientDisconnected(*cursor.take(U32)),
    30: read_peer_message,
    40: read_endpoint_list,
    50: read_attempt_ended,
    60: read_probe_ended,
    70: lambda cursor, _: STOP,
    80: lambda cursor, _: TimerFired(*cursor.take(struct.Struct(">Q"))),
    90: read_response_started,
    100: read_request_arrived,
    110: read_start,
}


def read_event(cursor, load_fields_of):
    """Return (instance, event) of the next record.

    The event is STOP, a tuple of START, seed and settings, or an event of the decision engine.

    Args:
        cursor: reads the records of the batch.
        load_fields_of: returns the names of the values in load reports to a given instance.

    Raises:
        WireError: the record is malformed.
    """
    position = cursor.position
    (code,) = cursor.take(U8)
    reader = READERS.get(code)
    if reader is None:
        raise WireError(
            f"batch {cursor.sequence}: unknown event code {code} at byte {HEADER.size + position}"
        )
    (instance,) = cursor.take(U32)
    return instance, reader(cursor, load_fields_of(instance))


def nanoseconds(duration):
    return min(duration, 2**63 // 1000) * 1000


def encode_endpoint_id(endpoint):
    return endpoint.to_bytes(6, "big")


def write_forward(instance, command):
    flags = command.join_fill + 2 * command.cached_only + 4 * command.no_copy_above + 8 * command.revalidate
    return struct.pack(
        ">BII6sQ6sBQB",
        60,
        instance,
        command.request,
        encode_endpoint_id(command.endpoint),
        nanoseconds(command.time_limit),
        encode_endpoint_id(command.source),
        command.keep_rank,
        nanoseconds(command.max_age),
        flags,
    )


def write_text(code, instance, text):
    encoded = text.encode()[:2000]
    return struct.pack(">BIH", code, instance, len(encoded)) + encoded


def write_peer_message(instance, command):
    peer = ALL_PEERS if command.peer < 0 else command.peer
    return struct.pack(">BIIH", 110, instance, peer, len(command.body)) + command.body


WRITERS = {
    ForwardRequest: write_forward,
    RejectRequest: lambda instance, command: struct.pack(
        ">BIIQ", 50, instance, command.request, nanoseconds(command.retry_after)
    ),
    FailRequest: lambda instance, command: struct.pack(">BII", 80, instance, command.request),
    CancelAttempt: lambda instance, command: struct.pack(
        ">BIIB", 70, instance, command.request, command.attempt
    ),
    SendProbe: lambda instance, command: struct.pack(
        ">BI6s", 90, instance, encode_endpoint_id(command.endpoint)
    ),
    ScheduleWakeup: lambda instance, command: struct.pack(
        ">BIQQ", 30, instance, command.cookie, nanoseconds(command.delay)
    ),
    SetSubscription: lambda instance, command: struct.pack(">BIB", 130, instance, command.enabled),
    QueryEndpointList: lambda instance, command: struct.pack(">BI", 120, instance),
    CloseIdleConnections: lambda instance, command: struct.pack(
        ">BI6s", 20, instance, encode_endpoint_id(command.endpoint)
    ),
    SendPeerMessage: write_peer_message,
    WriteLog: lambda instance, command: write_text(100, instance, command.text),
}


def write_command(instance, command):
    return WRITERS[type(command)](instance, command)


def write_error(instance, text):
    return write_text(10, instance, text)
