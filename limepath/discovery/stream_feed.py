"""What a front's stream of the list service reports to the discovery logic, and for which call.

The stream itself is the front's (`front.event_stream.EventStream`).
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from limepath.discovery.interface import StreamActive, StreamClosed, StreamEventReceived, StreamOpened
from limepath.front.event_stream import EventStream

if TYPE_CHECKING:
    from limepath.discovery.host import DiscoveryChangeLog


class WatchStream(EventStream):
    """A stream that reports when the service has accepted the call, and each sign of life after that."""

    def dataReceived(self, data: bytes) -> None:
        """Hand the bytes to the parser, then report what they were."""
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
    """What one stream knows of its change log, so that a former call's bytes reach nobody.

    `last_seq`, `reconnects_without_event`, `host`, `limits`, `log`, `stream` and the handlers are what an
    `EventStream` of the front uses.
    """

    def __init__(self, changes: DiscoveryChangeLog, serial: int, last: int):
        self.changes = changes
        self.serial = serial
        self.last_seq = last
        self.reconnects_without_event = 0
        self.event_count: int = 0
        self.host = changes.host
        self.limits = changes.limits
        self.log = changes.log

    @property
    def stream(self) -> EventStream | None:
        """The stream of the change log."""
        return self.changes.stream

    @stream.setter
    def stream(self, stream: EventStream | None) -> None:
        """Set the stream, unless a later call has begun."""
        if self.serial == self.changes.serial:
            self.changes.stream = stream

    def handle_answer(self, stream: EventStream) -> None:
        """Nothing to let go of: there is one call at a time."""

    def handle_event(self, number: str, text: str) -> None:
        """A watch event has arrived."""
        self.event_count += 1
        self.submit(StreamEventReceived(text, number))

    def submit(self, *events: Any) -> None:
        """Hand events to the logic, unless a later call has begun."""
        if self.serial == self.changes.serial:
            self.changes.submit(*events)

    def handle_disconnect(self, stream: EventStream) -> None:
        """The connection has ended."""
        if self.changes.stream is stream:
            self.changes.stream = None
        self.submit(StreamClosed("the stream ended"))
