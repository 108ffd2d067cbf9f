"""Tests of the testbed's network links on loopback sockets.

Data is cut, delayed, duplicated and held, and each effect of a fault is counted.
"""

import socket
import threading
from random import Random

import pytest
from twisted.internet import selectreactor

from limepath.testbed.faults import Fault, Faults, Kind, both_directions
from limepath.testbed.links import ConnectionLinks, DatagramLinks

TIMEOUT = 20  # seconds


class Network:
    """A reactor in its own thread, for links between parties 0 and 1."""

    def __init__(self):
        self.reactor, self.faults = selectreactor.SelectReactor(), Faults(Random(1))
        self.thread = threading.Thread(target=self.reactor.run, args=(False,), daemon=True)
        self.thread.start()

    def do(self, function, *arguments):
        done, results = threading.Event(), []
        self.reactor.callFromThread(lambda: (results.append(function(*arguments)), done.set()))
        assert done.wait(TIMEOUT)
        return results[0]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.reactor.callFromThread(self.reactor.stop)
        self.thread.join(TIMEOUT)


@pytest.fixture
def datagrams():
    with Network() as network:
        sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2)]
        for endpoint in sockets:
            endpoint.bind(("127.0.0.1", 0))
            endpoint.settimeout(TIMEOUT)
        network.links = network.do(
            DatagramLinks,
            network.reactor,
            [endpoint.getsockname()[1] for endpoint in sockets],
            network.faults,
        )
        network.send = lambda source, text: sockets[source].sendto(
            text, ("127.0.0.1", network.links.proxy_port(1 - source))
        )
        network.receive = lambda index: sockets[index].recv(100)
        yield network
        for endpoint in sockets:
            endpoint.close()


def wait_for_effects(network, name, count):
    """Wait until the fault `name` has taken effect `count` times."""
    for _ in range(TIMEOUT * 100):
        if network.do(lambda: network.faults.effects[name]) >= count:
            return
        threading.Event().wait(0.01)
    raise AssertionError(f"{name} took effect {network.faults.effects[name]} times, expected {count}")


def test_a_held_datagram_arrives_after_datagrams_sent_later(datagrams):
    network = datagrams
    network.do(network.faults.begin, Fault("held", Kind.HOLD, frozenset((0,)), frozenset((1,))))
    network.send(0, b"old")
    wait_for_effects(network, "held", 1)
    network.send(1, b"the other way")
    assert network.receive(0) == b"the other way"
    network.do(network.links.end, "held")
    assert network.receive(1) == b"old"
    network.send(0, b"new")
    assert network.receive(1) == b"new"


def test_a_cut_in_one_direction_drops_datagrams_and_a_double_duplicates_them(datagrams):
    network = datagrams
    network.do(
        network.faults.begin,
        Fault("cut", Kind.CUT, frozenset((0,)), frozenset((1,))),
        Fault("twice", Kind.DOUBLE, frozenset((1,)), frozenset((0,))),
    )
    network.send(0, b"lost")
    wait_for_effects(network, "cut", 1)
    network.send(1, b"echo")
    assert network.receive(0) == network.receive(0) == b"echo"
    network.do(network.links.end, "cut")
    network.send(0, b"after")
    assert network.receive(1) == b"after"


def test_a_cut_connection_stays_open_and_delivers_its_data_in_order_afterwards():
    with Network() as network, socket.create_server(("127.0.0.1", 0)) as server:
        links = network.do(ConnectionLinks, network.reactor, network.faults)
        port = network.do(links.open, "front", "cache", server.getsockname()[1])
        with socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT) as near:
            far, _ = server.accept()
            far.settimeout(TIMEOUT)
            near.sendall(b"one")
            assert far.recv(100) == b"one"
            network.do(network.faults.begin, *both_directions("cut", Kind.CUT, ["front"], ["cache"]))
            near.sendall(b"two")
            wait_for_effects(network, "cut>", 1)
            near.sendall(b"three")
            far.settimeout(0.1)
            with pytest.raises(TimeoutError):
                far.recv(100)
            far.settimeout(TIMEOUT)
            network.do(network.faults.end, "cut>", "cut<")
            network.do(links.end)
            received = b""
            while received != b"twothree":
                received += far.recv(100)
            far.close()
            assert near.recv(100) == b""


def test_a_fault_without_effect_is_reported():
    faults = Faults(Random(1))
    faults.begin(*both_directions("cut", Kind.CUT, ["a"], ["b"]))
    assert faults.delays("a", "b") == ()
    faults.end("cut>", "cut<")
    assert faults.without_effect() == ["cut<"]


def test_data_of_a_connection_is_neither_lost_nor_duplicated():
    faults = Faults(Random(1))
    faults.begin(
        Fault("loss", Kind.LOSE, frozenset("a"), frozenset("b"), span=1000),
        Fault("twice", Kind.DOUBLE, frozenset("a"), frozenset("b"), span=1000),
    )
    assert faults.delays("a", "b") == ()
    (delay,) = faults.delays("a", "b", ordered=True)
    assert 0 <= delay < 1000 and faults.effects == {"loss": 2, "twice": 0}


def test_a_cut_drops_one_direction_and_held_data_is_released_at_the_end():
    faults = Faults(Random(1))
    faults.begin(Fault("cut", Kind.CUT, frozenset("a"), frozenset("b")))
    assert (faults.delays("a", "b"), faults.delays("b", "a")) == ((), (0,))
    faults.begin(Fault("slow", Kind.HOLD, frozenset("b"), frozenset("a")))
    assert (faults.delays("b", "a", "first"), faults.delays("b", "a", "second")) == ((), ())
    assert faults.end("slow") == [("b", "a", "first"), ("b", "a", "second")] and faults.end("cut") == []
    assert dict(faults.effects) == {"cut": 1, "slow": 2}
