"""Purges at the rate of the largest fleet, for the tests of the event window and of recent purges."""

import json

from hypothesis import settings

from limepath.discovery.event_coding import encode_event

SECOND = 1_000_000


RATE = 36  # purges a second at the coming size


SPAN = 300 * SECOND  # the longest cut to be bridged


MOST_BYTES = 1_000_000


NOW_MS = 1_796_000_000_000


repeatable = settings(deadline=None, derandomize=True)


def at_rate(number):
    """When an event of this number comes, at the coming rate."""
    return number * SECOND // RATE


def purge(seq, **target):
    target = target or {"object": f"{seq * 0x9E3779B97F4A7C15 % 2**64:016x}"}
    return {"seq": seq, "invalidate": target | {"time": NOW_MS + at_rate(seq) // 1000}}


def encoded(told):
    return encode_event(told, json.dumps(told))
