"""Tests of limepath/front/request_head.py."""

import pytest

from limepath.front.request_head import RequestError, empty_lines_size, parse_head
from tests.stand_ins import Site


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


def test_empty_lines_before_a_request_are_counted_up_to_a_limit():
    assert [empty_lines_size(bytearray(text), 4) for text in (b"", b"\r", b"GET", b"\n", b"\r\n\r")] == [
        0,
        0,
        0,
        0,
        2,
    ]
    assert empty_lines_size(bytearray(b"\r\n\r\nGET /\r\n"), 4) == 4
    with pytest.raises(RequestError):
        empty_lines_size(bytearray(b"\r\n" * 3), 4)


def test_a_flood_of_empty_lines_ends_its_connection():
    """Guards against a client that keeps the front busy with empty lines, so that others wait for answers."""
    with Site() as site:
        client = site.open_client().send_raw("\r\n\r\n").send()
        site.cache.next().answer("DONE", "rev=4be0,since=0", b"x")
        assert client.answer()[2] == b"x"
        client.send_raw("\r\n" * 30_000)
        assert client.answer()[0] == 400
        assert client.closed_by_server()
