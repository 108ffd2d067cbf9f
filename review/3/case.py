"""Case 3: while discovery is down a front goes on sending to a cache that has drained for over 7 s."""

from __future__ import annotations

import asyncio
import os
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
    base_settings,
    free_ports,
    run_case,
)

IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
OUTAGE = 8.0  # seconds, as on the standing page's day herd+mass
DRAIN_AFTER = 0.1  # seconds from the beginning of the outage to the drain
TOLD_AFTER = 7.0  # seconds after which an event counts as told, whether or not it arrived
GRACE = 0.5 + 0.05  # seconds: `drain-grace`, and the 50 ms by which each limit is longer on sockets
DRAINED = "s-1"
PAUSE = 0.02  # seconds between requests


class Site:
    """Two caches, a parent and the origin, which all answer at once, and what came to each."""

    def __init__(self, record: Record) -> None:
        self.asks: list[Ask] = []
        names = (("s-1", "box"), ("s-2", "box"), ("p-1", "parent"), ("o-1", "origin"))
        self.servers = [Cache(name, flavor, self.respond, record) for name, flavor in names]

    async def respond(self, ask: Ask) -> Answer:
        """Record the request and answer it."""
        self.asks.append(ask)
        return Answer("DONE", f"rev=4be0c1927d55a6f3,since={int((time.time() - 5) * 1000)}", b"part")

    def late(self, told_at: float) -> list[Ask]:
        """Return the requests that used the drained cache after the grace, as cache or as source."""
        return [
            ask
            for ask in self.asks
            if DRAINED in (ask.cache, ask.fields.get("up")) and ask.arrived_at > told_at + GRACE
        ]


async def ask_until(client: Client, end: float, first: int) -> int:
    """Ask for one object after another until this time; return the next object's number."""
    number = first
    while time.monotonic() < end:
        response = await client.ask(Request(f"/invoke/video/{number:016x}?block=0"))
        if not response.status:
            raise CannotRunError("a connection ended with no answer")
        number += 1
        await asyncio.sleep(PAUSE)
    return number


async def play(record: Record) -> int:
    """Play the case; return the exit status."""
    site = Site(record)
    log = ChangeLog(record)
    front = Front("n1", free_ports(1)[0], record)
    client = Client(front, record)
    try:
        for server in site.servers:
            await server.start()
        await log.start()
        members = [server.member() for server in site.servers]
        log.add({"fleet": {"revision": 1, "complete": True, "members": members}})
        front.configure(base_settings(), log)
        await front.start()
        await client.connect()
        number = await ask_until(client, time.monotonic() + 1, 1)
        down_at = time.monotonic()
        if IS_TROUBLED:
            record.write("discovery is down from here on")
            log.stop()
        await asyncio.sleep(DRAIN_AFTER)
        drain = {"revision": 2, "complete": False, "members": [site.servers[0].member(phase="terminating")]}
        log.add({"fleet": drain})
        told_at = time.monotonic() + (TOLD_AFTER if IS_TROUBLED else 0.0)
        while time.monotonic() < down_at + OUTAGE:
            number = await ask_until(client, time.monotonic() + 0.1, number)
            await asyncio.sleep(0.1)
        if IS_TROUBLED:
            record.write("discovery is back")
            await log.start(log.port)
            await asyncio.sleep(1.5)
    finally:
        client.close()
        await front.end()
        log.stop()
        for server in site.servers:
            server.stop()
    if not any(ask.cache == DRAINED for ask in site.asks):
        raise CannotRunError("the cache that drains had got no request before")
    late = site.late(told_at)
    for ask in late:
        record.write(
            f"{ask.ident} came to {ask.cache} {ask.arrived_at - told_at:.3f} s after the drain was told"
        )
    record.write(f"requests to the drained cache after the grace: {len(late)}")
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(run_case(__file__, play))
