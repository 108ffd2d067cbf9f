"""The testbed's stand-in list service in a process of its own, one port per front.

`python -m tests.list_service FRONTS` prints the ports as one JSON line, then takes one event a line on
standard input and answers with its number. The end of its input ends it.
"""

import json
import sys

from twisted.internet import reactor, stdio
from twisted.internet.task import LoopingCall
from twisted.protocols.basic import LineReceiver

from limepath.testbed.stand_ins import StandInListService

COMMENT_INTERVAL = 0.2  # seconds in which the service shows that it is alive


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
    LoopingCall(service.beat).start(COMMENT_INTERVAL)
    reactor.run()
