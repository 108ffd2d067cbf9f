"""Lists of endpoints for the tests of pages, and strategies that make such lists."""

import json
from random import Random

from hypothesis import settings
from hypothesis import strategies as st

from limepath.discovery.event_coding import encode_event
from limepath.discovery.interface import Revision
from limepath.discovery.paged_snapshot import (
    PagedDownload,
)
from limepath.discovery.pages import (
    ListContents,
)
from limepath.discovery.recent_purges import AgedPurge

CACHES, RATE, KEPT_SECONDS = 1400, 36, 307.3


NOW_MS = 1_796_000_000_000


HUGE = (1 << 64) - 1


repeatable = settings(deadline=None, derandomize=True)


def member(name, size=6, phase="in_service"):
    return {
        "id": name,
        "host_port": f"10.{len(name)}.7.9:8080",
        "locality": "sur",
        "flavor": "box",
        "phase": phase,
        "up_since_ms": 0,
        "cell": 0,
        "size": size,
    }


def purge(number, age=0, **told):
    target = told or {"object": f"{number * 0x9E3779B97F4A7C15 % 2**64:016x}"}
    event = {"seq": number, "invalidate": target | {"time": NOW_MS + number * 1000 // RATE}}
    return AgedPurge(number, age, encode_event(event, json.dumps(event)))


def contents(sizes=(), purges=(), number=7, generation=0, revision=3):
    """A list of members with these sizes by name, and of these purges."""
    members = {name: member(name, size) for name, size in dict(sizes).items()}
    return ListContents(Revision(generation, number), revision, members, tuple(purges))


def large(seed=1, number=30_020_000, purges=0, generation=0):
    """A list of the coming size."""
    chance = Random(seed)
    members = {
        f"cache-{at:04d}": member(f"cache-{at:04d}")
        | {
            "host_port": f"10.{at % 256}.{at // 256}.7:8080",
            "locality": f"zone-{at % 20}",
            "up_since_ms": NOW_MS + chance.randrange(10**9),
        }
        for at in range(CACHES)
    }
    kept = tuple(
        purge(number - back, back * 1_000_000 // RATE + chance.randrange(5000))
        for back in range(purges - 1, -1, -1)
    )
    return ListContents(Revision(generation, number), 5, members, kept)


def same(one, other):
    """Whether two lists are the same but for the ages of purges."""
    return (
        one[:2] == other[:2]
        and one.members == other.members
        and sorted(kept[::2] for kept in one.purges) == sorted(kept[::2] for kept in other.purges)
    )


def caught_up(own, snapshot):
    """A PagedDownload that was given all that it asked for, and how many chunks these were."""
    download, chunks = PagedDownload(own), 0
    while not download.is_complete:
        name = next(download.missing())
        assert download.add(snapshot.chunk(name))
        chunks += 1
    return download, chunks


names = st.text(min_size=1, max_size=4)


sizes = st.dictionaries(names, st.integers(0, 3), max_size=60)


ages = st.integers(0, 300_000_000)


numbered = st.builds(purge, st.integers(0, 1 << 20), ages)


worded = st.builds(
    lambda number, bucket: purge(number, bucket=bucket), st.integers(0, 1 << 20), st.integers(-2, 2)
)


purge_lists = st.lists(st.one_of(numbered, worded), max_size=30, unique_by=lambda kept: kept.number)


lists = st.builds(
    contents, sizes, purge_lists, st.integers(0, 1 << 62), st.integers(0, 9), st.integers(-(1 << 62), 1 << 62)
)


@st.composite
def related(draw):
    """Two lists of which the second came out of the first by some changes."""
    own = draw(lists)
    changed = {name: one["size"] for name, one in own.members.items()} | draw(sizes)
    gone = draw(st.sets(st.sampled_from(sorted(changed)), max_size=9)) if changed else set()
    kept = {one.number: one for one in (*own.purges, *draw(purge_lists))}
    forgotten = draw(st.sets(st.sampled_from(sorted(kept)), max_size=9)) if kept else set()
    return own, contents(
        {name: size for name, size in changed.items() if name not in gone},
        [one for number, one in kept.items() if number not in forgotten],
        own.revision.number + draw(st.integers(0, 99)),
    )
