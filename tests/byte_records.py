"""The values of the byte records in `tests/data`, with their encoders and decoders.

The data files contain the bytes that fronts send to each other and keep in their stores. `write_byte_records`
writes the files, and `test_stored_bytes` compares the program with them. The labels are those of the files
and do not depend on names in the program. Fields are given by name, so that a change of their order is
detected.
"""

import json
import sqlite3
from collections.abc import Callable
from contextlib import closing
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from limepath.discovery import endpoint_list, event_coding, page_coding, pages, scopes
from limepath.discovery import interface as endpoints
from limepath.discovery.event_checks import json_digest
from limepath.discovery.host import SAVED_LIST_ROW
from limepath.discovery.paged_snapshot import PagedSnapshot
from limepath.discovery.recent_purges import AgedPurge
from limepath.discovery.topology import Scope, order_by_hash
from limepath.duties import interface as leases
from limepath.duties.ring import Ring, key_of
from limepath.frequency_exchange import interface as request_counts
from limepath.interface.events import AttemptOutcome
from limepath.membership import interface as membership
from limepath.membership.digests import ViewDigests
from limepath.membership.guard import Guard, parse_keys
from limepath.membership.identity import epoch_ceiling_row, next_identity
from limepath.store import Store

DATA = Path(__file__).parent / "data"
WIRE, STORE, ENDPOINT_LIST, SHARED = "wire.json", "store.json", "endpoint_list.json", "agreed.json"
KEY = "00112233445566778899aabbccddeeff"
RECEIVER, COUNTER = 0x0123456789ABCDEF, 70_001
TOKENS = (0x1111111111111111, 0x2222222222222222, 0x3333333333333333, 0x7444444444444444)
NOW, LONGEST_LIST = 10_000_000, 1_000_000

UNIONS = (membership.MESSAGES, endpoints.MESSAGES, leases.MESSAGES, request_counts.MESSAGES)
MESSAGE_TYPES = tuple(message_type for union in UNIONS for message_type in union)

START = {"incarnation": (5 << membership.REFUTATION_BITS) + 2, "birth": 1_796_000_000_000_001}
SUSPICION = {"state": membership.MemberState.SUSPECT, "reported_by": TOKENS[1]}
MEMBER = membership.MemberRecord(
    token=TOKENS[0], name="front-1", host="192.0.2.1", port=7401, **START, **SUSPICION
)
OTHER_MEMBER = membership.MemberRecord(token=TOKENS[2], name="front-2", host="192.0.2.2", port=7402, **START)


class CodedRecord(NamedTuple):
    """A value of the endpoint list with its encoder and decoder; zlib data begins at byte `packed_from`."""

    value: Any
    encode: Callable[[], bytes]
    decode: Callable[[bytes], Any]
    packed_from: int | None = None


# Messages
PROBE_RESULTS = (
    leases.ProbeResult(
        duty=77, target=78, prober=76, serial=79, age=80, outcome=81, duration=82, load={"x": 0.5}
    ),
    leases.ProbeResult(duty=83, target=84, prober=TOKENS[1], serial=85, age=86, outcome=87, duration=88),
)
CONFIRMED = {
    "generation": 28,
    "number": 29,
    "digest": (1 << 64) - 1,
    "age": -1,
    "stamp": 34,
}
HEARTBEAT = endpoints.Heartbeat(
    zone="zone-1",
    site="site-1",
    failing_for=31,
    subscribers=32,
    refused=True,
    oldest_available=33,
    **CONFIRMED,
)
FULL_MESSAGES = {
    "membership/hello": membership.Hello(),
    "membership/welcome": membership.Welcome(records=(MEMBER, OTHER_MEMBER)),
    "membership/ping": membership.Ping(seq=11, records=(MEMBER,), digest=12),
    "membership/ack": membership.Ack(seq=14, records=(OTHER_MEMBER,), digest=15),
    "membership/ping-request": membership.IndirectPing(seq=17, about=OTHER_MEMBER, records=(MEMBER,)),
    "membership/pull": membership.Pull(after=19, buckets=(20, 1 << 63)),
    "membership/page": membership.MemberPage(records=(OTHER_MEMBER, MEMBER), last=True),
    "endpoint-list/scope": endpoints.ScopeAnnouncement(zone="zone-1", wants_reply=True, site="site-1"),
    "endpoint-list/subscribe": endpoints.Subscribe(
        zone="zone-1", generation=21, number=22, mode=2, site="site-1", resend=True, stamp=23
    ),
    "endpoint-list/heartbeat": HEARTBEAT,
    "endpoint-list/event-texts": endpoints.Events(generation=38, first=39, texts=("one", "two"), age=41),
    "endpoint-list/events": endpoints.EventBatch(
        generation=42, first=43, data=b"\xff", age=44, stamp=45, since_subscribe=46
    ),
    "endpoint-list/scopes-request": endpoints.ScopeQuery(zone="zone-1", site="site-1", digest=50, after=51),
    "endpoint-list/scopes": endpoints.ScopeReport(
        zone="z", sites=("a", "b"), fronts=((1 << 62, 1), (9, 0)), last=False
    ),
    "endpoint-list/chunk-request": endpoints.PageChunkRequest(
        generation=53, number=54, snapshot_id=55, page=-1, chunk=57
    ),
    "endpoint-list/chunk": endpoints.PageChunk(
        generation=58, number=59, snapshot_id=60, page=61, chunk=62, count=63, data=b"\x00chunk\xff"
    ),
    "endpoint-list/part-request": endpoints.SnapshotChunkRequest(generation=68, number=-1, chunk=69),
    "endpoint-list/part": endpoints.SnapshotChunk(
        generation=70, number=71, chunk=72, count=73, digest=b"mark", data=b"p"
    ),
    "probe/results": leases.ProbeResults(results=PROBE_RESULTS),
    "lease/request": leases.LeaseRequest(duty=89, round=90, slots=((91, 92), (93, 94))),
    "lease/vote": leases.LeaseGrant(
        duty=95, round=96, granted=(97, 98), denied=((99, 100, 101), (102, 103, 104))
    ),
    "lease/release": leases.LeaseRelease(duty=108, slots=((109, 110),)),
    "lease/epochs-request": leases.EpochQuery(round=111),
    "lease/epochs": leases.EpochReport(round=112, ceiling=113, is_ceiling_known=True),
    "request-counts/request": request_counts.RequestCountsQuery(),
    "request-counts/counts": request_counts.RequestCounts(
        age=114, counts=((115, 116, 117.5),), chunk=121, chunks=122
    ),
}


def with_defaults(message: membership.Message) -> membership.Message:
    """Return the message with all optional fields set to their defaults."""
    fields = msgspec.structs.fields(message)
    return type(message)(**{field.name: getattr(message, field.name) for field in fields if field.required})


DEFAULT_MESSAGES = {
    f"{label}/defaults": with_defaults(message)
    for label, message in FULL_MESSAGES.items()
    if with_defaults(message) != message
}
MESSAGES = FULL_MESSAGES | DEFAULT_MESSAGES


def new_guard() -> Guard:
    """Return a guard with a fixed key and counter that accepts all messages, like the guard of a front."""
    guard = Guard(parse_keys(KEY), MESSAGE_TYPES)
    guard.counter = COUNTER
    return guard


def encoded(message: membership.Message) -> bytes:
    """Return the bytes of a message without a datagram, encoded by the guard's encoder."""
    return new_guard().encoder.encode(message)


def shortened(message: membership.Message) -> bytes:
    """Return the bytes of a message from a sender whose version has none of the optional fields."""
    required = sum(field.required for field in msgspec.structs.fields(message))
    return msgspec.msgpack.encode(msgspec.msgpack.decode(encoded(message))[: required + 1])


def sealed(message: membership.Message) -> bytes:
    """Return the sealed datagram of a message."""
    return new_guard().seal(MEMBER, RECEIVER, message)


# The endpoint list


def endpoint(number: int) -> dict[str, Any]:
    """Return one member of the list in the format of the discovery service."""
    host_port, up_since_ms = f"192.0.2.{number}:8080", 1_796_000_000_000 + number
    fields = {"id": f"cache-{number}", "host_port": host_port, "locality": "south", "flavor": "disk"}
    return fields | {"phase": "in_service", "up_since_ms": up_since_ms}


def event(**body: Any) -> event_coding.ServiceEvent:
    """Return an event whose text is the JSON of its body."""
    return event_coding.ServiceEvent(body, json.dumps(body))


OBJECT_PURGE = event(seq=1001, invalidate={"object": "00000000deadbeef", "time": 1_796_000_000_123})
BUCKET_PURGE = event(seq=1002, invalidate={"bucket": 17, "time": 1_796_000_000_100})
TEXT_EVENT = event(seq=1003, other=5)
LONG_EVENT = event(seq=1004, fleet={"revision": 9, "members": [endpoint(1), endpoint(2)]})
LATE_PURGE = event(seq=1200, invalidate={"bucket": 18, "time": 1_796_000_000_200})
EVENTS = (OBJECT_PURGE, BUCKET_PURGE, TEXT_EVENT, LONG_EVENT)
ENCODED_EVENTS = [event_coding.encode_event(*one) for one in EVENTS]
PURGES = ((OBJECT_PURGE, 8_000_000), (BUCKET_PURGE, 9_000_000), (LATE_PURGE, 2_000_000))
CONTENTS = pages.ListContents(
    revision=endpoints.Revision(generation=3, number=1201),
    fleet_revision=-7,
    members={f"cache-{number}": endpoint(number) for number in range(1, 41)},
    purges=tuple(AgedPurge(one.body["seq"], age, event_coding.encode_event(*one)) for one, age in PURGES),
)


def full_list() -> endpoint_list.EndpointList:
    """Return an endpoint list with members and with purges of different ages."""
    current_list, members = endpoint_list.EndpointList(), [endpoint(number) for number in (1, 2, 3)]
    current_list.apply({"seq": 1000, "fleet": {"revision": 8, "complete": True, "members": members}})
    current_list.apply(OBJECT_PURGE.body, now=2_000_000, age=1_000_000)
    current_list.apply(BUCKET_PURGE.body, now=4_000_000, age=0)
    current_list.revision = endpoints.Revision(generation=2, number=1002)
    return current_list


def list_state(current_list: endpoint_list.EndpointList) -> tuple[Any, ...]:
    """Return the whole state of a list at `NOW`, for comparison."""
    return (
        current_list.revision,
        current_list.fleet_revision,
        current_list.members,
        current_list.digest,
        current_list.purges.retained(NOW),
    )


def event_record(one: event_coding.ServiceEvent, packed_from: int | None = None) -> CodedRecord:
    """Return the record of one event."""
    return CodedRecord(one, lambda: event_coding.encode_event(*one), event_coding.decode_event, packed_from)


def list_record(current_list: endpoint_list.EndpointList) -> CodedRecord:
    """Return the record of a whole list, in the format in which it is saved and sent in chunks."""
    return CodedRecord(
        list_state(current_list),
        lambda: current_list.pack(NOW),
        lambda data: list_state(endpoint_list.unpack_list(data, LONGEST_LIST, NOW)),
        packed_from=len(endpoint_list.FORMAT_TAG),
    )


def index_record(contents: pages.ListContents) -> CodedRecord:
    """Return the record of the index of a list's pages."""
    digests = pages.list_digests(contents)
    return CodedRecord(digests, lambda: page_coding.encode_index(digests), page_coding.decode_index)


def page_record(number: int) -> CodedRecord:
    """Return the record of one page of `CONTENTS`."""
    digests = pages.list_digests(CONTENTS)
    page = pages.spread_over_pages(CONTENTS, digests.layout)[number]

    def decode(data: bytes) -> pages.PageContents:
        return page_coding.decode_page(data, number, digests)

    return CodedRecord(page, lambda: page_coding.encode_page(page), decode, packed_from=0)


SAVED_LIST = "saved-list/full"
CODED_RECORDS = {
    "event/purge-object": event_record(OBJECT_PURGE),
    "event/purge-bucket": event_record(BUCKET_PURGE),
    "event/text": event_record(TEXT_EVENT),
    "event/compressed-text": event_record(LONG_EVENT, packed_from=1),
    "event-batch": CodedRecord(
        EVENTS, lambda: event_coding.encode_batches(ENCODED_EVENTS)[0], event_coding.decode_batch
    ),
    SAVED_LIST: list_record(full_list()),
    "saved-list/empty": list_record(endpoint_list.EndpointList()),
    "page-index/full": index_record(CONTENTS),
    "page-index/empty": index_record(pages.ListContents(endpoints.Revision(), 0, {}, ())),
    "page/members-1": page_record(0),
    "page/members-2": page_record(1),
    "page/purges-1": page_record(2),
    "page/purges-2": page_record(4),
}

# The store
STORE_LABELS = ("identity/token", "identity/life", "lease/epoch-ceiling", "endpoint-list/saved")
GENERATION, CEILING = 3, 70_002


def store_rows(saved_list: bytes) -> dict[str, bytes]:
    """Return the rows of a front's store after GENERATION starts, with the given bytes of the saved list."""
    rows = {}
    for _ in range(GENERATION):
        _, rows = next_identity(rows, lambda: TOKENS[3])
    return rows | epoch_ceiling_row(CEILING) | {SAVED_LIST_ROW: saved_list}


def written_store(path: Path, rows: dict[str, bytes]) -> dict[str, Any]:
    """Write rows to a new file with the program's store; return its schema and its raw columns."""
    with closing(Store(str(path))) as store:
        store.put(rows)
    with closing(sqlite3.connect(path)) as database:
        ((schema,),) = database.execute("SELECT sql FROM sqlite_master WHERE type = 'table'")
        columns = database.execute("SELECT name, value, sum FROM state ORDER BY rowid").fetchall()
    row_records = [
        {"label": label, "name": name, "value": value.hex(), "sum": total}
        for label, (name, value, total) in zip(STORE_LABELS, columns, strict=True)
    ]
    return {"schema": schema, "rows": row_records}


# Digests that fronts compare, and enumeration values that messages contain


def shared_values() -> dict[str, Any]:
    """Return values that all fronts must compute alike, and the values of enumerations, by label."""
    view = ViewDigests()
    for member in (MEMBER, OTHER_MEMBER):
        view.toggle(member)
    ring, states, modes = Ring.of(TOKENS), membership.MemberState, endpoints.SubscriptionMode
    return {
        "membership/view": view.combined,
        "membership/view-buckets": view.buckets,
        "membership/receiver": MEMBER.session_token,
        "membership/states": [states.ALIVE, states.SUSPECT, states.DEAD, states.LEFT],
        "endpoint-list/event": json_digest(OBJECT_PURGE.body),
        "endpoint-list/members": full_list().digest,
        "endpoint-list/snapshot": endpoint_list.snapshot_digest(b"snapshot").hex(),
        "endpoint-list/page-index": PagedSnapshot(CONTENTS).id,
        "endpoint-list/scope": scopes.scope_digest(TOKENS[0], Scope("zone-1", "site-1")),
        "endpoint-list/relay-order": order_by_hash(TOKENS, "zone-1"),
        "endpoint-list/subscriptions": [modes.TEXTS, modes.BATCHES, modes.HEARTBEATS],
        "probe/outcomes": [
            AttemptOutcome.SUCCEEDED,
            AttemptOutcome.TIMED_OUT,
            AttemptOutcome.FAILED,
            AttemptOutcome.CONNECT_FAILED,
        ],
        "probe/aborts": [
            AttemptOutcome.CANCELLED,
            AttemptOutcome.MISS,
            AttemptOutcome.FULL,
            AttemptOutcome.SUPERSEDED,
            AttemptOutcome.RESET,
        ],
        "hash-ring/owners": [ring.owner(key_of(target)) for target in range(32)],
    }


def recorded(name: str) -> Any:
    """Return the contents of a data file."""
    return json.loads((DATA / name).read_text(encoding="utf-8"))
