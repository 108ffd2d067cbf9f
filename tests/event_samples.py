"""Purges at the rate of the largest fleet, for the tests of the event window and of recent purges."""

import json

from hypothesis import settings

from limepath.discovery.event_coding import encode_event

SECOND = 1_000_000


RATE = 36  # purges per second in the largest fleet


SPAN = 300 * SECOND  # the longest partition after which a subscriber catches up without a snapshot


MAX_BYTES = 1_000_000


NOW_MS = 1_796_000_000_000


repeatable = settings(deadline=None, derandomize=True)


def arrival_time(number):
    """Return when the event with this number arrives at `RATE`."""
    return number * SECOND // RATE


def purge(seq, **target):
    target = target or {"object": f"{seq * 0x9E3779B97F4A7C15 % 2**64:016x}"}
    return {"seq": seq, "invalidate": target | {"time": NOW_MS + arrival_time(seq) // 1000}}


def encoded(event):
    return encode_event(event, json.dumps(event))
