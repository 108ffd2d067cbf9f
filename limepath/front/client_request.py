"""Requests of clients: what a head asks for, checked, and the state of the request until it is done with."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from limepath.front.clock import clock
from limepath.front.request_head import RequestError, RequestHead, parse_integer
from limepath.interface.events import RequestArrived

if TYPE_CHECKING:
    from limepath.front.attempt import Attempt
    from limepath.front.client_connection import ClientConnection

PATH_PREFIX = b"/invoke/"
TRANSACTION_ID_LENGTH = 16
MAX_OBJECT_ID_LENGTH = 16
MAX_TAG_LENGTH = 100
MAX_IDEMPOTENCY_KEY_LENGTH = 64
MAX_GROUP = 255
MAX_BLOCK = 1 << 24
HEX_DIGITS = frozenset(b"0123456789abcdef")
IDEMPOTENCY_KEY_CHARACTERS = frozenset(b"0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_.:")


class RequestTarget(NamedTuple):
    """The parts of a request's target, `/invoke/SERVICE/OBJECT?QUERY`."""

    service: bytes
    object_id: bytes
    query: bytes | None  # None where the target has none


class RequestState(Enum):
    """Whether a request is owed its final answer."""

    OPEN = 0
    ANSWERED = 1
    ABANDONED = 2  # its client has disconnected: no answer is owed


class ClientRequest:
    """One request as its client worded it, and what has become of it."""

    __slots__ = (
        "id",
        "connection",
        "transaction_id",
        "idempotency_key",
        "service",
        "object_id",
        "block",
        "cached_tag",
        "body",
        "event",
        "deadline",
        "attempt_count",
        "attempt_start_times",
        "attempts",
        "state",
        "timer",
    )

    def __init__(
        self,
        connection: ClientConnection,
        target: RequestTarget,
        block: bytes | None,
        fields: dict[bytes, bytes],
        body: bytes,
        event: RequestArrived,
        deadline: int,
    ):
        self.id = event.id
        self.connection: ClientConnection | None = connection  # None once the request is not open any more
        self.transaction_id = fields[b"x-txn"]
        self.idempotency_key = _idempotency_key(fields)
        self.service = target.service
        self.object_id = target.object_id
        self.block = block  # as the client wrote it; None for the whole object
        self.cached_tag = _cached_tag(fields)  # of the client's copy, empty if it has none
        self.body = body
        self.event = event  # what the decisions are told
        self.deadline = deadline  # on the front's clock
        self.attempt_count = 0
        self.attempt_start_times: list[int] = []  # when each was handed to the system
        self.attempts: dict[int, Attempt] = {}  # those that are out, by number
        self.state = RequestState.OPEN
        self.timer = None  # runs out at the deadline, then at the backstop behind it

    @property
    def is_open(self) -> bool:
        """Whether the final answer is owed."""
        return self.state is RequestState.OPEN

    def end(self, state: RequestState) -> ClientConnection | None:
        """Close the request, here and nowhere else; gives the connection that it came on."""
        connection = self.connection
        self.state = state
        self.connection = None
        return connection

    def shorten_deadline(self, deadline: int) -> None:
        """Set an earlier deadline than the client's."""
        self.deadline = deadline
        self.event = self.event._replace(time_left=max(1, deadline - clock()))


def parse_request(
    request_id: int,
    connection: ClientConnection,
    head: RequestHead,
    body: bytes,
    services: dict[bytes, tuple[int, bool, int]],
    arrived_at: int,
) -> ClientRequest:
    """Make a request out of a head and a body; raises RequestError for what cannot be accepted.

    `services` has for each service its number, whether it takes writes, and its longest time to live in
    microseconds; `arrived_at` is when the last byte came, on the front's clock.
    """
    target = _parse_target(head.target, services)
    service_number, is_write, longest = services[target.service]
    if head.method != (b"PUT" if is_write else b"GET"):
        raise RequestError(405, "not this method here")
    block = _block_of(target)
    _check_ids(head.fields.get(b"x-txn", b""), target.object_id)
    time_to_live = parse_integer(head.fields.get(b"x-ttl-ms", b""), longest // 1000, "X-Ttl-Ms") * 1000
    if not time_to_live:
        raise RequestError(400, "X-Ttl-Ms")
    deadline = arrived_at + time_to_live  # the client's time runs from its last byte
    time_left = max(1, deadline - clock())
    event = RequestArrived(
        id=request_id,
        service=service_number,
        tenant=0,
        object=int(target.object_id, 16),
        time_left=time_left,
        size_kb=0.0,
        group=parse_integer(head.fields.get(b"x-family", b""), MAX_GROUP, "X-Family"),
        part=parse_integer(block, MAX_BLOCK, "block") if block is not None else 0,
        is_repeat=False,
        is_write=is_write,
        has_key=bool(_idempotency_key(head.fields)),
    )
    return ClientRequest(connection, target, block, head.fields, body, event, deadline)


def _parse_target(target: bytes, services: dict[bytes, tuple[int, bool, int]]) -> RequestTarget:
    path, mark, query = _origin_form(target).partition(b"?")
    service, slash, object_id = path[len(PATH_PREFIX) :].partition(b"/")
    if not path.startswith(PATH_PREFIX) or not slash or service not in services:
        raise RequestError(404, "no such target")
    return RequestTarget(service, object_id, query if mark else None)


def _origin_form(target: bytes) -> bytes:
    """The target without scheme and authority (RFC 9112, 3.2)."""
    if target.startswith(b"http://"):
        return b"/" + target[len(b"http://") :].partition(b"/")[2]
    return target


def _check_ids(transaction_id: bytes, object_id: bytes) -> None:
    if len(transaction_id) != TRANSACTION_ID_LENGTH or not HEX_DIGITS.issuperset(transaction_id.lower()):
        raise RequestError(400, "X-Txn")
    if not object_id or len(object_id) > MAX_OBJECT_ID_LENGTH or not HEX_DIGITS.issuperset(object_id.lower()):
        raise RequestError(404, "no such object")


def _block_of(target: RequestTarget) -> bytes | None:
    """The block that `block=NUMBER` names, as the client wrote it; None for the whole object."""
    if target.query is None:
        return None
    name, _, block = target.query.partition(b"=")
    if name != b"block":
        raise RequestError(400, "query")
    return block


def _cached_tag(fields: dict[bytes, bytes]) -> bytes:
    """The tag in If-None-Match; empty for one that could not be ours: a complete answer serves as well."""
    quoted = fields.get(b"if-none-match", b"")
    if quoted[:1] == quoted[-1:] == b'"' and quoted[1:-1].isalnum() and len(quoted) < MAX_TAG_LENGTH:
        return quoted.strip(b'"')
    return b""


def _idempotency_key(fields: dict[bytes, bytes]) -> bytes:
    """The key goes on to servers unchanged, so it may hold no byte that ends the field there."""
    key = fields.get(b"x-txn-key", b"")
    if len(key) > MAX_IDEMPOTENCY_KEY_LENGTH or not IDEMPOTENCY_KEY_CHARACTERS.issuperset(key):
        raise RequestError(400, "X-Txn-Key")
    return key
