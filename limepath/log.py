"""The log: structured lines on standard error, with a limit on the lines of one event per interval.

A line has the fields `time`, `instance` and `event`, and those of the event, as key=value pairs or as JSON.
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

LOG_FORMATS = ("person", "json")
FIRST_FIELDS = ("time", "instance", "event")
DEFAULT_ENCODING = "utf-8"  # of a standard error that is replaced by a stream of text
MAX_LINE_BYTES = 4000  # a pipe that is writable accepts at least 4,096 bytes (pipe(7))
MICROSECONDS_PER_SECOND = 1e6


class StandardErrorLogger:
    """Writes the lines of structlog to standard error, without blocking if nobody reads it."""

    def msg(self, line: str) -> None:
        """Write the line, or drop it if standard error is a full pipe, where a write would block."""
        if not is_full_pipe(sys.stderr):
            try:
                print(cut_line(line, sys.stderr.encoding or DEFAULT_ENCODING), file=sys.stderr, flush=True)
            except OSError:
                pass


def cut_line(line: str, encoding: str) -> str:
    """Return the line without what exceeds MAX_LINE_BYTES in this encoding; other characters are escaped."""
    return line.encode(encoding, "backslashreplace")[:MAX_LINE_BYTES].decode(encoding, "ignore")


def is_full_pipe(stream: TextIO) -> bool:
    """Return whether this stream is a pipe without room for a line."""
    try:
        descriptor = stream.fileno()
        if not stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            return False
        poll = select.poll()
        poll.register(descriptor, select.POLLOUT)
        return not poll.poll(0)
    except (OSError, ValueError):  # the stream has no descriptor
        return False


def make_logger(log_format: str, instance: str) -> structlog.BoundLoggerBase:
    """Return a structlog logger that writes lines of this format, with the name of the instance.

    Raises:
        ValueError: `log_format` is not one of LOG_FORMATS.
    """
    if log_format not in LOG_FORMATS:
        raise ValueError(f"log format: {log_format!r} is unknown; expected one of {', '.join(LOG_FORMATS)}")
    if log_format == "json":
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
    """Numbers of lines of one event that were written and left out since `since` (seconds)."""

    since: float
    written: int = 0
    left_out: int = 0


class Log:
    """Writes the log of one instance, with a limit on the lines of one event per interval.

    Lines over the limit are counted, and their number (`left_out`) is written before the event's next line.

    Attributes:
        name: name of the instance, written in every line.
        max_lines: maximum number of lines of one event in an interval.
        interval: length of an interval in seconds.
        clock: returns monotonic seconds.
    """

    def __init__(
        self,
        name: str,
        max_lines: int,
        interval_us: float,
        log_format: str = "person",
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.name = name
        self.max_lines = max_lines
        self.interval = interval_us / MICROSECONDS_PER_SECOND
        self.clock = clock
        self._counts: dict[str, EventCount] = {}  # by event
        self._logger = make_logger(log_format, name)

    def info(self, event: str, text: str | None = None, /, **fields: Any) -> None:
        """Write a line for the event with its fields; `text` is a message, written as the field `said`."""
        if text is not None:
            fields["said"] = text
        now = self.clock()
        count = self._counts.get(event) or EventCount(now)
        if now - count.since > self.interval:
            if count.left_out:
                self._write(event, {"left_out": count.left_out})
            count = EventCount(now)
        if count.written < self.max_lines:
            self._write(event, fields)
            count = count._replace(written=count.written + 1)
        else:
            count = count._replace(left_out=count.left_out + 1)
        self._counts[event] = count

    def observe(self, event: dict[str, Any]) -> None:
        """Log an exception that Twisted caught in a protocol or timer; ignore its other log events."""
        if failure := event.get("log_failure"):
            self.fault(event.get("log_namespace", "twisted"), failure.value)

    def fault(self, where: str, error: BaseException) -> None:
        """Write a `fault` event: text and type of an exception, and the function and line that raised it."""
        frames = traceback.extract_tb(error.__traceback__)
        raised_at = {"function": frames[-1].name, "line": frames[-1].lineno} if frames else {}
        self.info("fault", str(error), where=where, kind=type(error).__name__, **raised_at)

    def _write(self, event: str, fields: dict[str, Any]) -> None:
        printable = {name: log_value(value) for name, value in fields.items()}
        self._logger._proxy_to_logger("msg", event, **printable)


def log_value(value: Any) -> int | float | str | None:
    r"""Convert a value for a line of the log: to a number, None, or text without line breaks.

    >>> log_value(b"a\xff"), log_value("a\nb"), log_value(7)
    ('a\\xff', 'a\\nb', 7)
    """
    if isinstance(value, (int, float)) or value is None:
        return value
    text = value.decode("ascii", "backslashreplace") if isinstance(value, bytes) else str(value)
    return text.replace("\n", "\\n").replace("\r", "\\r")
