"""Tests of `limepath.membership.host`: the datagram socket during a flood, and reloads of its key file."""

import os
from collections.abc import Callable
from pathlib import Path

import pytest
from twisted.internet.task import Clock

from limepath.log import Log
from limepath.membership.guard import parse_keys
from limepath.membership.host import MAX_REJECTED, REJECTION_INTERVAL, DatagramSocket
from limepath.membership.interface import MESSAGES

OLD_KEY = "ab" * 32
NEW_KEY = "cd" * 32
ADDRESS = ("127.0.0.1", 1)
NOISE = b"noise" * 10
REJECTION_INTERVAL_S = REJECTION_INTERVAL / 1e6


class RecordingPort:
    """Fake of Twisted's listening port that records calls to stop and start reading."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def stopReading(self) -> None:
        self.calls.append("stop")

    def startReading(self) -> None:
        self.calls.append("start")


@pytest.fixture
def clock() -> Clock:
    """Return the clock that replaces the reactor."""
    return Clock()


@pytest.fixture
def key_path(tmp_path: Path) -> Path:
    """Return the path of a key file with the old key."""
    path = tmp_path / "keys"
    path.write_text(OLD_KEY)
    path.chmod(0o600)
    return path


@pytest.fixture
def datagram_socket(clock: Clock, key_path: Path) -> DatagramSocket:
    """Return a datagram socket on a recording port."""
    socket = DatagramSocket(clock, ADDRESS, str(key_path), MESSAGES, Log("n1", 0, 1), lambda event: None)
    socket.port = RecordingPort()
    return socket


@pytest.fixture
def flood(datagram_socket: DatagramSocket) -> Callable[[int], None]:
    """Return a function that delivers the given number of invalid datagrams."""

    def send(count: int) -> None:
        for _ in range(count):
            datagram_socket.datagramReceived(NOISE, ("127.0.0.1", 9))

    return send


def test_the_socket_is_not_read_during_a_flood_until_the_interval_ends(clock, datagram_socket, flood) -> None:
    calls = datagram_socket.port.calls
    flood(MAX_REJECTED - 1)
    clock.advance(REJECTION_INTERVAL_S)
    assert calls == []  # fewer than the limit
    flood(MAX_REJECTED + 300)
    assert calls == ["stop"]
    clock.advance(REJECTION_INTERVAL_S)
    assert calls == ["stop", "start"]
    assert datagram_socket.guard.counts["noise"] == 2 * MAX_REJECTED + 299


def test_keys_are_reloaded_from_a_valid_file_and_kept_if_the_file_is_invalid(
    datagram_socket: DatagramSocket, key_path: Path
) -> None:
    both = NEW_KEY + "\n" + OLD_KEY
    for text, mode, expected in (("noise", 0o600, OLD_KEY), (both, 0o644, OLD_KEY), (both, 0o600, both)):
        key_path.write_text(text)
        key_path.chmod(mode)
        os.utime(key_path, ns=(len(text) + mode,) * 2)
        datagram_socket.reload_keys()
        assert datagram_socket.guard.keys == parse_keys(expected)
