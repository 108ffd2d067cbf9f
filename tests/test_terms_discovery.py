"""Terms on the change log: it may be slow, crowded or still, and speaks HTTP and server-sent events in all
their forms; what it has to tell counts as told soon, whether or not it arrived.
"""

import json
import queue
import threading
import time
from itertools import count

from limepath.front.server_sent_events import EventReader
from tests.stand_ins import BOUND, Site, accepting, address, listening, until
from tests.test_endings import COPY_FIELDS


class SlowChangeLog:
    """Accepts at once, and answers a call so many seconds later with these bytes, if it is still open."""

    def __init__(self, seconds, answer):
        self.seconds, self.answer, self.listener, self.calls = seconds, answer, listening(), queue.Queue()
        accepting(self.listener, self.serve)

    def serve(self, connection):
        self.calls.put(connection.recv(4096))
        threading.Thread(target=self.tell, args=(connection,), daemon=True).start()

    def tell(self, connection):
        began = time.monotonic()
        until(lambda: time.monotonic() - began > self.seconds)
        try:
            connection.sendall(self.answer)
            while connection.recv(4096):
                pass
        except OSError:
            pass


def drain_of(site, revision=2):
    return {"revision": revision, "complete": False, "members": [site.cache.entry("terminating")]}


def asked_name(site, number):
    """Which member is asked for a new object."""
    viewer = site.viewer().send("/invoke/video/1", txn=f"{number:016x}")
    asked = site.cache.asked.get(timeout=BOUND)
    asked.answer("DONE", COPY_FIELDS, b"x")
    assert viewer.answer()[0] == 200
    viewer.close()
    return asked.cache


def test_a_change_log_that_answers_late_is_heard():
    """Slower than the longest silence of a stream, at each call: to call again and again helps nobody."""
    with Site() as site:
        site.parent.asked = site.origin.asked = site.cache.asked
        event = json.dumps({"seq": 2, "fleet": drain_of(site)}).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
        slow = SlowChangeLog(3.5, head + b"id: 2\ndata: " + event + b"\n\n")
        site.reload(json.dumps(site.configuration | {"changelog": address(slow.listener)}))
        began = time.monotonic()
        number = 1
        while asked_name(site, number) == "s-1":
            assert time.monotonic() - began < 12
            number += 1


def test_a_member_that_cannot_be_read_hides_no_drain_of_another():
    """An entry of an unknown zone or kind, beside a drain, in one event, met twice."""
    with Site(("s-1", "s-2")) as site:
        site.log.called()
        site.cache.asked = site.caches[1].asked
        site.parent.asked = site.origin.asked = site.cache.asked
        odd = site.caches[1].entry(id="s-9", locality="luna")
        told = {"revision": 2, "complete": False, "members": [odd]}
        told["members"] += [member.entry("terminating") for member in site.caches]
        site.log.tell(2, fleet=told)
        began, numbers = time.monotonic(), count()
        while asked_name(site, next(numbers)) not in ("p-1", "o-1"):
            if not site.log.calls.empty():
                assert site.log.called() == 1
                site.log.tell(2, fleet=told)
            assert time.monotonic() - began < 5


def test_the_change_log_may_word_its_head_and_its_lines_in_each_way_that_http_allows():
    """Chunked without a blank behind the colon, and lines that end in CR, LF or both."""
    events = b"id: 2\rdata: TOLD\r\r: here\n\nid:3\r\ndata:TELL\r\n\r\n"
    with Site() as site:
        drained = json.dumps({"seq": 2, "fleet": drain_of(site)}).encode()
        purge = json.dumps({"seq": 3, "invalidate": {"bucket": 17, "time": 1}}).encode()
        events = events.replace(b"TOLD", drained).replace(b"TELL", purge)
        chunks = b"".join(
            b"%x;note=1\r\n%b\r\n" % (len(piece), piece) for piece in (events[:9], events[9:40], events[40:])
        )
        head = b"HTTP/1.1 200 OK\r\nTRANSFER-ENCODING:Chunked\r\nContent-Type:text/event-stream\r\n\r\n"
        log = SlowChangeLog(0, head + chunks)
        site.reload(json.dumps(site.configuration | {"changelog": address(log.listener)}))
        log.calls.get(timeout=BOUND)
        site.parent.asked = site.cache.asked
        number = 0
        while asked_name(site, number) == "s-1":
            number += 1
            assert number < 2000


def test_lines_end_in_cr_lf_or_both_wherever_the_stream_is_split():
    stream = b"id: 1\rdata: a\r\rid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\nid: 4\r\ndata: d\r\rdata: e\n\n"
    wanted = [("1", "a"), ("2", "b"), ("3", "c"), ("4", "d"), ("4", "e")]
    for split in range(len(stream) + 1):
        reader = EventReader(1000)
        assert reader.feed(stream[:split]) + reader.feed(stream[split:]) == wanted, split
