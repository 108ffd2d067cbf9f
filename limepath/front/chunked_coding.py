"""The chunked transfer coding of HTTP (RFC 9112, 7.1), undone as bytes come."""

from limepath.front.watch_error import WatchError

LINE_END = b"\r\n"


class ChunkedDecoder:
    """Decodes a body that may be split anywhere."""

    def __init__(self):
        self.buffer = b""
        self.chunk_left = 0  # bytes of the current chunk that are to come, with the line end behind it

    def feed(self, data: bytes) -> bytes:
        """Give the bytes of the body in `data`; raises WatchError for a chunk without a size."""
        self.buffer += data
        body = []
        while self.buffer:
            if self.chunk_left > len(LINE_END):
                body.append(self._take(self.chunk_left - len(LINE_END)))
            elif self.chunk_left:
                self._take(self.chunk_left)
            elif not self._start_chunk():
                break
        return b"".join(body)

    def _take(self, size: int) -> bytes:
        piece = self.buffer[:size]
        self.chunk_left -= len(piece)
        self.buffer = self.buffer[len(piece) :]
        return piece

    def _start_chunk(self) -> bool:
        """Read the line with a chunk's size; gives whether it was complete."""
        line, end, rest = self.buffer.partition(LINE_END)
        if not end:
            return False
        try:
            self.chunk_left = int(line.split(b";")[0], 16) + len(LINE_END)
        except ValueError:
            raise WatchError("malformed chunk") from None
        self.buffer = rest
        return True


def transfer_codings(head: bytes) -> list[bytes]:
    """The codings in a head's Transfer-Encoding fields, in lower case."""
    fields = [line.lower().partition(b":") for line in head.split(LINE_END)[1:]]
    values = [value for name, _, value in fields if name == b"transfer-encoding"]
    return [word.strip() for value in values for word in value.split(b",")]
