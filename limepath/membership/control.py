"""The control socket: a running instance tells its view, one JSON object for one line asked, on a local
socket.
"""

import json
import os
import socket
import stat

from twisted.internet.protocol import Factory
from twisted.protocols.basic import LineReceiver
from twisted.protocols.policies import TimeoutMixin

MAX_LINE_BYTES, TIMEOUT_S, MAX_CONNECTIONS = 4096, 5, 16


class NoAnswerError(Exception):
    """No instance answers there, or not in a way that can be read."""


class ControlConnection(LineReceiver, TimeoutMixin):
    delimiter, MAX_LENGTH = b"\n", MAX_LINE_BYTES

    def connectionMade(self):
        self.factory.callers += 1
        self.setTimeout(TIMEOUT_S)
        if self.factory.callers > MAX_CONNECTIONS:
            self.say({"error": "too many callers"})
            self.transport.loseConnection()

    def connectionLost(self, reason):
        self.factory.callers -= 1
        self.setTimeout(None)

    def lineReceived(self, line):
        self.resetTimeout()
        try:
            asked = json.loads(line)
            what = asked["show"]
            told = self.factory.shown[what]()
        except (ValueError, TypeError, KeyError, RecursionError):
            known = ", ".join(sorted(self.factory.shown))
            self.say({"error": f'not understood; ask as {{"show": WHAT}}, with one of: {known}'})
            return
        self.say(told)

    def rawDataReceived(self, data):
        self.transport.loseConnection()

    def lineLengthExceeded(self, line):
        self.say({"error": f"a line of over {MAX_LINE_BYTES} bytes"})
        self.transport.loseConnection()

    def say(self, told):
        self.sendLine(json.dumps(told).encode())


def listen(reactor, path, shown):
    """Answer at `path`; `shown` maps what may be asked to a function that gives plain values. OSError if it
    can't be.
    """
    if os.path.exists(path) and stat.S_ISSOCK(os.stat(path).st_mode):
        with socket.socket(socket.AF_UNIX) as old:
            try:
                old.connect(path)
            except OSError:
                os.unlink(path)  # of an instance that was killed
    factory = Factory.forProtocol(ControlConnection)
    factory.shown, factory.callers = shown, 0
    return reactor.listenUNIX(path, factory, mode=0o600)


def ask(path, what, timeout=TIMEOUT_S):
    """Ask a running instance; give what it tells."""
    try:
        with socket.socket(socket.AF_UNIX) as line:
            line.settimeout(timeout)
            line.connect(path)
            line.sendall(json.dumps({"show": what}).encode() + b"\n")
            told = line.makefile("rb").readline()
    except OSError as error:
        raise NoAnswerError(f"{path}: {error.strerror or error}") from None
    try:
        told = json.loads(told)
    except ValueError:
        raise NoAnswerError(f"{path}: no answer that can be read") from None
    if "error" in told:
        raise NoAnswerError(f"{path}: {told['error']}")
    return told
