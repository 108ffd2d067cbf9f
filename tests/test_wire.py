"""Stories of the wire host: whole replies to whole batches, one plain line for the rest."""

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


def up(settings=SETTINGS):
    raw = settings if isinstance(settings, bytes) else json.dumps(settings).encode()
    entry = struct.pack(">B6sQHBHf", 1, CACHE, 0, 0, 0, 0, 1.0)
    return struct.pack(">BIQI", 110, 3, 5, len(raw)) + raw + struct.pack(">BIBII", 40, 3, 2, 1, 1) + entry


def arrival(obj=9):
    return struct.pack(">BIIBIQQfffB", 100, 3, 77, 0, 0, obj, 5_000_000_000, 0, 1, 0, 0)


def played(*frames):
    sink = io.BytesIO()
    serve(io.BytesIO(b"".join(frames)), sink)
    return sink.getvalue()


def flaw(*frames):
    try:
        played(*frames)
    except WireError as error:
        return str(error)
    return ""


def test_an_empty_batch_gets_an_empty_reply_and_the_end_is_clean():
    assert played(batch()) == struct.pack(">III", 7, 0, 12) and played() == b""


def test_an_arrival_becomes_a_look_with_an_age_rounded_down():
    reply = played(batch(up()), batch(arrival()))
    look = reply[reply.index(struct.pack(">BII", 60, 3, 77)) :][:39]
    assert look[9:15] == CACHE == look[23:29] and struct.unpack(">Q", look[30:38]) == (8_000_000_000,)


def test_a_stop_forgets_and_a_start_in_the_same_batch_begins_anew():
    stop = struct.pack(">BI", 70, 3)
    reply = played(batch(up()), batch(arrival(), stop, up()))
    assert struct.pack(">BII", 60, 3, 77) not in reply
    assert played(batch(up()), batch(stop))[-8:] == struct.pack(">II", 0, 12)


def test_malformed_input_is_named_in_one_line():
    assert "truncated" in flaw(b"\0" * 5) and "truncated" in flaw(batch(up())[:-1])
    assert "wrong length" in flaw(struct.pack(">IIQ", 1, 3, 0))
    assert "unknown event code 255 at byte 16" in flaw(batch(b"\xff"))
    assert "cut short" in flaw(batch(b"\x14\0"))
    assert "settings of instance 3" in flaw(batch(up(b"no json"))) and "'safety'" in flaw(batch(up({})))
    assert "unknown outcome code 99" in flaw(batch(struct.pack(">BI6sHQB", 60, 3, CACHE, 99, 0, 0)))


def test_an_exception_in_the_decisions_becomes_a_fault_of_that_instance():
    bad = SETTINGS | {"classes": []}
    reply = played(batch(up(bad)), batch(arrival()))
    assert struct.pack(">BI", 10, 3) in reply and b"IndexError" in reply
