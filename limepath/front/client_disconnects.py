"""Detects client disconnects, and the age of received data, by TCP_INFO (tcp(7)) without reading the socket.

`recv` does not report a FIN behind unread bytes, and a paused transport does not call `recv`. The state of
the TCP connection shows the FIN in both cases. A query costs one system call.
"""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limepath.log import Log

ENDED_STATES = frozenset((6, 7, 8, 9, 11))  # tcp_states.h: TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK, CLOSING
LAST_DATA_OFFSET = 52  # of tcpi_last_data_recv (milliseconds) in struct tcp_info of linux/tcp.h, bytes
LAST_PACKET_OFFSET = 56  # of tcpi_last_ack_recv, likewise
RESOLUTION = 10_000  # microseconds; the kernel counts these times in ticks, of 10 ms at the most
TOLERANCE = 100_000  # microseconds; an attempt that starts later after the client's disconnect is an error


def has_ended(connected: socket.socket) -> bool:
    """Whether the peer of this socket has closed, half-closed or reset the connection."""
    try:
        state = connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:  # no TCP_INFO: the disconnect is noticed when the socket is read
        return False
    return bool(state) and state[0] in ENDED_STATES


def since_last_packet(connected: socket.socket) -> int:
    """Return the microseconds since the kernel received the last packet, 0 if unknown.

    If a FIN is unread, it was the last packet.
    """
    return _milliseconds_at(connected, LAST_PACKET_OFFSET) * 1000


def since_last_data(connected: socket.socket) -> int:
    """Return the microseconds since the kernel received the last data, 0 if unknown.

    The data may have waited that long to be read.
    """
    return _milliseconds_at(connected, LAST_DATA_OFFSET) * 1000


def _milliseconds_at(connected: socket.socket, offset: int) -> int:
    """Return the number at this offset of the connection's TCP_INFO, 0 if the kernel does not provide it."""
    try:
        info = connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, offset + 4)
    except OSError:
        return 0
    if len(info) < offset + 4:
        return 0
    return struct.unpack_from("I", info, offset)[0]


class DisconnectCounter:
    """Counts attempts for clients that had already disconnected.

    Attributes:
        prevented: attempts that did not start because the disconnect was noticed.
        begun: attempts that started because it was not.
        max_delay: the longest time from a disconnect to the start of an attempt, microseconds.
    """

    def __init__(self, log: Log):
        self.log = log
        self.prevented = 0
        self.begun = 0
        self.max_delay = 0

    def attempt_prevented(self, number: int, delay: int) -> None:
        """Count attempt `number` (from 0), whose client disconnected `delay` microseconds ago."""
        self.prevented += 1
        self._log_late_attempt(number, delay, begun=False)

    def disconnect_read(self, attempt_start_times: list[int], disconnected_at: int) -> None:
        """Count the attempts that started after the disconnect; times are monotonic microseconds."""
        for number, started_at in enumerate(attempt_start_times):
            delay = started_at - disconnected_at
            if delay > RESOLUTION:
                self.begun += 1
                self.max_delay = max(self.max_delay, delay)
                self._log_late_attempt(number, delay, begun=True)

    def _log_late_attempt(self, number: int, delay: int, begun: bool) -> None:
        if delay > TOLERANCE:
            attempt = "further" if number else "first"
            self.log.info(
                "client-gone", attempt=attempt, late_ms=delay // 1000, begun="yes" if begun else "no"
            )
