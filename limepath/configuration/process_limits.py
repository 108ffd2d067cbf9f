"""Limits of the network code: sizes, counts and times, filled once at start and handed down."""

import resource
from typing import Any, NamedTuple

PROGRAM_MEGABYTES = 40  # that the program takes by itself, with some to spare
# For the reactor, the log, the endpoint list, the listener, shared state, and for the two below.
RESERVED_DESCRIPTORS = 64
ACCEPTED_AT_ONCE = 16  # clients' connections over the limit, until as many idle ones have closed
CROSSING_CLOSES = 16  # new connections to caches while as many idle ones are closing for them
FEWEST_CACHE_CONNECTIONS = 8
FEWEST_UNDRAINED = 8
# Bytes of answers not taken by clients, for each megabyte beside the program's own: half of it.
UNDRAINED_BYTES_PER_MEGABYTE = 500_000


class Limits(NamedTuple):
    """Times are whole microseconds, sizes bytes."""

    client_connections: int
    all_cache_connections: int
    streams: int  # attempts in flight on one connection
    open_requests: int  # requests that are owed an answer
    undrained_connections: int  # connections of clients that do not take what they asked for
    cache_connections: int = 32  # to one cache, parent or origin
    head: int = 8192
    fields: int = 64  # header fields of a request
    body: int = 48_000  # of a PUT
    answer: int = 240_000
    line: int = 4096  # of a cache's answer
    remembered_tags: int = 32  # tags of ended attempts, on one connection
    skew: int = 100_000  # by which another machine's clock may be off
    stall: int = 1_000_000  # within an answer, until its connection is given up
    removed_endpoint_lifetime: int = 2_000_000  # until an endpoint that was removed is forgotten
    event: int = 4_000_000  # bytes of one event of the change log
    connect: int = 400_000
    wait: int = 300_000  # of an attempt for a connection
    cache_idle: int = 24_000_000
    probe: int = 250_000
    backstop: int = 25_000  # after a request's deadline, until the front fails it by itself
    viewer_idle: int = 5_000_000  # of a client's connection, after an answer
    slow: int = 2_000_000  # for a head and body to come in, from connecting for the first
    linger: int = 1_000_000  # for the client to close, after the front has
    last_call: int = 5_000_000  # for last answers to be taken, after SIGTERM
    dropped: int = 256_000  # bytes read and discarded behind a rejected request
    first_request_grace: int = 300_000  # in which a client that has just connected sends its request
    undrained_timeout: int = 10_000_000  # for an answer to be taken
    overload_retry_after: int = 0  # Retry-After of a request that finds too many open
    backlog: int = 1024  # connections that the system accepts ahead of the front
    fault_pause: int = 50_000  # after an exception, until events are handed in again
    # From the first event of an iteration, until what arrived meanwhile is read before deciding.
    late_pass: int = 20_000
    accept_pause: int = 10_000  # while draining, before an accept that failed is tried again
    feed_silence: int = 2_500_000  # of the change log, until its stream is given up
    feed_unanswered: int = 3  # calls of the change log that are left open beside a new one
    feed_pause: int = 100_000  # the first backoff before the change log is called again; they double
    feed_longest_pause: int = 600_000
    sweep: int = 250_000  # between checks for what is idle or silent
    last_answer: int = 3_600_000  # after SIGTERM, until all that is open has had its answer
    drain_period: int = 1_200_000  # after SIGTERM, until no new request is accepted
    log_lines: int = 5  # of one event, in one `log_span`
    log_span: int = 10_000_000


def available_descriptors(configured: int) -> int:
    """Return how many descriptors the front may count on: as configured, but no more than the system's limit
    for this process.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return configured if soft == resource.RLIM_INFINITY else min(configured, soft)


def plan_limits(descriptors: int, memory_mb: int, streams: int, **others: Any) -> Limits:
    """Divide descriptors and memory among the uses of a front.

    Clients get four tenths of the descriptors (the usual ones hold a third at most), the endpoints the rest.
    Half of the memory beside the program's own may hold answers that clients do not take. `others` are
    further fields of `Limits`, by name.
    """
    client_connections = max(1, descriptors * 4 // 10)
    cache_connections = descriptors - client_connections - RESERVED_DESCRIPTORS
    undrained_bytes = (memory_mb - PROGRAM_MEGABYTES) * UNDRAINED_BYTES_PER_MEGABYTE
    return Limits(
        client_connections,
        max(FEWEST_CACHE_CONNECTIONS, cache_connections),
        streams,
        undrained_connections=max(FEWEST_UNDRAINED, undrained_bytes // Limits._field_defaults["answer"]),
        **others,
    )
