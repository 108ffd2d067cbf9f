"""Builds HTTP responses to clients: the status line and the header fields that the front adds."""

REASONS = {
    200: b"OK",
    304: b"Not Modified",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    409: b"Conflict",
    411: b"Length Required",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
    505: b"HTTP Version Not Supported",
}


def response_head(status: int, fields: bytes, body_size: int, is_persistent: bool) -> bytes:
    """Return the head of a response; `fields` are complete lines.

    A 304 has no Content-Length (RFC 9110, 8.6).
    """
    return b"HTTP/1.1 %d %b\r\n%b%b%b\r\n" % (
        status,
        REASONS[status],
        b"" if status == 304 else b"Content-Length: %d\r\n" % body_size,
        fields,
        b"" if is_persistent else b"Connection: close\r\n",
    )


def retry_after_field(retry_after: int) -> bytes:
    """Return the field that asks a client to retry after `retry_after` microseconds; empty for 0."""
    return b"X-Throttle-Ms: %d\r\n" % -(-retry_after // 1000) if retry_after else b""
