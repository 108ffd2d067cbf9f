"""The list of caches taken in whole: processor time and memory by its members, and its packed size.

`parse`: the way of a front that follows the change log: the event's text, its entries, the module's list.
`check`: the way of a front that shares the list: each member checked, kept, packed for the store.
"""

import json
import tracemalloc

from limepath import contract
from limepath.choice import Front
from limepath.front.changelog import Entry
from limepath.listing.state import List, parsed, unpacked
from limepath.opening_values import start_of
from limepath.scale.measured import Found, Series
from limepath.scale.roles import least_cpu, listed, settings

SIZES = (100, 200, 500, 1000, 1400, 5000)
LONGEST = 4_000_000  # bytes of a list, unpacked
ZONES, KINDS = ["z0", "hub"], ["box", "parent", "origin"]


def event(members):
    """The text of an event with a whole list."""
    told = [listed(index, f"10.{index >> 8}.{index & 255}.7:9001") for index in range(members)]
    return json.dumps({"seq": 1, "fleet": {"revision": 1, "complete": True, "members": told}})


def taken_in(text):
    """What a front holds of a list: entries and the module's list; kept by the caller to be measured."""
    told = json.loads(text)
    entries = {one["id"]: Entry(one, ZONES, KINDS, {}) for one in told["fleet"]["members"]}
    front = Front(seed=1, **start_of(settings()))
    members = tuple(entry.member for entry in entries.values())
    front.handle(1_000_000, (contract.Roster(contract.Listing.FULL, 1, members),))
    return entries, front


def checked(text):
    """What the sharing of the list holds of it."""
    held = List()
    held.take(parsed(text))
    return held


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
    """Give the Found of a list taken in."""
    rows = {name: [] for name in ("parse", "memory", "check", "pack", "unpack", "shared memory", "packed")}
    for size in SIZES:
        text = event(size)
        held = checked(text)
        packed = held.packed()
        values = {
            "parse": least_cpu(lambda text=text: taken_in(text)) / 1000,
            "check": least_cpu(lambda text=text: checked(text)) / 1000,
            "pack": least_cpu(held.packed) / 1000,
            "unpack": least_cpu(lambda packed=packed: unpacked(packed, LONGEST)) / 1000,
            "memory": held_bytes(lambda text=text: taken_in(text)) / 1e6,
            "shared memory": held_bytes(lambda text=text: checked(text)) / 1e6,
            "packed": len(packed) / 1000,
        }
        for name, value in values.items():
            rows[name].append((size, round(value, 4)))
    told = {
        "parse": ("a whole list taken in by a front", "ms of CPU"),
        "memory": ("the list in a front", "MB"),
        "check": ("a whole list checked and kept for sharing", "ms of CPU"),
        "pack": ("the list packed", "ms of CPU"),
        "unpack": ("a packed list read", "ms of CPU"),
        "shared memory": ("the list kept for sharing", "MB"),
        "packed": ("the packed list", "KB"),
    }
    return Found(
        tuple(
            Series(name, *told[name], "members of the list", tuple(points), "real logic")
            for name, points in rows.items()
        ),
        notes=("processor time: the least of 3 runs; memory by tracemalloc; all members in one zone",),
    )
