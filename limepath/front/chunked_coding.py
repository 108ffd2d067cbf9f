"""An incremental decoder for the chunked transfer coding of HTTP (RFC 9112, 7.1)."""

from limepath.front.watch_error import WatchError

LINE_END = b"\r\n"


class ChunkedDecoder:
    """Decodes a body that arrives in arbitrary pieces."""

    def __init__(self):
        self.buffer = b""
        self.chunk_left = 0  # bytes of the current chunk still to come, including its line end

    def feed(self, data: bytes) -> bytes:
        """Decode `data`; return the bytes of the body in it.

        Raises:
            WatchError: a chunk has no valid size.
        """
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
        """Parse the line with a chunk's size; return whether it was complete."""
        line, end, rest = self.buffer.partition(LINE_END)
        if not end:
            return False
        try:
            self.chunk_left = int(line.split(b";")[0], 16) + len(LINE_END)
        except ValueError:
            raise WatchError("malformed chunk size") from None
        self.buffer = rest
        return True


def transfer_codings(head: bytes) -> list[bytes]:
    """Return the codings in the Transfer-Encoding fields of a head, in lower case."""
    fields = [line.lower().partition(b":") for line in head.split(LINE_END)[1:]]
    values = [value for name, _, value in fields if name == b"transfer-encoding"]
    return [word.strip() for value in values for word in value.split(b",")]
