"""The states of a client connection; docs/front.md lists what the front may do in each."""

from enum import Enum


class ConnectionState(Enum):
    """State of a client connection."""

    IDLE = 0  # new, or kept open after an answer
    READING = 1  # a part of a request has arrived
    AWAITING_ANSWER = 2  # a request is open
    LINGERING = 3  # buffered output is being sent, followed by the FIN; input is discarded
    HALF_CLOSED = 4  # the kernel has all output and the FIN, and may still send them; input is discarded
    DELIVERED = 5  # the client's machine has acknowledged both; input is discarded until the client closes
    CLOSED = 6


CLOSING_STATES = (ConnectionState.LINGERING, ConnectionState.HALF_CLOSED, ConnectionState.DELIVERED)
