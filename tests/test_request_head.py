"""Tests of limepath/front/request_head.py."""

import pytest

from limepath.front.request_head import RequestError, parse_head


def test_head_is_parsed_once_complete_and_rejected_if_malformed():
    complete = b"GET /a?block=1 HTTP/1.1\r\nHost: x\r\nX-Txn:  9b\r\n\r\n"
    assert parse_head(bytearray(complete), 100, 9) == (
        b"GET",
        b"/a?block=1",
        {b"host": b"x", b"x-txn": b"9b"},
        48,
    )
    assert {parse_head(bytearray(complete[:i]), 100, 9) for i in range(len(complete))} == {None}
    for head, status in (
        (b"GET / HTTP/1.1\r\na: " + b"x" * 60, 431),
        (b"GET / HTTP/1.1\r\na:\r\nb:\r\nc:\r\n\r\n", 431),
        (b"GET /\r\n\r\n", 400),
        (b"GET / HTTP/2.0\r\n\r\n", 505),
        (b"GET / HTTP/1.1\r\na b\r\n\r\n", 400),
        (b"G\0T / HTTP/1.1\r\na : 1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nhost: 1\r\nHost: 2\r\n\r\n", 400),
    ):
        with pytest.raises(RequestError) as error:
            parse_head(bytearray(head), 60, 2)
        assert error.value.status == status, head
