"""Case 1: a purge is not heeded once one event bore the time of a clock that was ahead."""

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

STEP = float(os.environ.get("STEP_S", "3600"))  # seconds by which the platform's clock is ahead at first
CLOCK = os.environ.get("CLOCK", "platform")  # whose clock is ahead: the platform's, or that of one new cache
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
OBJECT = "7f3a9c21e0b4d655"
OTHER_OBJECT = "00c41f7ae0b4d655"
TARGET = f"/invoke/video/{OBJECT}?block=3"
OLD, NEW = "01d01d01d01d01d0", "4be0c1927d55a6f3"  # tags of the copies before and after the purge
COPY_AGE = 60.0  # seconds between the origin giving out the old copy and the start of the case
GRACE = 0.3 + 0.05  # seconds: `heed-within`, and the 50 ms by which each limit is longer on sockets
GONE_EVERYWHERE = 6.0  # seconds within which caches drop old copies by themselves


class Site:
    """Two caches, a parent and the origin; the caches and the parent hold an old copy of the object."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.started_at = time.time()
        self.purged_at: float | None = None  # Unix time; the origin has a new version from then on
        self.told_at = 0.0  # monotonic time at which the front had been told of the purge
        self.holds_old = {"s-1", "s-2", "p-1"}
        self.answers: list[tuple[float, str]] = []  # when the attempt came, and the tag it was answered with
        self.servers = [
            Cache("s-1", "box", self.respond, record),
            Cache("s-2", "box", self.respond, record),
            Cache("p-1", "parent", self.respond, record),
            Cache("o-1", "origin", self.respond, record),
        ]
        self.new_cache = Cache("s-3", "box", self.respond, record)

    async def respond(self, ask: Ask) -> Answer:
        """Answer from the old copy if the request lets it do, else from the origin if it may be filled."""
        tag, since = OLD, self.started_at - COPY_AGE
        limit = int(ask.fields.get("cap", "0")) / 1000
        is_too_old = limit and time.time() - since > limit
        places = {ask.cache, ask.fields.get("up")}  # the source of a fill may give an old copy, too
        is_held = bool(places & self.holds_old) and not self._has_dropped()
        if ask.cache == "o-1" or not is_held or is_too_old:
            if ask.cache != "o-1" and "up" not in ask.fields:
                return Answer("LACK")
            if self.purged_at is not None:
                tag, since = NEW, self.purged_at + 0.01
        self.answers.append((ask.arrived_at, tag))
        return Answer("DONE", f"rev={tag},since={int(since * 1000)}", tag.encode() * 64)

    def _has_dropped(self) -> bool:
        return self.purged_at is not None and time.time() - self.purged_at > GONE_EVERYWHERE - 0.5

    def event(self, unix_time: float) -> dict[str, object]:
        """Return an event with a timestamp: a purge of another object, or the start of another cache."""
        if CLOCK == "platform":
            return {"invalidate": {"object": OTHER_OBJECT, "time": int(unix_time * 1000)}}
        started = self.new_cache.member(up_since_ms=int(unix_time * 1000))
        return {"fleet": {"revision": 2, "complete": False, "members": [started]}}

    def purge(self, log: ChangeLog) -> None:
        """Purge the object now; the platform's clock is right by now."""
        self.purged_at = time.time()
        log.add({"invalidate": {"object": OBJECT, "time": int(self.purged_at * 1000)}})
        self.told_at = time.monotonic()

    def broken(self) -> list[tuple[float, str]]:
        """Return the answers from a copy older than the purge to attempts sent after the grace."""
        return [(at, tag) for at, tag in self.answers if at > self.told_at + GRACE and tag == OLD]


async def play(record: Record) -> int:
    """Play the case; return the exit status."""
    site = Site(record)
    log = ChangeLog(record)
    front = Front("n1", free_ports(1)[0], record)
    client = Client(front, record)
    try:
        for server in (*site.servers, site.new_cache):
            await server.start()
        await log.start()
        members = [server.member() for server in site.servers]
        log.add({"fleet": {"revision": 1, "complete": True, "members": members}})
        front.configure(base_settings(), log)
        await front.start()
        await client.connect()
        await asyncio.sleep(1)
        ahead = STEP if IS_TROUBLED else 0.0
        record.write(f"the clock of the {CLOCK} is {ahead} s ahead")
        log.add(site.event(time.time() + ahead))
        await asyncio.sleep(1)
        record.write(f"the clock of the {CLOCK} is right from here on")
        before = await client.ask(Request(TARGET))
        if before.status != 200 or OLD not in before.fields.get("etag", ""):
            raise CannotRunError("the old copy was not served before the purge")
        site.purge(log)
        await asyncio.sleep(GRACE + 0.15)
        tags = []
        while time.monotonic() < site.told_at + 5:
            response = await client.ask(Request(TARGET))
            tags.append((response.status, response.fields.get("etag")))
            await asyncio.sleep(0.25)
    finally:
        client.close()
        await front.end()
        log.stop()
        for server in (*site.servers, site.new_cache):
            server.stop()
    if not any(status == 200 for status, _ in tags):
        raise CannotRunError("no request was served after the purge")
    broken = site.broken()
    stale = sum(OLD in (tag or "") for _, tag in tags)
    record.write(
        f"answers from a copy older than the purge: {len(broken)}; clients got {stale} of {len(tags)}"
    )
    return 1 if broken and stale else 0


if __name__ == "__main__":
    sys.exit(run_case(__file__, play))
