"""Measures loading a complete endpoint list: processor time and memory by its members, and its packed size.

`parse` loads the list as a front that follows the change log does: it parses the event's text, builds the
entries and updates the decision module's list. `check` loads it as a front that shares the list does: it
checks and keeps each member. `pack` and `unpack` convert the list to and from the form of the store.
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
MAX_LIST_BYTES = 4_000_000  # maximum size of an unpacked list
ZONES, KINDS = ["z0", "hub"], ["box", "parent", "origin"]


SERIES_TEXTS = {
    "parse": ("a whole list taken in by a front", "ms of CPU"),
    "memory": ("the list in a front", "MB"),
    "check": ("a whole list checked and kept for sharing", "ms of CPU"),
    "pack": ("the list packed", "ms of CPU"),
    "unpack": ("a packed list read", "ms of CPU"),
    "shared memory": ("the list kept for sharing", "MB"),
    "packed": ("the packed list, without purges", "KB"),
    "text": ("the list as the service tells it", "KB"),
}
PACKED_MEMBERS, PURGES_PER_S = 1400, 36  # members; purges per second


def full_list_event(members):
    """Return the text of an event with a complete list of this many members."""
    entries = [member_entry(index, f"10.{index >> 8}.{index & 255}.7:9001") for index in range(members)]
    return json.dumps({"seq": 1, "fleet": {"revision": 1, "complete": True, "members": entries}})


def load_in_front(text):
    """Return a front's entries and decision engine for a list; the caller measures their memory."""
    event = json.loads(text)
    clock = ReferenceClock(skew=0)
    entries = {
        member["id"]: EndpointEntry(member, ZONES, KINDS, {}, clock) for member in event["fleet"]["members"]
    }
    engine = DecisionEngine(seed=1, **decision_arguments(settings()))
    members = tuple(entry.endpoint for entry in entries.values())
    engine.handle(1_000_000, (EndpointListUpdated(UpdateKind.FULL, 1, members),))
    return entries, engine


def apply_to_shared_list(text):
    """Return the EndpointList that a front keeps in order to share it."""
    shared_list = EndpointList()
    shared_list.apply(parse_event(text))
    return shared_list


def purge(number):
    """Return the part of an event that purges one object."""
    name = f"{number * 0x9E3779B97F4A7C15 & (1 << 64) - 1:016x}"
    return {"invalidate": {"object": name, "time": 1_790_000_000_000 + 28 * number}}


def retained_purges():
    """Return how many purges a list holds at PURGES_PER_S, limited by number or by retention time."""
    if max_purges := getattr(endpoint_list, "KEPT_PURGES", None):
        return max_purges
    return int(endpoint_list.PURGE_RETENTION_US / 1e6 * PURGES_PER_S)


def packed_size_with_purges():
    """Return the size of a packed list with all the purges that it keeps, in kilobytes."""
    shared_list = apply_to_shared_list(full_list_event(PACKED_MEMBERS))
    for number in range(2, 2 + retained_purges()):
        shared_list.apply({"seq": number} | purge(number))
    return len(shared_list.pack()) / 1000


def allocated_bytes(factory):
    """Return the number of bytes allocated by the result of `factory()`."""
    tracemalloc.start()
    try:
        result = factory()
        size, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del result
    return size


def measure():
    """Return the RoleResult of a list taken in."""
    texts = [full_list_event(size) for size in SIZES]
    lists = [apply_to_shared_list(text) for text in texts]
    packed_lists = [shared_list.pack() for shared_list in lists]
    functions = {
        "parse": [partial(load_in_front, text) for text in texts],
        "check": [partial(apply_to_shared_list, text) for text in texts],
        "pack": [shared_list.pack for shared_list in lists],
        "unpack": [partial(unpack_list, packed, MAX_LIST_BYTES) for packed in packed_lists],
    }
    values = {name: [cpu_us / 1000 for cpu_us in minimum_cpu_us(work)] for name, work in functions.items()}
    values |= {
        "memory": [allocated_bytes(partial(load_in_front, text)) / 1e6 for text in texts],
        "shared memory": [allocated_bytes(partial(apply_to_shared_list, text)) / 1e6 for text in texts],
        "packed": [len(packed) / 1000 for packed in packed_lists],
        "text": [len(text) / 1000 for text in texts],
    }
    rows = {
        name: [(size, round(value, 4)) for size, value in zip(SIZES, values[name], strict=True)]
        for name in SERIES_TEXTS
    }
    return RoleResult(
        tuple(
            Series(name, *SERIES_TEXTS[name], "members of the list", tuple(points), "real logic")
            for name, points in rows.items()
        ),
        (
            Fact(
                "packed purges",
                f"a packed list of {PACKED_MEMBERS:,} members and {retained_purges():,} purges",
                "KB",
                round(packed_size_with_purges(), 1),
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
