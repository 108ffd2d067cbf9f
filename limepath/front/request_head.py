"""Heads of HTTP requests: parsed out of a buffer, and the size of the body that follows (RFC 9112)."""

from typing import NamedTuple

HTTP_VERSION = b"HTTP/1.1"
HEAD_END = b"\r\n\r\n"
MAX_NUMBER_DIGITS = 15  # longer numbers are rejected before they are converted
MAX_CONTENT_LENGTH = 10**15

USED_FIELDS = frozenset(
    (
        b"host",
        b"connection",
        b"content-length",
        b"transfer-encoding",
        b"x-txn",
        b"x-ttl-ms",
        b"x-family",
        b"x-txn-key",
        b"if-none-match",
        b"expect",
    )
)
"""Header fields that this front reads, in lower case; all others are dropped."""


class RequestError(Exception):
    """What a client sent cannot be accepted: the HTTP status of the answer, and what was found."""

    def __init__(self, status: int, reason: str):
        super().__init__(reason)
        self.status = status


class RequestHead(NamedTuple):
    """A parsed head; field names are in lower case, values without the blanks around them."""

    method: bytes
    target: bytes
    fields: dict[bytes, bytes]
    length: int  # bytes that the head took in the buffer


def parse_head(buffer: bytearray, max_size: int, max_fields: int) -> RequestHead | None:
    """Parse the head at the start of `buffer`; None while it is not complete.

    Raises RequestError for a head that is malformed, over `max_size` bytes or over `max_fields` lines long.
    """
    end = buffer.find(HEAD_END, 0, max_size)
    if end < 0:
        if len(buffer) >= max_size:
            raise RequestError(431, "over-long head")
        return None
    request_line, *field_lines = bytes(buffer[:end]).split(b"\r\n")
    method, target = _parse_request_line(request_line)
    if len(field_lines) > max_fields:
        raise RequestError(431, "too many fields")
    return RequestHead(method, target, _parse_fields(field_lines), end + len(HEAD_END))


def _parse_request_line(line: bytes) -> tuple[bytes, bytes]:
    words = line.split(b" ")
    if len(words) != 3 or not words[0].isalpha() or not words[1]:
        raise RequestError(400, "malformed first line")
    method, target, version = words
    if version != HTTP_VERSION:
        raise RequestError(505 if version.startswith(b"HTTP/") else 400, "another version of HTTP")
    return method, target


def _parse_fields(lines: list[bytes]) -> dict[bytes, bytes]:
    fields = {}
    for line in lines:
        name, colon, value = line.partition(b":")
        name = name.lower()
        if not colon or not name or name.strip() != name or b" " in name:
            raise RequestError(400, "malformed field")
        if name in fields:
            raise RequestError(400, "twofold field")
        if name in USED_FIELDS:
            fields[name] = value.strip()
    return fields


def parse_integer(text: bytes, maximum: int, field: str) -> int:
    """Give the decimal number in `text`; raises RequestError with `field` unless it is 0 to `maximum`."""
    if not text.isdigit() or len(text) > MAX_NUMBER_DIGITS or int(text) > maximum:
        raise RequestError(400, field)
    return int(text)


def body_size(head: RequestHead, max_size: int) -> int:
    """Give the size in bytes of the body behind this head.

    Raises RequestError for a transfer coding (501), a PUT without Content-Length (411), a body over
    `max_size` (413) or one where none belongs (400).
    """
    if b"transfer-encoding" in head.fields:
        raise RequestError(501, "transfer coding")
    if head.method == b"PUT" and b"content-length" not in head.fields:
        raise RequestError(411, "no Content-Length")
    size = parse_integer(head.fields.get(b"content-length", b"0"), MAX_CONTENT_LENGTH, "Content-Length")
    if size > max_size:
        raise RequestError(413, "body too large")
    if size and head.method != b"PUT":
        raise RequestError(400, "a body where none belongs")
    return size
