"""The line protocol of caches, parents and the origin: commands written, answers and load reports read."""

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
"""What the first word of an answer means."""
PROBE_WORDS = (b"FIT", b"UNFIT", b"WAIT")  # a probe, too, may find the server at its limit
ATTEMPT_WORDS = (b"DONE", b"KEEP", b"LACK", b"WAIT", b"BROKE", b"PAST")
NOT_MODIFIED = b"KEEP"
WITH_COPY = (b"DONE", NOT_MODIFIED)
NO_FIELDS = b"-"
LINE_END = b"\r\n"
MAX_SIZE_DIGITS = 9
MAX_TIME_DIGITS = 15


class ParseError(Exception):
    """What came from a server cannot be read: what was found, or what is missing."""


class AnswerLine(NamedTuple):
    """The first line of an answer."""

    tag: bytes
    word: bytes
    fields: dict[bytes, bytes]
    size: int  # of the body that follows, in bytes


class Answer(NamedTuple):
    """A complete answer."""

    tag: bytes
    word: bytes
    fields: dict[bytes, bytes]
    body: bytes


def attempt_line(attempt: Attempt) -> bytes:
    """The command line of an attempt, with what is left of its time; the body and a line end follow."""
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
    return [word for word, is_set in flags if is_set]


def cancel_line(tag: bytes) -> bytes:
    """The command that tells a server that nobody waits for this attempt any more."""
    return b"QUIT %b\r\n" % tag


def probe_line(word: bytes, tag: bytes) -> bytes:
    """The command of a health check; `word` says whether a load report is wanted."""
    return word + b" %b\r\n" % tag


def parse_answer_line(line: bytes, max_size: int) -> AnswerLine:
    """Parse an answer's first line, without its end; raises ParseError, also for a body over `max_size`."""
    words = line.split(b" ")
    if len(words) != 4:
        raise ParseError(f"{len(words)} of 4 words")
    tag, word, field_list, size = words
    if word not in OUTCOMES:
        raise ParseError(f"unknown word {word[:20]!r}")
    if not size.isdigit() or len(size) > MAX_SIZE_DIGITS or int(size) > max_size:
        raise ParseError(f"length {size[:20]!r}")
    fields = {}
    if field_list != NO_FIELDS:
        for field in field_list.split(b","):
            name, equals, value = field.partition(b"=")
            if not equals:
                raise ParseError(f"field {name[:20]!r}")
            fields[name] = value
    return AnswerLine(tag, word, fields, int(size))


def parse_load(text: bytes) -> dict[str, float]:
    """The load report in the field `use`, by the decisions' names; what cannot be read is left out."""
    load = {}
    for field in text.decode("ascii", "replace").split(";"):
        name, _, value = field.partition(":")
        try:
            load[LOAD_NAMES.get(name, name)] = float(value)
        except ValueError:
            continue
    return load


def check_copy(attempt: Attempt, answer: Answer, reference: ReferenceClock) -> None:
    """Raise ParseError for a copy without a tag or a time, from the future, or older than was asked for.

    What is corrupt must not pass for a complete answer.
    """
    request = attempt.request
    if answer.word == NOT_MODIFIED and (not request.cached_tag or answer.body):
        raise ParseError("KEEP without a copy to keep, or with one")
    tag = answer.fields.get(b"rev")
    since = answer.fields.get(b"since")
    if request.event.is_write and tag is since is None:
        return
    if not tag or not tag.isalnum() or not since or not since.isdigit() or len(since) > MAX_TIME_DIGITS:
        raise ParseError("no tag or no time of the copy")
    if answer.word == NOT_MODIFIED and tag != request.cached_tag:
        raise ParseError("KEEP of another copy than the client's")
    copied_at = int(since) * 1000
    if not reference.has_passed(copied_at):
        raise ParseError("a copy from the future")
    age = reference.age(copied_at)
    max_age = attempt.command.max_age
    if max_age and age > max_age + clock() - attempt.started_at + reference.skew:
        raise ParseError(f"a copy {age // 1000} ms old")
