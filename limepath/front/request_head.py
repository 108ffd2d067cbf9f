"""Parses the heads of HTTP requests and finds the size of the body that follows (RFC 9112)."""

import re
from typing import NamedTuple

HTTP_VERSION = b"HTTP/1.1"
HEAD_END = b"\r\n\r\n"
EMPTY_LINES = re.compile(rb"(?:\r\n)*+")
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
"""Header fields that the front uses, in lower case; all others are dropped."""


class RequestError(Exception):
    """An invalid request: the HTTP status of the answer, and the reason for the log."""

    def __init__(self, status: int, reason: str):
        super().__init__(reason)
        self.status = status


class RequestHead(NamedTuple):
    """A parsed head. Field names are in lower case; values have no surrounding white space."""

    method: bytes
    target: bytes
    fields: dict[bytes, bytes]
    length: int  # of the head, bytes


def empty_lines_size(buffer: bytearray, max_size: int) -> int:
    """Return the size in bytes of the empty lines before a request, which are ignored (RFC 9112, 2.2).

    Raises:
        RequestError: they have more than `max_size` bytes.
    """
    match = EMPTY_LINES.match(buffer)
    size = match.end() if match else 0
    if size > max_size:
        raise RequestError(400, f"more than {max_size} bytes of empty lines before a request")
    return size


def parse_head(buffer: bytearray, max_size: int, max_fields: int) -> RequestHead | None:
    """Parse the head at the start of `buffer`; return None if it is incomplete.

    Raises:
        RequestError: the head is malformed, or has more than `max_size` bytes or `max_fields` fields.
    """
    end = buffer.find(HEAD_END, 0, max_size)
    if end < 0:
        if len(buffer) >= max_size:
            raise RequestError(431, f"head of more than {max_size} bytes")
        return None
    request_line, *field_lines = bytes(buffer[:end]).split(b"\r\n")
    method, target = _parse_request_line(request_line)
    if len(field_lines) > max_fields:
        raise RequestError(431, f"head of more than {max_fields} fields")
    return RequestHead(method, target, _parse_fields(field_lines), end + len(HEAD_END))


def _parse_request_line(line: bytes) -> tuple[bytes, bytes]:
    words = line.split(b" ")
    if len(words) != 3 or not words[0].isalpha() or not words[1]:
        raise RequestError(400, "malformed request line")
    method, target, version = words
    if version != HTTP_VERSION:
        raise RequestError(505 if version.startswith(b"HTTP/") else 400, "HTTP version: expected HTTP/1.1")
    return method, target


def _parse_fields(lines: list[bytes]) -> dict[bytes, bytes]:
    fields = {}
    for line in lines:
        name, colon, value = line.partition(b":")
        name = name.lower()
        if not colon or not name or name.strip() != name or b" " in name:
            raise RequestError(400, "malformed header field")
        if name in fields:
            raise RequestError(400, "duplicate header field")
        if name in USED_FIELDS:
            fields[name] = value.strip()
    return fields


def parse_integer(text: bytes, maximum: int, field: str) -> int:
    """Return the decimal number in `text`.

    Raises:
        RequestError: it is not a number from 0 to `maximum`; the message is `field`.
    """
    if not text.isdigit() or len(text) > MAX_NUMBER_DIGITS or int(text) > maximum:
        raise RequestError(400, field)
    return int(text)


def body_size(head: RequestHead, max_size: int) -> int:
    """Return the size in bytes of the body that follows this head.

    Raises:
        RequestError: the request has a transfer coding (501), is a PUT without Content-Length (411), has a
            body of more than `max_size` bytes (413), or has a body but is not a PUT (400).
    """
    if b"transfer-encoding" in head.fields:
        raise RequestError(501, "transfer coding is not supported")
    if head.method == b"PUT" and b"content-length" not in head.fields:
        raise RequestError(411, "PUT without Content-Length")
    size = parse_integer(head.fields.get(b"content-length", b"0"), MAX_CONTENT_LENGTH, "Content-Length")
    if size > max_size:
        raise RequestError(413, f"body of {size} bytes; expected up to {max_size}")
    if size and head.method != b"PUT":
        raise RequestError(400, "body in a request that is not a PUT")
    return size
