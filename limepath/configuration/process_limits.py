"""Limits of the network code: sizes, counts and timeouts, computed once at the start of a front."""

import os
import resource
from typing import Any, NamedTuple

PROGRAM_MEGABYTES = 40  # least memory of the program without buffered bytes, with a margin
GROWTH_MEGABYTES = 6  # by which the program's own memory grows after its start
# For the reactor, log, endpoint list, listener and shared state, and for the two excesses below.
RESERVED_DESCRIPTORS = 64
ACCEPTED_AT_ONCE = 16  # client connections allowed over the limit while idle ones are being closed
MAX_EXCESS_CONNECTIONS = 16  # endpoint connections allowed over the limit while idle ones are being closed
MIN_CACHE_CONNECTIONS = 8
# Incomplete answers of servers may fill half of the memory beyond the program's.
RESPONSE_BYTES_PER_MEGABYTE = 500_000
MIN_RESPONSE_BYTES = 2_000_000
# Answers that clients do not read may fill a quarter of it.
UNDRAINED_BYTES_PER_MEGABYTE = 250_000
MIN_UNDRAINED_BYTES = 1_000_000
# Incomplete requests and the bodies of open ones may fill a quarter of it.
REQUEST_BYTES_PER_MEGABYTE = 250_000
MIN_REQUEST_BYTES = 500_000
BYTES_PER_MEGABYTE = 1_000_000


class Limits(NamedTuple):
    """Limits of a front. Times are integers in microseconds, sizes are in bytes."""

    client_connections: int
    all_cache_connections: int
    streams: int  # attempts in flight on one connection to an endpoint
    open_requests: int  # requests without a complete answer
    undrained_bytes: int  # bytes of answers that the kernel has not accepted, as clients do not read
    response_bytes: int  # bytes of all incomplete answers of servers
    request_bytes: int  # bytes of all incomplete requests and of the bodies of all open ones
    cache_connections: int = 32  # connections to one cache, parent or origin
    head: int = 8192  # size of the head of a request or of a change log response
    fields: int = 64  # number of header fields of a request
    body: int = 48_000  # size of the body of a PUT
    answer: int = 240_000  # size of an endpoint's answer
    line: int = 4096  # length of the first line of an endpoint's answer
    remembered_tags: int = 32  # tags of ended attempts kept for one connection
    max_clock_skew: int = 100_000  # maximum clock error of another machine
    answer_stall_timeout: int = 1_000_000  # time without data within an answer until its connection is closed
    removed_endpoint_lifetime: int = 2_000_000  # time that a removed endpoint stays in memory
    event: int = 4_000_000  # size of one event of the change log
    connect: int = 400_000  # timeout of opening a connection
    connection_wait: int = 300_000  # maximum time that an attempt waits for a connection
    cache_idle: int = 24_000_000  # idle timeout of a connection to an endpoint
    probe: int = 250_000  # timeout of a probe
    # Time after its deadline when the front fails a request that the decision module has not ended.
    backstop: int = 25_000
    client_idle_timeout: int = 5_000_000  # idle timeout of a client connection after an answer
    # Timeout of reading the head and body of a request; it starts at the accept for the first request.
    request_read_timeout: int = 2_000_000
    half_close_timeout: int = 1_000_000  # timeout of the client's close after it has the last answer
    last_answer_read_timeout: int = 5_000_000  # time for clients to read their last answers after SIGTERM
    max_discarded_bytes: int = 256_000  # bytes read and discarded after a rejected request
    first_request_grace: int = 300_000  # time for which a new client connection is closed last
    # Time in which the kernel accepts a part of an answer if its client reads.
    unread_grace: int = 250_000
    undrained_timeout: int = 10_000_000  # least timeout of a client that does not read its answer
    overload_retry_after: int = 0  # Retry-After of a request rejected because of `open_requests`
    backlog: int = 1024  # length of the listen queue
    # Pause after an exception in the decision module until it handles events again.
    exception_pause: int = 50_000
    # Delay of the handling of events from which on the sockets are read once more before deciding.
    late_poll_threshold: int = 20_000
    # Time beyond the longest deadline for which the id of a request that may have run is remembered.
    repeat_margin: int = 5_000_000
    accept_pause: int = 10_000  # delay before a failed accept is retried while draining
    # Time without data until a stream from the change log is closed.
    change_log_silence_timeout: int = 2_500_000
    max_unanswered_calls: int = 3  # unanswered calls to the change log kept open beside a new call
    change_log_min_backoff: int = 100_000  # first backoff between calls to the change log; doubles each time
    change_log_max_backoff: int = 600_000  # maximum backoff between calls to the change log
    sweep: int = 250_000  # interval between checks for idle and silent connections
    last_answer: int = 3_600_000  # time from SIGTERM until all open requests have been answered
    drain_period: int = 1_200_000  # time from SIGTERM until new requests are no longer accepted
    log_lines: int = 5  # log lines of one event per `log_span`
    log_span: int = 10_000_000


def available_descriptors(configured: int) -> int:
    """Return the number of file descriptors that the front may use.

    That is the configured number, limited by the process's soft limit (RLIMIT_NOFILE).
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return configured if soft == resource.RLIM_INFINITY else min(configured, soft)


def resident_megabytes() -> int:
    """Return the resident memory of this process in megabytes, 0 if the system does not tell (proc(5))."""
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            pages = int(file.read().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return -(-pages * os.sysconf("SC_PAGE_SIZE") // BYTES_PER_MEGABYTE)


def plan_limits(
    descriptors: int, memory_mb: int, streams: int, resident_mb: int = 0, **others: Any
) -> Limits:
    """Divide descriptors and memory among clients and endpoints.

    Clients get 40 % of the descriptors, because the usual clients hold at most a third; endpoints get the
    rest. Of the memory that the program itself does not need, half may hold incomplete answers of servers, a
    quarter answers that clients do not read, and a quarter requests. `resident_mb` is the present memory of
    the process, in megabytes. `others` are further fields of `Limits`, by name.
    """
    client_connections = max(1, descriptors * 4 // 10)
    cache_connections = descriptors - client_connections - RESERVED_DESCRIPTORS
    free_mb = memory_mb - max(PROGRAM_MEGABYTES, resident_mb + GROWTH_MEGABYTES)
    return Limits(
        client_connections,
        max(MIN_CACHE_CONNECTIONS, cache_connections),
        streams,
        response_bytes=max(MIN_RESPONSE_BYTES, free_mb * RESPONSE_BYTES_PER_MEGABYTE),
        undrained_bytes=max(MIN_UNDRAINED_BYTES, free_mb * UNDRAINED_BYTES_PER_MEGABYTE),
        request_bytes=max(MIN_REQUEST_BYTES, free_mb * REQUEST_BYTES_PER_MEGABYTE),
        **others,
    )
