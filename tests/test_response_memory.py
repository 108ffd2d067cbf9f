"""Tests of the limit on the bytes of incomplete answers that the front holds."""

import pytest
from twisted.internet.task import Clock

from limepath.front import response_memory
from limepath.front.response_memory import MAX_PERMITS, PERMIT_DURATION, ResponseMemory
from tests.stand_ins import Site
from tests.test_endings import ForwardingDecisions, build_front, open_connection

ANSWER_HEAD = b"%b DONE rev=4be0,since=0 240000\r\n"


class FakeConnection:
    """Counts how often reading was resumed."""

    def __init__(self):
        self.resumed = 0

    def resume_reading(self):
        self.resumed += 1


class FullMemory(ResponseMemory):
    """A memory that one incomplete answer fills, with a clock of its own."""

    def __init__(self, monkeypatch):
        self.reactor = Clock()
        super().__init__(100, self.reactor.callLater)
        monkeypatch.setattr(response_memory, "clock", lambda: int(self.reactor.seconds() * 1_000_000))
        self.stalled = FakeConnection()
        self.set_incomplete(self.stalled, 100)

    def readers(self, number):
        """Return new connections and whether each may read."""
        connections = [FakeConnection() for _ in range(number)]
        return connections, [self.may_read(connection) for connection in connections]


@pytest.fixture
def memory(monkeypatch):
    return FullMemory(monkeypatch)


def test_a_few_connections_may_read_while_the_memory_is_full(memory):
    connections, permitted = memory.readers(MAX_PERMITS + 2)
    assert permitted == [True] * MAX_PERMITS + [False] * 2
    assert memory.may_read(connections[0])  # it goes on with its answer


def test_the_next_connection_reads_as_soon_as_an_answer_is_complete(memory):
    connections, _ = memory.readers(MAX_PERMITS + 2)
    memory.set_incomplete(connections[3], 0)
    assert [connection.resumed for connection in connections[MAX_PERMITS:]] == [1, 0]
    assert memory.may_read(connections[MAX_PERMITS])
    memory.forget(connections[0])
    assert [connection.resumed for connection in connections[MAX_PERMITS:]] == [1, 1]


def test_a_connection_that_sends_slowly_keeps_others_waiting_for_a_limited_time(memory):
    """Guards against slow servers that fill the memory and keep the answers of all others out."""
    connections, _ = memory.readers(MAX_PERMITS + 2)
    for connection in connections[:MAX_PERMITS]:
        memory.set_incomplete(connection, 10)
    memory.reactor.advance(PERMIT_DURATION / 1_000_000)
    assert [connection.resumed for connection in connections[MAX_PERMITS:]] == [1, 1]
    assert all(memory.may_read(connection) for connection in connections[MAX_PERMITS:])


def test_all_connections_are_resumed_once_there_is_memory(memory):
    connections, _ = memory.readers(MAX_PERMITS + 20)
    memory.set_incomplete(memory.stalled, 0)
    assert [connection.resumed for connection in connections[MAX_PERMITS:]] == [1] * 20
    assert all(memory.may_read(connection) for connection in connections)


def test_a_closed_connection_is_not_resumed(memory):
    connections, _ = memory.readers(MAX_PERMITS + 1)
    memory.forget(connections[-1])
    memory.forget(memory.stalled)
    assert connections[-1].resumed == 0
    assert memory.incomplete.total == 0


def test_a_connection_that_the_front_does_not_read_does_not_count_as_stalled():
    """Guards against a server that is given up because the front has no memory for its answer."""
    _, _, servers, get = build_front(ForwardingDecisions(), answer_stall_timeout=1)
    connection = open_connection(servers)
    request = get()
    connection.dataReceived(ANSWER_HEAD % request.transaction_id + b"x" * 100)
    connection.last_read_at -= 10_000_000
    connection.is_reading_paused = True
    servers.sweep()
    assert not connection.transport.aborted
    assert not connection.can_send(b"another")
    connection.is_reading_paused = False
    servers.sweep()
    assert connection.transport.aborted


def test_a_server_that_stalls_in_an_answer_does_not_stop_the_answers_of_others():
    """Guards against a wait for a stalled answer while the memory is full."""
    with Site(("s-1", "s-2"), limits={"memory_mb": 40, "sockets": 1024}) as site:
        site.cache.commands = site.caches[1].commands
        clients = [site.open_client() for _ in range(12)]
        for number, client in enumerate(clients):
            client.send(f"/invoke/video/{number:016x}", txn=f"{number:016x}")
        commands = [site.cache.next() for _ in clients]
        for command in commands:
            command.connection.sendall(ANSWER_HEAD % command.id.encode() + b"x" * 239_000)
        for command in commands[4:]:
            command.connection.sendall(b"x" * 1000 + b"\r\n")
        answered = {command.id for command in commands[4:]}
        for number, client in enumerate(clients):
            if f"{number:016x}" in answered:
                assert len(client.answer()[2]) == 240_000
