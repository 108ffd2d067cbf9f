"""The log: structured lines on standard error; of each event so many in an interval, the rest are counted.

A line has `time`, `instance`, `event` and the event's own fields, as key=value for a person or as JSON.
"""

import os
import select
import stat
import sys
import time
import traceback
from collections.abc import Callable
from typing import Any, NamedTuple, TextIO

import structlog

FORMS = ("person", "json")
FIRST_FIELDS = ("time", "instance", "event")
MAX_LINE_LENGTH = 4000  # bytes; a pipe that can be written takes 4,096 at the least (pipe(7))
MICROSECONDS_PER_SECOND = 1e6


class StandardErrorLogger:
    """What structlog writes lines to; a log that nobody reads does not block the program."""

    def msg(self, line: str) -> None:
        """Write the line, or drop it where standard error is a full pipe: a write would wait for a reader."""
        if not is_full_pipe(sys.stderr):
            try:
                print(line[:MAX_LINE_LENGTH], file=sys.stderr, flush=True)
            except OSError:
                pass


def is_full_pipe(stream: TextIO) -> bool:
    """Return whether this stream is a pipe that takes no line now."""
    try:
        descriptor = stream.fileno()
        if not stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            return False
        poll = select.poll()
        poll.register(descriptor, select.POLLOUT)
        return not poll.poll(0)
    except (OSError, ValueError):  # no file behind it
        return False


def make_logger(form: str, instance: str) -> structlog.BoundLoggerBase:
    """Return the structlog logger of an instance that writes lines of this form.

    Raises:
        ValueError: `form` is none of FORMS.
    """
    if form not in FORMS:
        raise ValueError(f"log form {form!r}: one of {', '.join(FORMS)} is expected")
    if form == "json":
        renderer = structlog.processors.JSONRenderer()
    else:
        renderer = structlog.processors.LogfmtRenderer(key_order=FIRST_FIELDS, drop_missing=True)
    return structlog.wrap_logger(
        StandardErrorLogger(),
        wrapper_class=structlog.BoundLoggerBase,
        cache_logger_on_first_use=True,
        processors=[structlog.processors.TimeStamper(fmt="iso", key="time"), renderer],
    ).bind(instance=instance)


class EventCount(NamedTuple):
    """Lines of one event: `written` and `left_out` since `since`, in seconds of the log's clock."""

    since: float
    written: int = 0
    left_out: int = 0


class Log:
    """Writes events of one instance, with a limit on how many lines of one event stand in an interval.

    Further ones are counted, and their number (`left_out`) is written before the event's next line.

    Attributes:
        name: the instance, in every line.
        lines: lines of one event that are written in an interval.
        interval: its length in seconds.
        clock: returns monotonic seconds.
    """

    def __init__(
        self,
        name: str,
        lines: int,
        interval_us: float,
        form: str = "person",
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.name = name
        self.lines = lines
        self.interval = interval_us / MICROSECONDS_PER_SECOND
        self.clock = clock
        self._counts: dict[str, EventCount] = {}  # by event
        self._logger = make_logger(form, name)

    def info(self, event: str, text: str | None = None, /, **fields: Any) -> None:
        """Write the event with its fields; `text` is a sentence where one is needed, the field `said`."""
        if text is not None:
            fields["said"] = text
        now = self.clock()
        count = self._counts.get(event) or EventCount(now)
        if now - count.since > self.interval:
            if count.left_out:
                self._write(event, {"left_out": count.left_out})
            count = EventCount(now)
        if count.written < self.lines:
            self._write(event, fields)
            count = count._replace(written=count.written + 1)
        else:
            count = count._replace(left_out=count.left_out + 1)
        self._counts[event] = count

    def observe(self, event: dict[str, Any]) -> None:
        """Log what Twisted caught: an exception in one connection or timer, which it has ended."""
        if failure := event.get("log_failure"):
            self.fault(event.get("log_namespace", "twisted"), failure.value)

    def fault(self, where: str, error: BaseException) -> None:
        """Write a `fault` event: the error's text and type, and the function and line that raised it."""
        frames = traceback.extract_tb(error.__traceback__)
        raised_at = {"function": frames[-1].name, "line": frames[-1].lineno} if frames else {}
        self.info("fault", str(error), where=where, kind=type(error).__name__, **raised_at)

    def _write(self, event: str, fields: dict[str, Any]) -> None:
        printable = {name: plain(value) for name, value in fields.items()}
        self._logger._proxy_to_logger("msg", event, **printable)


def plain(value: Any) -> int | float | str | None:
    r"""Return what a line can hold of a value: a number, None, or text without line breaks.

    >>> plain(b"a\xff"), plain("a\nb"), plain(7)
    ('a\\xff', 'a\\nb', 7)
    """
    if isinstance(value, (int, float)) or value is None:
        return value
    text = value.decode("ascii", "backslashreplace") if isinstance(value, bytes) else str(value)
    return text.replace("\n", "\\n").replace("\r", "\\r")
