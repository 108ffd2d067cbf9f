"""Records signals that arrive while a front is starting, until it can handle them.

This module imports nothing large, because a start spends most of its time in imports, and a SIGHUP in that
time would end the process, or be lost if it were ignored.
"""

import signal

DEFERRED_SIGNALS = (signal.SIGHUP, signal.SIGTERM)

received: set[int] = set()  # signals that arrived since the call of `defer_signals`


def defer_signals() -> None:
    """Replace the default action of SIGHUP and SIGTERM: record them in `received`."""
    for number in DEFERRED_SIGNALS:
        signal.signal(number, lambda number, _: received.add(number))
