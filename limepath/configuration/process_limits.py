"""Limits of the network code: sizes, counts and times, filled once at start and handed down."""

import resource
from typing import NamedTuple

FOOTING = 40  # megabytes that the program takes by itself, with room
KEPT_BACK = 64  # descriptors for the reactor, the log, the cache list, the listener, shared state and:
ACCEPTED_AT_ONCE = 16  # clients' connections over the limit, until as many idle ones have closed
CROSSING_CLOSES = 16  # new connections to caches while as many idle ones are closing for them


class Limits(NamedTuple):
    """Times are whole microseconds, sizes bytes."""

    viewers: int  # connections of clients
    all_cache_connections: int
    streams: int  # forwards out on one connection
    open_gets: int
    all_stuck: int  # connections of clients that do not take what they asked for
    cache_connections: int = 32  # to one cache, parent or origin
    head: int = 8192
    fields: int = 64  # header fields of a GET
    body: int = 48_000  # of a PUT
    answer: int = 240_000
    line: int = 4096  # of a cache's answer
    past: int = 32  # ids remembered on a connection
    skew: int = 100_000  # by which another machine's clock may be off
    stall: int = 1_000_000  # within an answer, until its connection is given up
    gone: int = 2_000_000  # until a member that has gone is forgotten
    event: int = 4_000_000  # of the change log
    connect: int = 400_000
    wait: int = 300_000  # of a forward for a connection
    cache_idle: int = 24_000_000
    probe: int = 250_000
    backstop: int = 25_000  # after a GET's time is over, until the front errors it by itself
    viewer_idle: int = 5_000_000  # after an answer
    slow: int = 2_000_000  # for a head and body to come in, from connecting for the first
    linger: int = 1_000_000  # for the client to close, after the front has
    last_call: int = 5_000_000  # for last answers to be taken, after SIGTERM
    dropped: int = 256_000  # behind a refusal, until no more is read
    young: int = 300_000  # in which one that has just connected sends its GET
    stuck: int = 10_000_000  # for an answer to be taken
    come_back: int = 0  # told to a GET that finds too many open
    backlog: int = 1024  # connections that the system accepts ahead of the front
    fault_pause: int = 50_000
    late_pass: int = (
        20_000  # from the first note of a pass, until what came meanwhile is read before deciding
    )
    accept_pause: int = 10_000  # at the end, before accept that failed is asked again
    feed_silence: int = 2_500_000
    feed_unanswered: int = 3  # calls of the change log that are left open beside a new one
    feed_pause: int = 100_000  # the first before the change log is called again; they double
    feed_longest_pause: int = 600_000
    sweep: int = 250_000  # between looks at what is idle or silent
    last_answer: int = 3_600_000  # after SIGTERM, until all that is open has had its answer
    leaving: int = 1_200_000  # after SIGTERM, until nothing new is taken
    log_lines: int = 5  # of one kind
    log_span: int = 10_000_000


def available(sockets):
    """Descriptors that the front may count on: those that its settings tell, and no more than the system
    gives the process.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sockets if soft == resource.RLIM_INFINITY else min(sockets, soft)


def planned(sockets, memory_mb, streams, **told):
    """Share the descriptors out: clients four tenths (the usual ones hold a third at most), the rest among
    the members. Half of the memory beside the program's own may be answers that clients do not take."""
    viewers = max(1, sockets * 4 // 10)
    stuck = max(8, (memory_mb - FOOTING) * 500_000 // Limits._field_defaults["answer"])
    return Limits(viewers, max(8, sockets - viewers - KEPT_BACK), streams, all_stuck=stuck, **told)
