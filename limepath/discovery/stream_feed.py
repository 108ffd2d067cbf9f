"""What a front's stream of the list service reports to the discovery logic, and for which call.

The stream itself is the front's (`front.changelog.Stream`).
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from limepath.discovery.interface import StreamActive, StreamClosed, StreamEventReceived, StreamOpened
from limepath.front.changelog import Stream

if TYPE_CHECKING:
    from limepath.discovery.host import DiscoveryChangeLog


class WatchStream(Stream):
    """A stream that reports when the service has accepted the call, and each sign of life after that."""

    def dataReceived(self, data: bytes) -> None:
        """Hand the bytes to the parser, then report what they were."""
        had_body = self.body
        events = self.feed.event_count
        super().dataReceived(data)
        if self.body and not had_body:
            self.feed.submit(StreamOpened())
        elif self.body and self.feed.event_count == events and not (self.reader.rest or self.reader.data):
            self.feed.submit(StreamActive())


class StreamFeed:
    """What one stream knows of its change log, so that a former call's bytes reach nobody.

    `last`, `pauses`, `host`, `limits`, `log`, `stream`, `answered`, `event` and `lost` are what a `Stream` of
    the front uses.
    """

    def __init__(self, changes: DiscoveryChangeLog, serial: int, last: int):
        self.changes = changes
        self.serial = serial
        self.last = last
        self.pauses = 0
        self.event_count: int = 0
        self.host = changes.host
        self.limits = changes.limits
        self.log = changes.log

    @property
    def stream(self) -> Stream | None:
        """The stream of the change log."""
        return self.changes.stream

    @stream.setter
    def stream(self, stream: Stream | None) -> None:
        """Set the stream, unless a later call has begun."""
        if self.serial == self.changes.serial:
            self.changes.stream = stream

    def answered(self, stream: Stream) -> None:
        """Nothing to let go of: there is one call at a time."""

    def event(self, number: str, text: str) -> None:
        """A watch event has arrived."""
        self.event_count += 1
        self.submit(StreamEventReceived(text, number))

    def submit(self, *events: Any) -> None:
        """Hand events to the logic, unless a later call has begun."""
        if self.serial == self.changes.serial:
            self.changes.submit(*events)

    def lost(self, stream: Stream) -> None:
        """The connection has ended."""
        if self.changes.stream is stream:
            self.changes.stream = None
        self.submit(StreamClosed("the stream ended"))
