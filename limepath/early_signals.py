"""Signals that come before a front can act on them, kept until it can. Nothing heavy is loaded here: the
interpreter spends most of a start in imports, and a SIGHUP in that time would end the process, or be lost if
it were ignored.
"""

import signal

held = set()


def hold():
    for number in (signal.SIGHUP, signal.SIGTERM):
        signal.signal(number, lambda number, _: held.add(number))
