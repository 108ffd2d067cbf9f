"""Connects a front's stream of the list service to the discovery logic.

`front.event_stream.EventStream` implements the stream itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from limepath.discovery.interface import StreamActive, StreamClosed, StreamEventReceived, StreamOpened
from limepath.front.event_stream import EventStream

if TYPE_CHECKING:
    from limepath.discovery.host import DiscoveryChangeLog


class WatchStream(EventStream):
    """A stream that also reports the acceptance of the call, and data other than complete events."""

    def dataReceived(self, data: bytes) -> None:
        """Pass the bytes to the parser, then report the acceptance of the call or the activity."""
        was_accepted = self.is_accepted
        events = self.watch.event_count
        super().dataReceived(data)
        if self.is_accepted and not was_accepted:
            self.watch.submit(StreamOpened())
        elif (
            self.is_accepted
            and self.watch.event_count == events
            and not (self.reader.partial_line or self.reader.data)
        ):
            self.watch.submit(StreamActive())


class StreamFeed:
    """Passes the events of one stream to its change log, and drops them once a later call has started.

    `last_seq`, `reconnects_without_event`, `host`, `limits`, `log`, `stream` and the handlers are what an
    `EventStream` of the front uses.
    """

    def __init__(self, change_log: DiscoveryChangeLog, serial: int, last: int):
        self.change_log = change_log
        self.serial = serial
        self.last_seq = last
        self.reconnects_without_event = 0
        self.event_count: int = 0
        self.host = change_log.host
        self.limits = change_log.limits
        self.log = change_log.log

    @property
    def stream(self) -> EventStream | None:
        """The stream of the change log."""
        return self.change_log.stream

    @stream.setter
    def stream(self, stream: EventStream | None) -> None:
        """Set the stream, unless a later call has started."""
        if self.serial == self.change_log.serial:
            self.change_log.stream = stream

    def handle_answer(self, stream: EventStream) -> None:
        """Do nothing: there is only one call at a time, so no other call must be closed."""

    def handle_event(self, number: str, text: str) -> None:
        """Count a watch event and report it."""
        self.event_count += 1
        self.submit(StreamEventReceived(text, number))

    def submit(self, *events: Any) -> None:
        """Pass events to the logic, unless a later call has started."""
        if self.serial == self.change_log.serial:
            self.change_log.submit(*events)

    def handle_disconnect(self, stream: EventStream) -> None:
        """Report the end of the connection."""
        if self.change_log.stream is stream:
            self.change_log.stream = None
        self.submit(StreamClosed("the stream ended"))
