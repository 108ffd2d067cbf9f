"""Tests of the simulator host: replies to batches, and error messages for malformed input."""

import io
import json
import struct

from limepath.simulator_host.frames import WireError
from limepath.simulator_host.host import serve

SETTINGS = {
    "az": 0,
    "replicas-of-me": 1,
    "models": ["cache", "parent", "origin"],
    "classes": [{"aim": 600_000_000, "deadline": 5_000_000_000, "idempotency": "free", "unheard-of": 1}],
    "family-info": {"mid-kind": 1, "master-kind": 2, "max-age": [8_000_000_500]},
    "limits": {"max-attempts": 6},
    "safety": {
        "cold-share": 0.2,
        "cold": 10**10,
        "overload-factor": 2,
        "tip-after": 10**9,
        "answer-slack": 8_000_000,
        "drain-grace": 10**9,
    },
}
CACHE = bytes((10, 18, 74, 7)) + struct.pack(">H", 8080)


def batch(*records, clock=10**9):
    body = b"".join(records)
    return struct.pack(">IIQ", 7, 16 + len(body), clock) + body


def start_and_list(settings=SETTINGS):
    encoded = settings if isinstance(settings, bytes) else json.dumps(settings).encode()
    endpoint = struct.pack(">B6sQHBHf", 1, CACHE, 0, 0, 0, 0, 1.0)
    return (
        struct.pack(">BIQI", 110, 3, 5, len(encoded))
        + encoded
        + struct.pack(">BIBII", 40, 3, 2, 1, 1)
        + endpoint
    )


def request(obj=9):
    return struct.pack(">BIIBIQQfffB", 100, 3, 77, 0, 0, obj, 5_000_000_000, 0, 1, 0, 0)


def reply_to(*frames):
    output = io.BytesIO()
    serve(io.BytesIO(b"".join(frames)), output)
    return output.getvalue()


def error_of(*frames):
    try:
        reply_to(*frames)
    except WireError as error:
        return str(error)
    return ""


def test_an_empty_batch_has_an_empty_reply_and_an_empty_stream_none():
    assert reply_to(batch()) == struct.pack(">III", 7, 0, 12) and reply_to() == b""


def test_a_request_becomes_a_lookup_with_a_max_age_rounded_down():
    reply = reply_to(batch(start_and_list()), batch(request()))
    lookup = reply[reply.index(struct.pack(">BII", 60, 3, 77)) :][:39]
    assert lookup[9:15] == CACHE == lookup[23:29] and struct.unpack(">Q", lookup[30:38]) == (8_000_000_000,)


def test_a_purge_without_an_object_is_that_of_a_group():
    """Guards against 0, which stands for an absent object on this wire, being taken for object 0."""
    settings = SETTINGS | {"family-info": SETTINGS["family-info"] | {"gone-everywhere": 6_000_000_000}}

    def max_age_after(purged_object, obj):
        purge = struct.pack(">BIHQQ", 10, 3, 1, 5_000_000, purged_object)
        reply = reply_to(batch(start_and_list(settings)), batch(purge), batch(request(obj)))
        lookup = reply[reply.index(struct.pack(">BII", 60, 3, 77)) :][:39]
        return struct.unpack(">Q", lookup[30:38])[0]

    assert max_age_after(0, obj=9) < 10_000_000 < max_age_after(8, obj=9)
    assert max_age_after(9, obj=9) < 10_000_000


def test_a_stop_discards_the_front_and_a_start_in_the_same_batch_creates_a_new_one():
    stop = struct.pack(">BI", 70, 3)
    reply = reply_to(batch(start_and_list()), batch(request(), stop, start_and_list()))
    assert struct.pack(">BII", 60, 3, 77) not in reply
    assert reply_to(batch(start_and_list()), batch(stop))[-8:] == struct.pack(">II", 0, 12)


def test_an_error_message_describes_malformed_input():
    assert "truncated" in error_of(b"\0" * 5) and "truncated" in error_of(batch(start_and_list())[:-1])
    assert "wrong length" in error_of(struct.pack(">IIQ", 1, 3, 0))
    assert "unknown event code 255 at byte 16" in error_of(batch(b"\xff"))
    assert "cut short" in error_of(batch(b"\x14\0"))
    assert "settings of instance 3" in error_of(batch(start_and_list(b"no json"))) and "'safety'" in error_of(
        batch(start_and_list({}))
    )
    assert "unknown outcome code 99" in error_of(batch(struct.pack(">BI6sHQB", 60, 3, CACHE, 99, 0, 0)))


def test_an_exception_in_the_decisions_becomes_an_error_record_of_that_instance():
    invalid = SETTINGS | {"classes": []}
    reply = reply_to(batch(start_and_list(invalid)), batch(request()))
    assert struct.pack(">BI", 10, 3) in reply and b"IndexError" in reply
