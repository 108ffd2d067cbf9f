"""Incremental parser of server-sent events (HTML standard, 9.2)."""

from typing import NamedTuple

from limepath.front.watch_error import WatchError


class ServerSentEvent(NamedTuple):
    """One event: the stream's last event id, and the data lines joined by line feeds."""

    id: str
    data: str


class EventReader:
    """Parses events from a stream that may be split at any byte.

    `partial_line` holds the bytes of an incomplete line, `data` the data lines of an incomplete event.
    """

    def __init__(self, max_size: int):
        self.max_size = max_size  # bytes of an incomplete line; characters of the data of an event
        self.partial_line = b""
        self.id = ""
        self.data: list[str] = []
        # The last chunk ended in CR, so that a leading LF belongs to the same line end.
        self.skip_line_feed = False

    def feed(self, data: bytes) -> list[ServerSentEvent]:
        """Return the events that `data` completes; raises WatchError if a line or an event is too long."""
        if not data:
            return []
        events = []
        for line in self._lines(data):
            if line:
                self._read_field(line)
                continue
            if self.data:
                events.append(ServerSentEvent(self.id, "\n".join(self.data)))
            self.data = []
        return events

    def _lines(self, data: bytes) -> list[str]:
        """Return the lines that `data` completes; a line ends in CR, LF or CR LF."""
        if self.skip_line_feed:
            data = data.removeprefix(b"\n")
        self.skip_line_feed = data.endswith(b"\r")
        data = data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        if len(self.partial_line) > self.max_size:
            raise WatchError(f"line exceeds the limit of {self.max_size} bytes")
        return [line.decode("utf-8", "replace") for line in lines]

    def _read_field(self, line: str) -> None:
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            self.id = value
        elif name == "data":
            self.data.append(value)
            if sum(map(len, self.data)) > self.max_size:
                raise WatchError(f"event data exceeds the limit of {self.max_size} characters")
