"""Tests of the guarantees on answers.

Answers and writes are forwarded complete and unchanged up to the protocol's largest sizes. A client gets
304 only if a cache has confirmed the tag of the client's copy.
"""

import socket

import pytest

from tests.stand_ins import Site
from tests.test_endings import COPY_FIELDS

TAG = "4be0c1927d55a6f3"


def test_a_keep_answer_with_another_tag_is_rejected():
    """The cache answers KEEP with the tag of another copy on two attempts in a row."""
    for tag in ("4be0c1927d55a6f4", "4BE0C1927D55A6F3", "4be0c1927d55a6f"):
        with Site() as site:
            client = site.open_client().send(If_None_Match=f'"{TAG}"')
            for _ in range(2):
                command = site.cache.commands.get(timeout=10)
                assert command.fields["inm"] == TAG
                command.answer("KEEP", f"rev={tag},since=1764576000123")
            fill = site.parent.next()  # after two corrupt answers, the cache is bypassed
            fill.answer("KEEP", f"rev={TAG},since=1764576000123")
            status, fields, body = client.answer()
            assert (status, fields["etag"], body) == (304, f'"{TAG}"', b"")


def test_the_largest_objects_and_writes_are_forwarded_unchanged():
    """Objects of 240,000 and writes of 48,000 bytes, of all byte values; a larger write is refused."""
    answer, write = bytes(range(256)) * 937 + bytes(128), bytes(range(255, -1, -1)) * 187 + bytes(128)
    assert (len(answer), len(write)) == (240_000, 48_000)
    with Site() as site:
        client = site.open_client().send()
        site.cache.next().answer("DONE", COPY_FIELDS, answer)
        assert client.answer()[2] == answer
        client.send("/invoke/tarea/1", write, txn="00000000000000ab")
        command = site.origin.next()
        assert command.body == write
        command.answer("DONE", "-", answer)
        assert client.answer()[::2] == (200, answer)
        too_large = site.open_client().send("/invoke/tarea/1", write + b"x", txn="00000000000000ac")
        assert too_large.answer()[0] == 413 and site.origin.commands.empty()


def test_answers_and_writes_are_complete_with_short_reads_and_writes():
    """All socket calls of the front move at most 7 bytes."""
    answer, write = bytes(range(256)) * 100, bytes(range(256)) * 20
    with Site(faults={"short": 7}) as site:
        client = site.open_client().send()
        site.cache.next().answer("DONE", COPY_FIELDS, answer)
        assert client.answer()[2] == answer
        client.send("/invoke/tarea/1", write, txn="00000000000000ab")
        command = site.origin.next()
        assert command.body == write
        command.answer("DONE", "-", b"taken")
        assert client.answer()[::2] == (200, b"taken")


@pytest.mark.parametrize("truncated_answer", [b"", b"ID DO", b"ID DONE rev=4b,since=1764576000123 9\r\nabc"])
def test_a_write_with_a_truncated_answer_is_failed_and_not_retried(truncated_answer):
    """The write may have run, whether its connection ends with FIN or with a reset."""
    with Site() as site:
        for number, reset in enumerate((False, True)):
            client = site.open_client().send("/invoke/tarea/1", b"once", txn=f"{number:016x}")
            command = site.origin.next()
            command.connection.sendall(truncated_answer.replace(b"ID", command.id.encode()))
            if reset:
                command.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                command.connection.shutdown(socket.SHUT_RD)
            command.disconnect()
            assert client.answer()[0] == 502
            assert site.origin.commands.empty()


def is_cancelled(command, later_commands):
    """Return whether the cache has received a cancel command or the end of the connection."""
    if ("QUIT", command.cache) in later_commands:
        return True
    try:
        return command.connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:  # the connection was reset
        return True


def test_an_attempt_is_cancelled_before_the_next_is_sent():
    """There are never two attempts at once.

    An attempt at a cache that does not answer is cancelled, and the cache has received the cancellation
    before the next cache receives the request.
    """
    with Site(("s-1", "s-2")) as site:
        first, second = site.caches
        first.commands = second.commands
        for cache in site.caches:
            cache.ignores_probes = True
        client = site.open_client().send()
        unanswered, later_commands = first.commands.get(timeout=10), []
        while (command := first.commands.get(timeout=10)).word != "ASK":
            later_commands.append((command.word, command.cache))
        assert is_cancelled(unanswered, later_commands) and command.cache != unanswered.cache
        command.answer("DONE", COPY_FIELDS, b"x")
        assert client.answer()[::2] == (200, b"x")
