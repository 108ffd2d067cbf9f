"""The control socket: a local (Unix) socket on which a running instance returns its state as JSON.

A request is {"show": VIEW} and a line feed. The answer is one JSON object on a line; an object with the key
"error" describes a failure.
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
"""Functions that return the contents of a view as values that JSON can encode, by name of the view."""


class ControlSocketError(Exception):
    """A request to a control socket failed, or its answer is invalid or an error; the text names the path."""


class ControlConnection(LineReceiver, TimeoutMixin):
    """One client of the control socket."""

    factory: "ControlFactory"
    transport: Any
    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE_BYTES

    def connectionMade(self) -> None:
        """Count the connection, and close it if too many are open."""
        self.factory.connections += 1
        self.setTimeout(TIMEOUT_S)
        if self.factory.connections > MAX_CONNECTIONS:
            self.send_answer({"error": "too many connections"})
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Subtract the connection from the count."""
        self.factory.connections -= 1
        self.setTimeout(None)

    def lineReceived(self, line: bytes) -> None:
        """Answer a request with its view or an error."""
        self.resetTimeout()
        try:
            request = json.loads(line)
            answer = self.factory.views[request["show"]]()
        except (ValueError, TypeError, KeyError, RecursionError):
            known = ", ".join(sorted(self.factory.views))
            self.send_answer({"error": f'invalid request; expected {{"show": VIEW}} with one of: {known}'})
            return
        self.send_answer(answer)

    def rawDataReceived(self, data: bytes) -> None:
        """Close the connection, because only lines are expected."""
        self.transport.loseConnection()

    def lineLengthExceeded(self, line: bytes) -> None:
        """Send an error, and close the connection."""
        self.send_answer({"error": f"the request line is longer than {MAX_LINE_BYTES} bytes"})
        self.transport.loseConnection()

    def send_answer(self, answer: Any) -> None:
        """Send an answer as one line of JSON."""
        self.sendLine(json.dumps(answer).encode())


class ControlFactory(Factory):
    """Creates a ControlConnection for each client."""

    protocol = ControlConnection  # type: ignore[assignment]

    def __init__(self, views: Views) -> None:
        self.views = views
        self.connections = 0
        """Number of open connections."""


def listen(reactor: Any, path: str, views: Views) -> Any:
    """Listen at `path`, and return Twisted's listening port; raise CannotListenError or OSError.

    Views that are added to `views` later are available too.
    """
    _remove_stale_socket(path)
    return reactor.listenUNIX(path, ControlFactory(views), mode=SOCKET_MODE)


def _remove_stale_socket(path: str) -> None:
    """Remove the socket file of a killed instance, which no process listens on."""
    if not (os.path.exists(path) and stat.S_ISSOCK(os.stat(path).st_mode)):
        return
    with socket.socket(socket.AF_UNIX) as probe:
        try:
            probe.connect(path)
        except OSError:
            os.unlink(path)


def request_view(path: str, view: str, timeout: float = TIMEOUT_S) -> dict[str, Any]:
    """Return a view of a running instance; raise ControlSocketError. `timeout` is in seconds."""
    line = _exchange(path, {"show": view}, timeout)
    try:
        answer = json.loads(line)
    except ValueError:
        raise ControlSocketError(f"{path}: the answer is not valid JSON") from None
    if "error" in answer:
        raise ControlSocketError(f"{path}: {answer['error']}")
    return answer


def _exchange(path: str, request: dict[str, str], timeout: float) -> bytes:
    """Send a request, and return the line of the answer."""
    try:
        with socket.socket(socket.AF_UNIX) as connection:
            connection.settimeout(timeout)
            connection.connect(path)
            connection.sendall(json.dumps(request).encode() + b"\n")
            return connection.makefile("rb").readline()
    except OSError as error:
        raise ControlSocketError(f"{path}: {error.strerror or error}") from None
