"""Measures the data path: processor time per request of one real front, by body size.

The caches are simulated. They and the clients run in processes of their own (`python -m
limepath.scale.roles_data cache|load`), so that only the front's time is counted; it includes the kernel's
work for its sockets on loopback. The clients send requests back to back or at a fixed rate: below its
capacity a front wakes up for each message separately, so that a request costs more than under full load. An
object's name encodes its body size and whether the first cache lacks it.
"""

import asyncio
import json
import os
import socket
import sys
import tempfile
import time

import psutil

from limepath.scale.measured import Fact, RoleResult, Series
from limepath.scale.roles import (
    configuration,
    member_entry,
    process_cpu_us,
    start_process,
    terminate_processes,
    wait_for_log_text,
)
from limepath.testbed.process import HOST, free_ports

MEAN_BODY = 129_000  # bytes: 1.13 Gbit/s at 1,096 requests per second
SIZES = (
    1_000,
    8_000,
    64_000,
    96_000,
    MEAN_BODY,
    180_000,
    240_000,
)  # bytes; the last is the longest body at a front
CACHES, PARENTS = 6, 2
CLIENT_COUNT, MISS_CLIENTS = 16, 4
REQUESTS_PER_CLIENT = 16  # maximum, at a fixed rate; connections do not become idle
WARM_UP_S, MEASURE_S, ROUNDS = 0.7, 2.0, 2  # the times, in seconds, are those of each load
REQUEST_RATES = (50, 100, 200, 400, 800, 1096)  # requests per second
MISS_PREFIX = "f"  # first digit of the name of an object that the first cache lacks
MAX_FAILED_RATIO, MIN_RATE_RATIO = 0.01, 0.95
BODY = bytes(range(256)) * 1000
READY_TEXT = "up"


# Simulated caches


class CacheConnection(asyncio.Protocol):
    """Answers each command immediately, with a body of the size that the object's name encodes."""

    def connection_made(self, transport):
        self.transport, self.unparsed = transport, b""
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data):
        *lines, self.unparsed = (self.unparsed + data).split(b"\r\n")
        for line in lines:
            arguments = line.split(b" ")
            if arguments[0] == b"ASK":
                self.handle_lookup(arguments[1], arguments[2])
            elif arguments[0] in (b"INFO", b"NOOP"):
                self.transport.write(arguments[1] + b" FIT use=inflight:1;util:0.1 0\r\n\r\n")

    def handle_lookup(self, tag, arguments):
        fields = dict(field.split(b"=") for field in arguments.split(b","))
        object_name = fields[b"path"].decode()
        if object_name.startswith(MISS_PREFIX) and b"up" not in fields:
            return self.transport.write(tag + b" LACK - 0\r\n\r\n")
        size = int(object_name[-6:], 16)
        header = b"%b DONE rev=4be0,since=%d %d\r\n" % (tag, time.time() * 1000, size)
        self.transport.writelines((header, memoryview(BODY)[:size], b"\r\n"))


async def caches(ports):
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(CacheConnection, HOST, port) for port in ports]
    print(READY_TEXT, flush=True)
    await asyncio.gather(*(server.serve_forever() for server in servers))


# The clients


class LoadGenerator:
    """Sends requests in a closed loop, or at `rate` requests per second in total; counts the results."""

    def __init__(self, port, size, missing, clients, rate):
        self.port, self.size, self.missing, self.clients, self.rate = port, size, missing, clients, rate
        self.served, self.failed, self.number = 0, 0, 0

    def next_object_name(self):
        self.number += 1
        return f"{MISS_PREFIX if self.missing else '1'}{self.number % 10_000:09x}{self.size:06x}"

    async def client(self, at):
        reader, writer = await asyncio.open_connection(HOST, self.port, limit=1 << 20)
        due = time.monotonic() + at / self.rate if self.rate else 0
        while True:
            if self.rate:
                due += self.clients / self.rate
                await asyncio.sleep(max(0, due - time.monotonic()))
            writer.write(
                b"GET /invoke/video/%b HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %016x\r\nX-Ttl-Ms: 5000\r\n"
                b"X-Family: 17\r\n\r\n" % (self.next_object_name().encode(), at << 40 | self.number)
            )
            header = await reader.readuntil(b"\r\n\r\n")
            length = int(header.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
            if length:
                await reader.readexactly(length)
            is_complete = header.startswith(b"HTTP/1.1 200") and length == self.size
            self.served, self.failed = self.served + is_complete, self.failed + (not is_complete)

    async def run(self, front):
        """Run the load; return the front's processor time and the numbers of responses within MEASURE_S."""
        tasks = [asyncio.create_task(self.client(at)) for at in range(self.clients)]
        await asyncio.wait(tasks, timeout=WARM_UP_S)
        served, failed, cpu_us, at = self.served, self.failed, process_cpu_us(front), time.monotonic()
        ended, _ = await asyncio.wait(tasks, timeout=MEASURE_S)
        cpu_us, span = process_cpu_us(front) - cpu_us, time.monotonic() - at
        for task in ended:
            task.result()  # a client that ended has failed
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        served, failed = self.served - served, self.failed - failed
        return {"served": served, "failed": failed, "cpu": cpu_us, "span": span}


# The measurement


class FrontWithCaches:
    """One front process with the process of its simulated caches."""

    def __init__(self, folder):
        self.folder, self.load_count = folder, 0
        self.port, *ports = free_ports(socket.SOCK_STREAM, 2 + CACHES + PARENTS)
        self.log, cache_log = os.path.join(folder, "front.log"), os.path.join(folder, "caches.log")
        members = [member_entry(at, f"{HOST}:{port}") for at, port in enumerate(ports[:CACHES])]
        parent_ports = ports[CACHES : CACHES + PARENTS]
        members += [
            member_entry(at, f"{HOST}:{port}", "parent", "hub") for at, port in enumerate(parent_ports)
        ]
        members.append(member_entry(0, f"{HOST}:{ports[-1]}", "origin", "hub"))
        config = configuration(f"{HOST}:{self.port}", members)
        config["settings"]["family-info"]["pipe-kb-per-s"] = [1_000_000.0, 0.0]
        file = os.path.join(folder, "front.json")
        with open(file, "w", encoding="utf-8") as out:
            json.dump(config, out)
        self.caches = start_process(["-m", __name__, "cache", json.dumps(ports)], cache_log, {})
        self.front = None
        try:
            wait_for_log_text(self.caches, cache_log, READY_TEXT)
            self.front = start_process(["-m", "limepath"], self.log, {"ROUTER_CONFIG": file})
            wait_for_log_text(self.front, self.log, "event=ready")
        except BaseException:
            self.close()
            raise

    def load(self, size, missing=False, clients=CLIENT_COUNT, rate=0):
        """Run a load process against the front and return its counts; raise ValueError if the load failed."""
        self.load_count += 1
        log = os.path.join(self.folder, f"load-{self.load_count}")
        arguments = json.dumps([self.port, size, missing, clients, rate, self.front.pid])
        process = start_process(["-m", __name__, "load", arguments], log, {})
        process.wait(WARM_UP_S + MEASURE_S + 30)
        with open(log, encoding="utf-8") as file:
            output = file.read()
        if process.returncode:
            raise ValueError(f"load of {size} bytes: the load process failed: {output[-300:]}")
        result = json.loads(output)
        if result["failed"] > MAX_FAILED_RATIO * result["served"] or not result["served"]:
            raise ValueError(f"load of {size} bytes: too many failed requests: {result}")
        if result["served"] < MIN_RATE_RATIO * rate * result["span"]:
            raise ValueError(f"load of {size} bytes at {rate} a second: {result}; rate not reached")
        return result

    def close(self):
        terminate_processes(*filter(None, (self.caches, self.front)))


def cpu_us_per_request(result):
    return result["cpu"] / result["served"]


def core_percent(result):
    """Return the front's processor time as a percentage of one core."""
    return result["cpu"] / result["span"] / 1e4


def minimum_costs(load, cost, sizes):
    """Return (size, lowest cost) of each size over ROUNDS rounds.

    Each round covers all sizes, so that a period of high load on the machine affects all of them.
    """
    rounds = [[cost(load(size)) for size in sizes] for _ in range(ROUNDS)]
    return tuple((size, round(min(costs), 2)) for size, *costs in zip(sizes, *rounds, strict=True))


def measure():
    """Return the RoleResult of the data path."""
    with tempfile.TemporaryDirectory() as folder:
        setup = FrontWithCaches(folder)
        try:
            cached = minimum_costs(setup.load, cpu_us_per_request, SIZES)
            missing = minimum_costs(
                lambda size: setup.load(size, True, MISS_CLIENTS), cpu_us_per_request, SIZES
            )
            rate_costs = minimum_costs(
                lambda rate: setup.load(MEAN_BODY, False, -(-rate // REQUESTS_PER_CLIENT), rate),
                core_percent,
                REQUEST_RATES,
            )
            memory = psutil.Process(setup.front.pid).memory_info().rss / 1e6
        finally:
            setup.close()
    size, unit, source = "bytes of the body", "us of CPU a request", "real process"
    return RoleResult(
        (
            Series(
                "held", f"a held copy, {CLIENT_COUNT} clients without a pause", unit, size, cached, source
            ),
            Series(
                "lacked", "a copy that its cache lacks, filled from a parent", unit, size, missing, source
            ),
            Series(
                "paced",
                f"held copies of {MEAN_BODY:,} bytes",
                "% of a core",
                "requests a second",
                rate_costs,
                source,
            ),
        ),
        (Fact("memory", "resident after all loads", "MB", round(memory, 1)),),
        (
            f"{MEASURE_S:.0f} s each, least of {ROUNDS} rounds; {MISS_CLIENTS} clients where copies are "
            f"lacked, one by {REQUESTS_PER_CLIENT} a second at a pace; {CACHES} caches, {PARENTS} parents on "
            "loopback; kept-alive connections, plain HTTP; work for loopback sockets is in it, a "
            "network card's is not",
        ),
    )


def main(role, arguments):
    if role == "cache":
        return asyncio.run(caches(json.loads(arguments)))
    *load, front = json.loads(arguments)
    print(json.dumps(asyncio.run(LoadGenerator(*load).run(front))))


if __name__ == "__main__":
    main(*sys.argv[1:])
