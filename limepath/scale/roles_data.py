"""The data path: one real front before stand-in caches, its processor time a request by size of body.

The caches and the clients are processes of their own (`python -m limepath.scale.roles_data cache|load`), so
that only the front's time counts; it includes the system's work for its sockets on loopback. The clients ask
either one request after another or at a pace: below its capacity a front wakes for each message by itself, so
that a request costs more than in a crowd. Objects are named by what they are: size of the body, and whether
the first cache lacks it.
"""

import asyncio
import json
import os
import socket
import sys
import tempfile
import time

import psutil

from limepath.scale.measured import Fact, Found, Series
from limepath.scale.roles import await_line, configuration, end, listed, process_cpu, started
from limepath.testbed.process import HOST, free_ports

MEAN = 129_000  # bytes: 1.13 Gbit/s by 1,096 requests a second
SIZES = (1_000, 8_000, 64_000, 96_000, MEAN, 180_000, 240_000)  # bytes; the last is the longest of a front
CACHES, PARENTS = 6, 2
CLIENTS, FEW_CLIENTS = 16, 4
PACE_OF_CLIENT = 16  # requests a second at most, where there is a pace: connections do not fall idle
WARM, SPAN, ROUNDS = 0.7, 2.0, 2  # seconds; of each load
PACES = (50, 100, 200, 400, 800, 1096)  # requests a second, of the paced load
LACKED = "f"  # first digit of an object that its cache lacks
MOST_FAILED, LEAST_PACE = 0.01, 0.95
BODY = bytes(range(256)) * 1000
READY = "up"


# The stand-in caches


class CacheConnection(asyncio.Protocol):
    """Answers each command at once, with a body of the size that the object's name tells."""

    def connection_made(self, transport):
        self.transport, self.rest = transport, b""
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data):
        *lines, self.rest = (self.rest + data).split(b"\r\n")
        for line in lines:
            words = line.split(b" ")
            if words[0] == b"ASK":
                self.asked(words[1], words[2])
            elif words[0] in (b"INFO", b"NOOP"):
                self.transport.write(words[1] + b" FIT use=inflight:1;util:0.1 0\r\n\r\n")

    def asked(self, tag, told):
        fields = dict(field.split(b"=") for field in told.split(b","))
        name = fields[b"path"].decode()
        if name.startswith(LACKED) and b"up" not in fields:
            return self.transport.write(tag + b" LACK - 0\r\n\r\n")
        size = int(name[-6:], 16)
        head = b"%b DONE rev=4be0,since=%d %d\r\n" % (tag, time.time() * 1000, size)
        self.transport.writelines((head, memoryview(BODY)[:size], b"\r\n"))


async def caches(ports):
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(CacheConnection, HOST, port) for port in ports]
    print(READY, flush=True)
    await asyncio.gather(*(server.serve_forever() for server in servers))


# The clients


class Clients:
    """Requests in a closed loop, or at `pace` a second together; prints what it counted when told to end."""

    def __init__(self, port, size, lacked, clients, pace):
        self.port, self.size, self.lacked, self.clients, self.pace = port, size, lacked, clients, pace
        self.served, self.failed, self.number = 0, 0, 0

    def name(self):
        self.number += 1
        return f"{LACKED if self.lacked else '1'}{self.number % 10_000:09x}{self.size:06x}"

    async def client(self, at):
        reader, writer = await asyncio.open_connection(HOST, self.port, limit=1 << 20)
        due = time.monotonic() + at / self.pace if self.pace else 0
        while True:
            if self.pace:
                due += self.clients / self.pace
                await asyncio.sleep(max(0, due - time.monotonic()))
            writer.write(
                b"GET /invoke/video/%b HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %016x\r\nX-Ttl-Ms: 5000\r\n"
                b"X-Family: 17\r\n\r\n" % (self.name().encode(), at << 40 | self.number)
            )
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
            if length:
                await reader.readexactly(length)
            whole = head.startswith(b"HTTP/1.1 200") and length == self.size
            self.served, self.failed = self.served + whole, self.failed + (not whole)

    async def run(self, front):
        """Let the load run; give what a request cost the front over SPAN, and whether it was served."""
        tasks = [asyncio.create_task(self.client(at)) for at in range(self.clients)]
        await asyncio.wait(tasks, timeout=WARM)
        served, failed, spent, at = self.served, self.failed, process_cpu(front), time.monotonic()
        ended, _ = await asyncio.wait(tasks, timeout=SPAN)
        spent, span = process_cpu(front) - spent, time.monotonic() - at
        for task in ended:
            task.result()  # a client that ended has failed
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        served, failed = self.served - served, self.failed - failed
        return {"served": served, "failed": failed, "cpu": spent, "span": span}


# The measurement


class Site:
    """One front with its caches."""

    def __init__(self, folder):
        self.folder, self.loads = folder, 0
        self.port, *ports = free_ports(socket.SOCK_STREAM, 2 + CACHES + PARENTS)
        self.log, cache_log = os.path.join(folder, "front.log"), os.path.join(folder, "caches.log")
        members = [listed(at, f"{HOST}:{port}") for at, port in enumerate(ports[:CACHES])]
        above = ports[CACHES : CACHES + PARENTS]
        members += [listed(at, f"{HOST}:{port}", "parent", "hub") for at, port in enumerate(above)]
        members.append(listed(0, f"{HOST}:{ports[-1]}", "origin", "hub"))
        told = configuration(f"{HOST}:{self.port}", members)
        told["settings"]["family-info"]["pipe-kb-per-s"] = [1_000_000.0, 0.0]
        file = os.path.join(folder, "front.json")
        with open(file, "w", encoding="utf-8") as out:
            json.dump(told, out)
        self.caches = started(["-m", __name__, "cache", json.dumps(ports)], cache_log, {})
        self.front = None
        try:
            await_line(self.caches, cache_log, READY)
            self.front = started(["-m", "limepath"], self.log, {"ROUTER_CONFIG": file})
            await_line(self.front, self.log, "event=ready")
        except BaseException:
            self.close()
            raise

    def load(self, size, lacked=False, clients=CLIENTS, pace=0):
        """What the front spent on this load."""
        self.loads += 1
        log = os.path.join(self.folder, f"load-{self.loads}")
        words = json.dumps([self.port, size, lacked, clients, pace, self.front.pid])
        process = started(["-m", __name__, "load", words], log, {})
        process.wait(WARM + SPAN + 30)
        with open(log, encoding="utf-8") as file:
            told = file.read()
        if process.returncode:
            raise ValueError(f"load of {size} bytes: {told[-300:]}")
        found = json.loads(told)
        if found["failed"] > MOST_FAILED * found["served"] or not found["served"]:
            raise ValueError(f"load of {size} bytes: {found}")
        if found["served"] < LEAST_PACE * pace * found["span"]:
            raise ValueError(f"load of {size} bytes at {pace} a second: {found}; the pace was not reached")
        return found

    def close(self):
        end(*filter(None, (self.caches, self.front)))


def microseconds(found):
    return found["cpu"] / found["served"]


def share(found):
    """Of a core, in percent."""
    return found["cpu"] / found["span"] / 1e4


def least(load, cost, sizes):
    """The least cost of each size in ROUNDS rounds, which take turns: a busy spell meets all sizes."""
    rounds = [[cost(load(size)) for size in sizes] for _ in range(ROUNDS)]
    return tuple((size, round(min(costs), 2)) for size, *costs in zip(sizes, *rounds, strict=True))


def measure():
    """Give the Found of the data path."""
    with tempfile.TemporaryDirectory() as folder:
        site = Site(folder)
        try:
            held = least(site.load, microseconds, SIZES)
            lacked = least(lambda size: site.load(size, True, FEW_CLIENTS), microseconds, SIZES)
            paced = least(lambda pace: site.load(MEAN, False, -(-pace // PACE_OF_CLIENT), pace), share, PACES)
            memory = psutil.Process(site.front.pid).memory_info().rss / 1e6
        finally:
            site.close()
    size, unit, source = "bytes of the body", "us of CPU a request", "real process"
    return Found(
        (
            Series("held", f"a held copy, {CLIENTS} clients without a pause", unit, size, held, source),
            Series("lacked", "a copy that its cache lacks, filled from a parent", unit, size, lacked, source),
            Series(
                "paced", f"held copies of {MEAN:,} bytes", "% of a core", "requests a second", paced, source
            ),
        ),
        (Fact("memory", "resident after all loads", "MB", round(memory, 1)),),
        (
            f"{SPAN:.0f} s each, least of {ROUNDS} rounds; {FEW_CLIENTS} clients where copies are lacked, "
            f"one by {PACE_OF_CLIENT} a second at a pace; {CACHES} caches, {PARENTS} parents on loopback; "
            "kept-alive connections, plain HTTP; work for loopback sockets is in it, a network card's is not",
        ),
    )


def main(what, told):
    if what == "cache":
        return asyncio.run(caches(json.loads(told)))
    *load, front = json.loads(told)
    print(json.dumps(asyncio.run(Clients(*load).run(front))))


if __name__ == "__main__":
    main(*sys.argv[1:])
