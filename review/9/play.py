"""Case 9: the purge of the object whose name is zero is taken for the purge of a group."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common2"))

from case import Case, configuration, run, settings  # noqa: E402
from stand_ins import Answer, Ask, ChangeLog, Clients, Server  # noqa: E402

OBJECT = os.environ.get("OBJECT", "0" * 16)
HEED_S = 0.3  # `heed-within` of the settings
SOCKET_SLACK_S = 0.05  # each time limit is 50 ms longer on sockets (protocol page)
GONE_S = 6.0  # `gone-everywhere`: until then old copies may lie about


class Copies:
    """What caches hold: when the origin gave out each copy, in Unix milliseconds."""

    def __init__(self) -> None:
        self.since: dict[tuple[str, str], int] = {}
        self.served: dict[str, tuple[float, int]] = {}  # by request: when it came, and the copy's time

    async def answer(self, server: Server, ask: Ask) -> Answer | None:
        """Answer with the copy held, where it is young enough for the request's `cap`; else fill or miss."""
        key = server.name, ask.fields["path"]
        now_ms = int(time.time() * 1000)
        since = self.since.get(key)
        limit_ms = int(ask.fields.get("cap", "8000"))
        if since is None or now_ms - since > limit_ms:
            if server.kind == "caja-chica" and "up" not in ask.fields:
                return "LACK", "-", b""
            since = self.since[key] = now_ms
        self.served[ask.id] = ask.arrived_at, since
        return "DONE", f"rev=a{since},since={since}", b"lesson" * 100


async def play(case: Case) -> list[str]:
    """Fill the object, purge it, and ask for it again once the purge has to be heeded."""
    copies = Copies()
    caches = [Server(f"s-{n}", "caja-chica", "escuela", case.record, copies.answer) for n in range(4)]
    parent = Server("p-0", "mayor", "costa", case.record, copies.answer, size=30)
    origin = Server("o-0", "archivo", "costa", case.record, copies.answer, size=40)
    servers = [*caches, parent, origin]
    for server in servers:
        await server.listen()
    log = ChangeLog(case.record)
    await log.listen()
    members = [server.entry() for server in servers]
    log.add(fleet={"revision": 1, "complete": True, "members": members})
    front = case.front("n0", configuration(log.address, log.known(), settings()))
    await front.start()
    clients = Clients(front.address, case.record)
    for _ in range(10):
        await clients.send("material", OBJECT, 2.0)
        await asyncio.sleep(0.1)
    told_at, purged_ms = float("inf"), 0
    if case.trouble:
        purged_ms = int(time.time() * 1000)
        told_at = log.publish(invalidate={"object": OBJECT, "time": purged_ms})
    await asyncio.sleep(HEED_S + SOCKET_SLACK_S + 0.15)
    late = [await clients.send("material", OBJECT, 2.0) for _ in range(20)]
    broken = []
    for request in late:
        if request.status != 200 or request.id not in copies.served:
            continue
        sent_at, since = copies.served[request.id]
        after_s = sent_at - told_at
        if HEED_S + SOCKET_SLACK_S < after_s < GONE_S and since < purged_ms:
            broken.append(
                f"{request.id}, sent {after_s:.3f} s after the purge of {OBJECT} was told, is answered "
                f"from a copy {purged_ms - since} ms older than the purge"
            )
    clients.close()
    for server in servers:
        server.die()
    log.close()
    return broken


if __name__ == "__main__":
    run(play, HERE)
