"""The output that Twisted holds for a connection: how much it is, and writing it without delay.

Twisted writes to a socket an iteration of the event loop after it was given the bytes.
"""

from __future__ import annotations

from twisted.internet.interfaces import ITransport
from twisted.internet.tcp import Connection as TcpConnection


def unsent_bytes(transport: ITransport | None) -> int:
    """Return how many bytes the kernel has not accepted yet; 0 if that is unknown, as with TLS."""
    if not isinstance(transport, TcpConnection):
        return 0
    return buffered_bytes(transport)


def buffered_bytes(transport: TcpConnection) -> int:
    """Return how many bytes Twisted holds for a plain TCP connection."""
    return len(transport.dataBuffer) - transport.offset + sum(map(len, transport._tempDataBuffer))


def flush(transport: ITransport | None) -> None:
    """Write what the kernel accepts now; it reports errors in the next iteration.

    One call of the transport's own method writes a part of a large answer only. A transport that closes once
    all is written is left to the reactor, which alone can close it.
    """
    if not isinstance(transport, TcpConnection) or transport.disconnecting:
        return
    unsent = unsent_bytes(transport)
    while unsent:
        transport.doWrite()
        remaining = unsent_bytes(transport)
        if remaining == unsent:
            return
        unsent = remaining
