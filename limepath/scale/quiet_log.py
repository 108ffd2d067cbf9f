"""The log of a hollow front: lines are counted by event, and written to a file where one is told."""

import sys
import traceback
from datetime import UTC, datetime

import msgspec

from limepath.log import log_value

FAULTS_SHOWN = 20  # of one process, on its standard error


class LogFile:
    """One for all fronts of a process; `path` "" for none."""

    def __init__(self, path):
        self.file, self.shown = open(path, "ab", buffering=0) if path else None, 0

    def write(self, fields):
        if self.file:
            self.file.write(msgspec.json.encode(fields) + b"\n")

    def fault(self, flaw):
        """Faults of the program are never silent."""
        self.shown += 1
        if self.shown <= FAULTS_SHOWN:
            traceback.print_exception(flaw, file=sys.stderr)


class CountingLog:
    """In place of limepath.log.Log, without its bound on lines: `said` holds their number by event."""

    def __init__(self, name, file):
        self.name, self.file, self.said = name, file, {}

    def info(self, event, said=None, **fields):
        self.said[event] = self.said.get(event, 0) + 1
        if self.file.file:
            told = {"time": datetime.now(UTC).isoformat(), "instance": self.name, "event": event}
            if said is not None:
                fields["said"] = said
            self.file.write(told | {name: log_value(value) for name, value in fields.items()})

    def observe(self, event):
        """Take what Twisted caught in a connection or timer."""
        if failure := event.get("log_failure"):
            self.fault(event.get("log_namespace", "twisted"), failure.value)

    def fault(self, where, flaw):
        self.info("fault", str(flaw), where=where, kind=type(flaw).__name__)
        self.file.fault(flaw)

    def take(self):
        said, self.said = self.said, {}
        return said
