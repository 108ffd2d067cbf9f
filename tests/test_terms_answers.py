"""Terms on answers: whole and unchanged, at the protocol's largest sizes; a client's copy is current only if
a cache has named that copy to it.
"""

import socket

import pytest

from tests.stand_ins import Site
from tests.test_endings import COPY_FIELDS

TAG = "4be0c1927d55a6f3"


def test_a_copy_is_current_only_if_the_cache_named_that_copy():
    """KEEP with the tag of another copy, on the first attempt and on a further one, in a row."""
    for named in ("4be0c1927d55a6f4", "4BE0C1927D55A6F3", "4be0c1927d55a6f"):
        with Site() as site:
            viewer = site.viewer().send(If_None_Match=f'"{TAG}"')
            for _ in range(2):
                asked = site.cache.asked.get(timeout=10)
                assert asked.fields["inm"] == TAG
                asked.answer("KEEP", f"rev={named},since=1764576000123")
            fill = site.parent.next()  # two broken answers: the cache is passed over
            fill.answer("KEEP", f"rev={TAG},since=1764576000123")
            status, fields, body = viewer.answer()
            assert (status, fields["etag"], body) == (304, f'"{TAG}"', b"")


def test_the_largest_objects_and_writes_pass_whole_and_unchanged():
    """240,000 bytes out and 48,000 in, of any value; one byte more of a write is refused, not cut."""
    answer, write = bytes(range(256)) * 937 + bytes(128), bytes(range(255, -1, -1)) * 187 + bytes(128)
    assert (len(answer), len(write)) == (240_000, 48_000)
    with Site() as site:
        viewer = site.viewer().send()
        site.cache.next().answer("DONE", COPY_FIELDS, answer)
        assert viewer.answer()[2] == answer
        viewer.send("/invoke/tarea/1", write, txn="00000000000000ab")
        asked = site.origin.next()
        assert asked.body == write
        asked.answer("DONE", "-", answer)
        assert viewer.answer()[::2] == (200, answer)
        over = site.viewer().send("/invoke/tarea/1", write + b"x", txn="00000000000000ac")
        assert over.answer()[0] == 413 and site.origin.asked.empty()


def test_an_answer_arrives_whole_where_the_system_takes_and_gives_little_at_once():
    """Short reads and writes on all sockets of the front, and a client that reads slowly."""
    answer, write = bytes(range(256)) * 100, bytes(range(256)) * 20
    with Site(faults={"short": 7}) as site:
        viewer = site.viewer().send()
        site.cache.next().answer("DONE", COPY_FIELDS, answer)
        assert viewer.answer()[2] == answer
        viewer.send("/invoke/tarea/1", write, txn="00000000000000ab")
        asked = site.origin.next()
        assert asked.body == write
        asked.answer("DONE", "-", b"taken")
        assert viewer.answer()[::2] == (200, b"taken")


@pytest.mark.parametrize("spoilt", [b"", b"ID DO", b"ID DONE rev=4b,since=1764576000123 9\r\nabc"])
def test_a_write_whose_answer_breaks_off_is_failed_once_and_never_sent_again(spoilt):
    """However the connection ends: it may have run."""
    with Site() as site:
        for number, reset in enumerate((False, True)):
            viewer = site.viewer().send("/invoke/tarea/1", b"once", txn=f"{number:016x}")
            asked = site.origin.next()
            asked.connection.sendall(spoilt.replace(b"ID", asked.id.encode()))
            if reset:
                asked.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                asked.connection.shutdown(socket.SHUT_RD)
            asked.hang_up()
            assert viewer.answer()[0] == 502
            assert site.origin.asked.empty()


def is_given_up(asked, words):
    """Whether the cache has been told so by now: in a word, or by the end of the connection."""
    if ("QUIT", asked.cache) in words:
        return True
    try:
        return asked.connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:  # it was reset
        return True


def test_an_attempt_is_given_up_before_the_next_goes_out():
    """Never two at once: one on a cache that falls silent is called back, and the cache has heard so before
    another is asked.
    """
    with Site(("s-1", "s-2")) as site:
        first, second = site.caches
        first.asked = second.asked
        for cache in site.caches:
            cache.deaf = True
        viewer = site.viewer().send()
        silent, words = first.asked.get(timeout=10), []
        while (asked := first.asked.get(timeout=10)).word != "ASK":
            words.append((asked.word, asked.cache))
        assert is_given_up(silent, words) and asked.cache != silent.cache
        asked.answer("DONE", COPY_FIELDS, b"x")
        assert viewer.answer()[::2] == (200, b"x")
