"""Attempts and probes: their start times, deadlines, and progress of sending."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limepath.front.clock import clock
from limepath.interface.commands import ForwardRequest

if TYPE_CHECKING:
    from limepath.front.client_request import ClientRequest
    from limepath.front.server_connection import ServerConnection


class Attempt:
    """One attempt of a request at a server. Times are in microseconds of the front's clock."""

    __slots__ = (
        "request",
        "number",
        "command",
        "started_at",
        "deadline",
        "connection",
        "tag",
        "timer",
        "end_offset",
        "source_name",
        "send_by",
    )

    def __init__(
        self,
        request: ClientRequest,
        command: ForwardRequest,
        server_names: dict[int, bytes],
        decided_at: int,
        max_wait: int,
    ):
        self.request = request
        self.command = command
        self.number = request.attempt_count
        self.tag = request.transaction_id  # the server repeats it in its answer
        self.source_name = b"" if command.source == command.endpoint else server_names[command.source]
        self.started_at = clock()
        self.connection: ServerConnection | None = None  # None while queued
        self.timer = None
        self.end_offset = 0  # where its last byte ends, in the bytes ever queued on its connection
        # The time between the decision and the send is limited, wherever the attempt spends it.
        self.send_by = decided_at + min(max_wait, command.send_within or max_wait)
        self.deadline = request.deadline
        if command.time_limit:
            self.deadline = min(request.deadline, self.started_at + command.time_limit)


class Probe:
    """One health check of a server. Times are in microseconds of the front's clock."""

    __slots__ = ("server", "started_at", "tag", "timer", "connection", "end_offset", "send_by")

    def __init__(self, server: int, tag: bytes, max_wait: int):
        self.server = server
        self.tag = tag
        self.started_at = clock()
        self.timer = None
        self.connection: ServerConnection | None = None
        self.end_offset = 0
        self.send_by = self.started_at + max_wait
