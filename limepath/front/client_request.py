"""Client requests: validation of a parsed head, and the state of the request until it is released."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from limepath.front.clock import clock
from limepath.front.request_head import RequestError, RequestHead, parse_integer
from limepath.interface.events import RequestArrived

if TYPE_CHECKING:
    from limepath.configuration.platform import Service
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
    """The parts of a request target, `/invoke/SERVICE/OBJECT?QUERY`."""

    service: bytes
    object_id: bytes
    query: bytes | None  # None if the target has no query


class RequestState(Enum):
    """State of a client request."""

    OPEN = 0  # not answered yet
    ANSWERED = 1
    ABANDONED = 2  # the client disconnected before the answer


class ClientRequest:
    """One client request: its fields as the client sent them, its attempts and its state."""

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
        "is_idempotent",
        "possible_executions",
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
        is_idempotent: bool,
    ):
        self.id = event.id
        self.connection: ClientConnection | None = connection  # None once the request is no longer open
        self.transaction_id = fields[b"x-txn"]
        self.idempotency_key = _idempotency_key(fields)
        self.service = target.service
        self.object_id = target.object_id
        self.block = block  # as the client sent it; None for the whole object
        self.cached_tag = _cached_tag(fields)  # entity tag of the client's copy; empty if the client has none
        self.body = body
        self.event = event  # the event for the decision engine
        self.deadline = deadline  # microseconds on the monotonic clock
        self.attempt_count = 0
        self.attempt_start_times: list[int] = []  # when each attempt was written to its socket
        self.attempts: dict[int, Attempt] = {}  # attempts in flight, by number
        self.is_idempotent = is_idempotent  # whether it may run any number of times
        self.possible_executions: set[int] = set()  # numbers of the attempts that may have had an effect
        self.state = RequestState.OPEN
        self.timer = None  # fires at the deadline, then again after `Limits.backstop`

    @property
    def is_open(self) -> bool:
        """Whether the request still needs its final answer."""
        return self.state is RequestState.OPEN

    def end(self, state: RequestState) -> ClientConnection | None:
        """End the request with this state; return the connection that it arrived on.

        No other code sets the state.
        """
        connection = self.connection
        self.state = state
        self.connection = None
        return connection

    def mark_as_repeat(self) -> None:
        """Note that an earlier request with the same id may have had an effect."""
        self.event = self.event._replace(may_have_run=True)

    def shorten_deadline(self, deadline: int) -> None:
        """Replace the client's deadline by an earlier one."""
        self.deadline = deadline
        self.event = self.event._replace(time_left=max(1, deadline - clock()))


def parse_request(
    request_id: int,
    connection: ClientConnection,
    head: RequestHead,
    body: bytes,
    services: dict[bytes, Service],
    arrived_at: int,
) -> ClientRequest:
    """Build a request from a head and a body.

    `services` holds the delivery services by name. `arrived_at` is when the last byte arrived, in
    microseconds on the monotonic clock.

    Raises:
        RequestError: the request is invalid.
    """
    target = _parse_target(head.target, services)
    service = services[target.service]
    is_write = service.uncacheable
    if head.method != (b"PUT" if is_write else b"GET"):
        raise RequestError(405, "method not allowed for this service")
    block = _block_of(target)
    _check_ids(head.fields.get(b"x-txn", b""), target.object_id)
    deadline = arrived_at + _time_to_live(head, service)  # the client counts from the request's last byte
    event = RequestArrived(
        id=request_id,
        service=service.index,
        tenant=0,
        object=int(target.object_id, 16),
        time_left=max(1, deadline - clock()),
        size_kb=0.0,
        group=parse_integer(head.fields.get(b"x-family", b""), MAX_GROUP, "X-Family"),
        part=parse_integer(block, MAX_BLOCK, "block") if block is not None else 0,
        is_repeat=False,
        is_write=is_write,
        has_key=bool(_idempotency_key(head.fields)),
    )
    return ClientRequest(connection, target, block, head.fields, body, event, deadline, service.is_idempotent)


def _time_to_live(head: RequestHead, service: Service) -> int:
    """Return how long the client waits for its answer, in microseconds."""
    longest_ms = service.max_deadline // 1000
    time_to_live = parse_integer(head.fields.get(b"x-ttl-ms", b""), longest_ms, "X-Ttl-Ms") * 1000
    if not time_to_live:
        raise RequestError(400, "X-Ttl-Ms: 0 is not allowed; expected 1 or more")
    return time_to_live


def _parse_target(target: bytes, services: dict[bytes, Service]) -> RequestTarget:
    path, mark, query = _origin_form(target).partition(b"?")
    service, slash, object_id = path[len(PATH_PREFIX) :].partition(b"/")
    if not path.startswith(PATH_PREFIX) or not slash or service not in services:
        raise RequestError(404, "unknown target")
    return RequestTarget(service, object_id, query if mark else None)


def _origin_form(target: bytes) -> bytes:
    """Return the target without scheme and authority (RFC 9112, 3.2)."""
    if target.startswith(b"http://"):
        return b"/" + target[len(b"http://") :].partition(b"/")[2]
    return target


def _check_ids(transaction_id: bytes, object_id: bytes) -> None:
    if len(transaction_id) != TRANSACTION_ID_LENGTH or not HEX_DIGITS.issuperset(transaction_id.lower()):
        raise RequestError(400, f"X-Txn: expected {TRANSACTION_ID_LENGTH} hexadecimal digits")
    if not object_id or len(object_id) > MAX_OBJECT_ID_LENGTH or not HEX_DIGITS.issuperset(object_id.lower()):
        raise RequestError(404, f"object: expected 1 to {MAX_OBJECT_ID_LENGTH} hexadecimal digits")


def _block_of(target: RequestTarget) -> bytes | None:
    """Return NUMBER of a query `block=NUMBER` as the client sent it; None for the whole object."""
    if target.query is None:
        return None
    name, _, block = target.query.partition(b"=")
    if name != b"block":
        raise RequestError(400, "query: expected block=NUMBER")
    return block


def _cached_tag(fields: dict[bytes, bytes]) -> bytes:
    """Return the tag in If-None-Match, or an empty one if this front cannot have issued it.

    A complete answer is correct in that case, too.
    """
    quoted = fields.get(b"if-none-match", b"")
    if quoted[:1] == quoted[-1:] == b'"' and quoted[1:-1].isalnum() and len(quoted) < MAX_TAG_LENGTH:
        return quoted.strip(b'"')
    return b""


def _idempotency_key(fields: dict[bytes, bytes]) -> bytes:
    """Return the idempotency key.

    Servers receive the key unchanged, so it must not contain a byte that ends the field there.
    """
    key = fields.get(b"x-txn-key", b"")
    if len(key) > MAX_IDEMPOTENCY_KEY_LENGTH or not IDEMPOTENCY_KEY_CHARACTERS.issuperset(key):
        raise RequestError(
            400, f"X-Txn-Key: expected up to {MAX_IDEMPOTENCY_KEY_LENGTH} letters, digits or -_.:"
        )
    return key
