"""Limits of the network code: sizes, counts and times, filled once at start and handed down."""

from typing import NamedTuple

FOOTING = 40  # megabytes that the program takes by itself, with room
KEPT_BACK = 64  # descriptors for the reactor, the log, the change log, the listener and what is just closing


class Limits(NamedTuple):
    """Times are whole microseconds, sizes bytes."""

    viewers: int  # connections of clients
    all_cache_connections: int
    streams: int  # forwards out on one connection
    open_gets: int
    cache_connections: int = 64  # to one cache, parent or origin
    head: int = 8192
    fields: int = 64  # header fields of a GET
    body: int = 48_000  # of a PUT
    answer: int = 240_000
    line: int = 4096  # of a cache's answer
    past: int = 64  # ids remembered on a connection
    skew: int = 100_000  # by which another machine's clock may be off
    stall: int = 1_000_000  # within an answer, until its connection is given up
    event: int = 4_000_000  # of the change log
    connect: int = 400_000
    wait: int = 300_000  # of a forward for a connection
    cache_idle: int = 24_000_000
    probe: int = 250_000
    backstop: int = 25_000  # after a GET's time is over, until the front errors it by itself
    viewer_idle: int = 60_000_000
    slow: int = 10_000_000  # for a head and body to come in, or for a close
    stuck: int = 30_000_000  # for an answer to be taken
    backlog: int = 1024  # connections that the system accepts ahead of the front
    fault_pause: int = 50_000
    feed_silence: int = 2_500_000
    feed_pause: int = 100_000  # the first before the change log is called again; they double
    feed_longest_pause: int = 600_000
    sweep: int = 500_000  # between looks at what is idle or silent
    leaving: int = 900_000  # after SIGTERM; new GETs come for 600 ms of it, the rest is for a busy core
    log_lines: int = 5  # of one kind
    log_span: int = 10_000_000


def planned(sockets, memory_mb, streams, **told):
    """Share the descriptors out: clients four tenths, if the memory can hold a whole answer and a body for
    each, the rest among the members.

    >>> limits = planned(1024, 192, 32, open_gets=20_000)
    >>> limits.viewers, limits.all_cache_connections
    (409, 551)
    >>> planned(1024, 96, 32, open_gets=20_000).viewers
    194
    """
    whole = Limits._field_defaults["answer"] + Limits._field_defaults["body"]
    held = max(64, (memory_mb - FOOTING) * 1_000_000 // whole)
    viewers = max(1, min(sockets * 4 // 10, held))
    return Limits(viewers, max(8, sockets - viewers - KEPT_BACK), streams, **told)
