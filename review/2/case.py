"""Case 2: while idle clients crowd the front, it cuts off answers that other clients are receiving."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import (
    HOST,
    Answer,
    Ask,
    Cache,
    CannotRunError,
    ChangeLog,
    Client,
    Front,
    Record,
    Request,
    base_settings,
    end_with_parent,
    free_ports,
    run_case,
)

IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
DURATION = 8.0  # seconds of requests
DESCRIPTORS = 256  # the lowest limit that the service page names
USUAL_CLIENTS = 10  # a third of the descriptors at most is allowed
IDLE_CLIENTS = 130  # "others connect by hundreds and say nothing"
PAUSE_AFTER_CLOSE = 0.05  # seconds until an idle client that was shut out connects again
PAUSE_AFTER_ANSWER = 0.02  # seconds
OBJECT_BYTES = 240_000  # the largest object that the protocol page allows
CROWD_ARGUMENT = "crowd"  # runs the idle clients, in a process of their own


async def respond(ask: Ask) -> Answer:
    """Answer with the whole object after a while."""
    await asyncio.sleep(0.05)
    since = int((time.time() - 5) * 1000)
    return Answer("DONE", f"rev={ask.fields['path']},since={since}", body_of(ask.fields["path"]))


def body_of(name: str) -> bytes:
    """Return the bytes of an object."""
    return (name.encode() * OBJECT_BYTES)[:OBJECT_BYTES]


async def stay_idle(port: int, end: float) -> None:
    """Connect, say nothing until the front closes, and connect again."""
    while time.monotonic() < end:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(HOST, port)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(reader.read(1), max(0.1, end - time.monotonic()))
            writer.close()
        await asyncio.sleep(PAUSE_AFTER_CLOSE)


async def crowd(port: int) -> None:
    """Run the idle clients."""
    end = time.monotonic() + DURATION
    await asyncio.gather(*[stay_idle(port, end) for _ in range(IDLE_CLIENTS)])


class Counts:
    """How the requests of the usual clients ended."""

    def __init__(self) -> None:
        self.whole = 0  # a whole answer of any status
        self.shut_unread = 0  # no byte of an answer: a new connection may be shut unread in a crowd
        self.cut_off = 0  # the front had begun to answer


async def ask_often(front: Front, record: Record, number: int, counts: Counts, end: float) -> None:
    """Ask for one object after another, each on a connection of its own."""
    client = Client(front, record)
    index = 0
    while time.monotonic() < end:
        index += 1
        name = f"{number:08x}{index:08x}"
        try:
            await client.connect()
            response = await client.ask(Request(f"/invoke/video/{name}?block=0", is_last=True))
        except OSError as error:
            record.write(f"client could not ask: {error.strerror}")
            counts.shut_unread += 1
            continue
        finally:
            client.close()
        if response.status == 200 and response.body != body_of(name):
            raise CannotRunError("the front answered with other bytes")
        if response.status:
            counts.whole += 1
        elif response.expected_size:
            counts.cut_off += 1
        else:
            counts.shut_unread += 1
        await asyncio.sleep(PAUSE_AFTER_ANSWER)


async def play(record: Record) -> int:
    """Play the case; return the exit status."""
    names = (("s-1", "box"), ("s-2", "box"), ("p-1", "parent"), ("o-1", "origin"))
    servers = [Cache(name, flavor, respond, record) for name, flavor in names]
    log = ChangeLog(record)
    front = Front("n1", free_ports(1)[0], record)
    counts = Counts()
    idle: asyncio.subprocess.Process | None = None
    try:
        for server in servers:
            await server.start()
        await log.start()
        members = [server.member() for server in servers]
        log.add({"fleet": {"revision": 1, "complete": True, "members": members}})
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": DESCRIPTORS}
        front.configure(base_settings(), log, limits=limits)
        await front.start()
        if IS_TROUBLED:
            arguments = (sys.executable, __file__, CROWD_ARGUMENT, str(front.port))
            idle = await asyncio.create_subprocess_exec(*arguments, preexec_fn=end_with_parent)
            record.write(f"{IDLE_CLIENTS} idle clients begin to connect")
            await asyncio.sleep(1)
        end = time.monotonic() + DURATION - 2
        clients = [ask_often(front, record, number, counts, end) for number in range(1, USUAL_CLIENTS + 1)]
        await asyncio.gather(*clients)
    finally:
        if idle is not None and idle.returncode is None:
            idle.kill()
            await idle.wait()
        await front.end()
        log.stop()
        for server in servers:
            server.stop()
    record.write(
        f"whole answers: {counts.whole}; cut off: {counts.cut_off}; shut with no byte: {counts.shut_unread}"
    )
    if not counts.whole:
        raise CannotRunError("no request was answered")
    return 1 if counts.cut_off else 0


if __name__ == "__main__":
    if sys.argv[1:2] == [CROWD_ARGUMENT]:
        asyncio.run(crowd(int(sys.argv[2])))
    else:
        sys.exit(run_case(__file__, play))
