"""Tests of the line protocol of servers: parsing of answer lines and load reports."""

import re

import pytest

from limepath.front.server_protocol import ParseError, parse_answer_line, parse_load


def test_answer_lines_are_parsed_or_rejected_with_the_reason():
    assert parse_answer_line(b"9b1f DONE rev=4be0,since=1764576000123 5", 10) == (
        b"9b1f",
        b"DONE",
        {b"rev": b"4be0", b"since": b"1764576000123"},
        5,
    )
    assert parse_answer_line(b"9b1f LACK - 0", 10) == (b"9b1f", b"LACK", {}, 0)
    for line, message in (
        (b"x", "answer line: expected 4 words, found 1"),
        (b"x MAYBE - 0", "unknown status b'MAYBE'"),
        (b"x DONE - eleven", "body length b'eleven' is not a number from 0 to 10"),
        (b"x DONE - 11", "body length b'11' is not a number from 0 to 10"),
        (b"x DONE rev 1", "field b'rev' has no value"),
        (b"x DONE - -1", "body length b'-1' is not a number from 0 to 10"),
    ):
        with pytest.raises(ParseError, match=re.escape(message)):
            parse_answer_line(line, 10)
    assert parse_load(b"inflight:7;util:0.61") == {"inflight": 7.0, "util": 0.61}
    assert parse_load(b"rif:x;busy:1") == {"util": 1.0}
