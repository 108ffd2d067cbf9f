"""Tests of the limit on the bytes of incomplete answers that the front holds."""

from limepath.front.response_memory import ALWAYS_READ, ResponseMemory
from tests.stand_ins import Site
from tests.test_endings import ForwardingDecisions, build_front, open_connection

ANSWER_HEAD = b"%b DONE rev=4be0,since=0 240000\r\n"


class FakeConnection:
    """Counts how often reading was resumed."""

    def __init__(self):
        self.resumed = 0

    def resume_reading(self):
        self.resumed += 1


def make_full_memory():
    """Return a full memory and the connections whose answers fill it."""
    memory = ResponseMemory(100)
    connections = [FakeConnection() for _ in range(ALWAYS_READ + 2)]
    for connection in connections:
        memory.set_incomplete(connection, 50)
    return memory, connections


def test_only_the_answers_that_began_first_are_read_while_the_memory_is_full():
    memory, connections = make_full_memory()
    permitted = [memory.may_read(connection) for connection in connections]
    assert permitted == [True] * ALWAYS_READ + [False] * 2
    assert not memory.may_read(FakeConnection())  # a new answer would fill it further


def test_the_next_answer_is_read_as_soon_as_one_of_the_first_is_complete():
    memory, connections = make_full_memory()
    for connection in connections:
        memory.may_read(connection)
    memory.set_incomplete(connections[3], 0)
    assert [connection.resumed for connection in connections[ALWAYS_READ:]] == [1, 0]
    memory.forget(connections[0])
    assert [connection.resumed for connection in connections[ALWAYS_READ:]] == [1, 1]


def test_all_connections_are_resumed_once_there_is_memory():
    memory, connections = make_full_memory()
    other = FakeConnection()
    assert not memory.may_read(other)
    for connection in connections[1:]:
        memory.set_incomplete(connection, 0)
    assert other.resumed == 1
    assert memory.total == 50
    assert memory.may_read(other)


def test_a_closed_connection_is_not_resumed():
    memory, connections = make_full_memory()
    memory.may_read(connections[-1])
    memory.forget(connections[-1])
    for connection in connections:
        memory.forget(connection)
    assert connections[-1].resumed == 0
    assert memory.total == 0


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
