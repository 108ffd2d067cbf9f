"""Case 3: a planned restart cuts off answers that clients are still receiving over the front's link."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import (
    Answer,
    Ask,
    Cache,
    CannotRunError,
    ChangeLog,
    Client,
    Front,
    Record,
    Request,
    Response,
    base_settings,
    free_ports,
    run_case,
)

IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
CLIENTS = 8
LINK_BYTES_PER_S = 1_240_000  # the figure of DEPLOY.md's example configuration
FLOW_BYTES_PER_S = 310_000  # likewise; the pace of one transfer at most
OBJECT_BYTES = 240_000  # the largest object that the protocol page allows
RECEIVE_BUFFER = 16_384  # bytes; what a client has not read lies at the front, as before a slow link
CACHE_TIME = 0.4  # seconds until a cache answers
TERM_AFTER = 0.2  # seconds from the requests to SIGTERM
TTL_MS = 5000
KILL_AFTER = 3.7  # seconds from SIGTERM: the longest deadline (3 s at most) and 0.7 s


async def respond(ask: Ask) -> Answer:
    """Answer with the whole object after a while."""
    await asyncio.sleep(CACHE_TIME)
    tag = f"{int(ask.fields['path'], 16):016x}"
    since = int((time.time() - 5) * 1000)
    return Answer("DONE", f"rev={tag},since={since}", (tag.encode() * OBJECT_BYTES)[:OBJECT_BYTES])


def is_whole(number: int, response: Response) -> bool:
    """Return whether the client has got the whole object that it asked for, or a refusal or failure."""
    if response.status != 200:
        return response.status != 0 and len(response.body) == response.expected_size
    return response.body == (f"{number + 1:016x}".encode() * OBJECT_BYTES)[:OBJECT_BYTES]


async def play(record: Record) -> int:
    """Play the case; return the exit status."""
    servers = [
        Cache(name, flavor, respond, record)
        for name, flavor in (("s-1", "box"), ("s-2", "box"), ("p-1", "parent"), ("o-1", "origin"))
    ]
    log = ChangeLog(record)
    front = Front("n1", free_ports(1)[0], record)
    pace = min(FLOW_BYTES_PER_S, LINK_BYTES_PER_S // CLIENTS)
    clients = [Client(front, record, pace) for _ in range(CLIENTS)]
    try:
        for server in servers:
            await server.start()
        await log.start()
        members = [server.member() for server in servers]
        log.add({"fleet": {"revision": 1, "complete": True, "members": members}})
        link = {"flow_bytes_per_s": FLOW_BYTES_PER_S, "link_bytes_per_s": LINK_BYTES_PER_S}
        front.configure(base_settings(), log, **link)
        await front.start()
        for client in clients:
            await client.connect(RECEIVE_BUFFER)
        await asyncio.sleep(1)
        tasks = [
            asyncio.create_task(client.ask(Request(f"/invoke/video/{number + 1:016x}?block=0", TTL_MS)))
            for number, client in enumerate(clients)
        ]
        await asyncio.sleep(TERM_AFTER)
        term_at = time.monotonic()
        if IS_TROUBLED:
            front.send_signal(signal.SIGTERM)
        responses = await asyncio.wait_for(asyncio.gather(*tasks), 30)
        if IS_TROUBLED:
            await asyncio.sleep(max(0, term_at + KILL_AFTER - time.monotonic()))
    finally:
        for client in clients:
            client.close()
        await front.end()
        log.stop()
        for server in servers:
            server.stop()
    return judge(record, responses)


def judge(record: Record, responses: list[Response]) -> int:
    """Return 1 if a request that the front had taken got no whole answer, else 0."""
    lost = [number for number, response in enumerate(responses) if not is_whole(number, response)]
    served = sum(response.status == 200 for response in responses)
    record.write(f"of {len(responses)} requests {served} were served and {len(lost)} got no whole answer")
    slowest = max(response.after for response in responses)
    record.write(f"the last answer or break came {slowest:.3f} s after its request, which waits {TTL_MS} ms")
    if not lost and not served:
        raise CannotRunError("no request was served")
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(run_case(__file__, play))
