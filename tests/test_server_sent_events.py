"""Tests of the parsers of server-sent events and of the chunked transfer coding."""

from limepath.front.chunked_coding import ChunkedDecoder
from limepath.front.server_sent_events import EventReader


def test_events_and_chunks_are_parsed_byte_by_byte():
    reader, chunks = EventReader(100), ChunkedDecoder()
    stream = b": hi\n\nid: 4\ndata: {\ndata: }\n\nid:5\r\ndata:x\r\n\r\n"
    events = [event for i in range(len(stream)) for event in reader.feed(stream[i : i + 1])]
    assert events == [("4", "{\n}"), ("5", "x")]
    assert b"".join(chunks.feed(bytes((b,))) for b in b"3\r\nabc\r\n2;x\r\nde\r\n0\r\n\r\n") == b"abcde"
