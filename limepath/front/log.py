"""The log: plain lines on standard error, so many of one kind in a span, the rest counted."""

import sys
import time
import traceback


class Log:
    def __init__(self, name, lines, span):
        self.name, self.lines, self.span, self.kinds = name, lines, span / 1e6, {}

    def say(self, kind, text):
        now = time.monotonic()
        since, said, held = self.kinds.get(kind, (now, 0, 0))
        if now - since > self.span:
            if held:
                self.write(kind, f"{held} more lines of this kind left out")
            since, said, held = now, 0, 0
        if said < self.lines:
            self.write(kind, text)
            said += 1
        else:
            held += 1
        self.kinds[kind] = since, said, held

    def observe(self, event):
        """Take what Twisted caught: an exception in one connection or timer, which it has ended."""
        if failure := event.get("log_failure"):
            self.fault(event.get("log_namespace", "twisted"), failure.value)

    def fault(self, where, flaw):
        frames = traceback.extract_tb(flaw.__traceback__)
        at = f" ({frames[-1].name}, line {frames[-1].lineno})" if frames else ""
        self.say("fault", f"{where}: {type(flaw).__name__}: {flaw}{at}")

    def write(self, kind, text):
        try:
            print(f"limepath {self.name}: {kind}: {text}", file=sys.stderr, flush=True)
        except OSError:
            pass  # nobody reads the log; the front goes on
