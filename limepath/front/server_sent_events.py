"""Server-sent events (HTML standard, 9.2), read out of a stream that may be split anywhere."""

from typing import NamedTuple

from limepath.front.watch_error import WatchError


class ServerSentEvent(NamedTuple):
    """One event: the last id that the stream has had, and its data lines."""

    id: str
    data: str


class EventReader:
    """Reads events; `partial_line` and `data` hold what is not complete yet."""

    def __init__(self, max_size: int):
        self.max_size = max_size  # bytes of a line, and of an event's data
        self.partial_line = b""
        self.id = ""
        self.data: list[str] = []
        self.skip_line_feed = False  # the bytes before ended in CR, which may be half of a line end

    def feed(self, data: bytes) -> list[ServerSentEvent]:
        """Give the events that `data` completes; raises WatchError for an over-long line or event."""
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
        """The lines that `data` completes; a line ends in CR, LF or both."""
        if self.skip_line_feed:
            data = data.removeprefix(b"\n")
        self.skip_line_feed = data.endswith(b"\r")
        data = data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        if len(self.partial_line) > self.max_size:
            raise WatchError("over-long line")
        return [line.decode("utf-8", "replace") for line in lines]

    def _read_field(self, line: str) -> None:
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            self.id = value
        elif name == "data":
            self.data.append(value)
            if sum(map(len, self.data)) > self.max_size:
                raise WatchError("over-long event")
