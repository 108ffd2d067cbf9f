"""The line protocol of servers: answers and load reports parsed."""

import re

import pytest

from limepath.front.server_protocol import ParseError, parse_answer_line, parse_load


def test_a_cache_s_answer_line_is_read_or_named_as_what_it_is():
    assert parse_answer_line(b"9b1f DONE rev=4be0,since=1764576000123 5", 10) == (
        b"9b1f",
        b"DONE",
        {b"rev": b"4be0", b"since": b"1764576000123"},
        5,
    )
    assert parse_answer_line(b"9b1f LACK - 0", 10) == (b"9b1f", b"LACK", {}, 0)
    for line, said in (
        (b"x", "1 of 4 words"),
        (b"x MAYBE - 0", "unknown word b'MAYBE'"),
        (b"x DONE - eleven", "length b'eleven'"),
        (b"x DONE - 11", "length b'11'"),
        (b"x DONE rev 1", "field b'rev'"),
        (b"x DONE - -1", "length b'-1'"),
    ):
        with pytest.raises(ParseError, match=re.escape(said)):
            parse_answer_line(line, 10)
    assert parse_load(b"inflight:7;util:0.61") == {"inflight": 7.0, "util": 0.61}
    assert parse_load(b"rif:x;busy:1") == {"util": 1.0}
