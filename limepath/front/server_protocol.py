"""The line protocol of caches, parents and the origin: formats commands, parses answers and load reports."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from limepath.configuration.decision_settings import LOAD_NAMES
from limepath.front.clock import clock
from limepath.interface.commands import ForwardRequest
from limepath.interface.events import AttemptOutcome

if TYPE_CHECKING:
    from limepath.front.attempt import Attempt
    from limepath.front.reference_clock import ReferenceClock

OUTCOMES = {
    b"DONE": AttemptOutcome.SUCCEEDED,
    b"KEEP": AttemptOutcome.SUCCEEDED,
    b"LACK": AttemptOutcome.MISS,
    b"WAIT": AttemptOutcome.FULL,
    b"BROKE": AttemptOutcome.FAILED,
    b"PAST": AttemptOutcome.SUPERSEDED,
    b"FIT": AttemptOutcome.SUCCEEDED,
    b"UNFIT": AttemptOutcome.FULL,
}
"""The attempt's outcome for each status word of an answer."""
PROBE_STATUSES = (b"FIT", b"UNFIT", b"WAIT")  # WAIT: the server is at its limit
ATTEMPT_STATUSES = (b"DONE", b"KEEP", b"LACK", b"WAIT", b"BROKE", b"PAST")
NOT_MODIFIED = b"KEEP"
STATUSES_WITH_COPY = (b"DONE", NOT_MODIFIED)
NO_FIELDS = b"-"
LINE_END = b"\r\n"
MAX_SIZE_DIGITS = 9
MAX_TIME_DIGITS = 15


class ParseError(Exception):
    """Raised for bytes from a server that violate the protocol; says what was found or is missing."""


class AnswerLine(NamedTuple):
    """The first line of an answer."""

    tag: bytes
    status: bytes
    fields: dict[bytes, bytes]
    size: int  # bytes of the body that follows


class Answer(NamedTuple):
    """A complete answer."""

    tag: bytes
    status: bytes
    fields: dict[bytes, bytes]
    body: bytes


def attempt_line(attempt: Attempt) -> bytes:
    """Format the command line of an attempt with its remaining time; the body and a line end follow."""
    request, command = attempt.request, attempt.command
    fields = [b"queue=%b,path=%b" % (request.service, request.object_id)]
    if request.block is not None:
        fields.append(b"blk=%b" % request.block)
    fields.append(b"budget=%d" % max(1, (attempt.deadline - clock()) // 1000))
    if attempt.source_name:
        fields.append(b"up=%b" % attempt.source_name)
    if command.keep_rank:
        fields.append(b"store=%d" % command.keep_rank)
    if command.max_age:
        fields.append(b"cap=%d" % max(1, command.max_age // 1000))
    if modes := _modes(command):
        fields.append(b"do=%b" % b"+".join(modes))
    if request.cached_tag:
        fields.append(b"inm=%b" % request.cached_tag)
    if request.idempotency_key:
        fields.append(b"uniq=%b" % request.idempotency_key)
    return b"ASK %b %b %d\r\n" % (request.transaction_id, b",".join(fields), len(request.body))


def _modes(command: ForwardRequest) -> list[bytes]:
    flags = (
        (b"join", command.join_fill),
        (b"held", command.cached_only),
        (b"nocopy", command.no_copy_above),
        (b"renew", command.revalidate),
    )
    return [mode for mode, is_set in flags if is_set]


def cancel_line(tag: bytes) -> bytes:
    """Format the command that cancels an attempt at a server."""
    return b"QUIT %b\r\n" % tag


def probe_line(command: bytes, tag: bytes) -> bytes:
    """Format the command of a health check; `command` selects whether the answer has a load report."""
    return command + b" %b\r\n" % tag


def parse_answer_line(line: bytes, max_size: int) -> AnswerLine:
    """Parse the first line of an answer, given without its line end.

    Raises ParseError if the line is malformed or its body is larger than `max_size` bytes.
    """
    words = line.split(b" ")
    if len(words) != 4:
        raise ParseError(f"answer line: expected 4 words, found {len(words)}")
    tag, status, field_list, size = words
    if status not in OUTCOMES:
        raise ParseError(f"unknown status {status[:20]!r}")
    if not size.isdigit() or len(size) > MAX_SIZE_DIGITS or int(size) > max_size:
        raise ParseError(f"body length {size[:20]!r} is not a number from 0 to {max_size}")
    fields = {}
    if field_list != NO_FIELDS:
        for field in field_list.split(b","):
            name, equals, value = field.partition(b"=")
            if not equals:
                raise ParseError(f"field {name[:20]!r} has no value")
            fields[name] = value
    return AnswerLine(tag, status, fields, int(size))


def parse_load(text: bytes) -> dict[str, float]:
    """Parse the load report of the field `use`, and map its names to those of the decisions.

    Values that are not numbers are skipped.
    """
    load = {}
    for field in text.decode("ascii", "replace").split(";"):
        name, _, value = field.partition(":")
        try:
            load[LOAD_NAMES.get(name, name)] = float(value)
        except ValueError:
            continue
    return load


def check_copy(attempt: Attempt, answer: Answer, reference: ReferenceClock) -> None:
    """Raise ParseError for a copy without a tag or time, from the future, or older than `max_age` allows.

    A corrupt answer must not be delivered as a complete one.
    """
    request = attempt.request
    if answer.status == NOT_MODIFIED and (not request.cached_tag or answer.body):
        raise ParseError("KEEP to a request without a cached tag, or with a body")
    tag = answer.fields.get(b"rev")
    since = answer.fields.get(b"since")
    if request.event.is_write and tag is since is None:
        return
    if not tag or not tag.isalnum() or not since or not since.isdigit() or len(since) > MAX_TIME_DIGITS:
        raise ParseError("field rev or since of the copy is missing or malformed")
    if answer.status == NOT_MODIFIED and tag != request.cached_tag:
        raise ParseError(f"KEEP with rev={tag[:20]!r}, not the tag of the client's copy")
    copied_at = int(since) * 1000
    if not reference.has_passed(copied_at):
        raise ParseError("the time of the copy is in the future")
    age = reference.age(copied_at)
    max_age = attempt.command.max_age
    if max_age and age > max_age + clock() - attempt.started_at + reference.skew:
        raise ParseError(f"the copy is {age // 1000} ms old; at most {max_age // 1000} ms were requested")
