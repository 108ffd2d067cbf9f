"""Stand-ins for the peers of a front: servers of the line protocol, a change log and HTTP clients.

They speak as the protocol page says, on loopback addresses and on one asyncio loop, and note what they saw in
a `Record`. Times are seconds of the monotonic clock; `Record` shows them from the start of the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

HOST = "127.0.0.1"
KEEP_ALIVE_S = 1.0  # a comment of the change log comes each second (protocol page)
CLIENT_IDLE_S = 4.0  # clients close idle connections after this (protocol page)
CROSSING_S = 0.05  # a request that crosses a close within this is sent again, once (protocol page)


class Record:
    """The lines of `record.txt`, each with its time since the start of the case."""

    def __init__(self) -> None:
        self.began = time.monotonic()
        self.lines: list[tuple[float, str]] = []

    def note(self, text: str, at: float | None = None) -> None:
        """Add a line, by default for now."""
        self.lines.append((time.monotonic() if at is None else at, text))

    def write(self, path: Path) -> None:
        """Write all lines in the order of their times."""
        lines = sorted(self.lines, key=lambda line: line[0])
        path.write_text("".join(f"{at - self.began:9.4f} {text}\n" for at, text in lines), encoding="utf-8")


@dataclass
class Ask:
    """One request that came whole to a server, and how it ended there."""

    server: str
    id: str
    fields: dict[str, str]
    arrived_at: float
    body: bytes = b""
    ended: str = "open"


Answer = tuple[str, str, bytes]
"""The word, the fields and the body of an answer."""
Answerer = Callable[["Server", Ask], Awaitable[Answer | None]]


@dataclass
class Server:
    """A cache, a parent or the origin: it notes each request and answers as `answerer` says.

    An `answerer` that returns None answers nothing. A request that the front gives up, by QUIT or by closing,
    is dropped.
    """

    name: str
    kind: str
    zone: str
    record: Record
    answerer: Answerer
    size: float = 6.0
    up_since_ms: int = 0
    asks: list[Ask] = field(default_factory=list)
    port: int = 0

    def __post_init__(self) -> None:
        self.listener: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    async def listen(self) -> None:
        """Listen on a free port, or again on the one that it had."""
        self.listener = await asyncio.start_server(self._serve, HOST, self.port, limit=1 << 20)
        self.port = self.listener.sockets[0].getsockname()[1]

    def die(self) -> None:
        """Close the port and reset all connections, as a process does that dies."""
        if self.listener:
            self.listener.close()
            self.listener = None
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self, phase: str = "in_service") -> dict[str, Any]:
        """Return this server's line in the list."""
        return {
            "id": self.name,
            "host_port": f"{HOST}:{self.port}",
            "locality": self.zone,
            "flavor": self.kind,
            "cell": 0,
            "phase": phase,
            "size": self.size,
            "up_since_ms": self.up_since_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        open_asks: dict[str, asyncio.Task[None]] = {}
        try:
            while line := await reader.readline():
                words = line.decode("ascii").split()
                if words[0] in ("NOOP", "INFO"):
                    writer.write(b"%s FIT use=inflight:1;busy:0.1 0\r\n\r\n" % words[1].encode())
                elif words[0] == "QUIT":
                    if task := open_asks.pop(words[1], None):
                        task.cancel()
                elif words[0] == "ASK":
                    body = await reader.readexactly(int(words[3]) + 2)
                    fields = dict(pair.split("=", 1) for pair in words[2].split(",") if words[2] != "-")
                    ask = Ask(self.name, words[1], fields, time.monotonic(), body[:-2])
                    self.asks.append(ask)
                    self.record.note(f"{self.name} gets ASK {ask.id} {words[2]} {words[3]}", ask.arrived_at)
                    task = asyncio.create_task(self._answer(ask, writer))
                    open_asks[ask.id] = task
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            for task in open_asks.values():
                task.cancel()
            self.writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, ask: Ask, writer: asyncio.StreamWriter) -> None:
        try:
            answer = await self.answerer(self, ask)
        except asyncio.CancelledError:
            ask.ended = "given up"
            self.record.note(f"{self.name} {ask.id} is given up by the front")
            return
        if answer is None:
            return
        word, fields, body = answer
        ask.ended = word
        self.record.note(f"{self.name} answers {ask.id} {word} {fields} {len(body)}")
        with contextlib.suppress(ConnectionError):
            head = f"{ask.id} {word} {fields} {len(body)}\r\n".encode()
            writer.write(head + body + b"\r\n")


class ChangeLog:
    """A change log: tells each caller the events after `Last-Event-ID`, and a comment each second."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.listener: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    @property
    def address(self) -> str:
        """The address for the configuration."""
        return f"{HOST}:{self.port}"

    async def listen(self) -> None:
        """Listen on a free port, or again on the one that it had."""
        self.listener = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self.listener.sockets[0].getsockname()[1]

    def add(self, **event: Any) -> dict[str, Any]:  # noqa: ANN401
        """Add the next event without telling it."""
        self.events.append({"seq": len(self.events) + 1, **event})
        return self.events[-1]

    def publish(self, **event: Any) -> float:  # noqa: ANN401
        """Add the next event, tell it to all callers, and return when it was in the log."""
        added = self.add(**event)
        self.record.note(f"change log has event {json.dumps(added)[:400]}")
        for writer in self.writers:
            self._tell(writer, added)
        return time.monotonic()

    def known(self) -> dict[str, Any]:
        """Return all events in the form of the configuration's `known`."""
        return {"seq": len(self.events), "results": list(self.events)}

    def close(self) -> None:
        """Close the port and all streams."""
        if self.listener:
            self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def _tell(self, writer: asyncio.StreamWriter, event: dict[str, Any]) -> None:
        writer.write(f"id: {event['seq']}\ndata: {json.dumps(event)}\n\n".encode())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("ascii")
            fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
            last = int(fields.get("Last-Event-ID", "0"))
            self.record.note(f"change log is called with Last-Event-ID {last}")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n")
            for event in self.events[last:]:
                self._tell(writer, event)
            self.writers.add(writer)
            while not writer.is_closing():
                await asyncio.sleep(KEEP_ALIVE_S)
                writer.write(b": here\n\n")
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


@dataclass
class Request:
    """One request of a client and what came of it."""

    id: str
    service: str
    name: str
    group: int
    ttl_s: float
    sent_at: float = 0.0
    ended_at: float | None = None
    status: int | None = None
    tag: str = ""
    body: bytes = b""
    cut_after_s: float | None = None  # when its connection ended without a whole answer
    cut_bytes: int = 0  # what of an answer's body had come by then


@dataclass
class ClientConnection:
    """A kept connection of the clients, and when it was last used."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    used_at: float


class Clients:
    """HTTP clients of one front; connections are kept and used one request at a time."""

    def __init__(self, address: str, record: Record) -> None:
        self.host, port = address.split(":")
        self.port = int(port)
        self.record = record
        self.requests: list[Request] = []
        self.idle: list[ClientConnection] = []

    async def send(
        self,
        service: str,
        name: str,
        ttl_s: float,
        group: int = 17,
        body: bytes | None = None,
        wait_s: float = 3.0,
        have: str = "",
    ) -> Request:
        """Send a request, and wait `wait_s` longer than its time for the answer."""
        request = Request(f"{len(self.requests) + 1:016x}", service, name, group, ttl_s)
        self.requests.append(request)
        method = "GET" if body is None else "PUT"
        lines = [
            f"{method} /invoke/{service}/{name} HTTP/1.1",
            "Host: app.svc",
            f"X-Txn: {request.id}",
            f"X-Ttl-Ms: {int(ttl_s * 1000)}",
            f"X-Family: {group}",
        ]
        if have:
            lines.append(f'If-None-Match: "{have}"')
        if body is not None:
            lines.append(f"Content-Length: {len(body)}")
        message = ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")
        for _ in range(2):
            try:
                async with asyncio.timeout(ttl_s + wait_s):
                    await self._exchange(request, message)
                break
            except (ConnectionError, TimeoutError, asyncio.IncompleteReadError) as error:
                request.status = None
                request.cut_after_s = time.monotonic() - request.sent_at if request.sent_at else 0.0
                if isinstance(error, asyncio.IncompleteReadError) and request.ended_at is not None:
                    request.cut_bytes = len(error.partial)
                self.record.note(
                    f"client has no whole answer to {request.id}: {type(error).__name__} "
                    f"after {request.cut_after_s:.4f} s"
                )
            if request.cut_after_s > CROSSING_S:
                break
        return request

    async def _exchange(self, request: Request, message: bytes) -> None:
        connection = await self._connection()
        try:
            request.sent_at = time.monotonic()
            connection.writer.write(message)
            await connection.writer.drain()
            self.record.note(
                f"client sends {request.id} {request.service}/{request.name} family {request.group} "
                f"ttl {request.ttl_s:.3f} s",
                request.sent_at,
            )
            keep = await self._read_answer(request, connection.reader)
        except BaseException:
            connection.writer.transport.abort()
            raise
        if keep:
            connection.used_at = time.monotonic()
            self.idle.append(connection)
        else:
            connection.writer.close()

    async def _connection(self) -> ClientConnection:
        now = time.monotonic()
        while self.idle:
            connection = self.idle.pop()
            if now - connection.used_at < CLIENT_IDLE_S and not connection.reader.at_eof():
                return connection
            connection.writer.close()
        reader, writer = await asyncio.open_connection(self.host, self.port)
        return ClientConnection(reader, writer, now)

    async def _read_answer(self, request: Request, reader: asyncio.StreamReader) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("ascii").split("\r\n")
        fields = {
            name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])
        }
        request.ended_at = time.monotonic()
        body = await reader.readexactly(int(fields.get("content-length", "0")))
        request.ended_at = time.monotonic()
        request.status = int(head[0].split()[1])
        request.tag = fields.get("etag", "").strip('"')
        request.body = body
        self.record.note(
            f"client gets {request.status} to {request.id} after {request.ended_at - request.sent_at:.4f} s, "
            f"{len(body)} bytes, tag {request.tag or '-'}",
            request.ended_at,
        )
        return fields.get("connection") != "close"

    def close(self) -> None:
        """Close all kept connections."""
        for connection in self.idle:
            connection.writer.transport.abort()
        self.idle.clear()
