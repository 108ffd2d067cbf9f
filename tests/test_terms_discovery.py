"""Tests of the guarantees on the list service.

The service may be slow or silent, and may use all valid forms of HTTP and of server-sent events. An event
binds the front soon after it is published, even if the front has not received it.
"""

import json
import queue
import threading
import time
from itertools import count

from limepath.front.server_sent_events import EventReader
from tests.stand_ins import TIMEOUT, Site, accept_in_thread, address, open_listener, wait_for
from tests.test_endings import COPY_FIELDS


class SlowListService:
    """Accepts connections immediately, and sends `answer` to each after `seconds` if it is still open."""

    def __init__(self, seconds, answer):
        self.seconds, self.answer, self.listener, self.calls = seconds, answer, open_listener(), queue.Queue()
        accept_in_thread(self.listener, self.serve)

    def serve(self, connection):
        self.calls.put(connection.recv(4096))
        threading.Thread(target=self.answer_late, args=(connection,), daemon=True).start()

    def answer_late(self, connection):
        started_at = time.monotonic()
        wait_for(lambda: time.monotonic() - started_at > self.seconds)
        try:
            connection.sendall(self.answer)
            while connection.recv(4096):
                pass
        except OSError:
            pass


def drain_update(site, revision=2):
    return {"revision": revision, "complete": False, "members": [site.cache.entry("terminating")]}


def endpoint_asked(site, number):
    """Request an object, and return the name of the endpoint that receives the attempt."""
    client = site.open_client().send("/invoke/video/1", txn=f"{number:016x}")
    command = site.cache.commands.get(timeout=TIMEOUT)
    command.answer("DONE", COPY_FIELDS, b"x")
    assert client.answer()[0] == 200
    client.close()
    return command.cache


def test_events_of_a_slow_list_service_are_applied():
    """Each response is later than the limit on silence, so that reconnecting alone never succeeds."""
    with Site() as site:
        site.parent.commands = site.origin.commands = site.cache.commands
        event = json.dumps({"seq": 2, "fleet": drain_update(site)}).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
        slow = SlowListService(3.5, head + b"id: 2\ndata: " + event + b"\n\n")
        site.reload(json.dumps(site.configuration | {"changelog": address(slow.listener)}))
        started_at = time.monotonic()
        number = 1
        while endpoint_asked(site, number) == "s-1":
            assert time.monotonic() - started_at < 12
            number += 1


def test_a_malformed_entry_does_not_hide_the_drain_of_another_endpoint():
    """An event with an entry of an unknown zone, beside drains, is received twice."""
    with Site(("s-1", "s-2")) as site:
        site.log.next_call()
        site.cache.commands = site.caches[1].commands
        site.parent.commands = site.origin.commands = site.cache.commands
        malformed = site.caches[1].entry(id="s-9", locality="luna")
        update = {"revision": 2, "complete": False, "members": [malformed]}
        update["members"] += [member.entry("terminating") for member in site.caches]
        site.log.send_event(2, fleet=update)
        started_at, numbers = time.monotonic(), count()
        while endpoint_asked(site, next(numbers)) not in ("p-1", "o-1"):
            if not site.log.calls.empty():
                assert site.log.next_call() == 1
                site.log.send_event(2, fleet=update)
            assert time.monotonic() - started_at < 5


def test_all_valid_forms_of_response_head_and_event_lines_are_accepted():
    """Chunked coding, no space after the colon of a field, and lines that end in CR, LF or CR LF."""
    events = b"id: 2\rdata: TOLD\r\r: here\n\nid:3\r\ndata:TELL\r\n\r\n"
    with Site() as site:
        drained = json.dumps({"seq": 2, "fleet": drain_update(site)}).encode()
        purge = json.dumps({"seq": 3, "invalidate": {"bucket": 17, "time": 1}}).encode()
        events = events.replace(b"TOLD", drained).replace(b"TELL", purge)
        chunks = b"".join(
            b"%x;note=1\r\n%b\r\n" % (len(piece), piece) for piece in (events[:9], events[9:40], events[40:])
        )
        head = b"HTTP/1.1 200 OK\r\nTRANSFER-ENCODING:Chunked\r\nContent-Type:text/event-stream\r\n\r\n"
        log = SlowListService(0, head + chunks)
        site.reload(json.dumps(site.configuration | {"changelog": address(log.listener)}))
        log.calls.get(timeout=TIMEOUT)
        site.parent.commands = site.cache.commands
        number = 0
        while endpoint_asked(site, number) == "s-1":
            number += 1
            assert number < 2000


def test_all_line_ends_are_parsed_wherever_the_stream_is_split():
    stream = b"id: 1\rdata: a\r\rid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\nid: 4\r\ndata: d\r\rdata: e\n\n"
    expected = [("1", "a"), ("2", "b"), ("3", "c"), ("4", "d"), ("4", "e")]
    for split in range(len(stream) + 1):
        reader = EventReader(1000)
        assert reader.feed(stream[:split]) + reader.feed(stream[split:]) == expected, split
