"""The control socket: a running instance shows its state, one JSON object for each line that asks for it.

A request is {"show": VIEW} and a line feed, on a local (Unix) socket. An answer with the key "error" tells
what was wrong.
"""

import json
import os
import socket
import stat
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet.protocol import Factory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.protocols.policies import TimeoutMixin
from twisted.python.failure import Failure

MAX_LINE_BYTES = 4096
TIMEOUT_S = 5
MAX_CONNECTIONS = 16
SOCKET_MODE = 0o600

Views = Mapping[str, Callable[[], Any]]
"""What can be shown, by name: functions that return plain values."""


class NoAnswerError(Exception):
    """No instance answers at a control socket, or not in a way that can be read; the text names the path."""


class ControlConnection(LineReceiver, TimeoutMixin):
    """One client of the control socket."""

    factory: "ControlFactory"
    transport: Any
    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE_BYTES

    def connectionMade(self) -> None:
        """Count the connection; close it if there are too many."""
        self.factory.connections += 1
        self.setTimeout(TIMEOUT_S)
        if self.factory.connections > MAX_CONNECTIONS:
            self.send_answer({"error": "too many callers"})
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Count it no more."""
        self.factory.connections -= 1
        self.setTimeout(None)

    def lineReceived(self, line: bytes) -> None:
        """Answer a request."""
        self.resetTimeout()
        try:
            request = json.loads(line)
            answer = self.factory.views[request["show"]]()
        except (ValueError, TypeError, KeyError, RecursionError):
            known = ", ".join(sorted(self.factory.views))
            self.send_answer({"error": f'not understood; ask as {{"show": WHAT}}, with one of: {known}'})
            return
        self.send_answer(answer)

    def rawDataReceived(self, data: bytes) -> None:
        """Close: only lines are expected."""
        self.transport.loseConnection()

    def lineLengthExceeded(self, line: bytes) -> None:
        """Close, after an error answer."""
        self.send_answer({"error": f"a line of over {MAX_LINE_BYTES} bytes"})
        self.transport.loseConnection()

    def send_answer(self, answer: Any) -> None:
        """Send plain values as one line of JSON."""
        self.sendLine(json.dumps(answer).encode())


class ControlFactory(Factory):
    """Makes a ControlConnection for each client."""

    protocol = ControlConnection  # type: ignore[assignment]

    def __init__(self, views: Views) -> None:
        self.views = views
        self.connections = 0
        """Open connections."""


def listen(reactor: Any, path: str, views: Views) -> Any:
    """Answer at `path`, and return twisted's listening port; raise CannotListenError or OSError.

    `views` may grow later.
    """
    _remove_stale_socket(path)
    return reactor.listenUNIX(path, ControlFactory(views), mode=SOCKET_MODE)


def _remove_stale_socket(path: str) -> None:
    """Remove the socket of an instance that was killed: nobody accepts there."""
    if not (os.path.exists(path) and stat.S_ISSOCK(os.stat(path).st_mode)):
        return
    with socket.socket(socket.AF_UNIX) as probe:
        try:
            probe.connect(path)
        except OSError:
            os.unlink(path)


def ask(path: str, view: str, timeout: float = TIMEOUT_S) -> dict[str, Any]:
    """Return what a running instance shows under `view`; raise NoAnswerError. `timeout` is in seconds."""
    line = _exchange(path, {"show": view}, timeout)
    try:
        answer = json.loads(line)
    except ValueError:
        raise NoAnswerError(f"{path}: no answer that can be read") from None
    if "error" in answer:
        raise NoAnswerError(f"{path}: {answer['error']}")
    return answer


def _exchange(path: str, request: dict[str, str], timeout: float) -> bytes:
    """Send a request, and return the line that answers it."""
    try:
        with socket.socket(socket.AF_UNIX) as connection:
            connection.settimeout(timeout)
            connection.connect(path)
            connection.sendall(json.dumps(request).encode() + b"\n")
            return connection.makefile("rb").readline()
    except OSError as error:
        raise NoAnswerError(f"{path}: {error.strerror or error}") from None
