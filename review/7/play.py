"""Case 7: clients with copies make fronts take whole answers for short ones, and a cold cache falls."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common2"))

from case import Case, run  # noqa: E402
from cold import Escuela  # noqa: E402

RATE = float(os.environ.get("RATE", "120"))  # requests a second at each front; the service page: up to 170
WITH_COPY = float(os.environ.get("WITH_COPY", "0.7"))  # share of the requests with If-None-Match
BEFORE_S = 5.0
AWAY_S = 7.5  # the brief: caches come back after 7.4 to 24 s
AFTER_S = 16.0


async def play(case: Case) -> list[str]:
    """Let one of nine caches die and come back cold while clients go on asking."""
    escuela = Escuela(case, int(os.environ.get("SEED", "1")), RATE, WITH_COPY)
    await escuela.open()
    escuela.log.add(fleet=escuela.list_event(*escuela.servers, complete=True))
    await escuela.start_fronts()
    escuela.start_traffic()
    await asyncio.sleep(BEFORE_S)
    if case.trouble:
        cold = escuela.cold
        case.record.note(f"{cold.server.name} dies")
        cold.server.die()
        escuela.empty_cold_cache()
        await asyncio.sleep(AWAY_S)
        await cold.server.listen()
        cold.server.up_since_ms = int(time.time() * 1000)
        cold.started_at = time.monotonic()
        cold.told_at = escuela.log.publish(fleet=escuela.list_event(cold.server)) + 0.05
    for _ in range(int(AFTER_S)):
        await asyncio.sleep(1)
        if escuela.cold.fallen:
            break
    return await escuela.end()


if __name__ == "__main__":
    run(play, HERE)
