"""The list of caches taken in whole: processor time and memory by its members, and its packed size.

`parse`: the way of a front that follows the change log: the event's text, its entries, the module's list.
`check`: the way of a front that shares the list: each member checked, kept, packed for the store.
"""

import json
import tracemalloc
from functools import partial

from limepath.configuration.decision_settings import decision_arguments
from limepath.decisions.engine import DecisionEngine
from limepath.discovery import endpoint_list
from limepath.discovery.endpoint_list import EndpointList, unpack_list
from limepath.discovery.event_checks import parse_event
from limepath.front.endpoint_entry import EndpointEntry
from limepath.front.reference_clock import ReferenceClock
from limepath.interface.events import EndpointListUpdated, UpdateKind
from limepath.scale.measured import Fact, RoleResult, Series
from limepath.scale.roles import member_entry, minimum_cpu_us, settings

SIZES = (100, 200, 500, 1000, 1400, 5000)
LONGEST = 4_000_000  # bytes of a list, unpacked
ZONES, KINDS = ["z0", "hub"], ["box", "parent", "origin"]


TOLD = {
    "parse": ("a whole list taken in by a front", "ms of CPU"),
    "memory": ("the list in a front", "MB"),
    "check": ("a whole list checked and kept for sharing", "ms of CPU"),
    "pack": ("the list packed", "ms of CPU"),
    "unpack": ("a packed list read", "ms of CPU"),
    "shared memory": ("the list kept for sharing", "MB"),
    "packed": ("the packed list, without purges", "KB"),
    "text": ("the list as the service tells it", "KB"),
}
PACKED_MEMBERS, PURGES = 1400, 36  # purges a second


def event(members):
    """The text of an event with a whole list."""
    told = [member_entry(index, f"10.{index >> 8}.{index & 255}.7:9001") for index in range(members)]
    return json.dumps({"seq": 1, "fleet": {"revision": 1, "complete": True, "members": told}})


def taken_in(text):
    """What a front holds of a list: entries and the module's list; kept by the caller to be measured."""
    told = json.loads(text)
    reference = ReferenceClock(skew=0)
    entries = {one["id"]: EndpointEntry(one, ZONES, KINDS, {}, reference) for one in told["fleet"]["members"]}
    front = DecisionEngine(seed=1, **decision_arguments(settings()))
    members = tuple(entry.endpoint for entry in entries.values())
    front.handle(1_000_000, (EndpointListUpdated(UpdateKind.FULL, 1, members),))
    return entries, front


def checked(text):
    """What the sharing of the list holds of it."""
    held = EndpointList()
    held.apply(parse_event(text))
    return held


def purge(number):
    """An event that purges one object."""
    name = f"{number * 0x9E3779B97F4A7C15 & (1 << 64) - 1:016x}"
    return {"invalidate": {"object": name, "time": 1_790_000_000_000 + 28 * number}}


def purges_kept():
    """How many purges a list holds at PURGES a second: a number, or those of a span."""
    if most := getattr(endpoint_list, "KEPT_PURGES", None):
        return most
    return int(endpoint_list.PURGE_RETENTION_US / 1e6 * PURGES)


def with_purges():
    """Kilobytes of a packed list with all the purges that it keeps."""
    held = checked(event(PACKED_MEMBERS))
    for number in range(2, 2 + purges_kept()):
        held.apply({"seq": number} | purge(number))
    return len(held.pack()) / 1000


def held_bytes(make):
    """Bytes of what `make()` gives."""
    tracemalloc.start()
    try:
        kept = make()
        size, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del kept
    return size


def measure():
    """Return the RoleResult of a list taken in."""
    texts = [event(size) for size in SIZES]
    lists = [checked(text) for text in texts]
    packs = [held.pack() for held in lists]
    works = {
        "parse": [partial(taken_in, text) for text in texts],
        "check": [partial(checked, text) for text in texts],
        "pack": [held.pack for held in lists],
        "unpack": [partial(unpack_list, pack, LONGEST) for pack in packs],
    }
    values = {name: [spent / 1000 for spent in minimum_cpu_us(work)] for name, work in works.items()}
    values |= {
        "memory": [held_bytes(partial(taken_in, text)) / 1e6 for text in texts],
        "shared memory": [held_bytes(partial(checked, text)) / 1e6 for text in texts],
        "packed": [len(pack) / 1000 for pack in packs],
        "text": [len(text) / 1000 for text in texts],
    }
    rows = {
        name: [(size, round(value, 4)) for size, value in zip(SIZES, values[name], strict=True)]
        for name in TOLD
    }
    return RoleResult(
        tuple(
            Series(name, *TOLD[name], "members of the list", tuple(points), "real logic")
            for name, points in rows.items()
        ),
        (
            Fact(
                "packed purges",
                f"a packed list of {PACKED_MEMBERS:,} members and {purges_kept():,} purges",
                "KB",
                round(with_purges(), 1),
            ),
            Fact(
                "event",
                "a purge as the service words it",
                "bytes",
                len(json.dumps({"seq": 10**6} | purge(9))),
            ),
        ),
        notes=("processor time: the least of 5 runs; memory by tracemalloc; all members in one zone",),
    )
