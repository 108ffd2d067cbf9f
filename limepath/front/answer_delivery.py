"""Tells whether a client has received all that the front wrote to its connection.

Bytes that the kernel has accepted are not delivered yet: on a slow link most of an answer may lie in its send
queue, and a reset discards that. Only this module decides what counts as delivered.
"""

from __future__ import annotations

import fcntl
import struct
import termios

from twisted.internet.interfaces import ITransport
from twisted.internet.tcp import Connection as TcpConnection

QUEUE_SIZE = struct.Struct("i")


def is_delivered(transport: ITransport | None) -> bool:
    """Whether the client's machine has acknowledged all output, and the FIN if it was sent.

    False if the kernel does not tell. The queue of a socket (SIOCOUTQ, tcp(7)) holds all bytes that were not
    acknowledged; a FIN counts as one.
    """
    if not isinstance(transport, TcpConnection) or transport.dataBuffer or transport._tempDataBuffer:
        return False
    try:
        answer = fcntl.ioctl(transport.fileno(), termios.TIOCOUTQ, QUEUE_SIZE.pack(0))
    except (OSError, ValueError):  # not supported, or already closed
        return False
    return QUEUE_SIZE.unpack(answer) == (0,)
