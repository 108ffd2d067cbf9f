"""Stand-ins of the review's cases: change log, caches, clients, and a front as the deploy file starts it.

They use the standard library alone and loopback addresses alone. Each follows `PROTOCOL.md`: what a case adds
to that is said in the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
MS = 1_000_000  # nanoseconds
PR_SET_PDEATHSIG = 1  # linux/prctl.h
READY_TIMEOUT = 30.0  # seconds that a front may take to be ready
CASE_TIMEOUT = 100.0  # seconds that a case may take
COMMENT_INTERVAL = 1.0  # seconds between comments of the change log
Settings = dict[str, Any]


class CannotRunError(Exception):
    """Raised if the case could not be played, so that it says nothing about the rule."""


def run_case(case_file: str, play: Callable[[Record], Awaitable[int]]) -> int:
    """Play a case, write `record.txt` beside its file, and return the exit status.

    That is 1 if the rule was broken, 0 if it held, 2 if the case could not be played within `CASE_TIMEOUT`,
    or was ended by a signal. All processes that it started have ended then.
    """
    record = Record(Path(case_file).resolve().parent / "record.txt")
    try:
        status = asyncio.run(_limit(play(record)))
    except (CannotRunError, OSError, asyncio.CancelledError) as error:  # TimeoutError is an OSError
        record.write(f"could not run: {error!r}")
        status = 2
    verdict = {0: "the rule held", 1: "the rule was broken", 2: "no verdict"}[status]
    record.write(f"exit status {status}: {verdict}")
    record.close()
    return status


async def _limit(play: Awaitable[int]) -> int:
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(play, CASE_TIMEOUT)


class Record:
    """Writes what was sent, answered and run to a file, each line with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def end_with_parent() -> None:
    """Have this process killed when the one that started it ends in whatever way (prctl(2)).

    Runs in a new process before its program; the program's `exec` keeps the setting.
    """
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, int(signal.SIGKILL))


def free_ports(count: int) -> list[int]:
    """Return ports of the loopback address that nobody uses."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((HOST, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def base_settings() -> Settings:
    """Return settings of a small deployment, as the README's example has them."""
    return {
        "az": 0,
        "replicas-of-me": 1,
        "areas": ["sur", "hub"],
        "models": ["box", "parent", "origin"],
        "classes": [
            {"name": "video", "aim": 600 * MS, "deadline": 5000 * MS, "idempotency": "free"},
            {"name": "entrega", "aim": 800 * MS, "deadline": 3000 * MS, "idempotency": "single_shot"},
        ],
        "family-info": {
            "mid-kind": 1,
            "master-kind": 2,
            "never-kept": [False, True],
            "direct": True,
            "heed-within": 300 * MS,
            "gone-everywhere": 6000 * MS,
            "one-flow-kb-per-s": 1000.0,
            "pipe-kb-per-s": [9000.0, 0.0],
        },
        "limits": {
            "max-attempts": 6,
            "cancel": True,
            "probing": True,
            "retry-after": True,
            "max-retry-after": 1000 * MS,
            "streams-per-conn": 32,
            "connect-timeout": 400 * MS,
            "conn-idle": 30_000 * MS,
            "max-open": 1000,
        },
        "stats": {"fields": ["rif", "busy"], "source": "probe"},
        "safety": {
            "cold-share": 0.2,
            "cold": 10_000 * MS,
            "overload-factor": 2,
            "tip-after": 1000 * MS,
            "answer-slack": 8 * MS,
            "drain-grace": 500 * MS,
        },
    }


class Ask(NamedTuple):
    """One request of a front to a cache."""

    cache: str
    ident: str
    fields: dict[str, str]
    body: bytes
    arrived_at: float  # seconds of the monotonic clock


class Answer(NamedTuple):
    """A cache's answer: the status word, the fields and the body."""

    word: str
    fields: str = "-"
    body: bytes = b""


Responder = Callable[[Ask], Awaitable[Answer | None]]


class Cache:
    """A cache, parent or origin; `respond` makes the answer to each request, None for no answer."""

    def __init__(self, name: str, flavor: str, respond: Responder, record: Record) -> None:
        self.name = name
        self.flavor = flavor
        self.respond = respond
        self.record = record
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop to listen."""
        if self._server:
            self._server.close()

    def member(self, **changes: object) -> dict[str, object]:
        """Return this server's entry of the endpoint list."""
        entry: dict[str, object] = {
            "id": self.name,
            "host_port": f"{HOST}:{self.port}",
            "locality": "sur" if self.flavor == "box" else "hub",
            "flavor": self.flavor,
            "cell": 0,
            "phase": "in_service",
            "size": {"box": 6, "parent": 30, "origin": 20}[self.flavor],
            "up_since_ms": 0,
        }
        return entry | changes

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while line := await reader.readline():
                words = line.decode().split()
                if words[0] in ("NOOP", "INFO"):
                    writer.write(f"{words[1]} FIT use=rif:1;busy:0.1 0\r\n\r\n".encode())
                elif words[0] == "ASK":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    fields = dict(field.split("=", 1) for field in words[2].split(","))
                    ask = Ask(self.name, words[1], fields, body, time.monotonic())
                    self.record.write(f"{self.name} got {line.decode().strip()}")
                    task = asyncio.create_task(self._answer(ask, writer))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
                else:
                    self.record.write(f"{self.name} got {line.decode().strip()}")
        writer.close()

    async def _answer(self, ask: Ask, writer: asyncio.StreamWriter) -> None:
        answer = await self.respond(ask)
        if answer is None or writer.is_closing():
            return
        head = f"{ask.ident} {answer.word} {answer.fields} {len(answer.body)}\r\n"
        writer.write(head.encode() + answer.body + b"\r\n")
        self.record.write(f"{self.name} answered {head.strip()}")


class ChangeLog:
    """The change log: numbered events, told to each front that follows it, and a comment each second."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.port = 0
        self.events: list[dict[str, object]] = []
        self._server: asyncio.Server | None = None
        self._streams: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        """Listen on this port, or on a free one."""
        self._server = await asyncio.start_server(self._serve, HOST, port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Accept no more connections and reset the open ones, as a process that dies does."""
        if self._server:
            self._server.close()
        for writer in list(self._streams):
            writer.transport.abort()

    def add(self, event: dict[str, object]) -> int:
        """Append an event, tell it to all followers and return its number."""
        number = len(self.events) + 1
        self.events.append({"seq": number} | event)
        self.record.write(f"change log has {json.dumps(self.events[-1])}")
        for writer in list(self._streams):
            self._tell(writer, number)
        return number

    def known(self) -> dict[str, object]:
        """Return the events so far in the form of the configuration."""
        return {"seq": len(self.events), "results": list(self.events)}

    def _tell(self, writer: asyncio.StreamWriter, number: int) -> None:
        writer.write(f"id: {number}\ndata: {json.dumps(self.events[number - 1])}\n\n".encode())
        self.record.write(f"change log told event {number} to a front that is connected")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            last = next(
                int(line.split(":")[1]) for line in head.splitlines() if line.startswith("Last-Event-ID")
            )
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n")
            for number in range(last + 1, len(self.events) + 1):
                self._tell(writer, number)
            self._streams.add(writer)
            while not writer.is_closing():
                await asyncio.sleep(COMMENT_INTERVAL)
                writer.write(b": here\n\n")
        self._streams.discard(writer)
        writer.close()


class Front:
    """One front, started from the root by the deploy file's `run`, in a session of its own."""

    def __init__(self, name: str, port: int, record: Record) -> None:
        self.name = name
        self.port = port
        self.record = record
        self.process: asyncio.subprocess.Process | None = None
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._log: asyncio.Task[None] | None = None

    @property
    def configuration_path(self) -> Path:
        """The path of the configuration file."""
        return Path(self._folder.name) / "front.json"

    def configure(self, settings: Settings, changelog: ChangeLog, **others: object) -> None:
        """Write the configuration."""
        document = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "changelog": f"{HOST}:{changelog.port}",
            "known": changelog.known(),
            "settings": settings,
        } | others
        self.configuration_path.write_text(json.dumps(document), encoding="utf-8")

    async def start(self) -> None:
        """Start the front and wait until it is ready.

        Raises:
            CannotRunError: it ended, or was not ready in time.
        """
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        environment = os.environ | {
            "ROUTER_NAME": self.name,
            "ROUTER_LISTEN": f"{HOST}:{self.port}",
            "ROUTER_CONFIG": str(self.configuration_path),
            "TMPDIR": self._folder.name,
        }
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            env=environment,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            start_new_session=True,
            preexec_fn=end_with_parent,
        )
        self.record.write(f"{self.name} started: {command}")
        self._log = asyncio.create_task(self._copy_log())
        await self._wait_until_healthy()

    async def _wait_until_healthy(self) -> None:
        limit = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < limit:
            if self.process is not None and self.process.returncode is not None:
                raise CannotRunError(f"{self.name} ended with status {self.process.returncode}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /_health HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    self.record.write(f"{self.name} answered 200 to GET /_health")
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} was not ready within {READY_TIMEOUT} s")

    async def _copy_log(self) -> None:
        assert self.process is not None
        assert self.process.stderr is not None
        async for line in self.process.stderr:
            self.record.write(f"{self.name} logged {line.decode(errors='replace').strip()}")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the program that `run` started."""
        assert self.process is not None
        self.record.write(f"{self.name} gets {number.name}")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the front if it still runs, and remove its folder."""
        if self.process is not None:
            if self.process.returncode is None:
                self.send_signal(signal.SIGKILL)
            status = await self.process.wait()
            self.record.write(f"{self.name} ended with status {status}")
        if self._log is not None:
            await self._log
        self._folder.cleanup()


class Response(NamedTuple):
    """What a client got: status 0 if the connection ended before a whole answer."""

    status: int
    fields: dict[str, str]
    body: bytes
    expected_size: int
    after: float  # seconds from the request's last byte to the end of the answer


class Request(NamedTuple):
    """A request of a client."""

    target: str
    ttl_ms: int = 5000
    family: int = 17
    method: str = "GET"
    body: bytes = b""
    is_last: bool = False  # whether it says `Connection: close`

    def encode(self, transaction: str) -> bytes:
        """Return the request as it is sent."""
        length = f"Content-Length: {len(self.body)}\r\n" if self.method == "PUT" else ""
        close = "Connection: close\r\n" if self.is_last else ""
        head = (
            f"{self.method} {self.target} HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {transaction}\r\n"
            f"X-Ttl-Ms: {self.ttl_ms}\r\nX-Family: {self.family}\r\n{length}{close}\r\n"
        )
        return head.encode() + self.body


class Client:
    """A client with a connection of its own, which it keeps.

    Args:
        front: the front that it asks.
        record: where it writes what it sent and got.
        bytes_per_s: the pace at which its link brings bytes to it; 0 for no limit.
    """

    def __init__(self, front: Front, record: Record, bytes_per_s: int = 0) -> None:
        self.front = front
        self.record = record
        self.bytes_per_s = bytes_per_s
        self._socket: socket.socket | None = None
        self._buffer = b""

    async def connect(self, receive_buffer: int = 0) -> None:
        """Connect; `receive_buffer` is the size of the socket's buffer in bytes, 0 for the default."""
        self._buffer = b""
        self._socket = socket.socket()
        self._socket.setblocking(False)
        if receive_buffer:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        await asyncio.get_running_loop().sock_connect(self._socket, (HOST, self.front.port))

    def close(self) -> None:
        """Close the connection."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    async def ask(self, request: Request) -> Response:
        """Send a request and read its answer."""
        assert self._socket is not None
        transaction = os.urandom(8).hex()
        await asyncio.get_running_loop().sock_sendall(self._socket, request.encode(transaction))
        sent_at = time.monotonic()
        self.record.write(f"client sent {request.method} {request.target} X-Txn={transaction}")
        status, fields, size, body = 0, {}, 0, b""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while b"\r\n\r\n" not in self._buffer:
                await self._read()
            head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
            first, *lines = head.decode().split("\r\n")
            fields = {name.lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)}
            size = int(fields.get("content-length", "0"))
            while len(self._buffer) < size:
                await self._read()
            body, self._buffer = self._buffer[:size], self._buffer[size:]
            status = int(first.split()[1])
        response = Response(status, fields, body, size, time.monotonic() - sent_at)
        if status:
            self.record.write(
                f"client got {status} ETag={fields.get('etag')} {len(body)} of {size} bytes "
                f"X-Txn={transaction} after {response.after:.3f} s"
            )
        else:
            self.record.write(
                f"client's connection ended with {len(self._buffer)} of {size} bytes of the answer "
                f"X-Txn={transaction} after {response.after:.3f} s"
            )
        return response

    async def _read(self) -> None:
        assert self._socket is not None
        size = self.bytes_per_s // 50 or 65536
        try:
            data = await asyncio.get_running_loop().sock_recv(self._socket, size)
        except OSError as error:
            self.record.write(f"client's connection broke: {error.strerror}")
            raise
        if not data:
            raise asyncio.IncompleteReadError(self._buffer, None)
        self._buffer += data
        if self.bytes_per_s:
            await asyncio.sleep(len(data) / self.bytes_per_s)
