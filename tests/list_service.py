"""Runs the testbed's stand-in list service in a separate process, with one port per front.

`python -m tests.list_service FRONTS` prints the ports as one JSON line, then reads one event per line from
standard input and answers each with its number. It exits at the end of its input.
"""

import json
import sys

from twisted.internet import reactor, stdio
from twisted.internet.task import LoopingCall
from twisted.protocols.basic import LineReceiver

from limepath.testbed.stand_ins import StandInListService

COMMENT_INTERVAL = 0.2  # seconds between two keep-alive comments of the service


class EventInput(LineReceiver):
    """Adds each line of standard input to the list service as an event."""

    delimiter = b"\n"
    MAX_LENGTH = 1 << 20

    def __init__(self, service):
        self.service = service

    def connectionMade(self):
        self.sendLine(json.dumps(self.service.port_of).encode())

    def lineReceived(self, line):
        self.sendLine(b"%d" % self.service.add(json.loads(line)))

    def connectionLost(self, reason):
        reactor.stop()


if __name__ == "__main__":
    service = StandInListService(reactor, int(sys.argv[1]), lambda who: "sur")
    stdio.StandardIO(EventInput(service))
    LoopingCall(service.send_keepalives).start(COMMENT_INTERVAL)
    reactor.run()
