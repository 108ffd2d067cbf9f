"""The testbed's ways, on loopback sockets: pieces that are cut, late, doubled and held, each counted where it
took effect.
"""

import socket
import threading
from random import Random

import pytest
from twisted.internet import selectreactor

from limepath.testbed.faults import Fault, Faults, Kind, both_directions
from limepath.testbed.links import ConnectionLinks, DatagramLinks

BOUND = 20


class Network:
    """A reactor in a thread of its own, with ways between two parties 0 and 1."""

    def __init__(self):
        self.reactor, self.faults = selectreactor.SelectReactor(), Faults(Random(1))
        self.thread = threading.Thread(target=self.reactor.run, args=(False,), daemon=True)
        self.thread.start()

    def do(self, call, *said):
        done, given = threading.Event(), []
        self.reactor.callFromThread(lambda: (given.append(call(*said)), done.set()))
        assert done.wait(BOUND)
        return given[0]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.reactor.callFromThread(self.reactor.stop)
        self.thread.join(BOUND)


@pytest.fixture
def datagrams():
    with Network() as network:
        ends = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2)]
        for end in ends:
            end.bind(("127.0.0.1", 0))
            end.settimeout(BOUND)
        network.ways = network.do(
            DatagramLinks, network.reactor, [end.getsockname()[1] for end in ends], network.faults
        )
        network.say = lambda source, text: ends[source].sendto(
            text, ("127.0.0.1", network.ways.reached_at(1 - source))
        )
        network.hear = lambda who: ends[who].recv(100)
        yield network
        for end in ends:
            end.close()


def felt(network, name, times):
    """Wait until a fault has taken effect so often."""
    for _ in range(BOUND * 100):
        if network.do(lambda: network.faults.effects[name]) >= times:
            return
        threading.Event().wait(0.01)
    raise AssertionError(f"{name} took effect {network.faults.effects[name]} times of {times}")


def test_a_held_datagram_arrives_after_what_was_said_later(datagrams):
    network = datagrams
    network.do(network.faults.begin, Fault("held", Kind.HOLD, frozenset((0,)), frozenset((1,))))
    network.say(0, b"old")
    felt(network, "held", 1)
    network.say(1, b"the other way")
    assert network.hear(0) == b"the other way"
    network.do(network.ways.end, "held")
    assert network.hear(1) == b"old"
    network.say(0, b"new")
    assert network.hear(1) == b"new"


def test_a_one_way_cut_and_a_double(datagrams):
    network = datagrams
    network.do(
        network.faults.begin,
        Fault("cut", Kind.CUT, frozenset((0,)), frozenset((1,))),
        Fault("twice", Kind.DOUBLE, frozenset((1,)), frozenset((0,))),
    )
    network.say(0, b"lost")
    felt(network, "cut", 1)
    network.say(1, b"echo")
    assert network.hear(0) == network.hear(0) == b"echo"
    network.do(network.ways.end, "cut")
    network.say(0, b"after")
    assert network.hear(1) == b"after"


def test_a_connection_that_is_cut_stays_open_and_silent_and_goes_on_in_order():
    with Network() as network, socket.create_server(("127.0.0.1", 0)) as server:
        ways = network.do(ConnectionLinks, network.reactor, network.faults)
        port = network.do(ways.open, "front", "cache", server.getsockname()[1])
        with socket.create_connection(("127.0.0.1", port), timeout=BOUND) as near:
            far, _ = server.accept()
            far.settimeout(BOUND)
            near.sendall(b"one")
            assert far.recv(100) == b"one"
            network.do(network.faults.begin, *both_directions("cut", Kind.CUT, ["front"], ["cache"]))
            near.sendall(b"two")
            felt(network, "cut>", 1)
            near.sendall(b"three")
            far.settimeout(0.1)
            with pytest.raises(TimeoutError):
                far.recv(100)
            far.settimeout(BOUND)
            network.do(network.faults.end, "cut>", "cut<")
            network.do(ways.end)
            heard = b""
            while heard != b"twothree":
                heard += far.recv(100)
            far.close()
            assert near.recv(100) == b""


def test_a_fault_that_changed_nothing_is_told():
    faults = Faults(Random(1))
    faults.begin(*both_directions("cut", Kind.CUT, ["a"], ["b"]))
    assert faults.delays("a", "b") == ()
    faults.end("cut>", "cut<")
    assert faults.without_effect() == ["cut<"]


def test_what_a_connection_carries_is_neither_lost_nor_doubled():
    faults = Faults(Random(1))
    faults.begin(
        Fault("loss", Kind.LOSE, frozenset("a"), frozenset("b"), span=1000),
        Fault("twice", Kind.DOUBLE, frozenset("a"), frozenset("b"), span=1000),
    )
    assert faults.delays("a", "b") == ()
    (delay,) = faults.delays("a", "b", ordered=True)
    assert 0 <= delay < 1000 and faults.effects == {"loss": 2, "twice": 0}


def test_a_cut_drops_one_way_and_what_is_held_comes_at_its_end():
    faults = Faults(Random(1))
    faults.begin(Fault("cut", Kind.CUT, frozenset("a"), frozenset("b")))
    assert (faults.delays("a", "b"), faults.delays("b", "a")) == ((), (0,))
    faults.begin(Fault("slow", Kind.HOLD, frozenset("b"), frozenset("a")))
    assert (faults.delays("b", "a", "first"), faults.delays("b", "a", "second")) == ((), ())
    assert faults.end("slow") == [("b", "a", "first"), ("b", "a", "second")] and faults.end("cut") == []
    assert dict(faults.effects) == {"cut": 1, "slow": 2}
