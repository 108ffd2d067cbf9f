"""Signals that arrive before a front can act on them are recorded until it can.

Nothing heavy is loaded here: the interpreter spends most of a start in imports, and a SIGHUP in that time
would end the process, or be lost if it were ignored.
"""

import signal

DEFERRED_SIGNALS = (signal.SIGHUP, signal.SIGTERM)

received: set[int] = set()  # signals that arrived since `defer_signals`


def defer_signals() -> None:
    """Record SIGHUP and SIGTERM in `received` from now on, in place of what they do by default."""
    for number in DEFERRED_SIGNALS:
        signal.signal(number, lambda number, _: received.add(number))
