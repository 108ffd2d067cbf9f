"""The log: plain lines on standard error, so many of one kind in a span, the rest counted."""

import sys
import time


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

    def write(self, kind, text):
        try:
            print(f"limepath {self.name}: {kind}: {text}", file=sys.stderr, flush=True)
        except OSError:
            pass  # nobody reads the log; the front goes on
