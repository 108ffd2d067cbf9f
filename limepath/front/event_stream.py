"""A connection to the list service: requests the stream of watch events and reads the events."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from twisted.internet.protocol import Protocol

from limepath.front.chunked_coding import ChunkedDecoder, transfer_codings
from limepath.front.clock import clock
from limepath.front.server_sent_events import EventReader
from limepath.front.watch_error import WatchError

if TYPE_CHECKING:
    from limepath.front.endpoint_watch import EndpointWatch


class StreamState(Enum):
    """Which part of the response is being read."""

    READING_HEAD = 0
    READING_EVENTS = 1


class EventStream(Protocol):
    """A connection to the list service; reports the response, the events and the end to `watch`."""

    def __init__(self, watch: EndpointWatch):
        self.watch = watch
        self.state = StreamState.READING_HEAD
        self.head = b""  # received bytes of an incomplete response head
        self.decoder: ChunkedDecoder | None = None
        self.reader = EventReader(watch.limits.event)
        self.last_read_at = clock()

    @property
    def is_accepted(self) -> bool:
        """Whether the service has accepted the request with status 200."""
        return self.state is StreamState.READING_EVENTS

    def connectionMade(self):
        self.watch.stream = self
        self.transport.writeSequence(
            (
                b"GET /changes HTTP/1.1\r\nHost: ",
                self.watch.host.encode(),
                b"\r\nAccept: text/event-stream\r\nLast-Event-ID: %d\r\n\r\n" % self.watch.last_seq,
            )
        )

    def dataReceived(self, data):
        self.last_read_at = clock()
        try:
            if not self.is_accepted:
                data = self._read_head(data)
            if self.is_accepted:
                self._read_events(data)
        except WatchError as error:
            self.watch.log.info("changelog", f"{error}; reconnecting")
            self.transport.abortConnection()

    def _read_head(self, data: bytes) -> bytes:
        """Read the response head, and return the bytes that follow it."""
        self.head += data
        head, end, rest = self.head.partition(b"\r\n\r\n")
        if not end:
            if len(self.head) > self.watch.limits.head:
                raise WatchError(f"response head exceeds the limit of {self.watch.limits.head} bytes")
            return b""
        status = head.split(b"\r\n")[0].split(b" ")
        if len(status) < 2 or status[1] != b"200":
            raise WatchError(f"response {head[:40]!r}; expected status 200")
        self.state = StreamState.READING_EVENTS
        self.watch.handle_answer(self)
        if b"chunked" in transfer_codings(head):
            self.decoder = ChunkedDecoder()
        return rest

    def _read_events(self, data: bytes) -> None:
        if self.decoder:
            data = self.decoder.feed(data)
        for event in self.reader.feed(data):
            self.watch.handle_event(event.id, event.data)
            self.watch.reconnects_without_event = 0

    def connectionLost(self, reason):
        self.watch.handle_disconnect(self)
