"""The protocol of caches, parents and the origin: answers and load reports, read and checked."""

from limepath.configuration.decision_settings import LOAD_NAMES
from limepath.front.clock import clock
from limepath.interface.events import AttemptOutcome

VERDICTS = {
    b"DONE": AttemptOutcome.SUCCEEDED,
    b"KEEP": AttemptOutcome.SUCCEEDED,
    b"LACK": AttemptOutcome.MISS,
    b"WAIT": AttemptOutcome.FULL,
    b"BROKE": AttemptOutcome.FAILED,
    b"PAST": AttemptOutcome.SUPERSEDED,
    b"FIT": AttemptOutcome.SUCCEEDED,
    b"UNFIT": AttemptOutcome.FULL,
}
PROBE_WORDS = (b"FIT", b"UNFIT", b"WAIT")  # a probe, too, may find no room
FORWARD_WORDS = (b"DONE", b"KEEP", b"LACK", b"WAIT", b"BROKE", b"PAST")


class Unreadable(Exception):
    """What came from a cache cannot be read."""


def read_answer(line, longest):
    """Give (tag, word, fields, length) of an answer's first line, without its end."""
    words = line.split(b" ")
    if len(words) != 4:
        raise Unreadable(f"{len(words)} of 4 words")
    tag, word, told, size = words
    if word not in VERDICTS:
        raise Unreadable(f"unknown word {word[:20]!r}")
    if not size.isdigit() or len(size) > 9 or int(size) > longest:
        raise Unreadable(f"length {size[:20]!r}")
    fields = {}
    if told != b"-":
        for field in told.split(b","):
            name, equals, value = field.partition(b"=")
            if not equals:
                raise Unreadable(f"field {name[:20]!r}")
            fields[name] = value
    return tag, word, fields, int(size)


def read_load(told):
    """Give the load report that `use` holds, by the contract's names."""
    load = {}
    for field in told.decode("ascii", "replace").split(";"):
        name, _, value = field.partition(":")
        try:
            load[LOAD_NAMES.get(name, name)] = float(value)
        except ValueError:
            continue  # a report that cannot be read says nothing
    return load


def check_copy(attempt, word, fields, body, reference):
    """What is spoilt must not pass for a whole answer: a copy tells its tag and since when it is out."""
    get, oldest = attempt.get, attempt.order.max_age
    if word == b"KEEP" and (not get.cached_tag or body):
        raise Unreadable("KEEP without a copy to keep, or with one")
    tag, since = fields.get(b"rev"), fields.get(b"since")
    if get.event.is_write and tag is since is None:
        return
    if not tag or not tag.isalnum() or not since or not since.isdigit() or len(since) > 15:
        raise Unreadable("no tag or no time of the copy")
    if word == b"KEEP" and tag != get.cached_tag:
        raise Unreadable("KEEP of another copy than the client's")
    given_out = int(since) * 1000
    if not reference.has_passed(given_out):
        raise Unreadable("a copy from the future")
    age = reference.age(given_out)
    if oldest and age > oldest + clock() - attempt.at + reference.skew:
        raise Unreadable(f"a copy {age // 1000} ms old")
