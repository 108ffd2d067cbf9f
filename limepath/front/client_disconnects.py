"""Client disconnects that are not read yet, and requests that waited unread, by TCP_INFO (tcp(7)).

Bytes that wait unread hide a FIN from `recv`, and a transport that is not read sees none; the state of the
TCP connection tells it in either case. Asking costs one system call and reads nothing.
"""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limepath.log import Log

ENDED_STATES = frozenset((6, 7, 8, 9, 11))  # tcp_states.h: TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK, CLOSING
LAST_DATA_OFFSET = 52  # where struct tcp_info of linux/tcp.h keeps tcpi_last_data_recv, milliseconds
LAST_PACKET_OFFSET = 56  # and tcpi_last_ack_recv
RESOLUTION = 10_000  # microseconds by which the system's own times are coarse (its tick, rounded up)
TOLERANCE = 100_000  # microseconds after a disconnect from which an attempt for that client is a fault


def has_ended(connected: socket.socket) -> bool:
    """Whether the other side of this socket has closed, half closed or reset the connection."""
    try:
        state = connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:  # the system does not tell: the disconnect shows when it is read
        return False
    return bool(state) and state[0] in ENDED_STATES


def since_last_packet(connected: socket.socket) -> int:
    """Microseconds since the system got the last packet, 0 where it does not tell.

    With a FIN unread, that was the FIN.
    """
    return _milliseconds_at(connected, LAST_PACKET_OFFSET) * 1000


def since_last_data(connected: socket.socket) -> int:
    """Microseconds since the system got the last bytes, 0 where it does not tell.

    For so long they may have waited to be read.
    """
    return _milliseconds_at(connected, LAST_DATA_OFFSET) * 1000


def _milliseconds_at(connected: socket.socket, offset: int) -> int:
    """The number at this byte of the connection's TCP_INFO, 0 where the system does not tell it."""
    try:
        info = connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, offset + 4)
    except OSError:
        return 0
    if len(info) < offset + 4:
        return 0
    return struct.unpack_from("I", info, offset)[0]


class DisconnectCounter:
    """Counts attempts for clients that had disconnected: those prevented, and those that began."""

    def __init__(self, log: Log):
        self.log = log
        self.prevented = 0
        self.begun = 0
        self.latest = 0  # microseconds after the disconnect at which the latest of those began

    def attempt_prevented(self, number: int, delay: int) -> None:
        """Attempt `number` (0 the first) does not begin: its client went `delay` microseconds ago."""
        self.prevented += 1
        self._log_late_attempt(number, delay, begun=False)

    def disconnect_read(self, attempt_start_times: list[int], disconnected_at: int) -> None:
        """A client's FIN was read; the times are on the front's clock."""
        for number, started_at in enumerate(attempt_start_times):
            delay = started_at - disconnected_at
            if delay > RESOLUTION:
                self.begun += 1
                self.latest = max(self.latest, delay)
                self._log_late_attempt(number, delay, begun=True)

    def _log_late_attempt(self, number: int, delay: int, begun: bool) -> None:
        if delay > TOLERANCE:
            attempt = "further" if number else "first"
            self.log.info(
                "client-gone", attempt=attempt, late_ms=delay // 1000, begun="yes" if begun else "no"
            )
